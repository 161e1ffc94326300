// Package expirer holds points in time that do not depend on the time of day, which may be set. The ends of
// permissions also pass while the host is suspended, which the monotonic clock of the runtime does not
// count.
package expirer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary point, including the time for which the host was suspended.
// A nil Clock is SinceBoot.
type Clock func() time.Duration

// SinceBoot returns the time since the host was started (CLOCK_BOOTTIME).
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // the clock exists on every kernel that Go supports
	}
	return time.Duration(now.Nano())
}

// Now returns the time since the clock's point of reference.
func (c Clock) Now() time.Duration {
	if c == nil {
		return SinceBoot()
	}
	return c()
}

// In returns the end of a permission that lasts for the given time from now.
func (c Clock) In(lasts time.Duration) Expiry { return Expiry{end: c.Now() + lasts, set: true} }

// Passed reports whether a permission has ended.
func (c Clock) Passed(e Expiry) bool { return !e.set || c.Now() >= e.end }

// started is a time before all others that SinceStart converts.
var started = time.Now()

// SinceStart converts a time of this process to the duration since its start. It is not affected by changes
// of the time of day, and does not include the time for which the host was suspended.
func SinceStart(t time.Time) time.Duration { return t.Sub(started) }

// Expiry is the end of a permission. The zero value has passed.
type Expiry struct {
	end time.Duration
	set bool
}
