package picker

import (
	"math/rand/v2"
	"time"
)

const (
	sampleSize         = 2               // targets compared for one pick
	ejectionDivisor    = 3               // at most one target in this many is ejected
	slowStartDuration  = 5 * time.Second // time from start to the full share of calls
	slowStartFloor     = 0.1             // share of calls of a target that is warming or just started
	otherDomainCost    = 0.5             // slots added to the load in another failure domain
	spilloverOccupancy = 0.5             // occupancy from which other failure domains are considered
	slowLatencyFactor  = 2               // a target slower than the fastest by this factor counts as slow
	stallLatencyFactor = 3               // a target without an answer for this many fastest latencies stalls
	stallSlowness      = 5.0             // slowness of a stalled target
)

// Balanced compares two random targets by occupancy and latency (power of two choices). It
// prefers targets in the node's own failure domain until they are loaded, increases the share of
// a started target gradually (slow start), and ejects failing targets up to a bounded share, so
// that failures everywhere do not leave it without targets.
type Balanced struct{}

// Pick returns the better of two random candidates in the node's own failure domain or, if that
// one is loaded or slow or there is none, the better of it and of two random candidates anywhere.
func (*Balanced) Pick(targets, skip []*Target, now time.Time) *Target {
	ejectionsAllowed := len(targets) / ejectionDivisor
	var sameDomain, all pool
	for _, t := range targets {
		if skipped(t, skip) {
			continue
		}
		if t.Ejected(now) && ejectionsAllowed > 0 {
			ejectionsAllowed--
			continue
		}
		all.add(t, now)
		if t.SameDomain {
			sameDomain.add(t, now)
		}
	}
	if all.size == 0 {
		return nil
	}
	fastest := all.fastest
	best := sameDomain.best(fastest, now)
	if best != nil && occupancy(best, now) < spilloverOccupancy && slowness(best, fastest, now) == 1 {
		return best
	}
	other := all.best(fastest, now)
	if best == nil || score(other, fastest, now) < score(best, fastest, now) {
		return other
	}
	return best
}

// pool is a uniform random sample of the targets added to it (reservoir sampling).
type pool struct {
	size    int // targets added
	sample  [sampleSize]*Target
	fastest time.Duration // lowest latency of a target added
}

func (p *pool) add(t *Target, now time.Time) {
	p.size++
	if latency := t.Latency(now); p.size == 1 || latency < p.fastest {
		p.fastest = latency
	}
	if p.size <= sampleSize {
		p.sample[p.size-1] = t
		return
	}
	if i := rand.IntN(p.size); i < sampleSize {
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

// occupancy estimates the ratio of calls at the target to its slots: the larger of what this node
// has in flight and what the target's node reported for all clients.
func occupancy(t *Target, now time.Time) float64 {
	slots := float64(max(t.Slots, 1))
	return max(float64(t.InFlight())/slots, t.Load(now))
}

// score returns the cost of sending a call to the target; lower is better.
func score(t *Target, fastest time.Duration, now time.Time) float64 {
	load := occupancy(t, now) + 1/float64(max(t.Slots, 1))
	if !t.SameDomain {
		load += otherDomainCost / float64(max(t.Slots, 1))
	}
	return load * slowness(t, fastest, now) / slowStartFactor(t, now)
}

// slowness returns the ratio of the target's latency to the fastest one, or 1 if the target is not
// slower by more than slowLatencyFactor. A target that has stalled counts as stallSlowness.
func slowness(t *Target, fastest time.Duration, now time.Time) float64 {
	if t.Stalled(now, stallLatencyFactor*fastest) {
		return stallSlowness
	}
	latency := t.Latency(now)
	if latency <= slowLatencyFactor*fastest {
		return 1
	}
	return latency.Seconds() / fastest.Seconds()
}

// slowStartFactor returns the share of its full load that a target may get.
func slowStartFactor(t *Target, now time.Time) float64 {
	if t.Warming {
		return slowStartFloor
	}
	age := now.Sub(t.Since)
	if age >= slowStartDuration || t.Since.IsZero() {
		return 1
	}
	return max(slowStartFloor, age.Seconds()/slowStartDuration.Seconds())
}
