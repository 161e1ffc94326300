// Package deliverer delivers calls to the target on this host. It decides which calls are
// admitted, sends them over HTTP/1.1 connections, and reads the responses. No call reaches the
// target in any other way.
//
// A call is one attempt of a request, sent by this node or by another one. Its outcome is returned
// as a carrier.Answer, which contains the target's response if there is one.
package deliverer

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/call/deduper"
	"clementinerock/internal/node/expirer"
	"clementinerock/internal/proxy/admitter"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/evaluator"
	"clementinerock/internal/proxy/exposer"
	"clementinerock/internal/proxy/pacer"
	"clementinerock/internal/proxy/reserver"
	"clementinerock/internal/proxy/tracker"
)

const (
	// attemptRetention is the minimum time that an attempt is stored to detect its second
	// delivery. It is longer than any client waits.
	attemptRetention = 30 * time.Second

	// responseGrace is the time after a call's deadline during which the target's response is
	// still read, since a target may respond itself when the time limit passes.
	responseGrace = 60 * time.Millisecond

	// minUnidentifiedWait is the minimum time for which the target's response is awaited after one
	// without an ID.
	minUnidentifiedWait = 50 * time.Millisecond

	// minRemaining is the minimum time before the deadline at which a queued call is still sent
	// to the target.
	minRemaining = 10 * time.Millisecond

	// reconnectInterval is the pause between attempts to connect to an unreachable target.
	reconnectInterval = 250 * time.Millisecond

	// endedRetention is the minimum time for which nested calls are recognized after the end of their
	// parent request.
	endedRetention = 3 * time.Second

	// failureWeight is the weight of one call in the moving average of failures.
	failureWeight = 0.05

	// bulkSizeWeight is the weight of one response in the moving average of sizes.
	bulkSizeWeight = 0.05

	// reasonWithdrawn is the reason of a call that is refused because its sender is stopping.
	reasonWithdrawn = "withdrawn"

	// ampleTimeFactor is the multiple of the mean service time within which nearly all calls
	// end.
	ampleTimeFactor = 6
)

// Meter records measurements.
type Meter interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}

// Deliverer delivers calls to the target on this host. It refuses all calls until Update
// provides a report of a serving target.
type Deliverer struct {
	Log           *zap.Logger
	Meter         Meter
	Address       string // address of the target
	OnStateChange func() // called after a change of state that other nodes need at once

	// OnMisdirected is called when another instance than the given run listens on the target's
	// address.
	OnMisdirected func(tracker.Run)

	Version    func() uint64      // returns the version of the active configuration
	DrainGrace time.Duration      // time for which a target that drains or has left still gets calls
	Uplink     *pacer.Gate        // sends the responses of the target to other hosts
	Memory     int64              // memory limit of this process in bytes; 0 if there is none
	Reserver   *reserver.Reserver // memory for the bodies of responses; nil for no limit
	Clock      expirer.Clock      // nil for the clock of the host
	Registry   *exposer.Registry  // rollouts; nil if the exposure of versions is not limited

	// ProofAge returns the age of this node's proof of freshness, see carrier.State; nil if nodes keep none.
	ProofAge func() int

	// ReadsStore returns whether this node reads the store, see carrier.State; nil to leave that out of states.
	ReadsStore func() bool

	mu               sync.Mutex // guards the fields below
	queue            admitter.Queue
	target           tracker.Report
	coldEnd          time.Time // time until which the target is still slow after its start
	stopping         bool
	drainGrace       expirer.Expiry // end of the DrainGrace of the target
	unreachableUntil time.Time      // time until which the target counts as unreachable
	idle             []*conn
	attempts         deduper.Deduper
	failureRatio     float64                   // moving average of the share of shed and failed calls
	running          map[string]runningRequest // by request ID
	ended            endedRequests
	bulkSize         float64         // moving average of the size of large responses in bytes
	tally            evaluator.Tally // answers of the current run of the target, if there is a Registry
	barred           string          // reason why the target's version gets no calls, or ""
}

// delivery is one call and its progress.
type delivery struct {
	admitter.Job
	call      *carrier.Call
	answer    func(*carrier.Answer)
	conn      *conn // connection that carries the call; nil unless the target runs it
	canceled  bool
	withdrawn bool           // the call is to be refused unless its request was sent
	timer     *time.Timer    // calls refuseOverdue; nil if the call was not queued
	expires   expirer.Expiry // end of the time for which the caller waits
	unreserve func()         // ends the reservation of the uplink for a large response; nil for other calls
	deliverer *Deliverer
}

// Cancel implements carrier.Delivery.
func (v *delivery) Cancel() { v.deliverer.cancel(v) }

// Withdraw implements carrier.Delivery.
func (v *delivery) Withdraw() { v.deliverer.withdraw(v) }

