package acceptor

import "time"

// add registers a connection unless the process ends. Above the maximum number, the connection that has been
// idle longest is closed, or else the new one is not registered.
func (a *Acceptor) add(c *clientConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	if a.MaxConns > 0 && len(a.conns) >= a.MaxConns && !a.closeIdlest() {
		a.Meter.Add("client_connections_refused", 1)
		return false
	}
	a.conns[c] = struct{}{}
	return true
}

// closeIdlest closes and removes the connection that has been idle longest. It reports false if none is idle.
func (a *Acceptor) closeIdlest() bool {
	for {
		var idlest *clientConn
		var earliest time.Time
		for c := range a.conns {
			if since, ok := c.idle(); ok && (idlest == nil || since.Before(earliest)) {
				idlest, earliest = c, since
			}
		}
		if idlest == nil {
			return false
		}
		if idlest.closeIfIdle() {
			delete(a.conns, idlest)
			a.Meter.Add("client_connections_closed", 1)
			return true
		}
	}
}

// Conns returns the number of connections of clients.
func (a *Acceptor) Conns() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns)
}
