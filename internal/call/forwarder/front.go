package forwarder

import (
	crand "crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/call/limiter"
	"clementinerock/internal/call/picker"
	"clementinerock/internal/call/retrier"
	"clementinerock/internal/call/router"
	"clementinerock/internal/config/parser"
)

const (
	// maxNoSlotRatio bounds the ratio of no-wait attempts that found no free slot. From this ratio
	// on, first attempts wait for a slot, except those of one call in noSlotSample, which update
	// the ratio.
	maxNoSlotRatio = 0.5
	noSlotSample   = 16

	voidTimeout      = 200 * time.Millisecond
	responseSlack    = 5 * time.Millisecond // time after the deadline for the response to return
	callIDPrefixSize = 8
)

// Front is the side of a node that faces clients: it routes their calls, picks targets, retries and
// hedges.
type Front struct {
	Policy  picker.Policy
	Back    *Back
	Hedging bool
	NoWait  bool // make the first attempt without waiting for a slot
	Counter Counter

	snapshot    atomic.Pointer[router.Snapshot]
	httpClients httpClients
	idPrefix    string
	lastID      atomic.Uint64
	routeStates sync.Map // service and operation to *routeState
	openCalls   atomic.Int64
}

// routeState holds the budgets and measurements of one operation.
type routeState struct {
	retries    retrier.Budget
	hedges     retrier.Budget
	hedgeDelay retrier.HedgeDelay
	hedgeWins  retrier.MovingRatio // hedges that finished before the first attempt
	noSlot     retrier.MovingRatio // attempts without waiting that found no free slot
}

// NewFront returns a Front that connects to other nodes with connect (nil means TCP) and the given
// TLS settings. It has no routes until SetSnapshot.
func NewFront(policy picker.Policy, back *Back, connect fasthttp.DialFunc, config *tls.Config, counter Counter) *Front {
	raw := make([]byte, callIDPrefixSize)
	_, _ = crand.Read(raw) // never fails
	f := &Front{
		Policy:      policy,
		Back:        back,
		Hedging:     true,
		NoWait:      true,
		Counter:     counter,
		idPrefix:    hex.EncodeToString(raw),
		httpClients: httpClients{dial: dialTLS(connect, config), maxConns: maxPeerConns},
	}
	f.snapshot.Store(&router.Snapshot{Table: router.New(nil)})
	return f
}

// SetSnapshot replaces the routes and targets for new calls.
func (f *Front) SetSnapshot(snapshot *router.Snapshot) {
	f.snapshot.Store(snapshot)
}

// Snapshot returns the current routes and targets.
func (f *Front) Snapshot() *router.Snapshot { return f.snapshot.Load() }

// OpenCalls returns the number of calls in progress.
func (f *Front) OpenCalls() int { return int(f.openCalls.Load()) }

// state returns the state of the route's operation, which outlives configuration versions.
func (f *Front) state(match router.Match) *routeState {
	key := match.Contract.Service + "/" + match.Route.Operation
	if s, ok := f.routeStates.Load(key); ok {
		return s.(*routeState)
	}
	fresh := &routeState{
		retries: retrier.Budget{Ratio: retrier.RetryRatio},
		hedges:  retrier.Budget{Ratio: retrier.HedgeRatio},
	}
	s, _ := f.routeStates.LoadOrStore(key, fresh)
	return s.(*routeState)
}

// call is the state of a client's request while it is forwarded.
type call struct {
	front      *Front
	state      *routeState
	targets    []*picker.Target
	tried      []*picker.Target
	id         string
	attempts   int
	atMostOnce bool // not idempotent
	mayHedge   bool
	noWait     bool // the next attempt is refused if no slot is free
	class      limiter.Class
	deadline   time.Time
}

// Handle serves a request from a client.
func (f *Front) Handle(ctx *fasthttp.RequestCtx) {
	f.openCalls.Add(1)
	defer f.openCalls.Add(-1)
	snapshot := f.snapshot.Load()
	ctx.Request.Header.Set(HeaderCaller, ctx.RemoteIP().String())
	result := f.serve(snapshot, &ctx.Request, &ctx.Response)
	if result.Outcome != Answered {
		result.write(&ctx.Response)
	}
	ctx.Response.Header.Del(HeaderLoad)
	ctx.Response.Header.Del(HeaderPace)
	f.Counter.Count("front_" + string(result.Outcome))
	if snapshot.Draining {
		ctx.SetConnectionClose()
	}
}

