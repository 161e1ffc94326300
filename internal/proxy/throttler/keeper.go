package throttler

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/expirer"
	"clementinerock/internal/node/recorder"
	"clementinerock/platform"
)

const (
	leaseTTL = 8 * time.Second // outlasts a store outage of 4.5 s after a late renewal

	// leaseMargin is the part of the lease in which this node issues nothing, since clocks differ in rate.
	leaseMargin = 500 * time.Millisecond

	renewInterval   = 2300 * time.Millisecond // mean interval between two renewals
	attemptInterval = 700 * time.Millisecond  // mean interval between two attempts to take shards

	// renewRetry is the mean interval after a renewal that failed at once, and slowRenewRetry after one that
	// failed after its timeout. With both, a lease outlasts a store outage of 4.5 s that begins just before a
	// renewal.
	renewRetry     = 400 * time.Millisecond
	slowRenewRetry = 150 * time.Millisecond

	// slowAttemptInterval is the mean interval after maxAttempts attempts in which all shards were held by
	// others. These nodes respond to the store but not to this one.
	slowAttemptInterval = 4 * time.Second
	maxAttempts         = 15

	// renewalsPerCheck is the number of renewals after which the records of the shards are read. A record
	// may be removed while its lease is kept.
	renewalsPerCheck = 4
)

// Store is the platform's store.
type Store interface {
	Get(key string) (platform.Item, uint64, error)
	RangeCurrent(prefix string) ([]platform.Item, error)
	Commit(conditions []platform.Condition, writes []platform.Write, deletes []string) (uint64, error)
	GrantLease(ttl time.Duration) (uint64, time.Duration, error)
	RenewLease(lease uint64) error
	RevokeLease(lease uint64) error
}

// shardRecord is the value of the key of a shard.
type shardRecord struct {
	_       struct{} `cbor:",toarray"`
	Node    string
	Started int64 // start time of the process, which tells processes of a node apart
}

// Keeper holds shards under one lease in the store. Holds and Held may be called at any time, the other
// methods by one goroutine.
type Keeper struct {
	Log     *zap.Logger
	Store   Store
	Clock   expirer.Clock
	Node    string
	Started int64

	// RenewByPeer asks another node to renew the lease and reports whether it did; nil for none. It is used
	// while the store rejects this node and serves others.
	RenewByPeer func(lease uint64) bool

	// OnTake and OnDrop are called before a shard counts as held, and after it does not any more.
	OnTake, OnDrop func(shard int)

	mu         sync.Mutex
	held       [Shards]bool
	validUntil time.Duration // on Clock; counted from the time at which the lease was granted or renewed
	doubts     int           // number of calls of Doubt
	settled    int           // number of doubts that were settled by reading the records

	lease     uint64 // 0 for none
	renewAt   time.Duration
	attemptAt time.Duration
	renewals  int
	attempts  int  // number of attempts since no shard was wanted
	doubtSeen bool // the last doubt has led to a renewal
	resumed   bool // the shards that have a record of this node without being held have been looked up
}

// Holds reports whether this node holds a shard now.
func (k *Keeper) Holds(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[shard] && k.Clock() < k.validUntil
}

// Held returns the bit set of the shards that this node holds now.
func (k *Keeper) Held() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	var set uint64
	for shard, held := range k.held {
		if held && k.Clock() < k.validUntil {
			set |= 1 << shard
		}
	}
	return set
}

// Doubt suspends the issuing for all shards until the lease and the records have been read again. It is to
// be called when the store may have lost acknowledged writes. It may be called at any time.
func (k *Keeper) Doubt() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.doubts++
	k.validUntil = 0
}

// Step renews the lease if that is due and tries to take the wanted shards.
func (k *Keeper) Step(wanted [Shards]bool) {
	if !k.resumed {
		k.resume()
	}
	k.mu.Lock()
	doubts := k.doubts
	doubted := doubts != k.settled
	k.mu.Unlock()
	if k.lease != 0 && (k.Clock() >= k.renewAt || doubted && !k.doubtSeen) {
		k.doubtSeen = doubted // repeated like a failed renewal if it can't be settled at once
		k.renew(doubts, doubted)
	}
	if k.Clock() >= k.attemptAt {
		k.attempt(wanted)
	}
	if k.lease != 0 && !k.holdsAny() {
		k.lease = 0 // expires; a write whose response was lost may still be bound to it
	}
}

