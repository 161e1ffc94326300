// Package finder registers this node in the platform's store, and reads the entries of other
// nodes and the operator's configuration from there.
package finder

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/platform"
)

const (
	leaseTTL      = 60 * time.Second
	renewInterval = 18 * time.Second // mean interval between lease renewals

	firstListInterval  = 300 * time.Millisecond // first interval between listings
	listIntervalGrowth = 3                      // factor between two intervals
	maxListInterval    = 25 * time.Second

	// maxListingAge is the age up to which a listing may be stale. An entry written later need not be
	// in it.
	maxListingAge = 5 * time.Second

	minBackoff = 100 * time.Millisecond // first pause after a failed call; then doubles
	maxBackoff = time.Second

	// watchWait is the duration of one watch call. While a call hangs, changes still arrive from
	// readers in other failure domains.
	watchWait = 3 * time.Second

	// roleInterval is the time between two checks whether this node should read the store.
	roleInterval = 100 * time.Millisecond

	// startupWait is the time for links to come up and for peers to send their configuration
	// after the start.
	startupWait = 400 * time.Millisecond

	// stopTimeout is the time limit for removing the entry. After it the entry expires with its
	// lease.
	stopTimeout = 300 * time.Millisecond

	// readersPerDomain is the number of nodes in a failure domain that read the store.
	readersPerDomain = 1

	// readerTimeout is the time without a frame from a peer after which it no longer counts as a
	// reader.
	readerTimeout = 1300 * time.Millisecond

	// takeoverDelay is the time without a reader after which the node of the second rank starts
	// to read. It is multiplied by the number of higher-ranked nodes.
	takeoverDelay = 300 * time.Millisecond

	// unprovenBackoff is the maximum pause after a failed call while requests with a key are refused for lack
	// of a proof, multiplied by the rank of the node in its failure domain, from 1. It bounds the time for
	// which they are still refused when the store is back.
	unprovenBackoff = 200 * time.Millisecond

	// minRewriteSpread is the minimum time over which all nodes write their entries again after the store was
	// restored, at a random moment each, and rewriteInterval the time per node. A node grants a lease and
	// writes its entry, so with the interval all nodes take a sixth of the writes that the store serves.
	minRewriteSpread = 1500 * time.Millisecond
	rewriteInterval  = 10 * time.Millisecond

	// substituteTime is the time for which a node reads the store once its peers have failed to keep its
	// proof young. It keeps the node from changing its role with every proof.
	substituteTime = 10 * time.Second
)

// Store is the platform's store.
type Store interface {
	Get(key string) (platform.Item, uint64, error)
	Range(prefix string) ([]platform.Item, error)
	Watch(prefix string, after uint64, wait time.Duration) ([]platform.Item, uint64, error)
	Commit(conditions []platform.Condition, writes []platform.Write, deletes []string) (uint64, error)
	GrantLease(ttl time.Duration) (uint64, time.Duration, error)
	RangeCurrent(prefix string) ([]platform.Item, error)
	RenewLease(lease uint64) error
	RevokeLease(lease uint64) error
}

// Sink receives what the finder reads from the store. Its methods must not block.
type Sink interface {
	// ReceiveConfig receives the operator's configuration. It returns its version, and whether it is valid;
	// an invalid one is never activated.
	ReceiveConfig(text []byte) (version uint64, valid bool)
	// ProveVersion receives the fact that the newest configuration in the store at a time of the Prover's
	// clock, or later, was of the given version. The configuration was passed to ReceiveConfig before.
	ProveVersion(at time.Duration, version uint64)
	// AddPeers receives the entries of all nodes.
	AddPeers(peers []carrier.Peer)
	// Version returns the version of the active configuration, or 0 if there is none.
	Version() uint64
}

// Prover knows the age of this node's proof that its configuration is the newest one, see prover.Prover.
type Prover interface {
	Now() time.Duration
	Required() bool
	Fresh() bool
	Watch() time.Duration
	WantsRead(delay time.Duration) bool
}

// Rollouts receives what the finder reads of rollouts. Its methods must not block.
type Rollouts interface {
	// LoadRollouts receives all orders and the nodes' records of them. Orders that the node does not know were
	// written at most maxAge ago, unless that is 0: then it is not known when.
	LoadRollouts(orders, records []platform.Item, maxAge time.Duration)
	// ReceiveOrder receives an order that was written at most maxAge ago.
	ReceiveOrder(order platform.Item, maxAge time.Duration)
}