func (f *Front) serve(snapshot *router.Snapshot, request *fasthttp.Request, response *fasthttp.Response) Result {
	if !snapshot.Ready {
		return refused(ReasonNotReady)
	}
	match, ok := snapshot.Table.Find(string(request.Header.Method()), string(request.URI().Path()))
	if !ok {
		return refused(ReasonNoRoute)
	}
	c := f.newCall(snapshot, match, request)
	if len(c.targets) == 0 {
		return refused(ReasonNoTarget)
	}
	c.state.retries.Deposit()
	c.state.hedges.Deposit()
	return c.run(request, response)
}

func (f *Front) newCall(snapshot *router.Snapshot, match router.Match, request *fasthttp.Request) *call {
	depth, _ := strconv.Atoi(string(request.Header.Peek(HeaderDepth)))
	route := match.Route
	c := &call{
		front:      f,
		state:      f.state(match),
		targets:    snapshot.Targets[match.Contract.Service],
		id:         string(request.Header.Peek(HeaderCall)),
		atMostOnce: !route.Idempotent(),
		class:      limiter.ClassOf(route),
		deadline:   time.Now().Add(remainingTime(request.Header.Peek(HeaderDeadline), route.Timeout)),
	}
	c.mayHedge = f.Hedging && !c.atMostOnce && route.Work == parser.WorkShort && depth <= retrier.MaxHedgeDepth && len(c.targets) > 1
	c.noWait = f.NoWait && len(c.targets) > 1 && (c.state.noSlot.Value() < maxNoSlotRatio || rand.IntN(noSlotSample) == 0)
	if c.id == "" {
		c.id = f.idPrefix + "-" + strconv.FormatUint(f.lastID.Add(1), 36)
	}
	request.Header.Set(HeaderCall, c.id)
	request.Header.Set(HeaderDepth, strconv.Itoa(depth+1))
	request.Header.Set(HeaderService, match.Contract.Service)
	request.Header.Set(HeaderClass, strconv.Itoa(int(c.class)))
	request.Header.Del(HeaderOnce)
	request.Header.Del(HeaderVoid)
	request.Header.Del(fasthttp.HeaderConnection)
	if c.atMostOnce {
		request.Header.Set(HeaderOnce, "1")
	}
	return c
}

// run makes attempts until one is answered or no retry is permitted. A call that must not run twice
// is retried only after proof that the last attempt did not run.
func (c *call) run(request *fasthttp.Request, response *fasthttp.Response) Result {
	for {
		target := c.pick()
		if target == nil {
			return refused(ReasonNoTarget)
		}
		var result Result
		if c.mayHedge {
			result = c.attemptWithHedge(request, response, target)
		} else {
			result = c.attempt(request, response, target)
		}
		if result.Outcome == Answered {
			if c.noWait {
				c.state.noSlot.Observe(false)
			}
			return result
		}
		if result.Outcome == Refused && result.Reason == ReasonLost {
			c.allowAgain(target) // only the connection failed, the target may be healthy
		}
		if c.noWait {
			c.noWait = false
			c.state.noSlot.Observe(result.Reason == ReasonNoSlot)
		}
		if !c.mayRetry(result) {
			return c.checkRefusal(result)
		}
		c.front.Counter.Count("front_retry")
	}
}

// checkRefusal panics if a call that must not run twice would be reported as refused for a reason
// that does not prove that it did not run.
func (c *call) checkRefusal(result Result) Result {
	if result.Outcome == Refused && c.atMostOnce && !result.provesNotRun() {
		panic("forwarder: call refused without proof that it did not run: " + string(result.Reason))
	}
	return result
}

// provesNotRun reports whether the reason of a refusal proves that the target did not run the call:
// it arises only before the call reaches the target, or comes from the target or from a voided
// attempt.
func (r Result) provesNotRun() bool {
	switch r.Reason {
	case ReasonNoRoute, ReasonNotReady, ReasonNoTarget, ReasonBusy, ReasonNoSlot, ReasonDraining,
		ReasonDeadline, ReasonUnreachable, ReasonShed, ReasonLost:
		return r.Outcome == Refused
	}
	return false
}

