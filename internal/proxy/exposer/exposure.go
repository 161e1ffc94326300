package exposer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// burstShare is the share of the requests that a new version gets while it is tested, as a share of Registry.Share.
	// It is below 1 for random fluctuations and for nodes that learn of an order or of its outcome late.
	burstShare = 0.9

	// slotPeriod is the period with which the new version gets requests, during slotActive of each period. The
	// mean share is thus 0.6 of Registry.Share, while its targets see nearly their usual load in the active part. The
	// bound holds at each moment, so a load that varies with the same period does not break it.
	slotPeriod = 1500 * time.Millisecond
	slotActive = time.Second

	// settleTime is the time for which a version that this node has not seen before gets no requests of a
	// service that another version serves. An order reaches all nodes within it, so that no node takes the
	// targets of an ordered version for those of a release without an order.
	settleTime = time.Second

	// maxVersions is the maximum number of versions of a service that are remembered.
	maxVersions = 16
)

// Target is a target that serves a service.
type Target struct {
	Node    string
	Version string
	Allowed bool // result of Restrict: whether the request may go to the target
}

// versions holds the versions that this node has seen serve a service.
type versions struct {
	settled map[string]struct{}  // versions that get requests
	seen    map[string]time.Time // other versions, by the time at which they were first seen
	first   time.Time            // time of the first observation
	started bool                 // whether settleTime has passed since then
}

// settleOnly makes a version the only one that is settled.
func (v *versions) settleOnly(version string) {
	v.settled = map[string]struct{}{version: {}}
	v.started = true
	clear(v.seen)
}

// observe records the versions of the targets that serve. When a node starts, its links come up one after the other, so
// during settleTime the version with the most targets is taken for the settled one, whichever that is at the moment.
func (v *versions) observe(targets []Target, now time.Time) {
	if len(targets) == 0 {
		return
	}
	if len(v.settled)+len(v.seen) > maxVersions {
		*v = versions{}
	}
	if v.first.IsZero() {
		*v = versions{settled: make(map[string]struct{}), seen: make(map[string]time.Time), first: now}
	}
	v.started = v.started || now.Sub(v.first) >= settleTime
	if !v.started {
		clear(v.settled)
		v.settled[mostFrequent(targets)] = struct{}{}
	}
	for i := range targets {
		version := targets[i].Version
		if _, ok := v.settled[version]; ok {
			delete(v.seen, version)
			continue
		}
		at, ok := v.seen[version]
		switch {
		case !ok:
			v.seen[version] = now
		case v.started && now.Sub(at) >= settleTime:
			v.settled[version] = struct{}{}
			delete(v.seen, version)
		}
	}
}

// mostFrequent returns the version of most of the targets, the first in order if there are several.
func mostFrequent(targets []Target) string {
	counts := make(map[string]int)
	for i := range targets {
		counts[targets[i].Version]++
	}
	first := targets[0].Version
	for version, n := range counts {
		if n > counts[first] || n == counts[first] && version < first {
			first = version
		}
	}
	return first
}

// allSettled reports whether the versions of all targets are settled.
func (v *versions) allSettled(targets []Target) bool {
	for i := range targets {
		if !v.isSettled(targets[i].Version) {
			return false
		}
	}
	return true
}

// allow allows the targets of settled versions, or all if there are none: then no other version serves, as after a
// release without an order that has replaced all targets at once.
func (v *versions) allow(targets []Target) {
	settled := slices.ContainsFunc(targets, func(t Target) bool { return v.isSettled(t.Version) })
	for i := range targets {
		targets[i].Allowed = !settled || v.isSettled(targets[i].Version)
	}
}

func (v *versions) isSettled(version string) bool {
	_, ok := v.settled[version]
	return ok
}

