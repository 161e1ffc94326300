// Package picker chooses the target of a call by the node's own measurements and by the load and
// latency that other nodes report with their responses.
package picker

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Target is a target to which this node can send calls.
type Target struct {
	*Stats

	Service       string
	Node          string // name of the node on the target's host
	FailureDomain string
	Peer          string // address at which that node accepts calls from other nodes
	Listen        string // address of the target itself
	Local         bool   // whether it is on this node's host
	SameDomain    bool   // whether it is in this node's failure domain
	Slots         int
	Warming       bool
	Since         time.Time // start of warming or serving
}

const (
	latencyDecay    = 2 * time.Second        // time constant of the decay while there are no samples
	loadHalfLife    = 250 * time.Millisecond // half-life of a reported load
	failuresToEject = 3                      // consecutive failures
	baseEjection    = time.Second            // first ejection; doubles with each consecutive one
	maxEjection     = 20 * time.Second
	probeFactor     = 3 // a probe is due when the latency has decayed by this factor
	minLatency      = 200 * time.Microsecond
)

// Stats are the measurements of one target. All methods are safe for concurrent use.
type Stats struct {
	inFlight     atomic.Int64
	latency      Median        // time in a slot, as reported by the target's node
	latencyAt    atomic.Int64  // time of the last sample in Unix nanoseconds
	progressAt   atomic.Int64  // last answer or, if later, first call in flight; Unix nanoseconds
	load         atomic.Uint64 // float64 bits of the reported load
	loadAt       atomic.Int64  // time of that report in Unix nanoseconds
	failures     atomic.Int32  // consecutive transport errors
	ejectedUntil atomic.Int64  // Unix nanoseconds
	ejections    atomic.Int32  // consecutive ejections
}

// RecordStart records that a call was sent to the target.
func (s *Stats) RecordStart(now time.Time) {
	if s.inFlight.Add(1) == 1 {
		s.progressAt.Store(now.UnixNano())
	}
}

// Stalled reports whether calls are in flight and none was answered for longer than timeout.
func (s *Stats) Stalled(now time.Time, timeout time.Duration) bool {
	return s.inFlight.Load() > 0 && now.UnixNano()-s.progressAt.Load() > int64(timeout)
}

// InFlight returns the number of calls from this node that the target has not answered yet.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// RecordAnswer records that a call was answered, which ends a series of failures and ejections.
func (s *Stats) RecordAnswer(now time.Time) {
	s.inFlight.Add(-1)
	s.progressAt.Store(now.UnixNano())
	s.failures.Store(0)
	s.ejections.Store(0)
}

// RecordRefusal records that a call was refused, by the target or its node.
func (s *Stats) RecordRefusal() { s.inFlight.Add(-1) }

// RecordTimeout records a call that got no answer before its deadline. The time waited counts as a
// latency sample.
func (s *Stats) RecordTimeout(now time.Time, waited time.Duration) {
	s.inFlight.Add(-1)
	s.latency.Observe(waited)
	s.latencyAt.Store(now.UnixNano())
}

// RecordFailure records a call that ended in a transport error. Several consecutive ones eject the
// target for a time that doubles with each consecutive ejection.
func (s *Stats) RecordFailure(now time.Time) {
	s.inFlight.Add(-1)
	if s.failures.Add(1) < failuresToEject {
		return
	}
	s.failures.Store(0)
	ejection := min(baseEjection<<min(s.ejections.Add(1)-1, 5), maxEjection)
	s.ejectedUntil.Store(now.Add(ejection).UnixNano())
}

// Ejected reports whether the target is not to be picked because of failures.
func (s *Stats) Ejected(now time.Time) bool { return now.UnixNano() < s.ejectedUntil.Load() }

// Latency returns the median time in a slot. It decays while there are no samples, so that a slow
// target is tried again.
func (s *Stats) Latency(now time.Time) time.Duration {
	age := time.Duration(now.UnixNano() - s.latencyAt.Load())
	decay := math.Exp(-max(age, 0).Seconds() / latencyDecay.Seconds())
	return max(time.Duration(float64(s.latency.Value())*decay), minLatency)
}

// ProbeDue reports whether the latency has decayed so far that the next call probes whether the
// target is still slow.
func (s *Stats) ProbeDue(now time.Time) bool {
	return s.latency.Value() > probeFactor*s.Latency(now)
}

// RecordLoad stores the load and the median time in a slot that the target's node reported with its
// response. A latency of 0 is ignored.
func (s *Stats) RecordLoad(now time.Time, load float64, latency time.Duration) {
	s.load.Store(math.Float64bits(load))
	s.loadAt.Store(now.UnixNano())
	if latency > 0 {
		s.latency.Set(latency)
		s.latencyAt.Store(now.UnixNano())
	}
}

// Load returns the reported load, that is slots in use and waiting calls divided by slots. It
// decays with the age of the report.
func (s *Stats) Load(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - s.loadAt.Load())
	return math.Float64frombits(s.load.Load()) * math.Exp2(-age.Seconds()/loadHalfLife.Seconds())
}

// Policy chooses the target of a call.
type Policy interface {
	// Pick returns one of the targets that is not in skip, or nil if there is none.
	Pick(targets []*Target, skip []*Target, now time.Time) *Target
}

// Names of the policies in the settings.
const (
	PolicyBalanced         = "balanced"
	PolicyRoundRobin       = "round-robin"
	PolicyRandom           = "random"
	PolicyLeastConnections = "least-connections"
)

// New returns the policy of the given name, or nil.
func New(name string) Policy {
	switch name {
	case PolicyBalanced, "":
		return &Balanced{}
	case PolicyRoundRobin:
		return &RoundRobin{}
	case PolicyRandom:
		return Random{}
	case PolicyLeastConnections:
		return LeastConnections{}
	}
	return nil
}

// skipped reports whether the target is in skip. Two snapshots may hold the same target in
// different Target values, which share their Stats.
func skipped(t *Target, skip []*Target) bool {
	for _, s := range skip {
		if s.Stats == t.Stats {
			return true
		}
	}
	return false
}

// RoundRobin picks the targets in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Pick returns the next target.
func (p *RoundRobin) Pick(targets, skip []*Target, _ time.Time) *Target {
	for range targets {
		t := targets[int(p.next.Add(1)%uint64(len(targets)))]
		if !skipped(t, skip) {
			return t
		}
	}
	return nil
}

// Random picks a target at random.
type Random struct{}

// Pick returns a random target.
func (Random) Pick(targets, skip []*Target, _ time.Time) *Target {
	if len(targets) == 0 {
		return nil
	}
	start := rand.IntN(len(targets))
	for i := range targets {
		if t := targets[(start+i)%len(targets)]; !skipped(t, skip) {
			return t
		}
	}
	return nil
}

// LeastConnections picks the target with the fewest calls in flight from this node.
type LeastConnections struct{}

// Pick returns the target with the fewest calls in flight, a random one if several have as few.
func (LeastConnections) Pick(targets, skip []*Target, _ time.Time) *Target {
	var best *Target
	if len(targets) == 0 {
		return nil
	}
	start := rand.IntN(len(targets))
	for i := range targets {
		t := targets[(start+i)%len(targets)]
		if !skipped(t, skip) && (best == nil || t.InFlight() < best.InFlight()) {
			best = t
		}
	}
	return best
}
