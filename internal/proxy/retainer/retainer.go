// Package retainer keeps the departures of the target on this host in the platform's store, so that
// a later process of the node also refuses late heartbeats of runs that have left.
package retainer

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
)

const (
	// recordTTL is the lifetime of a record after its last write. It exceeds the time for which a
	// target serves on after it has announced that it leaves, plus tracker.MaxReportDelay.
	recordTTL = 5 * time.Minute

	minBackoff = 50 * time.Millisecond // mean pause after a failed call; then doubles
	maxBackoff = 500 * time.Millisecond

	// rewriteSpread is the time within which the nodes write their records again after the store was restored
	// from an older copy, at a random moment each. Few nodes have a record.
	rewriteSpread = time.Second
)

// Store is the platform's store.
type Store interface {
	Get(key string) (platform.Item, uint64, error)
	Commit(conditions []platform.Condition, writes []platform.Write, deletes []string) (uint64, error)
	GrantLease(ttl time.Duration) (uint64, time.Duration, error)
}

// Retainer loads the departures that earlier processes stored, and stores new ones.
type Retainer struct {
	Log     *zap.Logger
	Store   Store
	Address string                    // address of the target
	OnLoad  func([]tracker.Departure) // receives the stored departures, oldest first; called once

	mu     sync.Mutex // guards the fields below
	wanted []tracker.Departure
	stored chan struct{} // closed once wanted is stored; nil before the first Save or load
	since  time.Time     // time at which wanted was last found or made stored
	eras   int           // number of restorations of the store; a call that began before the last one proves nothing

	wake   chan struct{} // signals a change of wanted
	era    chan struct{} // signals that the store was restored from an older copy
	loaded chan struct{} // closed when OnLoad has returned
	stop   chan struct{}

	// Fields of the goroutine that calls the store.
	revision uint64 // revision of the record at the last read or write
	known    bool   // whether revision is the current one, as far as this process knows
	lease    uint64 // granted lease that no record is bound to, or 0
}

// Start loads the stored departures and then stores those that Save receives, until the clean-up
// function is called.
func (r *Retainer) Start() func() {
	r.wake = make(chan struct{}, 1)
	r.era = make(chan struct{}, 1)
	r.loaded = make(chan struct{})
	r.stop = make(chan struct{})
	go r.run()
	return sync.OnceFunc(func() { close(r.stop) })
}

// Loaded returns a channel that is closed when the stored departures have been loaded.
func (r *Retainer) Loaded() <-chan struct{} { return r.loaded }

// Save stores the departures of the target, oldest first, and replaces those of earlier calls. It
// returns a channel that is closed when they are stored. Failed calls to the store are repeated.
func (r *Retainer) Save(departures []tracker.Departure) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stored != nil && slices.Equal(departures, r.wanted) {
		return r.stored
	}
	r.wanted = slices.Clone(departures)
	if r.stored == nil || isClosed(r.stored) {
		r.stored = make(chan struct{})
	}
	select {
	case r.wake <- struct{}{}:
	default: // signaled already
	}
	return r.stored
}

// EraChanged makes the retainer store the departures again, since the store was restored from an older copy.
// Until it has, they count as not stored. A record that has expired is not written again.
func (r *Retainer) EraChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eras++
	if len(r.wanted) > 0 && isClosed(r.stored) && time.Since(r.since) < recordTTL {
		r.stored = make(chan struct{})
	}
	select {
	case r.era <- struct{}{}:
	default: // signaled already
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// run loads the record, and writes it after each change.
func (r *Retainer) run() {
	if !r.repeat("departures not loaded", func() error {
		r.mu.Lock()
		eras := r.eras
		r.mu.Unlock()
		departures, err := r.read()
		if err == nil {
			r.setLoaded(departures, eras)
			r.OnLoad(departures)
		}
		return err
	}) {
		return
	}
	close(r.loaded)
	var rewrite <-chan time.Time // after the store was restored
	for {
		select {
		case <-r.stop:
			return
		case <-r.era:
			r.known = false
			rewrite = time.After(rand.N(rewriteSpread))
			continue
		case <-rewrite:
		case <-r.wake:
		}
		if !r.repeat("departures not stored", r.writeWanted) {
			return
		}
	}
}

// setLoaded records that departures are stored, unless Save has received others. eras is the value before the read;
// if the store has been restored since, they are to be stored again.
func (r *Retainer) setLoaded(departures []tracker.Departure, eras int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stored != nil {
		return
	}
	r.wanted = departures
	r.stored = make(chan struct{})
	if eras == r.eras {
		close(r.stored)
		r.since = time.Now()
	}
}

// repeat calls action until it succeeds. It returns false when the retainer stops.
func (r *Retainer) repeat(message string, action func() error) bool {
	backoff := minBackoff
	for {
		err := action()
		if err == nil {
			return true
		}
		r.Log.Info("store: "+message+", trying again", zap.String("address", r.Address), recorder.Err(err))
		timer := time.NewTimer(backoff/2 + rand.N(backoff))
		select {
		case <-r.stop:
			timer.Stop()
			return false
		case <-timer.C:
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (r *Retainer) key() string { return platform.PrefixDepartures + r.Address }

// read reads the record. A record that cannot be decoded counts as empty, since another writer has
// replaced it.
func (r *Retainer) read() ([]tracker.Departure, error) {
	item, _, err := r.Store.Get(r.key())
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	r.revision, r.known = item.Revision, true
	if err != nil {
		return nil, nil
	}
	var departures []tracker.Departure
	if err := cbor.Unmarshal(item.Value, &departures); err != nil {
		r.Log.Warn("store: invalid record of departures ignored", zap.String("key", r.key()), recorder.Err(err))
		return nil, nil
	}
	return departures, nil
}

// writeWanted stores the departures that Save received last. The condition on the revision keeps a
// write whose response was lost from replacing a later one.
func (r *Retainer) writeWanted() error {
	r.mu.Lock()
	departures, eras := r.wanted, r.eras
	done := len(departures) == 0 || isClosed(r.stored)
	r.mu.Unlock()
	if done {
		return nil
	}
	if !r.known {
		stored, err := r.read()
		if err != nil {
			return err
		}
		if slices.Equal(stored, departures) {
			r.markStored(departures, eras)
			return nil
		}
	}
	if err := r.write(departures); err != nil {
		return err
	}
	r.markStored(departures, eras)
	return nil
}

// write writes the record under a new lease.
func (r *Retainer) write(departures []tracker.Departure) error {
	value, err := cbor.Marshal(departures)
	if err != nil {
		return merry.Prepend(err, "encode departures")
	}
	if r.lease == 0 {
		if r.lease, _, err = r.Store.GrantLease(recordTTL); err != nil {
			return err
		}
	}
	revision, err := r.Store.Commit(
		[]platform.Condition{{Key: r.key(), Revision: r.revision}},
		[]platform.Write{{Key: r.key(), Value: value, Lease: r.lease}}, nil)
	switch {
	case errors.Is(err, platform.ErrRefused):
		return err // nothing was done
	case errors.Is(err, platform.ErrConflict):
		r.known = false
		return err
	case err != nil:
		r.known, r.lease = false, 0 // the record may be bound to the lease, or the lease has expired
		return err
	}
	r.revision, r.lease = revision, 0
	return nil
}

// markStored signals that departures are stored, unless Save has received others since, or the store has been restored
// since eras was read: the departures are written again then.
func (r *Retainer) markStored(departures []tracker.Departure, eras int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if eras == r.eras && slices.Equal(departures, r.wanted) && !isClosed(r.stored) {
		close(r.stored)
		r.since = time.Now()
	}
}
