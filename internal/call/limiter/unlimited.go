package limiter

import (
	"sync/atomic"
	"time"
)

// Unlimited admits every call at once and leaves queueing to the target.
type Unlimited struct {
	slots int
	inUse atomic.Int64
}

// Acquire always admits.
func (u *Unlimited) Acquire(Request) Verdict {
	u.inUse.Add(1)
	return Verdict{Admitted: true}
}

// Release records the end of a call.
func (u *Unlimited) Release(Request, time.Duration) { u.inUse.Add(-1) }

// Load returns the ratio of calls in progress to slots.
func (u *Unlimited) Load() float64 { return float64(u.inUse.Load()) / float64(max(u.slots, 1)) }
