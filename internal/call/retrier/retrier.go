// Package retrier bounds repeated attempts: budgets for retries and hedges, and
// the delay after which a hedge is worth its cost.
package retrier

import (
	"math"
	"sync/atomic"
	"time"
)

// Bounds of repeated attempts.
const (
	RetryRatio    = 0.2  // of the calls may be retried
	HedgeRatio    = 0.04 // of the calls may be hedged
	MaxAttempts   = 4    // of one call
	MaxHedgeDepth = 1    // deepest level of a call chain that hedges
)

const (
	milli            = 1000 // budget units per attempt
	budgetBurst      = 10   // attempts that may be saved up
	hedgeQuantile    = 0.95
	quantileStep     = 0.02
	startHedge       = 20 * time.Millisecond
	minHedge         = time.Millisecond
	maxHedge         = 2 * time.Second
	hedgeDelayFactor = 1.2
)

// Budget allows a share of the calls to be repeated, after a burst at the start.
type Budget struct {
	Ratio float64

	spent atomic.Int64 // of the burst
}

// Deposit adds the share of one call.
func (b *Budget) Deposit() {
	if b.spent.Load() > 0 {
		b.spent.Add(-int64(b.Ratio * milli))
	}
}

// Withdraw spends one attempt, if there is one.
func (b *Budget) Withdraw() bool {
	for {
		spent := b.spent.Load()
		if spent+milli > budgetBurst*milli {
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+milli) {
			return true
		}
	}
}

// HedgeDelay tracks a high quantile of a route's latency. The zero value is ready.
type HedgeDelay struct {
	bits atomic.Uint64 // float64 bits of the estimate in seconds
}

// Observe takes in the latency of one answer.
func (d *HedgeDelay) Observe(latency time.Duration) {
	old := d.estimate()
	step := quantileStep * old
	next := old - step*(1-hedgeQuantile)
	if latency.Seconds() > old {
		next = old + step*hedgeQuantile
	}
	next = min(max(next, minHedge.Seconds()), maxHedge.Seconds())
	d.bits.Store(math.Float64bits(next))
}

func (d *HedgeDelay) estimate() float64 {
	bits := d.bits.Load()
	if bits == 0 {
		return startHedge.Seconds()
	}
	return math.Float64frombits(bits)
}

// Value returns the delay after which a second attempt may start.
func (d *HedgeDelay) Value() time.Duration {
	return time.Duration(hedgeDelayFactor * d.estimate() * float64(time.Second))
}

const shareWeight = 0.1

// MovingRatio tracks how often something is the case. The zero value is ready.
type MovingRatio struct {
	bits atomic.Uint64 // float64 bits
}

// Observe takes in one case. Concurrent cases may get lost, which does no harm.
func (s *MovingRatio) Observe(is bool) {
	old := s.Value()
	sample := 0.0
	if is {
		sample = 1
	}
	s.bits.Store(math.Float64bits(old + shareWeight*(sample-old)))
}

// Value returns the present share.
func (s *MovingRatio) Value() float64 { return math.Float64frombits(s.bits.Load()) }
