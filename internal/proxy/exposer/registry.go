package exposer

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Registry holds the rollouts that this node knows of and the versions that it has seen serve each service. All
// methods are safe for concurrent use. A nil Registry limits nothing.
type Registry struct {
	// Share is the maximum share of a service's requests that a new version may get before it has proved good.
	Share float64

	// Era returns the era of the store in which an order was written; nil if there are none. An order of
	// another era for the same version is the same order, which was written again after the store had been
	// restored from an older copy: its phase does not go back.
	Era func(order uint64) uint64

	mu       sync.RWMutex
	records  map[string]*record   // by service
	versions map[string]*versions // by service

	// ended holds the number of the last order, by service, that has no effect any more. Without it, a node that has
	// learned of the outcome a little later, or a reader that reads the order again, would put it into effect anew.
	ended map[string]uint64
}

// AddOrder adds an order that this node has read from the store. phase is the newest phase in the store, or 0.
// remaining is the time until the deadline. It reports whether the order is new to this node.
func (b *Registry) AddOrder(order Order, phase Phase, remaining time.Duration, now time.Time) bool {
	rollout := Rollout{
		Service: order.Service, Version: order.Version, Order: order.Number, Phase: max(phase, Running),
		Written: phase, Duration: order.Duration, Remaining: remaining,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.records[order.Service]
	isNew := order.Number > b.ended[order.Service] && (known == nil || known.Order < order.Number)
	b.merge(&rollout, now)
	if r := b.records[order.Service]; isNew && r != nil && phase.Ended() {
		r.late = true
	}
	return isNew
}

// Merge adds what another node or the store says of a rollout, and reports whether it has changed an order or
// its phase. The newest order of a service and the latest phase of an order win.
func (b *Registry) Merge(rollout *Rollout, now time.Time) bool {
	b.mu.RLock()
	r := b.records[rollout.Service]
	same := r != nil && r.Order == rollout.Order && rollout.Phase <= r.Phase && rollout.Written <= r.Written &&
		!now.Add(rollout.Remaining).Before(r.deadline)
	b.mu.RUnlock()
	if same {
		return false // as nearly always, since each state of a peer repeats it
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(rollout, now)
}

// merge is Merge for a caller that holds mu.
func (b *Registry) merge(rollout *Rollout, now time.Time) bool {
	if rollout.Phase < Running || rollout.Phase > Completed || rollout.Written > Completed {
		return false
	}
	if rollout.Order <= b.ended[rollout.Service] {
		return false
	}
	r := b.records[rollout.Service]
	if r != nil && r.Order > rollout.Order {
		return false
	}
	deadline := now.Add(rollout.Remaining)
	if r == nil || r.Order < rollout.Order {
		return b.add(rollout, r, now)
	}
	if deadline.Before(r.deadline) {
		r.deadline = deadline // the message with the least delay has the best estimate
	}
	r.Written = max(r.Written, rollout.Written)
	return r.setPhase(rollout.Phase, now)
}

// add adds a rollout in the place of an earlier one of the service, which may be nil, and reports whether there was
// room for it.
func (b *Registry) add(rollout *Rollout, earlier *record, now time.Time) bool {
	if earlier == nil && len(b.records) >= maxRollouts {
		return false
	}
	if b.records == nil {
		b.records = make(map[string]*record)
	}
	r := &record{Rollout: *rollout, deadline: now.Add(rollout.Remaining)}
	r.settled = b.settleBefore(rollout.Service, rollout.Version, earlier)
	if earlier != nil && earlier.Version == rollout.Version && b.era(earlier.Order) != b.era(rollout.Order) {
		r.Phase = max(r.Phase, earlier.Phase)
		r.deadline = earlier.deadline
		r.settled, r.banned = earlier.settled, earlier.banned
	}
	if earlier != nil && earlier.Phase == RolledBack && earlier.Version != rollout.Version {
		r.banned = earlier.Version
	}
	if r.Phase.Ended() {
		r.ended = now
	}
	b.records[rollout.Service] = r
	return true
}

// era returns the era of the store in which an order was written.
func (b *Registry) era(order uint64) uint64 {
	if b.Era == nil {
		return 0
	}
	return b.Era(order)
}

// settleBefore updates the settled versions of a service for a new order, which replaces an earlier one if that
// is not nil. It reports whether the ordered version was settled.
func (b *Registry) settleBefore(service, version string, earlier *record) bool {
	v := b.versions[service]
	if v == nil {
		return false
	}
	if earlier != nil && earlier.Phase == Completed {
		v.settleOnly(earlier.Version)
	}
	_, settled := v.settled[version]
	return settled
}

// SetPhase enters a later phase of an order. It reports whether that has changed anything.
func (b *Registry) SetPhase(service string, order uint64, phase Phase, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[service]
	return r != nil && r.Order == order && r.setPhase(phase, now)
}

// SetWritten records the phase of an order that is in the store. It may be an earlier one than before if the
// store has lost its contents.
func (b *Registry) SetWritten(service string, order uint64, phase Phase) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[service]; r != nil && r.Order == order {
		r.Written = phase
	}
}

// Announced returns the rollouts to announce to other nodes: the newest ones if there are many.
func (b *Registry) Announced(now time.Time) []Rollout {
	if b == nil {
		return nil
	}
	rollouts := b.list(func(r *record) bool { return r.announced(now) }, now)
	if len(rollouts) > maxAnnounced {
		slices.SortFunc(rollouts, func(a, b Rollout) int { return cmp.Compare(b.Order, a.Order) })
		rollouts = rollouts[:maxAnnounced]
	}
	return rollouts
}

// Rollouts returns all rollouts, sorted by service.
func (b *Registry) Rollouts(now time.Time) []Rollout {
	return b.list(func(*record) bool { return true }, now)
}

func (b *Registry) list(keep func(*record) bool, now time.Time) []Rollout {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if len(b.records) == 0 {
		return nil
	}
	var rollouts []Rollout
	for _, r := range b.records {
		if keep(r) {
			rollouts = append(rollouts, r.at(now))
		}
	}
	slices.SortFunc(rollouts, func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return rollouts
}

// Empty reports whether no rollout is known.
func (b *Registry) Empty() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.records) == 0
}

// Tests reports whether the versions of a service are being compared.
func (b *Registry) Tests(service string) bool {
	if b == nil {
		return false
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.records[service]
	return r != nil && !r.Phase.Ended()
}

// Rollout returns the rollout of a service.
func (b *Registry) Rollout(service string, now time.Time) (Rollout, bool) {
	if b == nil {
		return Rollout{}, false
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.records[service]
	if r == nil {
		return Rollout{}, false
	}
	return r.at(now), true
}

// Expire removes the rollouts that have no effect any more and returns them. The versions of their outcomes
// are then treated as those of services without an order.
func (b *Registry) Expire(now time.Time) []Rollout {
	b.mu.Lock()
	defer b.mu.Unlock()
	var expired []Rollout
	for service, r := range b.records {
		if !r.expired(now) {
			continue
		}
		delete(b.records, service)
		b.setEnded(service, r.Order)
		if v := b.versions[service]; v != nil && r.Phase == Completed {
			v.settleOnly(r.Version)
		}
		expired = append(expired, r.at(now))
	}
	return expired
}

// setEnded records that an order of a service has no effect any more.
func (b *Registry) setEnded(service string, order uint64) {
	if b.ended == nil || len(b.ended) >= maxRollouts {
		b.ended = make(map[string]uint64)
	}
	b.ended[service] = order
}
