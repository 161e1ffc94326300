// Package finder keeps this node's entry in the platform's store and follows what the
// store says of other nodes and of the configuration.
package finder

import (
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/platform"
)

const (
	leaseTime    = 10 * time.Second
	keepInterval = 3 * time.Second
	watchWait    = 2 * time.Second        // a watch that fell silent is noticed this late, and one second
	endLimit     = 300 * time.Millisecond // for removing the own entry; it lapses otherwise
	firstPause   = 100 * time.Millisecond // after a failed call; doubles
	longPause    = time.Second
)

// Store is the platform's store.
type Store interface {
	Get(key string) (platform.Item, uint64, error)
	Range(prefix string) ([]platform.Item, uint64, error)
	Watch(prefix string, after uint64, wait time.Duration) ([]platform.Item, uint64, error)
	Commit(conditions []platform.Condition, writes []platform.Write, deletes []string) (uint64, error)
	Grant(ttl time.Duration) (uint64, time.Duration, error)
	Keep(lease uint64) error
	End(lease uint64) error
}

// Sink takes in what the store says. Its methods must not block.
type Sink interface {
	// Config takes the operator's configuration.
	Config(text []byte)
	// Joined takes the entry of a node.
	Joined(peer carrier.Peer)
	// Lapsed takes that the entry of a node is gone.
	Lapsed(node string)
}

// Finder is this node's side of the store.
type Finder struct {
	Log   *zap.Logger
	Store Store
	Self  carrier.Peer
	Sink  Sink

	stop    chan struct{}
	lost    chan struct{} // signals that the own entry is gone
	ended   chan struct{}
	lease   uint64
	seen    map[string]bool // nodes with an entry
	healthy bool
}

// Start follows the store until the clean-up function is called, which removes the own
// entry.
func (f *Finder) Start() func() {
	f.stop = make(chan struct{})
	f.lost = make(chan struct{}, 1)
	f.ended = make(chan struct{})
	f.seen = make(map[string]bool)
	go f.follow()
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
	return pause/2 + rand.N(pause)
}

// follow reads everything once and then waits for changes.
func (f *Finder) follow() {
	var revision uint64
	synced := false
	pause := firstPause
	for {
		var err error
		if !synced {
			revision, err = f.read()
			synced = err == nil
		} else {
			revision, err = f.watch(revision)
		}
		f.judge(err)
		if err == nil {
			pause = firstPause
			select {
			case <-f.stop:
				return
			default:
				continue
			}
		}
		if errors.Is(err, platform.ErrForgotten) {
			synced = false
			continue
		}
		if !f.sleep(spread(pause)) {
			return
		}
		pause = min(2*pause, longPause)
	}
}

// judge logs when the store is lost or back.
func (f *Finder) judge(err error) {
	if healthy := err == nil; healthy != f.healthy {
		f.healthy = healthy
		if healthy {
			f.Log.Info("store: reached")
		} else {
			f.Log.Warn("store: call failed", zap.Error(err))
		}
	}
}

// read takes in all nodes and the configuration. It returns the revision to watch from.
func (f *Finder) read() (uint64, error) {
	items, revision, err := f.Store.Range(platform.PrefixNodes)
	if err != nil {
		return 0, err
	}
	found := make(map[string]bool, len(items))
	for i := range items {
		found[f.entry(&items[i])] = true
	}
	for node := range f.seen {
		if !found[node] {
			f.lapse(node)
		}
	}
	config, _, err := f.Store.Get(platform.KeyConfig)
	if errors.Is(err, platform.ErrMissing) {
		return revision, nil
	}
	if err != nil {
		return 0, err
	}
	f.Sink.Config(config.Value)
	return revision, nil
}

// watch waits for changes after a revision and returns the one to go on from.
func (f *Finder) watch(revision uint64) (uint64, error) {
	events, next, err := f.Store.Watch("", revision, watchWait)
	if err != nil {
		return revision, err
	}
	for i := range events {
		switch event := &events[i]; {
		case event.Key == platform.KeyConfig && !event.Removed:
			f.Sink.Config(event.Value)
		case !strings.HasPrefix(event.Key, platform.PrefixNodes):
		case event.Removed:
			f.lapse(strings.TrimPrefix(event.Key, platform.PrefixNodes))
		default:
			f.entry(event)
		}
	}
	return max(next, revision), nil
}

// entry takes in one node's entry and returns its name.
func (f *Finder) entry(item *platform.Item) string {
	node := strings.TrimPrefix(item.Key, platform.PrefixNodes)
	var peer carrier.Peer
	if err := cbor.Unmarshal(item.Value, &peer); err != nil || peer.Node != node {
		f.Log.Warn("store: unreadable entry", zap.String("key", item.Key), zap.Error(err))
		return node
	}
	f.seen[node] = true
	f.Sink.Joined(peer)
	return node
}

func (f *Finder) lapse(node string) {
	delete(f.seen, node)
	if node == f.Self.Node {
		select {
		case f.lost <- struct{}{}:
		default: // known already
		}
		return
	}
	f.Sink.Lapsed(node)
}

// register keeps the own entry until the finder stops.
func (f *Finder) register() {
	defer close(f.ended)
	pause := firstPause
	for {
		err := f.enter()
		if err == nil {
			f.Log.Info("store: entry written", zap.String("node", f.Self.Node))
			pause = firstPause
			err = f.keep()
		}
		if err == nil {
			if err := f.Store.End(f.lease); err != nil {
				f.Log.Info("store: entry is left to lapse", zap.Error(err))
			}
			return
		}
		f.Log.Info("store: entry not held", zap.Error(err))
		if !f.sleep(spread(pause)) {
			return
		}
		pause = min(2*pause, longPause)
	}
}

// errOvertaken says that a later start of this node has the entry.
var errOvertaken = merry.Sentinel("entry belongs to a later start of this node")

// enter writes the own entry under a new lease, on the condition that no later start of
// this node wrote it.
func (f *Finder) enter() error {
	key := platform.PrefixNodes + f.Self.Node
	item, _, err := f.Store.Get(key)
	if err != nil && !errors.Is(err, platform.ErrMissing) {
		return err
	}
	var peer carrier.Peer
	if err == nil && cbor.Unmarshal(item.Value, &peer) == nil && peer.Started > f.Self.Started {
		return errOvertaken
	}
	value, err := cbor.Marshal(&f.Self)
	if err != nil {
		return merry.Prepend(err, "encode entry")
	}
	lease, _, err := f.Store.Grant(leaseTime)
	if err != nil {
		return err
	}
	condition := platform.Condition{Key: key, Revision: item.Revision}
	write := platform.Write{Key: key, Value: value, Lease: lease}
	if _, err := f.Store.Commit([]platform.Condition{condition}, []platform.Write{write}, nil); err != nil {
		return err
	}
	f.lease = lease
	return nil
}

// keep renews the lease. It returns nil when the finder stops, and an error when the entry
// may be gone.
func (f *Finder) keep() error {
	for {
		timer := time.NewTimer(spread(keepInterval))
		select {
		case <-f.stop:
			timer.Stop()
			return nil
		case <-f.lost:
			timer.Stop()
			return merry.New("entry removed")
		case <-timer.C:
		}
		err := f.Store.Keep(f.lease)
		if errors.Is(err, platform.ErrMissing) {
			return err
		}
		if err != nil {
			f.Log.Info("store: lease not renewed", zap.Error(err))
		}
	}
}
