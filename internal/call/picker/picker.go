// Package picker chooses the target of a call from what this node measured and
// what answers reported.
package picker

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Target is one upstream as the callers' side sees it.
type Target struct {
	*Stats

	Service       string
	Node          string // machine beside it
	FailureDomain string
	Peer          string // address of that machine for calls from nodes
	Listen        string // address of the target itself
	Local         bool   // beside this node
	SameDomain    bool   // in this node's zone
	Slots         int
	Warming       bool
	Since         time.Time // start of warming or serving
}

const (
	latencyDecay   = 2 * time.Second        // in which the median fades while nothing is sampled
	loadAge        = 250 * time.Millisecond // half-life of a reported load
	failureLimit   = 3                      // failures in a row before ejection
	ejectTime      = time.Second            // first ejection; doubles with each further one
	maxEjectTime   = 20 * time.Second
	trialFactor    = 3 // times its faded latency that marks a target on trial
	minimumLatency = 200 * time.Microsecond
)

// Stats are the measurements of one target. All methods may be called from many
// goroutines.
type Stats struct {
	inFlight atomic.Int64
	latency  Median        // time in a slot, as the target's node reports it
	sampled  atomic.Int64  // Unix nanoseconds of the last sample
	progress atomic.Int64  // Unix nanoseconds of the last answer, or of the first open call
	load     atomic.Uint64 // float64 bits of the reported share of slots in use
	reported atomic.Int64  // Unix nanoseconds of the report
	failures atomic.Int32
	ejected  atomic.Int64 // Unix nanoseconds until which it is set aside
	trips    atomic.Int32 // ejections in a row
}

// RecordStart records that a call was sent to the target.
func (s *Stats) RecordStart(now time.Time) {
	if s.inFlight.Add(1) == 1 {
		s.progress.Store(now.UnixNano())
	}
}

// Stalled reports whether calls are open and none was answered for a while.
func (s *Stats) Stalled(now time.Time, while time.Duration) bool {
	return s.inFlight.Load() > 0 && now.UnixNano()-s.progress.Load() > int64(while)
}

// InFlight returns the calls that this node has open at the target.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// RecordAnswer records an answer.
func (s *Stats) RecordAnswer(now time.Time) {
	s.inFlight.Add(-1)
	s.progress.Store(now.UnixNano())
	s.failures.Store(0)
	s.trips.Store(0)
}

// RecordRefusal records a refusal by the target's node.
func (s *Stats) RecordRefusal() { s.inFlight.Add(-1) }

// RecordTimeout records that a call ended without any answer after waiting for it.
func (s *Stats) RecordTimeout(now time.Time, waited time.Duration) {
	s.inFlight.Add(-1)
	s.latency.Observe(waited)
	s.sampled.Store(now.UnixNano())
}

// RecordFailure records a call that ended in a transport error. After several in a row the
// target is set aside for a while.
func (s *Stats) RecordFailure(now time.Time) {
	s.inFlight.Add(-1)
	if s.failures.Add(1) < failureLimit {
		return
	}
	s.failures.Store(0)
	pause := min(ejectTime<<min(s.trips.Add(1)-1, 5), maxEjectTime)
	s.ejected.Store(now.Add(pause).UnixNano())
}

// Ejected reports whether the target is set aside.
func (s *Stats) Ejected(now time.Time) bool { return now.UnixNano() < s.ejected.Load() }

// Latency returns the reported time in a slot. It decays while nothing is reported, so
// that a target that was slow gets tried again.
func (s *Stats) Latency(now time.Time) time.Duration {
	idle := time.Duration(now.UnixNano() - s.sampled.Load())
	fade := math.Exp(-max(idle, 0).Seconds() / latencyDecay.Seconds())
	return max(time.Duration(float64(s.latency.Value())*fade), minimumLatency)
}

// ProbeDue reports whether a target that was slow is due to be tried again.
func (s *Stats) ProbeDue(now time.Time) bool {
	return s.latency.Value() > trialFactor*s.Latency(now)
}

// RecordLoad records the load and the median time in a slot that an answer carried.
func (s *Stats) RecordLoad(now time.Time, load float64, latency time.Duration) {
	s.load.Store(math.Float64bits(load))
	s.reported.Store(now.UnixNano())
	if latency > 0 {
		s.latency.Set(latency)
		s.sampled.Store(now.UnixNano())
	}
}

// Load returns the reported share of slots in use, discounted by its age.
func (s *Stats) Load(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - s.reported.Load())
	return math.Float64frombits(s.load.Load()) * math.Exp2(-age.Seconds()/loadAge.Seconds())
}

// Policy chooses among targets, none of which is in skip. It returns nil if there
// is none.
type Policy interface {
	Pick(targets []*Target, skip []*Target, now time.Time) *Target
}

// Policies by name, for settings.
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

func skipped(t *Target, skip []*Target) bool {
	for _, s := range skip {
		if s.Stats == t.Stats {
			return true
		}
	}
	return false
}

// RoundRobin takes the targets in turn.
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

// Random takes any target.
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

// LeastConnections takes the target with the fewest calls open from this node.
type LeastConnections struct{}

// Pick returns the target with the fewest open calls.
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
