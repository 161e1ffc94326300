package finder

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/platform"
)

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
				f.Log.Info("store: entry is left to lapse", recorder.Err(err))
			}
			return
		}
		f.Log.Info("store: entry not held", recorder.Err(err))
		if !f.sleep(spread(pause)) {
			return
		}
		pause = min(2*pause, longPause)
	}
}

// errOvertaken says that a later start of this node has the entry.
var errOvertaken = merry.Sentinel("entry belongs to a later start of this node")

// enter writes the own entry under a new lease, on the condition that no later start of
// this node wrote it. The first try assumes that there is none.
func (f *Finder) enter() error {
	key := platform.PrefixNodes + f.Self.Node
	if !f.entered {
		err := f.write(key, 0)
		if !errors.Is(err, platform.ErrConflict) {
			f.entered = err == nil || errors.Is(err, platform.ErrUnknown)
			return err
		}
	}
	f.entered = true
	item, _, err := f.Store.Get(key)
	if err != nil && !errors.Is(err, platform.ErrMissing) {
		return err
	}
	var peer carrier.Peer
	if err == nil {
		err = cbor.Unmarshal(item.Value, &peer)
	}
	if err == nil && peer.Started > f.Self.Started {
		return errOvertaken
	}
	if err == nil && peer.Started == f.Self.Started && item.Lease == f.lease {
		return nil // it is there, and what said otherwise was old
	}
	return f.write(key, item.Revision)
}

// write writes the own entry under a lease if the key still has a revision. A lease of an
// earlier try is used again.
func (f *Finder) write(key string, revision uint64) error {
	value, err := cbor.Marshal(&f.Self)
	if err != nil {
		return merry.Prepend(err, "encode entry")
	}
	if f.unused == 0 {
		if f.unused, _, err = f.Store.Grant(leaseTime); err != nil {
			return err
		}
	}
	lease := f.unused
	condition := platform.Condition{Key: key, Revision: revision}
	write := platform.Write{Key: key, Value: value, Lease: lease}
	_, err = f.Store.Commit([]platform.Condition{condition}, []platform.Write{write}, nil)
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrRefused) {
		f.unused = 0 // in use, ended, or perhaps in use
	}
	if err != nil {
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
			f.Log.Info("store: lease not renewed", recorder.Err(err))
		}
	}
}
