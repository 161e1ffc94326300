package admitter

import (
	"math"
	"time"
)

// usage is what was given lately: slot time to nested calls and to all jobs, in seconds, and
// how many direct jobs asked and were refused. It fades with time.
type usage struct {
	nested  float64
	all     float64
	asked   float64
	refused float64
	at      time.Time
}

// fade lets what was given lose weight.
func (u *usage) fade(now time.Time) {
	if passed := now.Sub(u.at); passed > 0 {
		factor := math.Exp2(-passed.Seconds() / usageHalf.Seconds())
		u.nested *= factor
		u.all *= factor
		u.asked *= factor
		u.refused *= factor
		u.at = now
	}
}

// add takes in that a job of a rank got a slot that it is expected to hold for so long.
func (u *usage) add(rank int, held time.Duration) {
	u.all += held.Seconds()
	if rank == nestedRank {
		u.nested += held.Seconds()
	}
}

// offered takes in that a direct job was let in or refused.
func (u *usage) offered(admitted bool) {
	u.asked++
	if !admitted {
		u.refused++
	}
}

// starved reports whether most direct jobs were refused.
func (u *usage) starved() bool { return u.refused > starvedShare*u.asked }

// beyondShare reports whether nested calls have had more than their share.
func (u *usage) beyondShare() bool { return u.nested > nestedShare*u.all }