// Update applies the newest accepted report of the target.
func (d *Deliverer) Update(report tracker.Report, now time.Time) {
	d.mu.Lock()
	if report.Run != d.target.Run {
		d.closeIdle()
		d.unreachableUntil = time.Time{}
		d.failureRatio = 0
		d.tally = evaluator.Tally{}
	}
	changed := report.State != d.target.State || report.ID != d.target.ID || report.Slots != d.target.Slots ||
		(d.Registry != nil && report.Version != d.target.Version)
	if d.target.State == tracker.Serving && report.State != tracker.Serving && report.ID == d.target.ID {
		d.drainGrace = d.Clock.In(d.DrainGrace)
		time.AfterFunc(d.DrainGrace, d.endDrainGrace)
	}
	if report.State == tracker.Serving {
		d.drainGrace = expirer.Expiry{}
	}
	d.target = report
	d.coldEnd = now.Add(report.Cold)
	d.updateSlots(now)
	d.mu.Unlock()
	if changed {
		d.OnStateChange()
	}
}

// endDrainGrace stops calls to a target that still drains or has left at the end of its grace
// time.
func (d *Deliverer) endDrainGrace() {
	d.mu.Lock()
	d.updateSlots(time.Now())
	d.mu.Unlock()
	d.OnStateChange()
}

// Bar refuses all queued and further calls for a reason that concerns the version of the target, or ends that if
// the reason is empty. Calls that the target runs go on.
func (d *Deliverer) Bar(reason string) {
	d.mu.Lock()
	changed := reason != d.barred
	d.barred = reason
	if changed {
		d.updateSlots(time.Now())
	}
	d.mu.Unlock()
	if changed {
		d.OnStateChange()
	}
}

// Stop refuses all queued and further calls because this process is shutting down.
func (d *Deliverer) Stop() {
	d.mu.Lock()
	wasStopping := d.stopping
	d.stopping = true
	d.updateSlots(time.Now())
	d.mu.Unlock()
	if !wasStopping {
		d.OnStateChange()
	}
}

// Busy returns the number of calls that hold or wait for a slot.
func (d *Deliverer) Busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.queue.Load()
	return load.InUse + load.Waiting
}

// updateSlots makes the target's slots usable if it takes calls. Otherwise it refuses all queued
// calls and closes the idle connections.
func (d *Deliverer) updateSlots(now time.Time) {
	if d.unavailableReason(now) == "" {
		d.queue.Slots = d.target.Slots
		d.queue.Fill(now)
		return
	}
	d.queue.Slots = 0
	d.queue.Flush()
	d.closeIdle()
}

// unavailableReason returns why the target takes no calls, or an empty string if it does.
func (d *Deliverer) unavailableReason(now time.Time) string {
	switch {
	case d.stopping:
		return "node stopping"
	case d.target.State != tracker.Serving && d.Clock.Passed(d.drainGrace):
		return "target " + d.target.State.String()
	case now.Before(d.unreachableUntil):
		return "target unreachable"
	case d.barred != "":
		return d.barred
	}
	return ""
}

// State returns the state of the target as it is sent to other nodes.
func (d *Deliverer) State() carrier.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentState(time.Now())
}

func (d *Deliverer) currentState(now time.Time) carrier.State {
	// The proof is read before the version, so that it holds for that version and all later ones.
	proofAge := 0
	if d.ProofAge != nil {
		proofAge = d.ProofAge()
	}
	load := d.queue.Load()
	sendWait, sendTime := d.Uplink.Delay(int(d.bulkSize))
	var waits []int
	if load.InUse >= load.Slots {
		for _, wait := range load.Waits {
			waits = append(waits, int(wait.Milliseconds()))
		}
	}
	state := carrier.State{
		Serving:       d.unavailableReason(now) == "",
		Slots:         load.Slots,
		InUse:         load.InUse,
		Waiting:       load.Waiting,
		Mean:          load.Mean.Truncate(time.Millisecond / 8),
		Failing:       d.failureRatio,
		ColdRemaining: max(d.coldEnd.Sub(now), 0).Truncate(time.Millisecond),
		Waits:         waits,
		Version:       d.Version(),
		SendWait:      int(sendWait.Milliseconds()),
		SendTime:      int(sendTime.Milliseconds()),
		ProofAge:      proofAge,
		ReadsStore:    d.ReadsStore != nil && d.ReadsStore(),
	}
	if d.Registry != nil {
		state.TargetVersion = d.target.Version
		state.Rollouts = d.Registry.Announced(now)
		if d.Registry.Tests(d.target.Service) {
			state.Counts = d.tally.Counts()
		}
	}
	return state
}

// Void marks an attempt as never to be delivered. It returns true if the attempt has not been
// delivered, which proves that it will not run.
func (d *Deliverer) Void(id []byte, attempt uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.attempts.Void(time.Now(), attemptKey(id, attempt))
}

