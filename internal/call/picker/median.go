package picker

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	smallStep     = 1.15 // factor by which one sample moves the estimate
	largeStep     = 1.4  // factor of a sample far above the estimate
	largeStepFrom = 2    // ratio of sample to estimate from which it is far above
)

// Median estimates the median of a latency. Each sample moves the estimate by a fixed factor,
// whatever its distance, so that a few calls with long work hardly change it. The zero value is
// ready to use.
type Median struct {
	bits atomic.Uint64 // float64 bits, in seconds
}

// Observe updates the estimate with a sample. Of concurrent samples some may be lost; the estimate
// does not need all.
func (m *Median) Observe(latency time.Duration) {
	sample := latency.Seconds()
	old := math.Float64frombits(m.bits.Load())
	next := old / smallStep
	switch {
	case old == 0:
		next = sample
	case sample > largeStepFrom*old:
		next = old * largeStep
	case sample > old:
		next = old * smallStep
	}
	m.bits.Store(math.Float64bits(next))
}

// Set replaces the estimate.
func (m *Median) Set(latency time.Duration) { m.bits.Store(math.Float64bits(latency.Seconds())) }

// Value returns the estimate, or 0 before the first sample.
func (m *Median) Value() time.Duration {
	return time.Duration(math.Float64frombits(m.bits.Load()) * float64(time.Second))
}