// Finder registers this node in the store and reads peers and the configuration from it.
type Finder struct {
	Log   *zap.Logger
	Store Store
	Self  carrier.Peer
	Sink  Sink
	Hub   *carrier.Hub

	Prover   Prover   // nil if nodes keep no proofs
	Rollouts Rollouts // nil if orders are not read

	stop           chan struct{}
	entryMissing   chan struct{}             // signals that a listing did not contain this node's entry
	eraChanged     chan struct{}             // signals that the store was restored from an older copy
	rewriteSpread  atomic.Int64              // time over which all nodes write their entries again, as a time.Duration
	entryDone      chan struct{}             // closed when maintainEntry has returned
	lease          uint64                    // lease of this node's entry
	unusedLease    uint64                    // granted lease that no key is bound to, or 0
	entryMayExist  bool                      // this node's entry exists or may exist
	unowned        bool                      // this process has not written the entry since the store was restored
	entryWritten   atomic.Pointer[time.Time] // time of the last successful write of this node's entry
	connected      atomic.Bool               // this node is a reader and its last call to the store succeeded
	lastContact    time.Time                 // end of the last successful call of followConfig
	isReader       bool
	domain         map[carrier.Peer]bool // memory for the responding peers of the failure domain
	lastReaderSeen time.Time             // last time that a peer in the failure domain read the store
	rank           int                   // number of responding peers of the failure domain that outrank this node
	readUntil      time.Time             // time until which the node reads the store for lack of a proof
	newest         uint64                // version of the newest configuration read from the store
	newestValid    bool                  // whether that configuration is valid
}

// Start runs the finder until the clean-up function is called, which also removes this
// node's entry.
func (f *Finder) Start() func() {
	f.stop = make(chan struct{})
	f.entryMissing = make(chan struct{}, 1)
	f.eraChanged = make(chan struct{}, 1)
	f.entryDone = make(chan struct{})
	go f.followConfig()
	go f.pollEntries()
	go f.maintainEntry()
	return func() {
		close(f.stop)
		timer := time.NewTimer(stopTimeout)
		defer timer.Stop()
		select {
		case <-f.entryDone:
		case <-timer.C:
			f.Log.Info("store: timeout while removing the entry; it expires with its lease")
		}
	}
}

// EraChanged makes the finder write this node's entry again, since the store was restored from an older copy.
// nodes is the number of nodes, all of which do so.
func (f *Finder) EraChanged(nodes int) {
	f.rewriteSpread.Store(int64(max(minRewriteSpread, time.Duration(nodes)*rewriteInterval)))
	select {
	case f.eraChanged <- struct{}{}:
	default: // signaled already
	}
}

// sleep waits for a duration. It returns false at once when the finder stops.
func (f *Finder) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-f.stop:
		return false
	case <-timer.C:
		return true
	}
}

// jitter returns a random duration between half and one and a half times the mean, so that
// nodes do not call the store at the same time.
func jitter(mean time.Duration) time.Duration {
	if mean == 0 {
		return 0
	}
	return mean/2 + rand.N(mean)
}

// Connected reports whether this node reads the store and its last call succeeded.
func (f *Finder) Connected() bool { return f.connected.Load() }

// ShouldRead reports whether a node should read the configuration from the store. In each
// failure domain, the node with the highest rank does. While no node there reads the store
// successfully, the others start to read as well, one after the other in the order of their
// rank. peers are the other nodes of the failure domain that respond, with whether they read
// the store; withoutReader is the time for which none of them has read it.
//
// This bounds the load on the store when a version changes, since not all nodes read it at
// once, and while the store is unavailable, since not all nodes retry. The takeover covers
// nodes that lose the connection to the node that reads for them.
func ShouldRead(self carrier.Peer, peers map[carrier.Peer]bool, withoutReader time.Duration) bool {
	higherRanked := 0
	hasReader := false
	for peer, reads := range peers {
		if peer.Outranks(&self) {
			higherRanked++
		}
		hasReader = hasReader || reads
	}
	if higherRanked < readersPerDomain {
		return true
	}
	return !hasReader && withoutReader >= time.Duration(higherRanked)*takeoverDelay
}