// mayRetry reports whether a further attempt is permitted after the result, and takes it from the
// retry budget unless it is free.
func (c *call) mayRetry(result Result) bool {
	if result.Outcome == Unknown && c.atMostOnce {
		return false
	}
	if c.attempts >= retrier.MaxAttempts || len(c.tried) >= len(c.targets) {
		return false
	}
	if !time.Now().Before(c.deadline) {
		return false
	}
	return result.retryIsFree() || c.state.retries.Withdraw()
}

// retryIsFree reports whether a refusal cost its target no work and does not indicate overload, so
// that a retry at another target needs no budget.
func (r Result) retryIsFree() bool {
	return r.Outcome == Refused && (r.Reason == ReasonDraining || r.Reason == ReasonNoTarget)
}

// allowAgain allows the target to be picked again for this call.
func (c *call) allowAgain(target *picker.Target) {
	c.tried = slices.DeleteFunc(c.tried, func(t *picker.Target) bool { return t == target })
}

// pick returns the target of the next attempt, or nil if none is left.
func (c *call) pick() *picker.Target {
	target := c.front.Policy.Pick(c.targets, c.tried, time.Now())
	if target != nil {
		c.tried = append(c.tried, target)
		c.attempts++
	}
	return target
}

// attempt sends the call to one target and updates the target's measurements with the result.
func (c *call) attempt(request *fasthttp.Request, response *fasthttp.Response, target *picker.Target) Result {
	started := time.Now()
	target.RecordStart(started)
	result := c.send(request, response, target, c.id+"."+strconv.Itoa(c.attempts))
	now := time.Now()
	readLoad(response, target, now)
	switch {
	case result.Outcome == Answered:
		target.RecordAnswer(now)
		c.state.hedgeDelay.Observe(now.Sub(started))
	case result.Reason == ReasonDeadline:
		target.RecordTimeout(now, now.Sub(started))
	case result.Reason == ReasonUnreachable || result.Reason == ReasonLost:
		target.RecordFailure(now)
	default:
		target.RecordRefusal()
	}
	return result
}

// readLoad stores the load and service time that the target's node reported in the response.
func readLoad(response *fasthttp.Response, target *picker.Target, now time.Time) {
	load, err := strconv.ParseFloat(string(response.Header.Peek(HeaderLoad)), 64)
	if err != nil {
		return
	}
	serviceTimeMicros, err := strconv.ParseInt(string(response.Header.Peek(HeaderPace)), 10, 64)
	if err != nil {
		serviceTimeMicros = 0
	}
	target.RecordLoad(now, load, time.Duration(serviceTimeMicros)*time.Microsecond)
}

// send sends one attempt to the target's node, or directly to Back if that is this node.
func (c *call) send(request *fasthttp.Request, response *fasthttp.Response, target *picker.Target, attempt string) Result {
	request.Header.Set(HeaderAttempt, attempt)
	request.Header.Del(HeaderNoWait)
	if c.noWait {
		request.Header.Set(HeaderNoWait, "1")
	}
	request.Header.Set(HeaderTarget, target.Listen)
	setRemainingTime(request, c.deadline)
	if target.Local {
		return c.sendLocal(request, response)
	}
	request.URI().SetScheme("http") // the dialer encrypts the connection
	request.URI().SetHost(target.Peer)
	client := c.front.httpClients.get(target.Peer)
	if err := client.DoDeadline(request, response, c.deadline.Add(responseSlack)); err != nil {
		response.Reset()
		return c.resolveUnknown(classify(err), target, attempt)
	}
	return readResult(response)
}

// sendLocal delivers the attempt to a target on this host. Back removes headers from the request,
// which a retry still needs, so it gets a copy.
func (c *call) sendLocal(request *fasthttp.Request, response *fasthttp.Response) Result {
	local := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(local)
	request.CopyTo(local)
	return c.front.Back.Serve(local, response)
}

// resolveUnknown asks the target's node to void an attempt whose outcome is unknown. If the
// attempt had not begun there, this proves that it never runs, and the result is Refused.
func (c *call) resolveUnknown(result Result, target *picker.Target, attempt string) Result {
	if result.Outcome != Unknown || !c.atMostOnce {
		return result
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + target.Peer + "/void")
	request.Header.Set(HeaderVoid, attempt)
	if err := c.front.httpClients.get(target.Peer).DoTimeout(request, response, voidTimeout); err != nil {
		return result
	}
	if readResult(response).Outcome == Refused {
		c.front.Counter.Count("front_voided")
		return Result{Outcome: Refused, Reason: result.Reason}
	}
	return result
}
