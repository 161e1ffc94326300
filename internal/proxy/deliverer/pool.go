package deliverer

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/tracker"
)

// markUnreachable stops calls to a target to which no connection could be opened, and keeps trying
// to connect to it.
func (d *Deliverer) markUnreachable(err error) {
	now := time.Now()
	d.mu.Lock()
	alreadyUnreachable := now.Before(d.unreachableUntil)
	d.unreachableUntil = now.Add(connectTimeout + 2*reconnectInterval)
	d.updateSlots(now)
	target := d.target.ID
	d.mu.Unlock()
	if alreadyUnreachable {
		return // reconnect is already scheduled
	}
	d.Log.Info("deliver: target unreachable", zap.String("target", target), recorder.Err(err))
	d.OnStateChange()
	time.AfterFunc(reconnectInterval, d.reconnect)
}

// reconnect tries to connect to an unreachable target and schedules itself again if that fails.
func (d *Deliverer) reconnect() {
	d.mu.Lock()
	shouldReconnect := d.target.State == tracker.Serving && !d.stopping
	d.mu.Unlock()
	if !shouldReconnect {
		return
	}
	c, err := connect(d.Address)
	now := time.Now()
	d.mu.Lock()
	if err != nil {
		d.unreachableUntil = now.Add(connectTimeout + 2*reconnectInterval)
		d.mu.Unlock()
		time.AfterFunc(reconnectInterval, d.reconnect)
		return
	}
	d.unreachableUntil = time.Time{}
	d.updateSlots(now)
	target := d.target.ID
	d.mu.Unlock()
	d.putIdle(c, now)
	d.Log.Info("deliver: target reachable again", zap.String("target", target))
	d.OnStateChange()
}

// takeIdle removes the newest idle connection that is still usable from the pool and returns it,
// or nil if there is none.
func (d *Deliverer) takeIdle(now time.Time) *conn {
	for len(d.idle) > 0 {
		c := d.idle[len(d.idle)-1]
		d.idle = d.idle[:len(d.idle)-1]
		if c.usable(now) {
			return c
		}
		_ = c.Close() // idle for too long, closed by the target, or with unsolicited data
	}
	return nil
}

// putIdle adds a connection to the pool, which holds at most one connection per slot.
func (d *Deliverer) putIdle(c *conn, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue.Slots == 0 || len(d.idle) >= d.queue.Slots {
		_ = c.Close() // the pool is full or the target takes no calls
		return
	}
	c.idle = now
	d.idle = append(d.idle, c)
}

// closeIdle closes all idle connections.
func (d *Deliverer) closeIdle() {
	for _, c := range d.idle {
		_ = c.Close() // the target takes no calls, or has restarted
	}
	d.idle = nil
}
