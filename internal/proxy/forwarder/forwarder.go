// Package forwarder sends the requests of clients to targets and decides which failed attempts
// are retried.
package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/budgeter"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/evaluator"
	"clementinerock/internal/proxy/exposer"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/prober"
	"clementinerock/internal/proxy/splitter"
	"clementinerock/internal/proxy/throttler"
)

// reasonNoTarget is the reason of a request that is refused since no target of its service serves.
const reasonNoTarget = "no target"

const (
	maxNodeAttempts = 5 // maximum number of attempts per request, including those that reach no target
	maxFullQueues   = 3 // maximum number of queues per request that refuse it as full

	// maxReasonBytes is the maximum length of a reason in a log line, since a reason may contain
	// text from a target.
	maxReasonBytes = 100

	defaultRetryAfter = 100 * time.Millisecond // retry delay sent to a client if no node reported one
	maxRetryAfter     = 2 * time.Second        // longest retry delay sent to a client

	minAttemptTime  = 20 * time.Millisecond // minimum remaining time for another attempt
	clientRoundTrip = 15 * time.Millisecond // travel time of request and response, client to node

	// answerGrace is how long after the deadline a call still waits for the answer of a node.
	answerGrace = 250 * time.Millisecond

	// creditWait is the maximum time for which a request waits for credit of its account. It covers several
	// round trips to the issuer.
	creditWait = 150 * time.Millisecond

	// creditWaitShare is the same as a share of the latency objective, and of the remaining time.
	creditWaitShare = 0.3

	// clientRetryObjective is the minimum time from the arrival of a client retry to its soft
	// deadline, as a share of the route's latency objective.
	clientRetryObjective = 0.6
)

// Request is one complete request of a client.
type Request struct {
	ID        []byte
	Route     *matcher.Route
	Version   uint64 // version of the configuration that contains the route
	Account   string // name of the client account; empty for none
	Priority  int    // that of the account or of the route; 0 is the most urgent
	Arrived   time.Time
	Remaining time.Duration // time from the arrival until the client stops waiting
	Method    []byte
	URI       []byte
	Host      []byte
	Headers   []carrier.Header
	Body      []byte
	BodyRest  [][]byte        // further parts of the body, if it was received in parts
	Gone      <-chan struct{} // closed when the client disconnects
}

// Result is the outcome of a request for its client.
type Result struct {
	Verdict    Verdict
	Answer     *carrier.Answer // set if answered
	RetryAfter time.Duration   // set if refused or limited: retry delay for the client
	NotRun     bool            // if disconnected: whether the request certainly has not run and never will
}

// Verdict classifies the outcome of a request.
type Verdict int

// Verdicts on a request.
const (
	Answered     Verdict = iota
	Refused              // no target has run the request or ever will
	Failed               // a target may have run the request
	Expired              // the deadline passed while a target was running the request
	Disconnected         // the client disconnected
	Limited              // the client account has reached its usage cap; the request has not run and never will
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"answered", "refused", "failed", "expired", "left", "limited"}[v]
}

// Meter records measurements.
type Meter interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}

// Local delivers calls to the target on this host.
type Local interface {
	// Serve delivers a call and passes its outcome to answer once. The result is nil if the call has ended.
	Serve(call *carrier.Call, answer func(*carrier.Answer)) carrier.Delivery
	State() carrier.State
	// ParentPriority returns the priority of the request from whose ID the given ID was derived,
	// and whether the target is running such a request.
	ParentPriority(derived []byte) (priority int, ok bool)
}

// Limiter limits the requests of client accounts.
type Limiter interface {
	// Admit decides on a request. It may wait for the given time, until gone is closed.
	Admit(account string, wait time.Duration, gone <-chan struct{}) throttler.Admission
}

// Forwarder sends requests to targets on this host and on the hosts of other nodes.
type Forwarder struct {
	Log           *zap.Logger
	Meter         Meter
	Service       string // service of the target on this host
	FailureDomain string
	Local         Local
	Hub           *carrier.Hub
	Budget        func() budgeter.Budget // returns an unused retry budget with this node's share
	EvenLoad      bool                   // whether targets are chosen by balancer.PickEven
	Registry      *exposer.Registry      // rollouts; nil if the exposure of versions is not limited
	Limiter       Limiter                // nil if there are no usage caps
	Shutdown      *carrier.Shutdown      // of this process; nil if it has none

	mu           sync.Mutex
	budgets      map[string]*budgeter.Budget   // by service
	probers      map[string]*prober.Prober     // by service
	splitters    map[string]*splitter.Splitter // by route that splits its traffic
	maxRemaining map[string]time.Duration      // longest remaining time of a client's request, by route

	accountRefusals accountRefusals
}