func attemptKey(id []byte, attempt uint64) string {
	return string(id) + "/" + string(rune('0'+attempt))
}

// Serve delivers a call to the target and passes its outcome to answer once, unless the call is
// canceled while it is queued. To cancel removes a queued call, and aborts an idempotent one that the
// target runs. The result is nil if the call was refused at once.
func (d *Deliverer) Serve(call *carrier.Call, answer func(*carrier.Answer)) carrier.Delivery {
	now := time.Now()
	v := &delivery{call: call, answer: answer, deliverer: d}
	v.Class = admitter.Class{
		Account: call.Account, Priority: call.Priority, Nested: call.Nested, ClientRetry: call.ClientRetry,
	}
	v.Deadline = now.Add(call.Remaining - minRemaining)
	v.expires = d.Clock.In(call.Remaining)
	v.SoftDeadline = now.Add(call.SoftDeadline)
	v.LatencyObjective = call.LatencyObjective
	v.Arrived = now
	v.Start = func() { go d.run(v) }
	v.Refuse = func(retryAfter time.Duration) {
		go func() {
			d.countShare(v)
			d.refuse(v, "turned away", retryAfter, false)
		}()
	}
	reason, retryAfter := d.admit(v, now)
	if reason != "" {
		d.refuse(v, reason, retryAfter, false)
		return nil
	}
	return v
}

// admit starts or queues a call. If the call is refused, it returns the reason and the delay
// after which a retry may succeed, or 0 if there is no estimate.
func (d *Deliverer) admit(v *delivery, now time.Time) (string, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts.Retention = attemptRetention
	if reason := d.unavailableReason(now); reason != "" {
		return reason, 0
	}
	if v.call.Service != d.target.Service {
		return "other service", 0
	}
	if d.queue.Slots == 0 {
		d.updateSlots(now) // unreachableUntil may have passed since the last update
	}
	if v.call.NoWait && !d.queue.HasFreeSlot() {
		return "no free slot", 0
	}
	if v.call.Bulk {
		v.SendWait, v.SendTime = d.Uplink.Delay(int(d.bulkSize))
		v.unreserve = sync.OnceFunc(d.Uplink.Reserve(int(d.bulkSize)))
	}
	admitted, retryAfter := d.queue.Offer(&v.Job, now)
	if !admitted {
		d.countShare(v)
		return "full", retryAfter
	}
	if v.Waiting() {
		v.timer = time.AfterFunc(v.MaxWait(now), func() { d.refuseOverdue(v) })
	}
	return "", 0
}

// countShare counts a call of a client account that the queue refuses, by whether the account had used more than
// its fair share. There is no metric for each account, since their number has no bound.
func (d *Deliverer) countShare(v *delivery) {
	switch {
	case v.call.Account == "":
	case v.OverShare():
		d.Meter.Add("deliver_refused_over_share", 1)
	default:
		d.Meter.Add("deliver_refused_within_share", 1)
	}
}

func (d *Deliverer) refuse(v *delivery, reason string, retryAfter time.Duration, maxWaitExceeded bool) {
	d.Meter.Add("deliver_refused", 1)
	v.endReservation()
	v.answer(&carrier.Answer{
		Outcome:         carrier.Refused,
		Reason:          reason,
		RetryAfter:      retryAfter,
		MaxWaitExceeded: maxWaitExceeded,
		Load:            d.State(),
	})
}

// refuseOverdue refuses a call that is still queued after its maximum wait.
func (d *Deliverer) refuseOverdue(v *delivery) {
	d.mu.Lock()
	removed := d.queue.Remove(&v.Job)
	d.mu.Unlock()
	if removed {
		d.countShare(v)
		d.refuse(v, "waited too long", v.LatencyObjective, true)
	}
}

// cancel removes a queued call. It aborts a running one by closing its connection if the call is
// idempotent; otherwise it has no effect.
func (d *Deliverer) cancel(v *delivery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue.Remove(&v.Job) {
		v.timer.Stop() // it refers to the call
		v.endReservation()
		return
	}
	if v.call.Idempotent {
		v.canceled = true
		if v.conn != nil {
			_ = v.conn.Close() // the target drops the request with its connection
		}
	}
}

// withdraw refuses a queued call, and one that has a slot but whose request has not been sent yet.
func (d *Deliverer) withdraw(v *delivery) {
	d.mu.Lock()
	v.withdrawn = true
	removed := d.queue.Remove(&v.Job)
	if removed {
		v.timer.Stop()
	}
	d.mu.Unlock()
	if removed {
		d.refuse(v, reasonWithdrawn, 0, false)
	}
}

// unwantedReason returns why the sender of a call does not want it to start any more, or "". d.mu must be held.
func (v *delivery) unwantedReason() string {
	switch {
	case v.canceled:
		return "given up"
	case v.withdrawn:
		return reasonWithdrawn
	}
	return ""
}

