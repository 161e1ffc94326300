package carrier

import "time"

const (
	// leaseTimeout is the time allowed for a peer to renew a lease in the store.
	leaseTimeout = 600 * time.Millisecond

	// maxLeaseRequests is the maximum number of leases that this node renews for peers at the same time.
	maxLeaseRequests = 8
)

// leaseFrame asks a peer to renew a lease in the store, and is its reply. The number identifies the request
// among those of its sender on the link.
type leaseFrame struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Lease   uint64
	Renewed bool
}

// RenewLease asks the peer to renew a lease of this node in the store, and reports whether it did. It is used
// while the store responds to other nodes only. The lease is renewed after the call of this method, so it
// lasts at least for its lifetime from then on.
func (l *Link) RenewLease(lease uint64) bool {
	renewed := make(chan bool, replyBuffer)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.lastNumber++
	number := l.lastNumber
	l.renewals[number] = renewed
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.renewals, number)
		l.mu.Unlock()
	}()
	l.sendOrClose(kindLeaseRequest, &leaseFrame{Number: number, Lease: lease})
	timer := time.NewTimer(leaseTimeout)
	defer timer.Stop()
	select {
	case result := <-renewed:
		return result
	case <-l.done:
	case <-timer.C:
	}
	return false
}

// handleLease handles both frames of the renewal of a lease. They are ignored on a node without caps.
func (l *Link) handleLease(frameKind kind, body []byte) error {
	if l.hub.Credits == nil {
		return nil
	}
	var frame leaseFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frameKind == kindLeaseReply {
		l.mu.Lock()
		renewed, ok := l.renewals[frame.Number]
		delete(l.renewals, frame.Number)
		l.mu.Unlock()
		if ok {
			renewed <- frame.Renewed
		}
		return nil
	}
	if l.hub.leaseRequests.Add(1) > maxLeaseRequests {
		l.hub.leaseRequests.Add(-1)
		return nil // the peer asks another node
	}
	go func() {
		defer l.hub.leaseRequests.Add(-1)
		frame.Renewed = l.hub.Credits.RenewLease(frame.Lease)
		l.sendOrClose(kindLeaseReply, &frame)
	}()
	return nil
}
