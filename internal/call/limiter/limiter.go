// Package limiter admits calls to the slots of a target. A call that is refused
// here has not reached the target.
package limiter

import (
	"time"

	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/parser"
)

// Class orders calls by what their loss costs. A lower class goes first.
type Class int

// Classes of calls.
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

// Normalize returns the class, or the lowest one for a number out of range.
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

// Request is a call that asks for a slot.
type Request struct {
	Class    Class
	Client   string // shares of callers are kept apart by this
	Deadline time.Time
	NoWait   bool // to be refused at once if no slot is open
}

// Verdict is the outcome of an admission.
type Verdict struct {
	Admitted   bool
	RetryAfter time.Duration // when refused: a hint
}

// Policy decides who gets a slot. Every admitted request must be released once.
type Policy interface {
	Acquire(request Request) Verdict
	Release(request Request, held time.Duration)
	Load() float64 // slots in use and calls waiting, as a share of the slots
}

// Policies by name, for settings.
const (
	PolicyPriority  = "priority"
	PolicyFIFO      = "fifo"
	PolicyUnlimited = "unlimited"
)

// New returns the policy of the given name for a target's slots, or nil.
func New(name string, slots int) Policy {
	switch name {
	case PolicyPriority, "":
		return newQueue(slots, priorityRules(slots))
	case PolicyFIFO:
		return newQueue(slots, fifoRules(slots))
	case PolicyUnlimited:
		return &Unlimited{slots: slots}
	}
	return nil
}
