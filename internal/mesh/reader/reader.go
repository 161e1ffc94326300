// Package reader watches the head in the platform's store on behalf of a failure domain. Leases limit
// how many nodes of a failure domain do so; correctness does not depend on them.
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
	leasePrefix              = "readers/"
	leaseTTL                 = 6 * time.Second
	renewInterval            = 2 * time.Second        // interval of renewals, and timeout of each
	eligibilityCheckInterval = 200 * time.Millisecond // interval of checks whether the node is eligible
	eligibilityDelay         = time.Second            // time eligible before a request; starting nodes may misjudge it
	heldRetryInterval        = 3 * time.Second        // delay after another node held the lease
	minBackoff               = 250 * time.Millisecond
	maxBackoff               = 5 * time.Second
	watchTimeout             = 25 * time.Second
)

// Store is the part of the platform's store that a reader uses.
type Store interface {
	approver.Store
	Lease(ctx context.Context, key, holder string, value []byte, ttl time.Duration) (keeper.Lease, error)
	Watch(ctx context.Context, key string, revision uint64) (keeper.Entry, error)
}

// Node is the part of a node that a reader uses.
type Node interface {
	// ReaderSlot returns the number of the lease that the node may request, and whether it may
	// request one.
	ReaderSlot() (slot int, eligible bool)
	// Current returns the node's version.
	Current() (approver.Head, indexer.Index)
	// VersionRead receives a version read from the store that is newer than the node's.
	VersionRead(head approver.Head, index indexer.Index)
}

// Seed is the value of a reader lease. Starting nodes read it to find a node to link to.
type Seed struct {
	Name    string `json:"name"`
	Control string `json:"control"`
}

// Reader holds a reader lease of its failure domain while the node is eligible, and watches the head
// while it holds one.
type Reader struct {
	Store Store
	Node  Node
	Host  messenger.Host
	Log   *zap.Logger

	holdsLease   atomic.Bool
	leaseRenewed chan struct{} // signaled when the lease is obtained or renewed
}

// New starts a reader. The clean-up function stops it.
func New(store Store, node Node, host messenger.Host, log *zap.Logger) (*Reader, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reader{Store: store, Node: node, Host: host, Log: log, leaseRenewed: make(chan struct{}, 1)}
	var tasks sync.WaitGroup
	tasks.Go(func() { r.maintainLease(ctx) })
	tasks.Go(func() { r.watch(ctx) })
	return r, func() {
		cancel()
		tasks.Wait()
	}
}

// HoldsLease reports whether the last request for a reader lease succeeded and the node has remained
// eligible. The lease may have expired since.
func (r *Reader) HoldsLease() bool { return r.holdsLease.Load() }

// maintainLease requests and renews the lease while the node is eligible. Once the node
// is not eligible, its lease is left to expire.
func (r *Reader) maintainLease(ctx context.Context) {
	var eligibleSince time.Time // zero while not eligible
	for ctx.Err() == nil {
		pause := eligibilityCheckInterval
		slot, eligible := r.Node.ReaderSlot()
		switch {
		case !eligible:
			r.holdsLease.Store(false)
			eligibleSince = time.Time{}
		case eligibleSince.IsZero():
			eligibleSince = time.Now()
		case time.Since(eligibleSince) >= eligibilityDelay:
			pause = r.tryLease(ctx, slot)
		}
		sleep(ctx, pause)
	}
}

// tryLease requests or renews the lease of a slot and returns the delay until the next request.
func (r *Reader) tryLease(ctx context.Context, slot int) time.Duration {
	value, err := json.Marshal(Seed{Name: r.Host.Name, Control: r.Host.Control})
	if err != nil {
		panic(err) // strings always encode
	}
	key := fmt.Sprintf("%s%s/%d", leasePrefix, r.Host.FailureDomain, slot)
	timeoutCtx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	_, err = r.Store.Lease(timeoutCtx, key, r.Host.Name, value, leaseTTL)
	held := err == nil
	if held != r.holdsLease.Swap(held) {
		r.Log.Info("reader: lease changed", zap.String("key", key), zap.Bool("held", held))
	}
	if held {
		select {
		case r.leaseRenewed <- struct{}{}:
		default:
		}
		return renewInterval
	}
	if errors.Is(err, keeper.ErrLeaseHeld) {
		return heldRetryInterval
	}
	return renewInterval
}

// watch reads new heads while the lease is held, with exponential backoff after errors.
func (r *Reader) watch(ctx context.Context) {
	revision := uint64(0)
	backoff := minBackoff
	for ctx.Err() == nil {
		if !r.holdsLease.Load() {
			r.awaitLease(ctx)
			continue
		}
		next, err := r.readNextHead(ctx, revision)
		switch {
		case err == nil:
			revision = next
			backoff = minBackoff
		case errors.Is(err, context.DeadlineExceeded):
			backoff = minBackoff
		default:
			r.Log.Warn("reader: head not read, retrying", zap.String("error", err.Error()))
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// readNextHead waits for a head with a higher revision than the given one. If its version is newer
// than the node's, it loads the version and passes it to the node. It returns the revision of the
// head.
func (r *Reader) readNextHead(ctx context.Context, revision uint64) (uint64, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	entry, err := r.Store.Watch(timeoutCtx, approver.HeadKey, revision)
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
	loaded, err := source.Load(ctx, head.Root, index)
	if err != nil {
		return 0, merry.Prependf(err, "load version %d", head.Version)
	}
	r.Node.VersionRead(head, loaded)
	return entry.Revision, nil
}

// awaitLease waits until a lease is obtained or renewed, or ctx is done.
func (r *Reader) awaitLease(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-r.leaseRenewed:
	}
}

// Seeds returns the control addresses of the hosts that hold reader leases, except that of self.
func Seeds(ctx context.Context, store approver.Store, self string) ([]string, error) {
	entries, err := store.List(ctx, leasePrefix)
	if err != nil {
		return nil, merry.Prepend(err, "list reader leases")
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

// sleep waits until pause has passed or ctx is done.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