// attempt tries to take the wanted shards.
func (k *Keeper) attempt(wanted [Shards]bool) {
	interval := attemptInterval
	if k.attempts >= maxAttempts {
		interval = slowAttemptInterval
	}
	missing := false
	for shard, want := range wanted {
		if !want || k.isHeld(shard) {
			continue
		}
		missing = true
		k.attemptAt = k.Clock() + jitter(interval)
		if !k.take(shard) {
			break // the store is unavailable
		}
	}
	k.attempts++
	if !missing {
		k.attempts = 0
	}
}

// jitter returns a random duration between 0.9 and 1.1 times the mean.
func jitter(mean time.Duration) time.Duration { return mean*9/10 + rand.N(mean/5) }

// resume takes the shards at once that have a record of this node: one of an earlier process, since that has ended, or
// one that outlasted the lease of this process, since the store was restored from an older copy.
func (k *Keeper) resume() {
	if k.Clock() < k.attemptAt {
		return
	}
	k.attemptAt = k.Clock() + jitter(attemptInterval)
	items, err := k.Store.RangeCurrent(platform.PrefixQuotas)
	if err != nil {
		k.Log.Info("throttle: reading the holders of shards failed, trying again", recorder.Err(err))
		return
	}
	k.resumed = true // unless the lease turns out to be lost
	for i := range items {
		shard, err := strconv.Atoi(strings.TrimPrefix(items[i].Key, platform.PrefixQuotas))
		if err != nil || shard < 0 || shard >= Shards || k.decode(&items[i]).Node != k.Node || k.isHeld(shard) {
			continue
		}
		if !k.take(shard) {
			k.resumed = false
			return // the store is unavailable
		}
	}
	k.attemptAt = 0
}

// renew renews the lease. After doubts, or from time to time, it reads the records as well.
func (k *Keeper) renew(doubts int, doubted bool) {
	sent := k.Clock()
	err := k.Store.RenewLease(k.lease)
	if errors.Is(err, platform.ErrNotFound) {
		k.loseLease()
		k.attemptAt = 0
		return
	}
	if err != nil && !doubted && k.RenewByPeer != nil {
		asked := k.Clock()
		if k.RenewByPeer(k.lease) {
			k.Log.Info("throttle: lease renewed by a peer, since the store rejects this node", recorder.Err(err))
			k.renewAt = asked + jitter(renewInterval)
			k.extend(doubts, asked)
			return
		}
	}
	if err != nil {
		retry := renewRetry
		if k.Clock()-sent > renewRetry {
			retry = slowRenewRetry
		}
		k.renewAt = k.Clock() + jitter(retry)
		k.Log.Info("throttle: lease renewal failed, trying again", recorder.Err(err))
		return
	}
	k.renewAt = sent + jitter(renewInterval)
	k.renewals++
	checked := true
	if doubted || k.renewals%renewalsPerCheck == 0 {
		checked = k.check()
	}
	if doubted && !checked {
		k.renewAt = k.Clock() + jitter(renewRetry)
		return
	}
	k.extend(doubts, sent)
}

// extend records that the lease was renewed after the given time, unless it has been doubted since.
func (k *Keeper) extend(doubts int, sent time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.doubts == doubts {
		k.settled, k.validUntil = doubts, sent+leaseTTL-leaseMargin
	}
}

// check reads the records of the shards and drops those that are not bound to the lease any more. It
// reports false if it could not read all.
func (k *Keeper) check() bool {
	for shard := range Shards {
		if !k.isHeld(shard) {
			continue
		}
		item, _, err := k.Store.Get(key(shard))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return false
		}
		if err != nil || !k.owns(&item) {
			k.drop(shard, "record is missing or belongs to another process")
		}
	}
	return true
}

func key(shard int) string { return platform.PrefixQuotas + strconv.Itoa(shard) }

