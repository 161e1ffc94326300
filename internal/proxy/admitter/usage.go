package admitter

import (
	"math"
	"time"
)

// usage holds recent slot time and refusals, as sums that decay exponentially. The slot time of a job
// is the service time that was expected at its start.
type usage struct {
	nestedTime float64 // seconds of slot time of nested calls
	totalTime  float64 // seconds of slot time of all jobs
	offered    float64 // number of requests offered while no slot was free
	refused    float64 // number of those requests that were refused
	updated    time.Time
}

// decay reduces the sums by the time that has passed since the last call.
func (u *usage) decay(now time.Time) {
	if elapsed := now.Sub(u.updated); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / usageHalfLife.Seconds())
		u.nestedTime *= factor
		u.totalTime *= factor
		u.offered *= factor
		u.refused *= factor
		u.updated = now
	}
}

// addJob adds the expected service time of a job that starts.
func (u *usage) addJob(rank int, expected time.Duration) {
	u.totalTime += expected.Seconds()
	if rank == nestedRank {
		u.nestedTime += expected.Seconds()
	}
}

// recordOffer counts a request that was queued or refused because no slot was free.
func (u *usage) recordOffer(admitted bool) {
	u.offered++
	if !admitted {
		u.refused++
	}
}

// requestsUnderserved reports whether most requests that found no free slot were refused.
func (u *usage) requestsUnderserved() bool { return u.refused > underservedRatio*u.offered }

// nestedOverShare reports whether nested calls exceed their share of the slot time.
func (u *usage) nestedOverShare() bool { return u.nestedTime > maxNestedShare*u.totalTime }
