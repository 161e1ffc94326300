// Package deliverer is the only way to the target on this host: it admits calls, hands them
// over and reads the answers.
package deliverer

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/call/deduper"
	"clementinerock/internal/proxy/admitter"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/tracker"
)

const (
	attemptMemory = 30 * time.Second       // longer than any client waits
	answerGrace   = 60 * time.Millisecond  // for the target's own answer at the time limit
	leastLeft     = 10 * time.Millisecond  // below which a target is not bothered
	retryConnect  = 250 * time.Millisecond // between tries to reach a target that refused a connection
	failureWeight = 0.05                   // of one call in the share of failures
	ampleTimes    = 6                      // mean times in a slot, in which nearly all calls end
)

// Meter takes in measurements.
type Meter interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}

// Deliverer guards the target of this host. It refuses all calls until Update.
type Deliverer struct {
	Log     *zap.Logger
	Meter   Meter
	Address string        // of the target
	Changed func()        // called when the target's state changed for other nodes
	Version func() uint64 // of the configuration in force
	Linger  time.Duration // for which a target that has said that it leaves still gets calls

	mu       sync.Mutex
	queue    admitter.Queue
	target   tracker.Report
	coldEnd  time.Time
	stopping bool
	leaving  time.Time // until when a target that leaves still gets calls
	down     time.Time // until when the target is taken to be unreachable
	idle     []*conn
	attempts deduper.Deduper
	failing  float64         // share of recent calls
	running  map[string]work // by request id
}

// delivery is one call on its way.
type delivery struct {
	admitter.Job
	call   *carrier.Call
	answer func(*carrier.Answer)
	conn   *conn // while the target works on it
	gaveUp bool
	timer  *time.Timer
}

// Update takes in a new state of the target.
func (d *Deliverer) Update(report tracker.Report, now time.Time) {
	d.mu.Lock()
	if report.ID != d.target.ID || report.Born != d.target.Born {
		d.closeIdle()
		d.down = time.Time{}
		d.failing = 0
	}
	changed := report.State != d.target.State || report.ID != d.target.ID || report.Slots != d.target.Slots
	if d.target.State == tracker.Serving && report.State != tracker.Serving && report.ID == d.target.ID {
		d.leaving = now.Add(d.Linger)
		time.AfterFunc(d.Linger, d.leave)
	}
	if report.State == tracker.Serving {
		d.leaving = time.Time{}
	}
	d.target = report
	d.coldEnd = now.Add(report.Cold)
	d.resize(now)
	d.mu.Unlock()
	if changed {
		d.Changed()
	}
}

// leave ends the calls to a target that leaves.
func (d *Deliverer) leave() {
	d.mu.Lock()
	d.resize(time.Now())
	d.mu.Unlock()
	d.Changed()
}

// Stop makes the deliverer refuse all further calls, since this process ends.
func (d *Deliverer) Stop() {
	d.mu.Lock()
	known := d.stopping
	d.stopping = true
	d.resize(time.Now())
	d.mu.Unlock()
	if !known {
		d.Changed()
	}
}

// Busy returns the number of calls that the target works on or that wait for it.
func (d *Deliverer) Busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	load := d.queue.Load()
	return load.InUse + load.Waiting
}

// resize sets the slots that may be used at this moment.
func (d *Deliverer) resize(now time.Time) {
	if d.closedBy(now) == "" {
		d.queue.Slots = d.target.Slots
		d.queue.Fill(now)
		return
	}
	d.queue.Slots = 0
	d.queue.Flush()
	d.closeIdle()
}

// closedBy returns why the target takes no calls, or nothing if it does.
func (d *Deliverer) closedBy(now time.Time) string {
	switch {
	case d.stopping:
		return "node stopping"
	case d.target.State != tracker.Serving && !now.Before(d.leaving):
		return "target " + d.target.State.String()
	case now.Before(d.down):
		return "target unreachable"
	}
	return ""
}

// State returns what other nodes are told of the target.
func (d *Deliverer) State() carrier.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(time.Now())
}

func (d *Deliverer) state(now time.Time) carrier.State {
	load := d.queue.Load()
	var waits []int
	if load.InUse >= load.Slots {
		for _, wait := range load.Waits {
			waits = append(waits, int(wait.Milliseconds()))
		}
	}
	return carrier.State{
		Serving:       d.closedBy(now) == "",
		Slots:         load.Slots,
		InUse:         load.InUse,
		Waiting:       load.Waiting,
		Mean:          load.Mean.Truncate(time.Millisecond / 8),
		Failing:       d.failing,
		ColdRemaining: max(d.coldEnd.Sub(now), 0).Truncate(time.Millisecond),
		Waits:         waits,
		Version:       d.Version(),
	}
}

// Void forbids an attempt and reports whether it never reached the target.
func (d *Deliverer) Void(id []byte, attempt uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.attempts.Void(time.Now(), attemptKey(id, attempt))
}

func attemptKey(id []byte, attempt uint64) string {
	return string(id) + "/" + string(rune('0'+attempt))
}

// Serve delivers a call to the target and answers once. The function returned gives the
// call up: one that waits leaves, one that may be repeated is broken off.
func (d *Deliverer) Serve(call *carrier.Call, answer func(*carrier.Answer)) func() {
	now := time.Now()
	v := &delivery{call: call, answer: answer}
	v.Class = admitter.Class{Priority: call.Priority, Nested: call.Nested, ClientRetry: call.ClientRetry}
	v.Deadline = now.Add(call.Remaining - leastLeft)
	v.SoftDeadline = now.Add(call.SoftDeadline)
	v.LatencyObjective = call.LatencyObjective
	v.Arrived = now
	v.Start = func() { go d.run(v) }
	v.Refuse = func(wait time.Duration) { go d.refuse(v, "turned away", wait, false) }
	reason, wait := d.admit(v, now)
	if reason != "" {
		d.refuse(v, reason, wait, false)
		return nil
	}
	return func() { d.giveUp(v) }
}

