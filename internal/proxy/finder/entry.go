package finder

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/platform"
)

// maintainEntry keeps this node's entry in the store until the finder stops, and then removes
// it.
func (f *Finder) maintainEntry() {
	defer close(f.entryDone)
	backoff := minBackoff
	for {
		select {
		case <-f.eraChanged:
			f.unowned = true
		default:
		}
		err := f.ensureEntry()
		if err == nil {
			f.Log.Info("store: entry written", zap.String("node", f.Self.Node))
			backoff = minBackoff
			err = f.renewLease()
		}
		if err == nil {
			if err := f.Store.RevokeLease(f.lease); err != nil {
				f.Log.Info("store: entry not removed; it expires with its lease", recorder.Err(err))
			}
			return
		}
		f.Log.Info("store: entry missing or not written, trying again", recorder.Err(err))
		if !f.sleep(jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// errRestored is returned when the store was restored from an older copy.
var errRestored = merry.Sentinel("store was restored from an older copy")

// errSuperseded is returned when another process of this node has written the entry since this one did.
var errSuperseded = merry.Sentinel("entry belongs to a process of this node that wrote it later")

// ensureEntry writes this node's entry under a new lease, unless another process of this node has
// written it since. Its first write replaces the entry of any other process, and so does the first one after
// the store was restored, since the copy may hold the entry of an earlier process. The order of the writes
// decides, since the time of day may have been set back between two starts. The first call assumes that
// the entry does not exist, to save a read.
func (f *Finder) ensureEntry() error {
	key := platform.PrefixNodes + f.Self.Node
	if !f.entryMayExist {
		err := f.write(key, 0)
		if !errors.Is(err, platform.ErrConflict) {
			f.entryMayExist = err == nil || errors.Is(err, platform.ErrOutcomeUnknown)
			return err
		}
	}
	f.entryMayExist = true
	item, _, err := f.Store.Get(key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	var peer carrier.Peer
	if err == nil {
		err = cbor.Unmarshal(item.Value, &peer)
	}
	if err == nil && peer.Started != f.Self.Started && f.entryWritten.Load() != nil && !f.unowned {
		return errSuperseded
	}
	if err == nil && peer.Started == f.Self.Started && item.Lease == f.lease {
		return nil // the entry exists; the listing without it was stale
	}
	return f.write(key, item.Revision)
}

// write writes this node's entry under a lease, if the key's revision is still the given one.
// It reuses a lease that an earlier call obtained but did not bind to the key.
func (f *Finder) write(key string, revision uint64) error {
	value, err := cbor.Marshal(&f.Self)
	if err != nil {
		return merry.Prepend(err, "encode entry")
	}
	if f.unusedLease == 0 {
		if f.unusedLease, _, err = f.Store.GrantLease(leaseTTL); err != nil {
			return err
		}
	}
	lease := f.unusedLease
	condition := platform.Condition{Key: key, Revision: revision}
	write := platform.Write{Key: key, Value: value, Lease: lease}
	_, err = f.Store.Commit([]platform.Condition{condition}, []platform.Write{write}, nil)
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrRefused) {
		f.unusedLease = 0 // bound to the key, possibly bound to it, or expired
	}
	if err != nil {
		return err
	}
	f.lease, f.unowned = lease, false
	now := time.Now()
	f.entryWritten.Store(&now)
	return nil
}

// renewLease renews the lease of this node's entry periodically. It returns nil when the
// finder stops, and an error when the entry may no longer exist.
func (f *Finder) renewLease() error {
	for {
		timer := time.NewTimer(jitter(renewInterval))
		select {
		case <-f.stop:
			timer.Stop()
			return nil
		case <-f.entryMissing:
			timer.Stop()
			return merry.New("entry missing in the store")
		case <-f.eraChanged:
			timer.Stop()
			f.unowned = true
			if !f.sleep(rand.N(time.Duration(f.rewriteSpread.Load()))) {
				return nil
			}
			return errRestored
		case <-timer.C:
		}
		err := f.Store.RenewLease(f.lease)
		if errors.Is(err, platform.ErrNotFound) {
			return err
		}
		if err != nil {
			f.Log.Info("store: lease renewal failed, trying again", recorder.Err(err))
		}
	}
}
