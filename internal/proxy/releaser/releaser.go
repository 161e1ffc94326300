// Package releaser carries out the operator's orders to move services to other versions. Each node keeps its own
// target within the phase of its service's rollout and rolls a version back that it sees to be bad. The nodes that
// read the store decide the other changes of phase and write them to the store.
package releaser

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/evaluator"
	"clementinerock/internal/proxy/exposer"
	"clementinerock/platform"
)

const (
	stepInterval = 100 * time.Millisecond // interval between two decisions
	idleInterval = 500 * time.Millisecond // the same while no rollout is known

	// countsInterval is the interval at which a node sends changed counts of its target to the nodes that read
	// the store. They decide, and receive other states only with answers and pings.
	countsInterval = 300 * time.Millisecond

	// takeoverDelay is the time after which the reader of the second rank writes an outcome itself. It is
	// multiplied by the rank, so that one reader writes if none has failed.
	takeoverDelay = 300 * time.Millisecond

	// promotingMin is the minimum time for which a version is promoting, so that all nodes know of it.
	promotingMin = 500 * time.Millisecond

	// idleMin is the time for which the old targets must have had no request before the rollout is completed.
	idleMin = 300 * time.Millisecond

	// finalMargin is the time before the deadline at which the rollout is completed although old targets still
	// run requests. It covers the write and the time until the operator reads it.
	finalMargin = 700 * time.Millisecond

	// Time before the deadline that is kept for promoting, as shares of the duration of the order. Within these
	// it is the longest time limit of a request, with reserveMargin for messages and writes.
	minReserve    = 0.25
	maxReserve    = 0.4
	reserveMargin = 1500 * time.Millisecond

	// maxAgeShare is the largest share of the duration of an order that is taken to have passed when the order was
	// received after an outage of the store, so that some time is left to compare the versions.
	maxAgeShare = 0.4

	minBackoff = 100 * time.Millisecond // first pause after a failed call to the store; then doubles
	maxBackoff = time.Second
)

// Reasons why a target gets no calls.
const (
	reasonRolledBack = "version rolled back"
	reasonReplaced   = "version replaced"
)

// Store is the platform's store.
type Store interface {
	Get(key string) (platform.Item, uint64, error)
	Commit(conditions []platform.Condition, writes []platform.Write, deletes []string) (uint64, error)
}

// Target is what this node knows of a target, its own or that of a linked node.
type Target struct {
	Node    string
	Service string
	Version string
	Own     bool // whether it is the target on this host
	Serving bool
	Busy    int // calls that hold or wait for a slot
	Counts  []evaluator.Count
}

// Mesh is this node's view of the nodes and its means to tell them something. Its methods must not block.
type Mesh interface {
	// Targets returns the targets whose nodes are linked, and the one on this host.
	Targets() []Target
	// ReaderRank returns whether this node reads the store, and the number of other readers that go before it.
	ReaderRank() (rank int, reads bool)
	// Announce sends this node's state to all linked nodes.
	Announce()
	// AnnounceToReaders sends it to those that read the store.
	AnnounceToReaders()
	// AnnounceInDomain sends it to a few nodes of the failure domain.
	AnnounceInDomain()
	// Bar refuses further calls of the target on this host for a reason, or ends that if the reason is "".
	Bar(reason string)
	// LongestTimeout returns the longest time limit of a request to a service.
	LongestTimeout(service string) time.Duration
	// Known reports whether the configuration has a service. It is true while there is no configuration.
	Known(service string) bool
}

// Meter records measurements.
type Meter interface {
	Add(name string, n int64)
	Gauge(name string, value float64)
}

// Releaser carries out orders.
type Releaser struct {
	Log      *zap.Logger
	Meter    Meter
	Store    Store
	Mesh     Mesh
	Registry *exposer.Registry
	Now      func() time.Time // nil for time.Now

	mu         sync.Mutex
	rollouts   map[string]*rollout // open ones, by service
	lastCounts time.Time           // time at which counts of the target were last sent
	sentCounts []evaluator.Count
	lastIdle   time.Time // time of the last step; only the deciding goroutine uses it
	wake       chan struct{}
	written    map[string]*view // what is known of the store; only the writing goroutine uses it
	reload     bool             // whether written is to be forgotten
}

