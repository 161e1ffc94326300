package releaser

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/exposer"
	"clementinerock/platform"
)

// record is the nodes' own record of a service's rollout in the store. It is written in one transaction with the
// status, so that it tells to which order the status belongs.
type record struct {
	_     struct{} `cbor:",toarray"`
	Order uint64
	Phase exposer.Phase
}

func encodeRecord(order uint64, phase exposer.Phase) ([]byte, error) {
	return cbor.Marshal(&record{Order: order, Phase: phase})
}

func decodeRecord(value []byte) (record, error) {
	var decoded record
	err := cbor.Unmarshal(value, &decoded)
	return decoded, err
}

// view is what this node knows of the keys of a service's rollout.
type view struct {
	statusRevision uint64
	recordRevision uint64
	record         record // zero if there is none
}

// errSuperseded is returned if the store holds the record of a later order.
var errSuperseded = merry.Sentinel("a later order is in the store")

func (r *Releaser) wakeWriter() {
	select {
	case r.wake <- struct{}{}:
	default: // it is awake already, or there is no writer in a test
	}
}

// writeLoop writes the phases that decide wants to be written.
func (r *Releaser) writeLoop(stop <-chan struct{}) {
	backoff := time.Duration(0)
	for {
		select {
		case <-stop:
			return
		case <-r.wake:
		}
		err := r.WriteDue(r.now())
		if err == nil {
			backoff = 0
			continue
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		r.Log.Info("rollout: phase not written, trying again", recorder.Err(err))
		timer := time.NewTimer(backoff)
		select {
		case <-stop:
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// due is a phase to write.
type due struct {
	service, version string
	order            uint64
	phase            exposer.Phase
	weak             bool // whether a phase that another node has written wins, whichever it is
}

// dueWrites returns the phases that this node is to write now. Readers that other readers go before wait first.
func (r *Releaser) dueWrites(now time.Time) []due {
	rank, reads := r.Mesh.ReaderRank()
	if !reads {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reload {
		r.written, r.reload = nil, false
		for _, state := range r.rollouts {
			state.forced = true
		}
	}
	var all []due
	for _, known := range r.Registry.Rollouts(now) {
		state := r.rollouts[known.Service]
		if state == nil || state.order != known.Order || state.wanted <= known.Written && !state.forced {
			continue
		}
		if now.Sub(state.wantedAt) < time.Duration(rank)*takeoverDelay {
			continue
		}
		all = append(all, due{
			service: known.Service, version: known.Version, order: known.Order, phase: max(state.wanted, known.Phase),
			weak: known.Phase == exposer.Running && state.wanted == exposer.RolledBack,
		})
	}
	return all
}

// WriteDue writes the phases that are due and returns the last error.
func (r *Releaser) WriteDue(now time.Time) error {
	var failure error
	for _, d := range r.dueWrites(now) {
		if err := r.write(&d, now); err != nil {
			failure = err
		}
	}
	return failure
}

// write writes a phase unless the store has it or a later one. The conditions on the revisions of both keys let one
// of several writers win; a writer that has lost, or whose response was lost, reads the keys again.
func (r *Releaser) write(d *due, now time.Time) error {
	defer r.unforce(d)
	v := r.written[d.service]
	if v == nil || v.record.Order != d.order {
		var err error
		if v, err = r.read(d.service); err != nil {
			return err
		}
	}
	if v.record.Order > d.order {
		r.Registry.SetWritten(d.service, d.order, exposer.Completed) // nothing is left to write
		return merry.Wrap(errSuperseded, merry.AppendMessage(d.service))
	}
	if current := v.record.Phase; v.record.Order == d.order &&
		(current >= d.phase || current.Ended() || d.weak && current == exposer.Promoting) {
		r.adopt(d, current)
		return nil
	}
	if known, ok := r.Registry.Rollout(d.service, now); ok && known.Order == d.order && known.Phase == exposer.RolledBack {
		d.phase = exposer.RolledBack // another node has found the version to be bad meanwhile
	}
	revision, err := r.commit(d, v)
	if err != nil {
		delete(r.written, d.service)
		return err
	}
	v.statusRevision, v.recordRevision = revision, revision
	v.record = record{Order: d.order, Phase: d.phase}
	r.Meter.Add("rollout_writes", 1)
	r.Log.Info("rollout: phase written",
		zap.String("service", d.service), zap.Uint64("order", d.order), zap.String("phase", d.phase.String()),
		zap.Duration("after", r.now().Sub(now)))
	r.adopt(d, d.phase)
	return nil
}

// unforce records that the keys of a rollout were read again after Reload, or will be before the next write.
func (r *Releaser) unforce(d *due) {
	if r.written[d.service] == nil {
		return // to be tried again
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.rollouts[d.service]; state != nil && state.order == d.order {
		state.forced = false
	}
}

// commit writes both keys, on the condition that no one has written them since they were read.
func (r *Releaser) commit(d *due, v *view) (uint64, error) {
	status, err := platform.EncodeRolloutStatus(d.version, d.phase)
	if err != nil {
		return 0, merry.Prepend(err, "encode status")
	}
	own, err := encodeRecord(d.order, d.phase)
	if err != nil {
		return 0, merry.Prepend(err, "encode record")
	}
	statusKey, recordKey := platform.KeyRolloutStatus(d.service), platform.KeyRolloutRecord(d.service)
	return r.Store.Commit(
		[]platform.Condition{{Key: statusKey, Revision: v.statusRevision}, {Key: recordKey, Revision: v.recordRevision}},
		[]platform.Write{{Key: statusKey, Value: status}, {Key: recordKey, Value: own}}, nil)
}

// adopt enters the phase that is in the store and announces it.
func (r *Releaser) adopt(d *due, phase exposer.Phase) {
	r.Registry.SetWritten(d.service, d.order, phase)
	r.Registry.SetPhase(d.service, d.order, phase, r.now())
	r.Mesh.Announce()
}

// read reads the keys of a service's rollout.
func (r *Releaser) read(service string) (*view, error) {
	status, _, err := r.Store.Get(platform.KeyRolloutStatus(service))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	own, _, err := r.Store.Get(platform.KeyRolloutRecord(service))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	v := &view{statusRevision: status.Revision, recordRevision: own.Revision}
	if len(own.Value) > 0 {
		if v.record, err = decodeRecord(own.Value); err != nil {
			r.Log.Warn("rollout: invalid record replaced", zap.String("service", service), recorder.Err(err))
			v.record = record{}
		}
	}
	if r.written == nil {
		r.written = make(map[string]*view)
	}
	r.written[service] = v
	return v, nil
}