// Observe records the versions of the targets that serve a service.
func (b *Registry) Observe(service string, targets []Target, now time.Time) {
	b.mu.RLock()
	r, v := b.records[service], b.versions[service]
	settled := r != nil || v != nil && v.started && v.allSettled(targets)
	b.mu.RUnlock()
	if settled {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	v = b.versions[service]
	if v == nil {
		if b.versions == nil {
			b.versions = make(map[string]*versions)
		}
		v = &versions{}
		b.versions[service] = v
	}
	v.observe(targets, now)
}

// Restrict sets Allowed for the targets that serve a service. random is the random draw of the request in
// [0, 1); 1 excludes the new version of a running rollout.
func (b *Registry) Restrict(service string, targets []Target, random float64, now time.Time) {
	if b == nil {
		for i := range targets {
			targets[i].Allowed = true
		}
		return
	}
	b.Observe(service, targets, now)
	b.mu.RLock()
	defer b.mu.RUnlock()
	b.restrict(b.versions[service], service, targets, random, now)
}

// Preview is Restrict without its effect on the registry: the versions of the targets are not recorded.
func (b *Registry) Preview(service string, targets []Target, random float64, now time.Time) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	v := &versions{}
	if b.records[service] == nil {
		if known := b.versions[service]; known != nil {
			*v = *known
			v.settled, v.seen = maps.Clone(known.settled), maps.Clone(known.seen)
		}
		if !v.started || !v.allSettled(targets) {
			v.observe(targets, now)
		}
	}
	b.restrict(v, service, targets, random, now)
}

// ShareNow returns the share of the requests of a service that its new version gets at the moment; 0 if the versions
// are not being compared.
func (b *Registry) ShareNow(service string, now time.Time) float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.records[service]
	if r == nil || r.Phase != Running {
		return 0
	}
	return b.shareAt(r.deadline.Sub(now))
}

// restrict sets Allowed for the targets that serve a service, whose versions v contains. b.mu must be held.
func (b *Registry) restrict(v *versions, service string, targets []Target, random float64, now time.Time) {
	r := b.records[service]
	if r == nil {
		v.allow(targets)
		return
	}
	old := 0
	for i := range targets {
		if targets[i].Version != r.Version {
			old++
		}
	}
	switch r.Phase {
	case Promoting, Completed:
		r.allow(targets, old < len(targets))
	case RolledBack:
		r.allow(targets, false)
	case Running:
		switch {
		case old == 0:
			r.allow(targets, r.settled)
		case random >= b.shareAt(r.deadline.Sub(now)) || !r.allowFocus(targets, old, burstShare*b.Share, now):
			r.allow(targets, false)
		}
	}
}

// allow allows only the targets of the new version, or only those of all others.
func (r *record) allow(targets []Target, fresh bool) {
	for i := range targets {
		targets[i].Allowed = (targets[i].Version == r.Version) == fresh && (r.banned == "" || targets[i].Version != r.banned)
	}
}

// shareAt returns the share of the requests that a new version gets at a time before the deadline.
func (b *Registry) shareAt(remaining time.Duration) float64 {
	if remaining <= 0 || remaining%slotPeriod < slotPeriod-slotActive {
		return 0
	}
	return burstShare * b.Share
}

// allowFocus allows only the targets of the new version that get requests in this period: as many as the share
// of the requests loads like the old targets. The periods go round all targets. It returns false if there are none.
func (r *record) allowFocus(targets []Target, old int, share float64, now time.Time) bool {
	type ranked struct {
		index int
		rank  uint64
	}
	fresh := make([]ranked, 0, len(targets)-old)
	seed := strconv.FormatUint(r.Order, 10)
	for i := range targets {
		targets[i].Allowed = false
		if targets[i].Version == r.Version {
			fresh = append(fresh, ranked{index: i, rank: xxh3.HashString(seed + targets[i].Node)})
		}
	}
	if len(fresh) == 0 {
		return false
	}
	slices.SortFunc(fresh, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	width := min(max(int(math.Round(share*float64(old))), 1), len(fresh))
	first := int(r.deadline.Sub(now)/slotPeriod) * width
	for i := range width {
		targets[fresh[(first+i)%len(fresh)].index].Allowed = true
	}
	return true
}
