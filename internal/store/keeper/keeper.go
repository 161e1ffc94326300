// Package keeper is an in-memory stand-in for the platform's key-value service.
// It offers compare-and-swap, leases and watches, counts every call, and fails
// on command.
package keeper

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Outcomes of a call to the store, compared with errors.Is.
var (
	ErrMissing      = merry.Sentinel("key not found")
	ErrConflict     = merry.Sentinel("revision conflict")
	ErrLeaseHeld    = merry.Sentinel("lease held by another")
	ErrTooLarge     = merry.Sentinel("value larger than 1 MiB")
	ErrUnavailable  = merry.Sentinel("store unavailable")
	ErrResponseLost = merry.Sentinel("answer lost")
	ErrRateLimited  = merry.Sentinel("store call rate exceeded")
)

// Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Lease is the right of a holder to a key until it expires.
type Lease struct {
	Key     string
	Holder  string
	Value   []byte
	Expires time.Time
}

// Counts holds the number of calls by kind since the start.
type Counts struct {
	Gets    int
	Lists   int
	Swaps   int
	Leases  int
	Watches int
	Refused int
}

// Reads returns the number of read calls; a watch counts as one.
func (c Counts) Reads() int { return c.Gets + c.Lists + c.Watches }

// Writes returns the number of write calls.
func (c Counts) Writes() int { return c.Swaps + c.Leases }

// MemoryStore is the in-memory store. The zero value is ready to use.
type MemoryStore struct {
	Now func() time.Time // defaults to time.Now

	mu       sync.Mutex
	entries  map[string]Entry
	leases   map[string]Lease
	revision uint64
	changed  chan struct{}
	counts   Counts
	faults   Faults
	window   rateWindow
}

func (k *MemoryStore) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return time.Now()
}

// Get returns the entry of a key, or ErrMissing.
func (k *MemoryStore) Get(ctx context.Context, key string) (Entry, error) {
	if err := k.enter(ctx, false); err != nil {
		return Entry{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Gets++
	entry, ok := k.entries[key]
	if !ok {
		return Entry{}, merry.Wrap(ErrMissing, merry.AppendMessage(key))
	}
	return entry, nil
}

// List returns the entries and live leases whose key starts with prefix, by key.
func (k *MemoryStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := k.enter(ctx, false); err != nil {
		return nil, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Lists++
	var found []Entry
	for key, entry := range k.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	now := k.now()
	for key, lease := range k.leases {
		if strings.HasPrefix(key, prefix) && lease.Expires.After(now) {
			found = append(found, Entry{Key: key, Value: lease.Value})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Swap writes value if the key's revision still equals revision; revision 0
// means that the key must not exist. It returns ErrConflict with the current
// entry otherwise, and ErrResponseLost when the write took effect but its answer did not
// arrive.
func (k *MemoryStore) Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%s has %d bytes", key, len(value)))
	}
	if err := k.enter(ctx, true); err != nil {
		return Entry{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Swaps++
	current := k.entries[key]
	if current.Revision != revision {
		return current, merry.Wrap(ErrConflict, merry.AppendMessage(key))
	}
	if k.entries == nil {
		k.entries = make(map[string]Entry)
	}
	k.revision++
	entry := Entry{Key: key, Value: append([]byte(nil), value...), Revision: k.revision}
	k.entries[key] = entry
	k.wake()
	if k.faults.takeLost() {
		return Entry{}, ErrResponseLost
	}
	return entry, nil
}

// Lease grants or renews the lease of key for holder, or returns ErrLeaseHeld with
// the present holder's lease.
func (k *MemoryStore) Lease(ctx context.Context, key, holder string, value []byte, ttl time.Duration) (Lease, error) {
	if err := k.enter(ctx, true); err != nil {
		return Lease{}, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Leases++
	now := k.now()
	current, ok := k.leases[key]
	if ok && current.Holder != holder && current.Expires.After(now) {
		return current, merry.Wrap(ErrLeaseHeld, merry.AppendMessagef("%s by %s", key, current.Holder))
	}
	if k.leases == nil {
		k.leases = make(map[string]Lease)
	}
	lease := Lease{Key: key, Holder: holder, Value: append([]byte(nil), value...), Expires: now.Add(ttl)}
	k.leases[key] = lease
	if k.faults.takeLost() {
		return Lease{}, ErrResponseLost
	}
	return lease, nil
}

// Watch returns the entry of key once its revision exceeds revision, or the
// context's error.
func (k *MemoryStore) Watch(ctx context.Context, key string, revision uint64) (Entry, error) {
	if err := k.enter(ctx, false); err != nil {
		return Entry{}, err
	}
	k.mu.Lock()
	k.counts.Watches++
	for {
		if k.faults.Down {
			k.mu.Unlock()
			return Entry{}, ErrUnavailable
		}
		if entry, ok := k.entries[key]; ok && entry.Revision > revision {
			k.mu.Unlock()
			return entry, nil
		}
		if k.changed == nil {
			k.changed = make(chan struct{})
		}
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-ctx.Done():
			return Entry{}, ctx.Err()
		case <-changed:
		}
		k.mu.Lock()
	}
}

// Counts returns the calls made so far.
func (k *MemoryStore) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

func (k *MemoryStore) wake() {
	if k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
}

func (k *MemoryStore) enter(ctx context.Context, write bool) error {
	k.mu.Lock()
	delay := k.faults.Delay
	down := k.faults.Down
	limited := !k.window.admit(k.now(), write, k.faults)
	if down || limited {
		k.counts.Refused++
	}
	k.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	if down {
		return ErrUnavailable
	}
	if limited {
		return ErrRateLimited
	}
	return ctx.Err()
}