// updateRole decides whether this node currently reads the store, and logs changes of that
// role.
func (f *Finder) updateRole() bool {
	now := time.Now()
	if f.domain == nil {
		f.domain = make(map[carrier.Peer]bool)
	}
	peers := f.domain
	clear(peers)
	for _, l := range f.Hub.Links() {
		if l.Peer.FailureDomain == f.Self.FailureDomain && l.SinceLastFrame(now) < readerTimeout {
			state, _, _, _ := l.State()
			peers[l.Peer] = state.ReadsStore
			if state.ReadsStore {
				f.lastReaderSeen = now
			}
		}
	}
	f.rank = 0
	for peer := range peers {
		if peer.Outranks(&f.Self) {
			f.rank++
		}
	}
	isReader := ShouldRead(f.Self, peers, now.Sub(f.lastReaderSeen)) || f.readsForProof(now)
	if isReader != f.isReader {
		f.isReader = isReader
		f.Log.Info("store: role changed", zap.Bool("reader", isReader), zap.Int("peers", len(peers)))
	}
	return isReader
}

// readsForProof reports whether this node reads the store although others should read it for the node, since
// they have not kept its proof young. The nodes of a failure domain start to do so one after the other.
func (f *Finder) readsForProof(now time.Time) bool {
	if f.Prover == nil {
		return false
	}
	if f.Prover.WantsRead(time.Duration(f.rank) * takeoverDelay) {
		f.readUntil = now.Add(substituteTime)
	}
	return now.Before(f.readUntil)
}

// waitForPeers waits after the start until a peer has sent its configuration, or long enough
// for links to show which peers read the store. It returns false when the finder stops.
func (f *Finder) waitForPeers() bool {
	for began := time.Now(); time.Since(began) < startupWait; {
		if !f.sleep(roleInterval) {
			return false
		}
		if f.Sink.Version() > 0 {
			break
		}
	}
	f.lastReaderSeen = time.Now()
	return true
}

// followConfig reads the configuration and watches it for changes while this node is a
// reader.
func (f *Finder) followConfig() {
	var revision uint64
	synced := false // whether the changes after revision can be watched
	watched := true // false from a watch that lacked the history until the next successful one
	backoff := minBackoff
	if !f.waitForPeers() {
		return
	}
	for {
		if !f.updateRole() {
			synced = false
			f.connected.Store(false)
			f.lastContact = time.Time{} // others read the orders for this node meanwhile
			if !f.sleep(roleInterval) {
				return
			}
			continue
		}
		var err error
		started := f.proofTime()
		if !synced {
			revision, err = f.readConfig()
			synced = err == nil
		} else {
			revision, err = f.watchConfig(revision)
			synced = err == nil || !f.proofRequired() // a read gives a proof at once
			watched = watched || err == nil
		}
		f.updateConnected(err)
		f.prove(started, err)
		if errors.Is(err, platform.ErrCompacted) {
			synced = false
			if watched {
				watched = false
				continue
			}
		}
		if err == nil {
			backoff = 0
		}
		if !f.sleep(jitter(backoff)) {
			return
		}
		backoff = min(max(2*backoff, minBackoff), f.maxBackoff())
	}
}

// proofTime returns the current time of the prover's clock, or 0 if there is no prover.
func (f *Finder) proofTime() time.Duration {
	if f.Prover == nil {
		return 0
	}
	return f.Prover.Now()
}

func (f *Finder) proofRequired() bool { return f.Prover != nil && f.Prover.Required() }

// prove passes on what a call to the store has proved that was started at a time and ended with an error or
// nil. An invalid configuration is newer than the active one, which it does not replace.
func (f *Finder) prove(started time.Duration, err error) {
	if err == nil && f.Prover != nil && f.newestValid {
		f.Sink.ProveVersion(started, f.newest)
	}
}

// maxBackoff returns the maximum pause after a failed call.
func (f *Finder) maxBackoff() time.Duration {
	if f.proofRequired() && !f.Prover.Fresh() {
		return min(time.Duration(f.rank+1)*unprovenBackoff, maxBackoff)
	}
	return maxBackoff
}

// sinceContact returns how long ago changes may have been made that the last successful call has returned: 0 if the
// call before it succeeded as well, since a watch returns a change at once, or if this node has begun to read.
func (f *Finder) sinceContact() time.Duration {
	if f.connected.Load() || f.lastContact.IsZero() {
		return 0
	}
	return time.Since(f.lastContact)
}