// progress is the state of one request while it is forwarded.
type progress struct {
	*Request
	service      string
	preview      bool    // the choice is only explained, so that it must not change any state
	random       float64 // random draw that decides whether the request may go to a version under test
	deadline     time.Time
	softDeadline time.Time
	priority     int
	nested       bool
	clientRetry  bool
	node         string   // node of the last attempt
	excluded     []string // nodes that are not to be tried again
	arrivals     int      // attempts that reached a target or may have
	attempt      uint64   // number of the last attempt, from 1
	probes       int      // number of attempts left that may be sent with NoWait
	fullQueues   int      // number of queues that refused the request as full
	mayHaveRun   bool
	retryAfter   time.Duration // shortest expected wait of a node that refused or was skipped, or 0
	reason       string        // reason why the last attempt failed
}

// Forward sends a request to a target, and to others if it may be retried, and returns the
// result for the client. Requests of a client account are sent only within its usage cap.
func (f *Forwarder) Forward(request *Request) Result {
	if request.Account == "" || f.Limiter == nil {
		return f.forward(request)
	}
	admission := f.Limiter.Admit(request.Account, MaxCreditWait(request), request.Gone)
	result := Result{RetryAfter: admission.RetryAfter}
	switch admission.Verdict {
	case throttler.Admitted:
		result = f.forward(request)
		if result.Verdict == Refused || result.NotRun {
			admission.NotRun()
		}
		return result
	case throttler.Left:
		result.Verdict = Disconnected
	case throttler.Limited:
		result.Verdict = Limited
	default:
		result.Verdict = Refused
	}
	f.Meter.Add("request_"+result.Verdict.String(), 1)
	return result
}

// MaxCreditWait returns the maximum time for which a request waits for credit of its account.
func MaxCreditWait(request *Request) time.Duration {
	wait := min(creditWait, time.Duration(creditWaitShare*float64(request.Remaining)))
	if request.Route.SoftDeadline > 0 {
		wait = min(wait, time.Duration(creditWaitShare*float64(request.Route.SoftDeadline)))
	}
	return wait
}

func (f *Forwarder) forward(request *Request) Result {
	limit := min(request.Remaining, request.Route.Timeout)
	p := &progress{
		Request:  request,
		random:   rand.Float64(),
		deadline: request.Arrived.Add(limit),
		priority: request.Priority,
	}
	if priority, ok := f.Local.ParentPriority(request.ID); ok {
		p.nested, p.priority = true, priority
	}
	elapsed := f.elapsed(request.Route, request.Remaining)
	softDeadline := request.Route.SoftDeadline - elapsed // relative to the arrival
	if !p.nested && elapsed > 0 {
		p.clientRetry = true
		softDeadline = max(softDeadline, time.Duration(clientRetryObjective*float64(request.Route.SoftDeadline)))
	}
	p.softDeadline = request.Arrived.Add(softDeadline - clientRoundTrip)
	p.service = f.chooseService(p)
	f.countRequest(p)
	p.probes = f.probes(p.service)
	result, done := Result{}, false
	for i := 0; i < maxNodeAttempts && !done; i++ {
		result, done = f.try(p)
	}
	if !done {
		result = p.unansweredResult()
	}
	if result.Verdict == Refused {
		f.recordRefused(p)
		if p.Account != "" {
			result.RetryAfter = spread(result.RetryAfter, rand.Float64())
		}
	}
	f.logResult(p, result)
	return result
}

// try makes one attempt. It returns false if another attempt may follow.
func (f *Forwarder) try(p *progress) (Result, bool) {
	now := time.Now()
	remaining := p.deadline.Sub(now)
	if remaining < minAttemptTime {
		return p.unansweredResult(), true
	}
	to, ok := f.pick(p)
	if !ok {
		if p.reason == "" {
			p.reason = reasonNoTarget
		}
		return p.unansweredResult(), true
	}
	if f.stopsBefore(to, now) {
		p.reason = reasonStopping
		return p.unansweredResult(), true
	}
	if p.arrivals > 0 && (p.arrivals >= p.Route.MaxAttempts || !f.allowRetry(p, now)) {
		p.reason += "; no more attempts"
		return p.unansweredResult(), true
	}
	p.attempt++
	p.node = to.node
	call := p.call(now, f.Service)
	call.Shutdown = f.Shutdown
	call.NoWait = !to.reportedFull && p.probes > 0
	answer := f.exchange(p, to, call, remaining)
	if answer == nil {
		return Result{Verdict: Disconnected, NotRun: p.arrivals == 0 && call.NeverRuns}, true
	}
	if call.NoWait {
		p.probes--
		f.recordProbe(p.service, answer.Outcome != carrier.Refused)
	}
	// A node that only had no free slot may be tried again with a call that may wait.
	if !call.NoWait || answer.Outcome != carrier.Refused || !answer.Load.Serving {
		p.excluded = append(p.excluded, to.node)
	}
	return f.processAnswer(p, to, call, answer)
}