// rollout is the state of one order at this node.
type rollout struct {
	order       uint64
	evaluator   evaluator.Evaluator
	promotingAt time.Time     // time at which this node learned that the version is promoting
	idleAt      time.Time     // time since which the old targets have had no request; zero if they have some
	logged      exposer.Phase // phase that was logged last
	wanted      exposer.Phase // phase that this node wants to write, or 0
	wantedAt    time.Time
	forced      bool // whether the keys are to be read and written although the phase is known to be in the store
	decision    evaluator.Decision
	seen        map[string]struct{} // nodes whose targets this node has seen since it knows the order
}

// Start runs the releaser until the clean-up function is called.
func (r *Releaser) Start() func() {
	stop := make(chan struct{})
	r.wake = make(chan struct{}, 1)
	go r.decideLoop(stop)
	go r.writeLoop(stop)
	return func() { close(stop) }
}

func (r *Releaser) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

func (r *Releaser) decideLoop(stop <-chan struct{}) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			r.Step(now)
		}
	}
}

// ReceiveOrder adds an order that was written to the store at most maxAge ago.
func (r *Releaser) ReceiveOrder(item platform.Item, maxAge time.Duration) {
	r.addOrder(&item, 0, maxAge, r.now())
}

// LoadRollouts adds all orders in the store and the nodes' records of them. Those that this node does not know were
// written at most maxAge ago, unless that is 0: then it is not known when. Other nodes that know an order announce the
// time that remains.
func (r *Releaser) LoadRollouts(orders, records []platform.Item, maxAge time.Duration) {
	now := r.now()
	byKey := make(map[string]record, len(records))
	for i := range records {
		decoded, err := decodeRecord(records[i].Value)
		if err != nil {
			r.Log.Warn("rollout: invalid record ignored", zap.String("key", records[i].Key), recorder.Err(err))
			continue
		}
		byKey[records[i].Key] = decoded
	}
	for i := range orders {
		phase := exposer.Phase(0)
		own := byKey[platform.KeyRolloutRecord(platform.RolloutService(orders[i].Key))]
		if platform.SameRevision(own.Order, orders[i].Revision) {
			phase = own.Phase
			orders[i].Revision = own.Order // also if it was read in a later era, which does not make it a later order
		}
		r.addOrder(&orders[i], phase, maxAge, now)
	}
}

// addOrder adds an order with its newest phase in the store, or 0. An odd order is logged, counted and ignored.
func (r *Releaser) addOrder(item *platform.Item, phase exposer.Phase, maxAge time.Duration, now time.Time) {
	order, err := platform.DecodeRolloutOrder(item)
	if err != nil {
		r.Log.Warn("rollout: odd order ignored", zap.String("key", item.Key), recorder.Err(err))
		r.Meter.Add("rollout_odd_orders", 1)
		return
	}
	if !r.Mesh.Known(order.Service) {
		r.Log.Warn("rollout: order for an unknown service ignored", zap.String("service", order.Service))
		r.Meter.Add("rollout_odd_orders", 1)
		return
	}
	if known, ok := r.Registry.Rollout(order.Service, now); ok && known.Order == order.Number {
		maxAge = 0 // another node has announced the time that remains
	}
	remaining := order.Duration - min(maxAge, time.Duration(maxAgeShare*float64(order.Duration)))
	if !r.Registry.AddOrder(order, phase, remaining, now) {
		return
	}
	r.Meter.Add("rollout_orders", 1)
	r.Log.Info("rollout: order received",
		zap.String("service", order.Service),
		zap.String("version", order.Version),
		zap.Uint64("order", order.Number),
		zap.Duration("duration", order.Duration),
		zap.String("phase", phase.String()))
	r.Mesh.Announce()
}

