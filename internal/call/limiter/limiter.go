// Package limiter bounds the number of concurrent calls to a target by its slots. A call that is
// refused here has not reached the target.
package limiter

import (
	"time"

	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/parser"
)

// Class is the priority class of a call, by the cost of losing it. A lower value goes first.
type Class int

// Priority classes, highest first.
const (
	ClassCritical Class = iota // bookings and payments
	ClassLookup                // short lookups
	ClassBulk
	classCount
)

// ClassOf returns the class of a route.
func ClassOf(route *compiler.Route) Class {
	switch {
	case route.Work == parser.WorkBulk:
		return ClassBulk
	case route.Idempotent():
		return ClassLookup
	}
	return ClassCritical
}

// Normalize returns the class, or ClassBulk, the lowest, for a number out of range.
func (c Class) Normalize() Class {
	if c < ClassCritical || c >= classCount {
		return ClassBulk
	}
	return c
}

// String returns the name of the class.
func (c Class) String() string {
	switch c {
	case ClassCritical:
		return "critical"
	case ClassLookup:
		return "lookup"
	}
	return "bulk"
}

// Request is a call that needs a slot.
type Request struct {
	Class    Class
	Client   string // IP address of the client; PolicyPriority shares slots fairly between clients
	Deadline time.Time
	NoWait   bool // refuse at once if no slot is free
}

// Verdict is the result of a request for a slot.
type Verdict struct {
	Admitted   bool
	RetryAfter time.Duration // hint to a refused client; the expected or max wait
}

// Policy decides which requests get a slot. Every admitted request must be released exactly once.
type Policy interface {
	Acquire(request Request) Verdict
	Release(request Request, held time.Duration) // held is the time spent in the slot
	Load() float64                               // ratio of slots in use and waiting calls to slots
}

// Names of the policies in the settings.
const (
	PolicyPriority  = "priority"
	PolicyFIFO      = "fifo"
	PolicyUnlimited = "unlimited"
)

// New returns the policy of the given name for a target's slots, or nil.
func New(name string, slots int) Policy {
	switch name {
	case PolicyPriority, "":
		return newQueuePolicy(slots, priorityRules(slots))
	case PolicyFIFO:
		return newQueuePolicy(slots, fifoRules(slots))
	case PolicyUnlimited:
		return &Unlimited{slots: slots}
	}
	return nil
}