// processAnswer decides from the outcome of an attempt whether the request has its result. It
// returns false if another attempt may follow.
func (f *Forwarder) processAnswer(p *progress, to destination, call *carrier.Call, answer *carrier.Answer) (Result, bool) {
	if answer.Outcome == carrier.Unknown && f.voidInTime(to, call) {
		answer.Outcome = carrier.Refused
	}
	if answer.Outcome != carrier.Answered {
		p.reason = to.node + ": " + answer.Reason[:min(len(answer.Reason), maxReasonBytes)]
	}
	switch answer.Outcome {
	case carrier.Answered:
		return Result{Verdict: Answered, Answer: answer}, true
	case carrier.Refused:
		p.recordRefusal(call, answer)
		if p.Account != "" && !call.NoWait && answer.RetryAfter > 0 {
			f.recordAccountRefused(p)
		}
		if answer.MaxWaitExceeded || p.fullQueues >= maxFullQueues {
			return p.unansweredResult(), true
		}
		return Result{}, false
	case carrier.Shed:
		p.arrivals++
		return Result{}, false
	case carrier.Expired:
		return Result{Verdict: Expired}, true
	}
	p.arrivals++
	p.mayHaveRun = true
	if !p.Route.Idempotent {
		return Result{Verdict: Failed}, true
	}
	return Result{}, false
}

// recordRefusal keeps the shortest expected wait and counts the queues that were full.
func (p *progress) recordRefusal(call *carrier.Call, answer *carrier.Answer) {
	if answer.RetryAfter <= 0 {
		return // the refusal does not come from a queue
	}
	if p.retryAfter == 0 || answer.RetryAfter < p.retryAfter {
		p.retryAfter = answer.RetryAfter
	}
	if !call.NoWait {
		p.fullQueues++
	}
}

// unansweredResult returns the result of a request that has no answer and is not tried again.
func (p *progress) unansweredResult() Result {
	if p.mayHaveRun {
		return Result{Verdict: Failed}
	}
	retryAfter := p.retryAfter
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	return Result{Verdict: Refused, RetryAfter: min(retryAfter, maxRetryAfter)}
}

// logResult logs and counts the result of a request.
func (f *Forwarder) logResult(p *progress, result Result) {
	f.Meter.Add("request_"+result.Verdict.String(), 1)
	f.Meter.Observe("request", time.Since(p.Arrived))
	f.Log.Info("forward: "+result.Verdict.String(),
		zap.ByteString("id", p.ID),
		zap.String("route", p.Route.Name),
		zap.Uint64("version", p.Version),
		zap.String("service", p.service),
		zap.String("account", p.Account),
		zap.String("node", p.node),
		zap.Bool("nested", p.nested),
		zap.Bool("returned", p.clientRetry),
		zap.Uint64("attempts", p.attempt),
		zap.Int("arrivals", p.arrivals),
		zap.String("reason", p.reason),
		zap.Duration("took", time.Since(p.Arrived)),
		zap.Duration("limit", p.deadline.Sub(p.Arrived)),
		zap.Duration("retry", result.RetryAfter))
}

func (p *progress) call(now time.Time, originService string) *carrier.Call {
	return &carrier.Call{
		ID:               p.ID,
		Attempt:          p.attempt,
		Service:          p.service,
		Account:          p.Account,
		Class:            evaluator.ClassOf(p.Route.Name),
		Priority:         p.priority,
		Nested:           p.nested,
		ClientRetry:      p.clientRetry,
		Idempotent:       p.Route.Idempotent,
		Bulk:             p.Route.Bulk,
		Remaining:        p.deadline.Sub(now),
		SoftDeadline:     p.softDeadline.Sub(now),
		LatencyObjective: p.Route.SoftDeadline,
		OriginService:    originService,
		Method:           p.Method,
		URI:              p.URI,
		Host:             p.Host,
		Headers:          p.Headers,
		Body:             p.Body,
		BodyRest:         p.BodyRest,
	}
}

// exchange sends a call and waits for its answer. It returns nil if the client disconnects.
func (f *Forwarder) exchange(p *progress, to destination, call *carrier.Call, remaining time.Duration) *carrier.Answer {
	if to.link != nil {
		return to.link.Exchange(call, p.Gone, remaining+answerGrace)
	}
	return f.exchangeLocally(p, call)
}

// void asks the node of an attempt with an unknown outcome, over a new link, to void the
// attempt. It reports whether this proves that the attempt never reached its target.
func (f *Forwarder) void(to destination, call *carrier.Call) bool {
	link, cleanUp, err := f.Hub.DialTemporary(to.link.Peer.Address)
	if err != nil {
		f.Log.Info("forward: attempt not voided, its outcome stays unknown",
			zap.ByteString("id", call.ID), zap.String("node", to.node), recorder.Err(err))
		return false
	}
	defer cleanUp()
	if link.Peer.Started != to.link.Peer.Started {
		return false // the node has restarted and lost its record of the attempt
	}
	return link.Void(call.ID, call.Attempt)
}
