package picker

import (
	"math/rand/v2"
	"time"
)

const (
	samples       = 2               // targets compared for one pick
	maxEjectShare = 3               // at most one in this many targets is set aside
	rampTime      = 5 * time.Second // a started target gets its full share after this
	rampFloor     = 0.1
	farCost       = 0.5 // load, as a share of slots, that a target of another zone must be better by
	loadedShare   = 0.5 // occupancy at which the own zone spills over
	slowFactor    = 2   // times the fastest target's latency from which a target counts as slow
	stallFactor   = 3   // times the fastest target's latency without an answer that count as stalled
	stallCost     = 5.0
)

// Balanced compares two random targets by occupancy and latency. Targets of the
// own zone go first until they are loaded; started targets ramp up; failing
// targets are set aside, but never more than a bounded share of them.
type Balanced struct{}

// Pick returns the better of two random candidates.
func (*Balanced) Pick(targets, skip []*Target, now time.Time) *Target {
	limit := len(targets) / maxEjectShare
	var near, all pool
	for _, t := range targets {
		if skipped(t, skip) {
			continue
		}
		if t.Ejected(now) && limit > 0 {
			limit--
			continue
		}
		all.add(t, now)
		if t.SameDomain {
			near.add(t, now)
		}
	}
	if all.size == 0 {
		return nil
	}
	fastest := all.fastest
	best := near.best(fastest, now)
	if best != nil && occupancy(best, now) < loadedShare && slowness(best, fastest, now) == 1 {
		return best
	}
	other := all.best(fastest, now)
	if best == nil || score(other, fastest, now) < score(best, fastest, now) {
		return other
	}
	return best
}

// pool takes a uniform sample of its members in one pass.
type pool struct {
	size    int
	sample  [samples]*Target
	fastest time.Duration // latency of the fastest member
}

func (p *pool) add(t *Target, now time.Time) {
	p.size++
	if latency := t.Latency(now); p.size == 1 || latency < p.fastest {
		p.fastest = latency
	}
	if p.size <= samples {
		p.sample[p.size-1] = t
		return
	}
	if i := rand.IntN(p.size); i < samples {
		p.sample[i] = t
	}
}

func (p *pool) best(fastest time.Duration, now time.Time) *Target {
	var best *Target
	for _, t := range p.sample {
		if t == nil {
			continue
		}
		if best == nil || score(t, fastest, now) < score(best, fastest, now) {
			best = t
		}
	}
	return best
}

// occupancy estimates the share of the target's slots in use.
func occupancy(t *Target, now time.Time) float64 {
	slots := float64(max(t.Slots, 1))
	return max(float64(t.InFlight())/slots, t.Load(now))
}

// score is the cost of sending a call to the target; lower is better.
func score(t *Target, fastest time.Duration, now time.Time) float64 {
	load := occupancy(t, now) + 1/float64(max(t.Slots, 1))
	if !t.SameDomain {
		load += farCost / float64(max(t.Slots, 1))
	}
	return load * slowness(t, fastest, now) / ramp(t, now)
}

// slowness returns by how much a target is slower than the fastest. Small differences
// don't count; a target that answers nobody for long counts as much slower.
func slowness(t *Target, fastest time.Duration, now time.Time) float64 {
	if t.Stalled(now, stallFactor*fastest) {
		return stallCost
	}
	latency := t.Latency(now)
	if latency <= slowFactor*fastest {
		return 1
	}
	return latency.Seconds() / fastest.Seconds()
}

// ramp is the share of its full load that a target may get.
func ramp(t *Target, now time.Time) float64 {
	if t.Warming {
		return rampFloor
	}
	age := now.Sub(t.Since)
	if age >= rampTime || t.Since.IsZero() {
		return 1
	}
	return max(rampFloor, age.Seconds()/rampTime.Seconds())
}
