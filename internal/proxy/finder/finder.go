// Package finder keeps this node's entry in the platform's store and follows what the
// store says of other nodes and of the configuration.
package finder

import (
	"errors"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/platform"
)

const (
	leaseTime    = 30 * time.Second
	keepInterval = 9 * time.Second
	listFirst    = 300 * time.Millisecond // between two readings of all entries after the start; doubles
	listInterval = 25 * time.Second       // between two readings of all entries
	watchWait    = 3 * time.Second        // of one watch; other readers cover one that fell silent
	rolePause    = 100 * time.Millisecond // between two looks at whether this node is to follow the store
	endLimit     = 300 * time.Millisecond // for removing the own entry; it lapses otherwise
	firstPause   = 100 * time.Millisecond // after a failed call; doubles
	longPause    = time.Second
	settleTime   = 400 * time.Millisecond  // after the start, for links to come up and peers to send their configuration
	readers      = 1                       // nodes of a failure domain that follow the store
	readerQuiet  = 1300 * time.Millisecond // of silence after which a reader is not relied on
	standInAfter = 300 * time.Millisecond  // without a reader, for each node that goes before, until the next one reads
)

// Store is the platform's store.
type Store interface {
	Get(key string) (platform.Item, uint64, error)
	Range(prefix string) ([]platform.Item, error)
	Watch(prefix string, after uint64, wait time.Duration) ([]platform.Item, uint64, error)
	Commit(conditions []platform.Condition, writes []platform.Write, deletes []string) (uint64, error)
	Grant(ttl time.Duration) (uint64, time.Duration, error)
	Keep(lease uint64) error
	End(lease uint64) error
}

// Sink takes in what the store says. Its methods must not block.
type Sink interface {
	// ReceiveConfig takes the operator's configuration.
	ReceiveConfig(text []byte)
	// AddPeers takes the entries of nodes.
	AddPeers(peers []carrier.Peer)
	// Version returns the version of the configuration in force, or 0.
	Version() uint64
}

// Finder is this node's side of the store.
type Finder struct {
	Log   *zap.Logger
	Store Store
	Self  carrier.Peer
	Sink  Sink
	Hub   *carrier.Hub

	stop    chan struct{}
	lost    chan struct{} // signals that the own entry is gone
	ended   chan struct{}
	lease   uint64
	unused  uint64 // lease that was granted and holds no key, or 0
	entered bool   // the own entry may be there
	healthy atomic.Bool
	reads   bool
	heard   time.Time // last time that a peer followed the store
}

// Start follows the store until the clean-up function is called, which removes the own
// entry.
func (f *Finder) Start() func() {
	f.stop = make(chan struct{})
	f.lost = make(chan struct{}, 1)
	f.ended = make(chan struct{})
	go f.follow()
	go f.list()
	go f.register()
	return func() {
		close(f.stop)
		timer := time.NewTimer(endLimit)
		defer timer.Stop()
		select {
		case <-f.ended:
		case <-timer.C:
			f.Log.Info("store: entry is left to lapse")
		}
	}
}

// sleep waits and reports whether the finder goes on.
func (f *Finder) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-f.stop:
		return false
	case <-timer.C:
		return true
	}
}

// spread draws a pause around a mean, so that nodes do not call in step.
func spread(pause time.Duration) time.Duration {
	if pause == 0 {
		return 0
	}
	return pause/2 + rand.N(pause)
}

// Connected reports whether this node follows the store and has heard from it lately.
func (f *Finder) Connected() bool { return f.healthy.Load() }

// ShouldRead decides whether a node follows the store: the strongest of its failure domain does.
// While nobody there has heard from the store, the others join in one after the other. peers
// are the nodes of the failure domain that it hears, with whether they follow the store;
// alone is how long none of them has.
//
// It answers the pattern in which each change is read by every node at once, the one in
// which a node is cut off from those that read for it, and the one in which the store is
// away and every node would ask it again and again.
func ShouldRead(self carrier.Peer, peers map[carrier.Peer]bool, alone time.Duration) bool {
	before := 0
	fresh := false
	for peer, reads := range peers {
		if goesBefore(peer, self) {
			before++
		}
		fresh = fresh || reads
	}
	if before < readers {
		return true
	}
	return !fresh && alone >= time.Duration(before)*standInAfter
}

func goesBefore(a, b carrier.Peer) bool {
	if a.MilliCPU != b.MilliCPU {
		return a.MilliCPU > b.MilliCPU
	}
	if hashA, hashB := xxh3.HashString(a.Node), xxh3.HashString(b.Node); hashA != hashB {
		return hashA < hashB
	}
	return a.Node < b.Node
}

