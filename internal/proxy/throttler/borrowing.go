package throttler

import (
	"time"

	"clementinerock/internal/proxy/carrier"
)

// borrowTick is the interval between two checks of the loans of an issuer.
const borrowTick = 100 * time.Millisecond

// memberPeriod is the time for which a node counts among those that divide the rates, after it is known no more.
// It may be partitioned and admit by its part.
const memberPeriod = 5 * time.Minute

// maxNodes is the maximum number of nodes that this node accepts from another one.
const maxNodes = 1 << 20

// borrow requests the parts of other nodes while this node holds shards.
func (t *Throttler) borrow() {
	ticker := time.NewTicker(borrowTick)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
			t.borrowOnce()
		}
	}
}

// borrowOnce requests the parts whose loans are to be renewed.
func (t *Throttler) borrowOnce() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	if t.issuing.Shards == 0 && t.keeper.Held() == 0 {
		return
	}
	t.refresh(now)
	request := &carrier.PartRequest{Time: now, Term: t.issuing.Changes, Shards: t.issuing.Shards}
	for name, r := range t.remotes {
		interval := loanInterval
		if !t.issuer.Borrows(name, t.issuing.Shards) {
			interval = firstLoanInterval
		}
		if asked, ok := t.asked[name]; ok && now-asked < interval || r.RequestParts == nil {
			continue
		}
		t.asked[name] = now
		t.Meter.Add("throttle_part_requests", 1)
		t.async(func() { r.RequestParts(request) }) // may block while the link is congested
	}
	for name := range t.asked {
		if _, ok := t.remotes[name]; !ok {
			delete(t.asked, name)
		}
	}
}

// LendParts serves a request of an issuer for the parts of this node. See carrier.CreditServer.
func (t *Throttler) LendParts(issuer *carrier.Peer, request *carrier.PartRequest) *carrier.PartReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	t.refreshed = 0 // the request shows what the node issues now
	t.refresh(now)
	reply := &carrier.PartReply{Time: request.Time, Term: request.Term, Nodes: t.countNodes(now)}
	for shard := range Shards {
		if request.Shards&(1<<shard) != 0 && t.entry.Lend(shard, id(issuer), request.Term, now) {
			reply.Shards |= 1 << shard
		}
	}
	t.signal() // requests may wait for the issuer
	return reply
}

// ReceiveParts receives the parts that a node has lent. See carrier.CreditServer.
func (t *Throttler) ReceiveParts(lender *carrier.Peer, reply *carrier.PartReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	t.updateIssuing(now)
	if reply.Term != t.issuing.Changes || reply.Time > now {
		return // of an earlier term, whose loans have ended
	}
	t.issuer.SetNodes(t.members.observe(min(reply.Nodes, maxNodes), now), now)
	t.issuer.Borrow(id(lender), reply.Shards, reply.Time+loanTime, now)
}

// refreshLoans ends the loans of nodes that are linked no more, and those of this node's parts that were returned. It
// lends this node's parts of the shards that it holds to itself.
func (t *Throttler) refreshLoans(now time.Duration) {
	self := id(&t.Self)
	t.issuer.Retain(func(lender Process) bool {
		_, linked := t.remotes[lender]
		return linked || lender == self
	}, now)
	t.entry.EndLoans(func(shard int, to Process, term uint64) bool {
		if to == self {
			return term != t.issuing.Changes || t.issuing.Shards&(1<<shard) == 0
		}
		if r, linked := t.remotes[to]; linked {
			return r.Issuing.Changes > term
		}
		return t.hasEnded(to)
	}, now)
	if t.Known != nil {
		t.issuer.SetNodes(t.countNodes(now), now)
	}
	var own uint64
	for _, shard := range shardList(t.issuing.Shards) {
		if t.entry.Lend(shard, self, t.issuing.Changes, now) {
			own |= 1 << shard
		}
	}
	if own != 0 {
		t.issuer.Borrow(self, own, now+loanTime, now)
	}
}

// hasEnded reports whether a process that is not linked has certainly ended, or has ended its links itself.
func (t *Throttler) hasEnded(p Process) bool {
	for name := range t.remotes {
		if name.Node == p.Node {
			return true // another process of the node
		}
	}
	return t.Ended != nil && t.Ended(p)
}

// countNodes returns the number of nodes among which the rates are divided, as far as this node knows; 0 if there are
// no others.
func (t *Throttler) countNodes(now time.Duration) int {
	if t.Known == nil {
		return 0
	}
	return t.members.observe(max(t.Known(), 1), now)
}

// recentMax is the maximum of a number in the last memberPeriod at least, and twice that at most.
type recentMax struct {
	began             time.Duration // start of the current period
	current, previous int
}

func (m *recentMax) observe(n int, now time.Duration) int {
	if now-m.began >= memberPeriod {
		m.began, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, n)
	return max(m.current, m.previous)
}
