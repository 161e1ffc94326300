package picker

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	medianStep = 1.15 // factor by which one sample moves the median
	medianLeap = 1.4  // the same for a sample far above it
	farAbove   = 2    // times the median that counts as far above
)

// Median tracks the median of a latency by steps, so that a few calls that are long
// by themselves hardly move it. The zero value is ready.
type Median struct {
	bits atomic.Uint64 // float64 bits, in seconds
}

// Observe takes in a sample. Concurrent samples may get lost, which does no harm.
func (m *Median) Observe(latency time.Duration) {
	sample := latency.Seconds()
	old := math.Float64frombits(m.bits.Load())
	next := old / medianStep
	switch {
	case old == 0:
		next = sample
	case sample > farAbove*old:
		next = old * medianLeap
	case sample > old:
		next = old * medianStep
	}
	m.bits.Store(math.Float64bits(next))
}

// Set replaces the median.
func (m *Median) Set(latency time.Duration) { m.bits.Store(math.Float64bits(latency.Seconds())) }

// Value returns the median.
func (m *Median) Value() time.Duration {
	return time.Duration(math.Float64frombits(m.bits.Load()) * float64(time.Second))
}