// ReceiveRollouts adds the rollouts that another node announces.
func (r *Releaser) ReceiveRollouts(rollouts []exposer.Rollout) {
	changed := false
	now := r.now()
	for i := range rollouts {
		changed = r.Registry.Merge(&rollouts[i], now) || changed
	}
	if changed {
		r.Mesh.AnnounceInDomain()
	}
}

// Reload makes the releaser read the keys of all open rollouts again and write them where they are behind. It is
// to be called when the store may have lost its latest changes.
func (r *Releaser) Reload() {
	r.mu.Lock()
	r.reload = true
	r.mu.Unlock()
	r.wakeWriter()
}

// Step makes the decisions that are due.
func (r *Releaser) Step(now time.Time) {
	if r.Registry.Empty() && now.Sub(r.lastIdle) < idleInterval {
		return
	}
	r.lastIdle = now
	targets := byService(r.Mesh.Targets())
	for service, group := range targets {
		r.Registry.Observe(service, versionsOf(group), now)
	}
	for _, expired := range r.Registry.Expire(now) {
		r.Log.Info("rollout: no longer in effect", zap.String("service", expired.Service), zap.String("version", expired.Version))
	}
	rollouts := r.Registry.Rollouts(now)
	r.Meter.Gauge("rollouts_known", float64(len(rollouts)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(rollouts) == 0 {
		r.rollouts = nil
		r.Mesh.Bar("")
		return
	}
	own := ""
	open := make(map[string]*rollout, len(rollouts))
	for i := range rollouts {
		known := &rollouts[i]
		state := r.rollouts[known.Service]
		if state == nil || state.order != known.Order {
			state = &rollout{order: known.Order}
		}
		open[known.Service] = state
		r.decide(known, state, targets[known.Service], now)
		if reason := barReason(known, targets[known.Service]); reason != "" {
			own = reason
		}
	}
	r.rollouts = open
	r.Mesh.Bar(own)
	r.sendCounts(targets, now)
}

// byService returns the targets by service.
func byService(targets []Target) map[string][]Target {
	groups := make(map[string][]Target)
	for i := range targets {
		groups[targets[i].Service] = append(groups[targets[i].Service], targets[i])
	}
	return groups
}

// versionsOf returns the versions of the targets that serve.
func versionsOf(targets []Target) []exposer.Target {
	serving := make([]exposer.Target, 0, len(targets))
	for i := range targets {
		if targets[i].Serving {
			serving = append(serving, exposer.Target{Node: targets[i].Node, Version: targets[i].Version})
		}
	}
	return serving
}

// barReason returns why the target on this host gets no calls according to a rollout of its service, or "". The
// decision of its node also holds for calls of nodes that do not know the phase.
func barReason(known *exposer.Rollout, targets []Target) string {
	replaced, own := false, (*Target)(nil)
	for i := range targets {
		target := &targets[i]
		if target.Own {
			own = target
		}
		replaced = replaced || target.Serving && target.Version == known.Version
	}
	switch {
	case own == nil:
	case known.Phase == exposer.RolledBack && own.Version == known.Version:
		return reasonRolledBack
	case (known.Phase == exposer.Promoting || known.Phase == exposer.Completed) && own.Version != known.Version && replaced:
		return reasonReplaced
	}
	return ""
}

// sendCounts sends the counts of the target on this host to the readers of the store if they have changed.
func (r *Releaser) sendCounts(targets map[string][]Target, now time.Time) {
	if now.Sub(r.lastCounts) < countsInterval {
		return
	}
	for _, group := range targets {
		for i := range group {
			if !group[i].Own || equalCounts(group[i].Counts, r.sentCounts) {
				continue
			}
			r.sentCounts, r.lastCounts = group[i].Counts, now
			r.Mesh.AnnounceToReaders()
			return
		}
	}
}

func equalCounts(a, b []evaluator.Count) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