// role decides whether this node follows the store at the moment, and logs when that
// changes.
func (f *Finder) role() bool {
	now := time.Now()
	peers := make(map[carrier.Peer]bool)
	for _, l := range f.Hub.Links() {
		if l.Peer.FailureDomain == f.Self.FailureDomain && l.Heard(now) < readerQuiet {
			state, _, _, _ := l.State()
			peers[l.Peer] = state.ReadsStore
			if state.ReadsStore {
				f.heard = now
			}
		}
	}
	reads := ShouldRead(f.Self, peers, now.Sub(f.heard))
	if reads != f.reads {
		f.reads = reads
		f.Log.Info("store: role changed", zap.Bool("reader", reads), zap.Int("peers", len(peers)))
	}
	return reads
}

// settle waits after the start until a peer has sent the configuration and it is known who
// follows the store.
func (f *Finder) settle() bool {
	for began := time.Now(); time.Since(began) < settleTime; {
		if !f.sleep(rolePause) {
			return false
		}
		if f.Sink.Version() > 0 {
			break
		}
	}
	f.heard = time.Now()
	return true
}

// follow reads the configuration and waits for changes while this node is a reader.
func (f *Finder) follow() {
	var revision uint64
	synced := false
	pause := firstPause
	if !f.settle() {
		return
	}
	for {
		if !f.role() {
			synced = false
			f.healthy.Store(false)
			if !f.sleep(rolePause) {
				return
			}
			continue
		}
		var err error
		if !synced {
			revision, err = f.read()
			synced = err == nil
		} else {
			revision, err = f.watch(revision)
		}
		f.judge(err)
		if errors.Is(err, platform.ErrForgotten) {
			synced = false
			continue
		}
		if err == nil {
			pause = 0
		}
		if !f.sleep(spread(pause)) {
			return
		}
		pause = min(max(2*pause, firstPause), longPause)
	}
}

// judge logs when the store is lost or back.
func (f *Finder) judge(err error) {
	if healthy := err == nil; healthy != f.healthy.Load() {
		f.healthy.Store(healthy)
		if healthy {
			f.Log.Info("store: reached")
		} else {
			f.Log.Warn("store: call failed", recorder.Err(err))
		}
	}
}

// read takes in the configuration. It returns the revision to watch from.
func (f *Finder) read() (uint64, error) {
	config, revision, err := f.Store.Get(platform.KeyConfig)
	if errors.Is(err, platform.ErrMissing) {
		return revision, nil
	}
	if err != nil {
		return 0, err
	}
	f.Sink.ReceiveConfig(config.Value)
	return revision, nil
}

// watch waits for changes after a revision and returns the one to go on from. Of several
// versions only the last is taken.
func (f *Finder) watch(revision uint64) (uint64, error) {
	events, next, err := f.Store.Watch(platform.KeyConfig, revision, watchWait)
	if err != nil {
		return revision, err
	}
	for i := len(events) - 1; i >= 0; i-- {
		if event := &events[i]; event.Key == platform.KeyConfig && !event.Removed {
			f.Sink.ReceiveConfig(event.Value)
			break
		}
	}
	return max(next, revision), nil
}

// list reads the entries of all nodes, often at first, while others may be starting too,
// and then now and then.
func (f *Finder) list() {
	pause := listFirst
	for {
		items, err := f.Store.Range(platform.PrefixNodes)
		if err == nil {
			f.entries(items)
		} else {
			f.Log.Info("store: entries not read", recorder.Err(err))
		}
		if !f.sleep(spread(pause)) {
			return
		}
		pause = min(2*pause, listInterval)
	}
}

// entries takes in all entries. A missing own one is written again.
func (f *Finder) entries(items []platform.Item) {
	own := false
	peers := make([]carrier.Peer, 0, len(items))
	for i := range items {
		var peer carrier.Peer
		node := strings.TrimPrefix(items[i].Key, platform.PrefixNodes)
		if err := cbor.Unmarshal(items[i].Value, &peer); err != nil || peer.Node != node {
			f.Log.Warn("store: unreadable entry", zap.String("key", items[i].Key), recorder.Err(err))
			continue
		}
		own = own || node == f.Self.Node
		peers = append(peers, peer)
	}
	f.Sink.AddPeers(peers)
	if !own {
		select {
		case f.lost <- struct{}{}:
		default: // known already
		}
	}
}