// run delivers a call that has a slot, releases the slot, and answers the call.
func (d *Deliverer) run(v *delivery) {
	started := time.Now()
	if v.timer != nil {
		v.timer.Stop()
	}
	d.Meter.Observe("deliver_wait", started.Sub(v.Arrived))
	result := d.deliver(v)
	now := time.Now()
	held := time.Duration(0)
	if result.Outcome == carrier.Answered {
		held = now.Sub(started)
	}
	d.mu.Lock()
	if !v.canceled {
		d.recordOutcome(result.Outcome, v.call.Remaining)
		d.countAnswer(v.call, result, held, now)
	}
	d.queue.Done(&v.Job, held, now)
	d.recordSize(v.call, result)
	result.Load = d.currentState(now)
	target := d.target.ID
	d.mu.Unlock()
	if result.Outcome != carrier.Answered {
		d.Log.Info("deliver: no answer",
			zap.ByteString("id", v.call.ID),
			zap.String("outcome", result.Outcome.String()),
			zap.String("reason", result.Reason),
			zap.String("target", target),
			zap.Duration("held", now.Sub(started)),
			zap.Duration("left", v.call.Remaining))
	}
	d.Meter.Add("deliver_"+result.Outcome.String(), 1)
	v.endReservation()
	v.answer(result)
}

// recordOutcome updates the share of calls that the target shed or failed. A call that expired
// counts as failed if it had ample time: a target may leave some requests without a response while
// it passes its health probe and responds to others.
func (d *Deliverer) recordOutcome(outcome carrier.Outcome, remaining time.Duration) {
	sample := 0.0
	switch outcome {
	case carrier.Shed, carrier.Failed:
		sample = 1
	case carrier.Expired:
		if remaining < ampleTimeFactor*d.queue.Load().Mean {
			return
		}
		sample = 1
	case carrier.Answered:
	default:
		return
	}
	d.failureRatio += failureWeight * (sample - d.failureRatio)
}

// countAnswer counts the answer to a call for the comparison of versions. A target that has just started is
// still slow, which proves nothing of its version.
func (d *Deliverer) countAnswer(call *carrier.Call, result *carrier.Answer, held time.Duration, now time.Time) {
	if d.Registry == nil {
		return
	}
	cold := now.Before(d.coldEnd)
	switch result.Outcome {
	case carrier.Answered:
		if result.Status >= fasthttp.StatusInternalServerError {
			d.tally.AddBad(call.Class)
			return
		}
		if cold {
			held = 0
		}
		d.tally.AddGood(call.Class, held)
	case carrier.Failed:
		d.tally.AddBad(call.Class)
	case carrier.Expired:
		if !cold {
			d.tally.AddBad(call.Class)
		}
	}
}

// recordSize updates the mean size of large responses.
func (d *Deliverer) recordSize(call *carrier.Call, result *carrier.Answer) {
	if call.Bulk && result.Outcome == carrier.Answered {
		d.bulkSize += bulkSizeWeight * (float64(result.BodySize()) - d.bulkSize)
	}
}

// endReservation ends the reservation of the uplink for a large response, which is sent now or will not be.
func (v *delivery) endReservation() {
	if v.unreserve != nil {
		v.unreserve()
	}
}

// deliver sends a call to the target on an idle connection or on a new one. Calls that are not
// idempotent are delivered at most once per attempt.
func (d *Deliverer) deliver(v *delivery) *carrier.Answer {
	if v.call.Confirm != nil && !v.call.Confirm() {
		return &carrier.Answer{Outcome: carrier.Refused, Reason: "no longer wanted"}
	}
	now := time.Now()
	d.mu.Lock()
	instance := d.target.ID
	reason := d.unavailableReason(now)
	if reason == "" {
		reason = v.unwantedReason()
	}
	if reason == "" && d.Clock.Passed(v.expires) {
		reason = "deadline passed"
	}
	if reason == "" && !v.call.Idempotent && !d.attempts.Begin(now, attemptKey(v.call.ID, v.call.Attempt)) {
		d.mu.Unlock()
		return &carrier.Answer{Outcome: carrier.Unknown, Reason: "attempt seen before"}
	}
	var c *conn
	if reason == "" {
		c = d.takeIdle(now)
	}
	d.mu.Unlock()
	if reason != "" {
		return &carrier.Answer{Outcome: carrier.Refused, Reason: reason}
	}
	if c == nil {
		var err error
		d.Meter.Add("target_connections", 1)
		if c, err = connect(d.Address); err != nil {
			d.markUnreachable(err)
			return &carrier.Answer{Outcome: carrier.Refused, Reason: "target unreachable"}
		}
	}
	return d.exchange(v, c, instance)
}
