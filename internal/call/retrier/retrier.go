// Package retrier limits repeated attempts: it holds the budgets of retries and hedges and estimates
// the delay after which a hedge is worth its cost.
package retrier

import (
	"math"
	"sync/atomic"
	"time"
)

// Limits of repeated attempts.
const (
	RetryRatio    = 0.2  // retries per call, beyond the burst
	HedgeRatio    = 0.04 // hedges per call, beyond the burst
	MaxAttempts   = 4    // attempts per call
	MaxHedgeDepth = 1    // deepest level of nested calls that may be hedged
)

const (
	unitsPerAttempt  = 1000 // budget units, so that a ratio of an attempt is an integer
	burstAttempts    = 10   // attempts that a full budget allows at once
	hedgeQuantile    = 0.95
	quantileStep     = 0.02 // step of the estimate, as a ratio of it
	initialEstimate  = 20 * time.Millisecond
	minEstimate      = time.Millisecond
	maxEstimate      = 2 * time.Second
	hedgeDelayFactor = 1.2 // ratio of the hedge delay to the estimated quantile
)

// Budget allows repeated attempts for a ratio of the calls and, at the start and after a time with
// few repeats, a burst.
type Budget struct {
	Ratio float64

	spent atomic.Int64 // units missing from a full budget
}

// Deposit adds the ratio for one call to the budget.
func (b *Budget) Deposit() {
	if b.spent.Load() > 0 {
		b.spent.Add(-int64(b.Ratio * unitsPerAttempt))
	}
}

// Withdraw takes one attempt from the budget. It reports whether there was one.
func (b *Budget) Withdraw() bool {
	for {
		spent := b.spent.Load()
		if spent+unitsPerAttempt > burstAttempts*unitsPerAttempt {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+unitsPerAttempt) {
			return true
		}
	}
}

// HedgeDelay estimates a high quantile of a route's latency. The zero value is ready to use.
type HedgeDelay struct {
	bits atomic.Uint64 // float64 bits of the estimate in seconds
}

// Observe updates the estimate with the latency of one answer.
func (d *HedgeDelay) Observe(latency time.Duration) {
	old := d.estimate()
	step := quantileStep * old
	next := old - step*(1-hedgeQuantile)
	if latency.Seconds() > old {
		next = old + step*hedgeQuantile
	}
	next = min(max(next, minEstimate.Seconds()), maxEstimate.Seconds())
	d.bits.Store(math.Float64bits(next))
}

// estimate returns the quantile in seconds.
func (d *HedgeDelay) estimate() float64 {
	bits := d.bits.Load()
	if bits == 0 {
		return initialEstimate.Seconds()
	}
	return math.Float64frombits(bits)
}

// Value returns the delay after which a second attempt may start.
func (d *HedgeDelay) Value() time.Duration {
	return time.Duration(hedgeDelayFactor * d.estimate() * float64(time.Second))
}

const sampleWeight = 0.1 // weight of a new sample in a MovingRatio

// MovingRatio is an exponentially weighted moving average of how often an event occurs. The zero
// value is ready to use.
type MovingRatio struct {
	bits atomic.Uint64 // float64 bits
}

// Observe updates the ratio with one sample. Of concurrent samples some may be lost; the average
// does not need all.
func (s *MovingRatio) Observe(occurred bool) {
	old := s.Value()
	sample := 0.0
	if occurred {
		sample = 1
	}
	s.bits.Store(math.Float64bits(old + sampleWeight*(sample-old)))
}

// Value returns the current ratio.
func (s *MovingRatio) Value() float64 { return math.Float64frombits(s.bits.Load()) }
