// Package reader watches the head in the platform's store on behalf of a zone. A
// lease bounds how many machines of a zone do so; safety does not rest on it.
package reader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/store/keeper"
)

const (
	leasePrefix = "readers/"
	leaseTime   = 6 * time.Second
	renewTime   = 2 * time.Second
	checkTime   = 200 * time.Millisecond // between looks at whether the node is eligible
	settleTime  = time.Second            // of being eligible before a lease is tried; nodes that start may be wrong
	heldPause   = 3 * time.Second        // before a lease held by another is tried again
	minBackoff  = 250 * time.Millisecond
	maxBackoff  = 5 * time.Second
	watchTime   = 25 * time.Second
)

// Store is what a reader needs of the platform's store.
type Store interface {
	approver.Store
	Lease(ctx context.Context, key, holder string, value []byte, ttl time.Duration) (keeper.Lease, error)
	Watch(ctx context.Context, key string, revision uint64) (keeper.Entry, error)
}

// Node is what a reader needs of its node.
type Node interface {
	ReaderSlot() (slot int, eligible bool)
	Current() (approver.Head, indexer.Index)
	VersionRead(head approver.Head, index indexer.Index)
}

// Seed is what the holder of a reader lease tells starting nodes.
type Seed struct {
	Name    string `json:"name"`
	Control string `json:"control"`
}

// Reader takes the lease of its zone while the node is eligible, and watches.
type Reader struct {
	Store Store
	Node  Node
	Host  messenger.Host
	Log   *zap.Logger

	holding atomic.Bool
	wake    chan struct{}
}

// New starts a reader. The clean-up function stops it.
func New(store Store, node Node, machine messenger.Host, log *zap.Logger) (*Reader, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{Store: store, Node: node, Host: machine, Log: log, wake: make(chan struct{}, 1)}
	var tasks sync.WaitGroup
	tasks.Go(func() { r.keepLease(ctx) })
	tasks.Go(func() { r.watch(ctx) })
	return r, func() {
		cancel()
		tasks.Wait()
	}
}

// HoldsLease reports whether the node holds a reader lease, as far as it knows.
func (r *Reader) HoldsLease() bool { return r.holding.Load() }

func (r *Reader) keepLease(ctx context.Context) {
	var since time.Time // of being eligible
	for ctx.Err() == nil {
		pause := checkTime
		slot, eligible := r.Node.ReaderSlot()
		switch {
		case !eligible:
			r.holding.Store(false)
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= settleTime:
			pause = r.tryLease(ctx, slot)
		}
		sleep(ctx, pause)
	}
}

func (r *Reader) tryLease(ctx context.Context, slot int) time.Duration {
	value, err := json.Marshal(Seed{Name: r.Host.Name, Control: r.Host.Control})
	if err != nil {
		panic(err) // plain data always encodes
	}
	key := fmt.Sprintf("%s%s/%d", leasePrefix, r.Host.FailureDomain, slot)
	limited, cancel := context.WithTimeout(ctx, renewTime)
	defer cancel()
	_, err = r.Store.Lease(limited, key, r.Host.Name, value, leaseTime)
	held := err == nil
	if held != r.holding.Swap(held) {
		r.Log.Info("reader: lease changed", zap.String("key", key), zap.Bool("held", held))
	}
	if held {
		select {
		case r.wake <- struct{}{}:
		default:
		}
		return renewTime
	}
	if errors.Is(err, keeper.ErrLeaseHeld) {
		return heldPause
	}
	return renewTime
}

// watch reads every new head while the lease is held.
func (r *Reader) watch(ctx context.Context) {
	revision := uint64(0)
	backoff := minBackoff
	for ctx.Err() == nil {
		if !r.holding.Load() {
			r.await(ctx)
			continue
		}
		next, err := r.follow(ctx, revision)
		switch {
		case err == nil:
			revision = next
			backoff = minBackoff
		case errors.Is(err, context.DeadlineExceeded):
			backoff = minBackoff
		default:
			r.Log.Warn("reader: store failed", zap.String("error", err.Error()))
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// follow waits for one change of the head and hands it to the node. It returns
// the revision of the head read.
func (r *Reader) follow(ctx context.Context, revision uint64) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	entry, err := r.Store.Watch(limited, approver.HeadKey, revision)
	if err != nil {
		return 0, err
	}
	head, err := approver.DecodeHead(entry.Value)
	if err != nil {
		return 0, err
	}
	current, index := r.Node.Current()
	if head.Version <= current.Version {
		return entry.Revision, nil
	}
	source := approver.Approver{Store: r.Store}
	fresh, err := source.Load(ctx, head.Root, index)
	if err != nil {
		return 0, merry.Prependf(err, "load version %d", head.Version)
	}
	r.Node.VersionRead(head, fresh)
	return entry.Revision, nil
}

func (r *Reader) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.wake:
	}
}

// Seeds returns the control addresses of the machines that hold reader leases.
func Seeds(ctx context.Context, store approver.Store, self string) ([]string, error) {
	entries, err := store.List(ctx, leasePrefix)
	if err != nil {
		return nil, merry.Prepend(err, "read seeds")
	}
	var addresses []string
	for _, entry := range entries {
		var seed Seed
		if err := json.Unmarshal(entry.Value, &seed); err != nil {
			continue // not written by a reader
		}
		if seed.Name != self {
			addresses = append(addresses, seed.Control)
		}
	}
	return addresses, nil
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