func (k *Keeper) decode(item *platform.Item) shardRecord {
	var record shardRecord
	if err := cbor.Unmarshal(item.Value, &record); err != nil {
		return shardRecord{} // of another writer; it counts as a holder until it is removed
	}
	return record
}

// owns reports whether a record was written by this process under its present lease.
func (k *Keeper) owns(item *platform.Item) bool {
	record := k.decode(item)
	return item.Lease == k.lease && k.lease != 0 && record.Node == k.Node && record.Started == k.Started
}

// take tries to take a shard: if it has no record, or one of this node. It reports false if the store is
// unavailable.
func (k *Keeper) take(shard int) bool {
	item, _, err := k.Store.Get(key(shard))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false
	}
	exists := err == nil
	if exists && k.owns(&item) {
		k.hold(shard, "own record found") // the response to its write was lost
		return true
	}
	if exists && k.decode(&item).Node != k.Node {
		return true // held by another node until its lease expires
	}
	err = k.write(shard, item.Revision)
	switch {
	case err == nil:
		k.hold(shard, "record written")
		return true
	case errors.Is(err, platform.ErrConflict):
		return true // another node was faster
	case errors.Is(err, platform.ErrNotFound):
		k.loseLease()
		return true
	}
	k.Log.Info("throttle: shard not taken, trying again", zap.Int("shard", shard), recorder.Err(err))
	if errors.Is(err, platform.ErrOutcomeUnknown) && k.lease != 0 {
		item, _, err = k.Store.Get(key(shard))
		if err == nil && k.owns(&item) {
			k.hold(shard, "own record found")
		}
	}
	return false
}

// write writes the record of a shard if its revision is still the given one, and is granted a lease before
// if there is none.
func (k *Keeper) write(shard int, revision uint64) error {
	value, err := cbor.Marshal(&shardRecord{Node: k.Node, Started: k.Started})
	if err != nil {
		return merry.Prepend(err, "encode record of a shard")
	}
	if k.lease == 0 {
		sent := k.Clock()
		lease, ttl, err := k.Store.GrantLease(leaseTTL)
		if err != nil {
			return err
		}
		k.lease, k.renewAt, k.renewals = lease, sent+jitter(renewInterval), 0
		k.mu.Lock()
		k.settled, k.validUntil = k.doubts, sent+min(ttl, leaseTTL)-leaseMargin
		k.mu.Unlock()
	}
	_, err = k.Store.Commit([]platform.Condition{{Key: key(shard), Revision: revision}},
		[]platform.Write{{Key: key(shard), Value: value, Lease: k.lease}}, nil)
	return err
}

func (k *Keeper) isHeld(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held[shard]
}

func (k *Keeper) holdsAny() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held != [Shards]bool{}
}

func (k *Keeper) hold(shard int, reason string) {
	k.OnTake(shard)
	k.mu.Lock()
	k.held[shard] = true
	k.mu.Unlock()
	k.Log.Info("throttle: shard taken", zap.Int("shard", shard), zap.String("reason", reason), zap.Uint64("lease", k.lease))
}

func (k *Keeper) drop(shard int, reason string) {
	k.mu.Lock()
	k.held[shard] = false
	k.mu.Unlock()
	k.OnDrop(shard)
	k.Log.Info("throttle: shard dropped", zap.Int("shard", shard), zap.String("reason", reason))
}

// dropAll drops all shards and the lease.
func (k *Keeper) dropAll(reason string) {
	k.lease = 0
	for shard := range Shards {
		if k.isHeld(shard) {
			k.drop(shard, reason)
		}
	}
}

// loseLease drops all shards because the store has the lease no more. Their records are still there if the store was
// restored from an older copy. No other node takes such a shard before the lease in the copy has expired.
func (k *Keeper) loseLease() {
	k.dropAll("lease expired")
	k.resumed = false
}

// Release drops all shards and revokes the lease, so that another node may take them at once.
func (k *Keeper) Release(reason string) {
	lease := k.lease
	k.dropAll(reason)
	if lease == 0 {
		return
	}
	if err := k.Store.RevokeLease(lease); err != nil {
		k.Log.Info("throttle: lease not revoked; it expires", recorder.Err(err))
	}
}