// updateConnected records whether the last call to the store succeeded, and logs changes.
func (f *Finder) updateConnected(err error) {
	if err == nil {
		f.lastContact = time.Now()
	}
	if connected := err == nil; connected != f.connected.Load() {
		f.connected.Store(connected)
		if connected {
			f.Log.Info("store: connected")
		} else {
			f.Log.Warn("store: call failed", recorder.Err(err))
		}
	}
}

// readConfig reads the configuration and the rollouts and passes them to their sinks. It returns the revision after
// which to watch for changes.
func (f *Finder) readConfig() (uint64, error) {
	config, revision, err := f.Store.Get(platform.KeyConfig)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	found := err == nil
	orders, records, err := f.readRollouts()
	if found {
		f.newest, f.newestValid = f.Sink.ReceiveConfig(config.Value) // requests are served from now on, so the rollouts follow at once
	} else {
		f.newest, f.newestValid = 0, true
	}
	if err == nil && len(orders) > 0 {
		f.Rollouts.LoadRollouts(orders, records, f.sinceContact())
	}
	return revision, err
}

// readRollouts reads the orders and, if there are any, the nodes' records of them. Orders that are written after
// the preceding read of the configuration are received again by the watch.
func (f *Finder) readRollouts() (orders, records []platform.Item, err error) {
	if f.Rollouts == nil {
		return nil, nil, nil
	}
	orders, err = f.Store.RangeCurrent(platform.PrefixRolloutOrders)
	if err != nil || len(orders) == 0 {
		return nil, nil, err
	}
	records, err = f.Store.RangeCurrent(platform.PrefixRolloutRecords)
	return orders, records, err
}

// watchConfig waits for changes of the configuration and of orders after a revision and passes the newest
// configuration and the orders to their sinks. It returns the revision after which to watch next.
func (f *Finder) watchConfig(revision uint64) (uint64, error) {
	wait := watchWait
	if f.proofRequired() || (f.Prover != nil && f.Sink.Version() < f.newest) {
		wait = min(f.Prover.Watch(), watchWait) // also if the version that was just read may require proofs
	}
	prefix := platform.KeyConfig
	if f.Rollouts != nil {
		prefix = platform.PrefixOperator // one call for the configuration and the orders
	}
	events, next, err := f.Store.Watch(prefix, revision, wait)
	if err != nil {
		return revision, err
	}
	for i := len(events) - 1; i >= 0; i-- {
		if event := &events[i]; event.Key == platform.KeyConfig && !event.Removed {
			f.newest, f.newestValid = f.Sink.ReceiveConfig(event.Value)
			break
		}
	}
	for i := range events {
		if f.Rollouts != nil && platform.IsRolloutOrder(events[i].Key) && !events[i].Removed {
			f.Rollouts.ReceiveOrder(events[i], f.sinceContact())
		}
	}
	return max(next, revision), nil
}

// pollEntries lists the entries of all nodes periodically: often at first, because other
// nodes may be starting at the same time, and rarely later.
func (f *Finder) pollEntries() {
	interval := firstListInterval
	for {
		asked := time.Now()
		items, err := f.Store.Range(platform.PrefixNodes)
		if err == nil {
			f.processEntries(items, asked)
		} else {
			f.Log.Info("store: listing entries failed", recorder.Err(err))
		}
		if !f.sleep(jitter(interval)) {
			return
		}
		interval = min(listIntervalGrowth*interval, maxListInterval)
	}
}

// processEntries passes the entries of all nodes to the sink. If this node's own entry is not
// among them although it was written well before the listing was requested, it is written again.
func (f *Finder) processEntries(items []platform.Item, asked time.Time) {
	own := false
	peers := make([]carrier.Peer, 0, len(items))
	for i := range items {
		var peer carrier.Peer
		node := strings.TrimPrefix(items[i].Key, platform.PrefixNodes)
		if err := cbor.Unmarshal(items[i].Value, &peer); err != nil || peer.Node != node {
			f.Log.Warn("store: invalid entry skipped", zap.String("key", items[i].Key), recorder.Err(err))
			continue
		}
		own = own || node == f.Self.Node
		peers = append(peers, peer)
	}
	f.Sink.AddPeers(peers)
	written := f.entryWritten.Load()
	if !own && written != nil && asked.Sub(*written) > maxListingAge {
		select {
		case f.entryMissing <- struct{}{}:
		default: // signaled already
		}
	}
}
