// Package keeper is an in-memory replacement for the platform's key-value store. It supports
// compare-and-swap, leases and watches, counts calls, and can inject faults.
package keeper

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Errors returned by calls to the store. Compare them with errors.Is.
var (
	ErrNotFound     = merry.Sentinel("key not found")
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

// Lease is the exclusive right of a holder to a key until it expires.
type Lease struct {
	Key     string
	Holder  string
	Value   []byte
	Expires time.Time
}

// Counts holds the number of calls by kind since the store was created. Refused counts the calls
// that failed because the store was unavailable or the rate limit was exceeded.
type Counts struct {
	Gets    int
	Lists   int
	Swaps   int
	Leases  int
	Watches int
	Refused int
}

// Reads returns the number of read calls. A watch counts as one read.
func (c Counts) Reads() int { return c.Gets + c.Lists + c.Watches }

// Writes returns the number of write calls.
func (c Counts) Writes() int { return c.Swaps + c.Leases }

// MemoryStore is a key-value store in memory. The zero value is ready to use.
type MemoryStore struct {
	Now func() time.Time // defaults to time.Now

	mu       sync.Mutex
	entries  map[string]Entry
	leases   map[string]Lease
	revision uint64
	changed  chan struct{} // created by Watch, closed and set to nil at the next change
	counts   Counts
	faults   Faults
	window   rateWindow
}

func (s *MemoryStore) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

// Get returns the entry of a key, or ErrNotFound.
func (s *MemoryStore) Get(ctx context.Context, key string) (Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Gets++
	entry, ok := s.entries[key]
	if !ok {
		return Entry{}, merry.Wrap(ErrNotFound, merry.AppendMessage(key))
	}
	return entry, nil
}

// List returns the entries and unexpired leases whose key starts with prefix, sorted by key.
func (s *MemoryStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Lists++
	var found []Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	now := s.now()
	for key, lease := range s.leases {
		if strings.HasPrefix(key, prefix) && lease.Expires.After(now) {
			found = append(found, Entry{Key: key, Value: lease.Value})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Swap writes value if the current revision of the key equals revision; revision 0 means that
// the key must not exist. Otherwise it returns ErrConflict with the current entry. It returns
// ErrResponseLost if the write took effect but its response was lost.
func (s *MemoryStore) Swap(ctx context.Context, key string, revision uint64, value []byte) (Entry, error) {
	if len(value) > MaxValueBytes {
		return Entry{}, merry.Wrap(ErrTooLarge, merry.AppendMessagef("%s has %d bytes", key, len(value)))
	}
	if err := s.beginCall(ctx, true); err != nil {
		return Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Swaps++
	current := s.entries[key]
	if current.Revision != revision {
		return current, merry.Wrap(ErrConflict, merry.AppendMessage(key))
	}
	if s.entries == nil {
		s.entries = make(map[string]Entry)
	}
	s.revision++
	entry := Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision}
	s.entries[key] = entry
	s.notifyWatchers()
	if s.faults.loseResponse() {
		return Entry{}, ErrResponseLost
	}
	return entry, nil
}

// Lease grants or renews the lease of key for holder. If another holder has an unexpired lease,
// it returns ErrLeaseHeld with that lease.
func (s *MemoryStore) Lease(ctx context.Context, key, holder string, value []byte, ttl time.Duration) (Lease, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return Lease{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	now := s.now()
	current, ok := s.leases[key]
	if ok && current.Holder != holder && current.Expires.After(now) {
		return current, merry.Wrap(ErrLeaseHeld, merry.AppendMessagef("%s by %s", key, current.Holder))
	}
	if s.leases == nil {
		s.leases = make(map[string]Lease)
	}
	lease := Lease{Key: key, Holder: holder, Value: append([]byte(nil), value...), Expires: now.Add(ttl)}
	s.leases[key] = lease
	if s.faults.loseResponse() {
		return Lease{}, ErrResponseLost
	}
	return lease, nil
}

// Watch blocks until the revision of key exceeds revision and returns the entry. If ctx ends
// first, it returns the error of ctx.
func (s *MemoryStore) Watch(ctx context.Context, key string, revision uint64) (Entry, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return Entry{}, err
	}
	s.mu.Lock()
	s.counts.Watches++
	for {
		if s.faults.Down {
			s.mu.Unlock()
			return Entry{}, ErrUnavailable
		}
		if entry, ok := s.entries[key]; ok && entry.Revision > revision {
			s.mu.Unlock()
			return entry, nil
		}
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return Entry{}, ctx.Err()
		case <-changed:
		}
		s.mu.Lock()
	}
}

// Counts returns the numbers of calls made so far.
func (s *MemoryStore) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// notifyWatchers makes all pending watches check their key again. The caller holds mu.
func (s *MemoryStore) notifyWatchers() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// beginCall applies the injected faults to a call: delay, unavailability and rate limit.
func (s *MemoryStore) beginCall(ctx context.Context, write bool) error {
	s.mu.Lock()
	delay := s.faults.Delay
	down := s.faults.Down
	limited := !s.window.admit(s.now(), write, s.faults)
	if down || limited {
		s.counts.Refused++
	}
	s.mu.Unlock()
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
