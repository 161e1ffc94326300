package throttler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Each node has an equal part of the rates of all accounts. It either admits requests by its part itself, while there is
// no issuer (Entry.takePart), or lends it to one issuer, whose buckets are filled at the rate of the parts that it has
// borrowed. So no part is used twice, whatever the two believe of each other: a loan ends earlier at the
// issuer than at its lender.
//
// It is designed for failures after which nodes differ about who issues credit: a store that was restored from an older
// copy, a lost lease, a restart, a pause, a cut between some nodes.
const (
	// loanTime is the time for which a part is lent, from the time at which the issuer requested it.
	loanTime = 2 * time.Second

	// loanMargin is the time by which the loan ends later at the lender, since clocks differ in rate.
	loanMargin = 100 * time.Millisecond

	// loanInterval is the interval between two requests of the issuer to a lender.
	loanInterval = 600 * time.Millisecond

	// firstLoanInterval is the same for a node whose part is not lent.
	firstLoanInterval = 200 * time.Millisecond
)

// SetNodes sets the number of nodes among which the rates are divided.
func (i *Issuer) SetNodes(nodes int, now time.Duration) {
	if nodes == i.nodes {
		return
	}
	i.endLoans(now)
	i.fill(1<<Shards-1, now)
	i.nodes = nodes
	i.updateParts(1<<Shards - 1)
}

// Borrow records the parts that a node has lent until the given time. It ends the loans of an earlier process of the
// node.
func (i *Issuer) Borrow(lender Process, shards uint64, until, now time.Duration) {
	i.endLoans(now)
	if until <= now {
		return
	}
	for other := range i.loans {
		if other.Node == lender.Node && other != lender {
			i.endLoan(other, now)
		}
	}
	for shard := range Shards {
		if !i.shards[shard].held {
			shards &^= 1 << shard
		}
	}
	before := i.loans[lender]
	if changed := before.shards ^ shards; changed != 0 {
		i.fill(changed, now)
		i.count(before.shards&^shards, -1)
		i.count(shards&^before.shards, 1)
		i.updateParts(changed)
	}
	if i.loans == nil {
		i.loans = make(map[Process]loan)
	}
	if len(i.loans) == 0 || until < i.expiresAt {
		i.expiresAt = until
	}
	i.loans[lender] = loan{shards: shards, until: until}
}

// Borrows reports whether a node has lent its parts of all given shards.
func (i *Issuer) Borrows(lender Process, shards uint64) bool {
	return i.loans[lender].shards&shards == shards
}

// Retain ends the loans of the nodes for which keep reports false.
func (i *Issuer) Retain(keep func(lender Process) bool, now time.Duration) {
	for lender := range i.loans {
		if !keep(lender) {
			i.endLoan(lender, now)
		}
	}
}

// ReturnAll ends all loans.
func (i *Issuer) ReturnAll(now time.Duration) {
	i.Retain(func(Process) bool { return false }, now)
}

// endLoans ends the loans whose time has passed, at their time.
func (i *Issuer) endLoans(now time.Duration) {
	if len(i.loans) == 0 || now < i.expiresAt {
		return
	}
	lenders := slices.SortedFunc(maps.Keys(i.loans), func(a, b Process) int {
		return cmp.Compare(i.loans[a].until, i.loans[b].until)
	})
	for _, lender := range lenders {
		until := i.loans[lender].until
		if until > now {
			i.expiresAt = until
			return
		}
		i.endLoan(lender, until)
	}
}

// endLoan ends the loan of a node.
func (i *Issuer) endLoan(lender Process, at time.Duration) {
	shards := i.loans[lender].shards
	delete(i.loans, lender)
	i.fill(shards, at)
	i.count(shards, -1)
	i.updateParts(shards)
}

// count changes the number of lenders of shards.
func (i *Issuer) count(shards uint64, change int) {
	for shard := range Shards {
		if shards&(1<<shard) != 0 {
			i.shards[shard].lent += change
		}
	}
}

// fill fills the buckets of shards until the given time.
func (i *Issuer) fill(shards uint64, until time.Duration) {
	for account, b := range i.buckets {
		if shards&(1<<ShardOf(account)) != 0 {
			b.refill(until)
		}
	}
}

// updateParts applies the number of lenders of shards to the buckets, which are filled until now.
func (i *Issuer) updateParts(shards uint64) {
	for account, b := range i.buckets {
		if shard := ShardOf(account); shards&(1<<shard) != 0 {
			b.part = i.part(shard)
		}
	}
}

// part returns the part of the rates of a shard that nodes have lent.
func (i *Issuer) part(shard int) float64 {
	if i.nodes == 0 {
		return 1
	}
	return min(float64(i.shards[shard].lent)/float64(i.nodes), 1)
}

// lentPart is the loan of this node's part of the rates of a shard.
type lentPart struct {
	to    Process       // zero for one of an earlier process of this node
	term  uint64        // of the issuer; it has returned the part if it has begun a later one
	until time.Duration // end of the loan
}

// Start starts at the given time. Parts that an earlier process of this node has lent may still be used by their issuers.
func (e *Entry) Start(now time.Duration) {
	for shard := range e.lent {
		e.lent[shard].until = now + loanTime + loanMargin
	}
	e.Share.Start(now)
}

// Lend lends this node's part of the rates of a shard to an issuer and reports whether it did. The part is not
// lent to a second issuer before the first loan has ended.
func (e *Entry) Lend(shard int, to Process, term uint64, now time.Duration) bool {
	l := &e.lent[shard]
	switch {
	case e.issuers[shard].id != to:
		return false
	case l.to == to && term < l.term:
		return false // the request was overtaken
	case l.to != to && l.to != (Process{}) && now < l.until:
		return false
	}
	*l = lentPart{to: to, term: term, until: now + loanTime + loanMargin}
	return true
}

// EndLoans ends the loans that were returned: those for which the given function reports true.
func (e *Entry) EndLoans(returned func(shard int, to Process, term uint64) bool, now time.Duration) {
	for shard := range e.lent {
		l := &e.lent[shard]
		if l.to != (Process{}) && now < l.until && returned(shard, l.to, l.term) {
			l.until = now
		}
	}
}
