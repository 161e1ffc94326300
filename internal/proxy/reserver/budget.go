// Package reserver divides a process's memory among the bodies that it holds for others. Budget holds the
// decisions, reads no clock and does not block; Reserver blocks those who allocate until the budget allows it.
package reserver

import "time"

// Class determines which part of the budget an allocation may use.
type Class int

// Classes of allocations.
const (
	Small  Class = iota // request of at most maxSmall bytes, or the beginning of one
	Answer              // response of a target
	Large               // any other request

	numClasses = iota
)

const (
	// budgetShare is the share of the process's memory for bodies. The rest is for the program itself, its
	// connections, its configuration, and what the collector has not freed yet.
	budgetShare = 0.5

	// smallReserve is the share of the budget that large requests cannot use. Responses can use half of it.
	smallReserve = 0.125

	// clientShare is the share of what large requests can use that one client may hold, but always at least
	// maxBody bytes, so that a single legal request is served.
	clientShare = 0.75

	// maxBody is the largest request in bytes that the operator's limits allow, with a margin for segments.
	maxBody = 64<<20 + 128<<10

	maxSmall = 64 << 10 // in bytes

	// minCounted is the size in bytes below which an allocation is not counted. The bound on connections
	// limits these, and ordinary requests need no lock.
	minCounted = 16 << 10
)

// Owner is the one for whom memory is allocated.
type Owner struct {
	Client   string // address of the client, whose share is bounded; "" for no bound
	Class    Class
	Since    time.Time       // beginning of the body of which the owner already holds a part; zero for none
	Waited   time.Duration   // time for which the owner has waited for other parts of the body
	Gone     <-chan struct{} // closed when the owner no longer waits; nil if it always waits
	Deadline time.Time       // time until which the owner waits at most; zero for MaxWait
}

// continues reports whether the owner already holds a part of the body.
func (o *Owner) continues() bool { return !o.Since.IsZero() }

// goesBefore reports whether the owner is served before another one that waits already. A body that is partly
// received goes before one that is not, and the oldest of these goes first, so that they end one after the
// other and do not all wait with a part of the memory.
func (o *Owner) goesBefore(other *Owner) bool {
	return o.continues() && (!other.continues() || o.Since.Before(other.Since))
}

// maxWait returns the time for which the owner waits.
func (o *Owner) maxWait(now time.Time) time.Duration {
	wait := MaxWait - o.Waited
	if !o.Deadline.IsZero() {
		wait = min(wait, o.Deadline.Sub(now))
	}
	return max(wait, 0)
}

// Budget is a number of bytes that is divided among owners. The zero value has no bytes.
type Budget struct {
	total   int64
	used    int64
	clients map[string]int64 // bytes of large requests by client
}

// NewBudget returns the budget of a process with the given memory in bytes.
func NewBudget(memory int64) Budget {
	return Budget{total: int64(budgetShare * float64(memory)), clients: make(map[string]int64)}
}

// limit returns the number of bytes that may be in use after an allocation of a class.
func (b *Budget) limit(class Class) int64 {
	reserve := int64(smallReserve * float64(b.total))
	switch class {
	case Large:
		return b.total - reserve
	case Answer:
		return b.total - reserve/2
	case Small:
	}
	return b.total
}

// clientLimit returns the number of bytes of large requests that one client may hold.
func (b *Budget) clientLimit() int64 {
	large := b.limit(Large)
	return min(max(int64(clientShare*float64(large)), maxBody), large)
}

// fitsClient reports whether the client of an owner may hold another size bytes.
func (b *Budget) fitsClient(o *Owner, size int64) bool {
	return o.Class != Large || o.Client == "" || b.clients[o.Client]+size <= b.clientLimit()
}

// Possible reports whether an allocation fits an unused budget.
func (b *Budget) Possible(o *Owner, size int64) bool {
	return size <= b.limit(o.Class) && (o.Class != Large || o.Client == "" || size <= b.clientLimit())
}

// Take takes bytes from the budget and reports whether they were left.
func (b *Budget) Take(o *Owner, size int64) bool {
	if b.used+size > b.limit(o.Class) || !b.fitsClient(o, size) {
		return false
	}
	b.used += size
	if o.Class == Large && o.Client != "" {
		b.clients[o.Client] += size
	}
	return true
}

// Return returns bytes that the same owner took.
func (b *Budget) Return(o *Owner, size int64) {
	b.used -= size
	if o.Class != Large || o.Client == "" {
		return
	}
	if b.clients[o.Client] -= size; b.clients[o.Client] <= 0 {
		delete(b.clients, o.Client)
	}
}