// admit offers a call to the queue. It returns why the call is refused, or nothing.
func (d *Deliverer) admit(v *delivery, now time.Time) (string, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts.Retention = attemptMemory
	if reason := d.closedBy(now); reason != "" {
		return reason, 0
	}
	if v.call.Service != d.target.Service {
		return "other service", 0
	}
	if d.queue.Slots == 0 {
		d.resize(now) // the pause after a refused connection is over
	}
	if v.call.NoWait && !d.queue.HasFreeSlot() {
		return "no free slot", 0
	}
	admitted, wait := d.queue.Offer(&v.Job, now)
	if !admitted {
		return "full", wait
	}
	if v.Waiting() {
		v.timer = time.AfterFunc(v.MaxWait(now), func() { d.expire(v) })
	}
	return "", 0
}

func (d *Deliverer) refuse(v *delivery, reason string, wait time.Duration, waited bool) {
	d.Meter.Add("deliver_refused", 1)
	v.answer(&carrier.Answer{
		Outcome:         carrier.Refused,
		Reason:          reason,
		RetryAfter:      wait,
		MaxWaitExceeded: waited,
		Load:            d.State(),
	})
}

// expire turns a call away whose time is up while it waits.
func (d *Deliverer) expire(v *delivery) {
	d.mu.Lock()
	removed := d.queue.Remove(&v.Job)
	d.mu.Unlock()
	if removed {
		d.refuse(v, "waited too long", v.LatencyObjective, true)
	}
}

// giveUp ends a call that nobody waits for any more.
func (d *Deliverer) giveUp(v *delivery) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue.Remove(&v.Job) {
		return
	}
	if v.call.Idempotent {
		v.gaveUp = true
		if v.conn != nil {
			_ = v.conn.Close() // the target drops the request with its connection
		}
	}
}

// ParentPriority returns the priority of the request that the target runs from whose id another id
// was derived by adding to its end, and whether there is one.
func (d *Deliverer) ParentPriority(derived []byte) (priority int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, work := range d.running {
		if len(id) < len(derived) && id == string(derived[:len(id)]) {
			return work.priority, true
		}
	}
	return 0, false
}

// work is a request that the target runs.
type work struct {
	runs     int
	priority int
}

// mark takes in that the target runs a request, once more.
func (d *Deliverer) mark(call *carrier.Call) {
	if d.running == nil {
		d.running = make(map[string]work)
	}
	id := string(call.ID)
	d.running[id] = work{runs: d.running[id].runs + 1, priority: call.Priority}
}

// unmark takes in that a run of a request has ended.
func (d *Deliverer) unmark(call *carrier.Call) {
	id := string(call.ID)
	left := d.running[id]
	left.runs--
	if left.runs <= 0 {
		delete(d.running, id)
		return
	}
	d.running[id] = left
}

// run hands a call that has a slot to the target.
func (d *Deliverer) run(v *delivery) {
	started := time.Now()
	if v.timer != nil {
		v.timer.Stop()
	}
	d.Meter.Observe("deliver_wait", started.Sub(v.Arrived))
	result := d.attempt(v)
	now := time.Now()
	held := time.Duration(0)
	if result.Outcome == carrier.Answered {
		held = now.Sub(started)
	}
	d.mu.Lock()
	if !v.gaveUp {
		d.judge(result.Outcome, v.call.Remaining)
	}
	d.queue.Done(&v.Job, held, now)
	result.Load = d.state(now)
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
	v.answer(result)
}

// judge keeps the share of calls that the target itself did not answer. One that had ample
// time counts as failed if the time ran out: a target may leave requests hanging while its
// health probe and its other answers are good.
func (d *Deliverer) judge(outcome carrier.Outcome, given time.Duration) {
	sample := 0.0
	switch outcome {
	case carrier.Shed, carrier.Failed:
		sample = 1
	case carrier.Expired:
		if given < ampleTimes*d.queue.Load().Mean {
			return
		}
		sample = 1
	case carrier.Answered:
	default:
		return
	}
	d.failing += failureWeight * (sample - d.failing)
}

func (d *Deliverer) attempt(v *delivery) *carrier.Answer {
	if v.call.Confirm != nil && !v.call.Confirm() {
		return &carrier.Answer{Outcome: carrier.Refused, Reason: "no longer wanted"}
	}
	now := time.Now()
	d.mu.Lock()
	instance := d.target.ID
	reason := d.closedBy(now)
	if reason == "" && v.gaveUp {
		reason = "given up"
	}
	if reason == "" && !v.call.Idempotent && !d.attempts.Begin(now, attemptKey(v.call.ID, v.call.Attempt)) {
		d.mu.Unlock()
		return &carrier.Answer{Outcome: carrier.Unknown, Reason: "attempt seen before"}
	}
	var c *conn
	if reason == "" {
		c = d.take(now)
	}
	d.mu.Unlock()
	if reason != "" {
		return &carrier.Answer{Outcome: carrier.Refused, Reason: reason}
	}
	if c == nil {
		var err error
		d.Meter.Add("target_connections", 1)
		if c, err = connect(d.Address); err != nil {
			d.unreachable(err)
			return &carrier.Answer{Outcome: carrier.Refused, Reason: "target unreachable"}
		}
	}
	return d.exchange(v, c, instance)
}
