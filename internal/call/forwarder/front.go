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
	voidTimeout    = 200 * time.Millisecond
	crowdedShare   = 0.5                  // of the tries that may find no slot before waiting is better
	crowdedSample  = 16                   // one in this many calls tries all the same, to learn when it is over
	answerSlack    = 5 * time.Millisecond // for the way back, beyond a call's deadline at the target
	callPrefixSize = 8
)

// Front is the callers' side of a node: it routes calls, picks targets and
// repeats attempts.
type Front struct {
	Policy  picker.Policy
	Back    *Back
	Hedging bool
	NoWait  bool // first try a target without waiting for a slot
	Counter Counter

	view    atomic.Pointer[router.Snapshot]
	clients clients
	prefix  string
	serial  atomic.Uint64
	routes  sync.Map // operation key to *routeState
	open    atomic.Int64
}

// routeState is what this node learned about one operation.
type routeState struct {
	retries retrier.Budget
	hedges  retrier.Budget
	delay   retrier.HedgeDelay
	useful  retrier.MovingRatio // of the hedges that came before the first attempt
	crowd   retrier.MovingRatio // of the attempts without waiting that found no slot
}

// NewFront returns a callers' side that reaches other nodes over connections made
// by connect, nil meaning TCP, with the given TLS settings.
func NewFront(policy picker.Policy, back *Back, connect fasthttp.DialFunc, config *tls.Config, counter Counter) *Front {
	raw := make([]byte, callPrefixSize)
	_, _ = crand.Read(raw) // never fails
	f := &Front{
		Policy:  policy,
		Back:    back,
		Hedging: true,
		NoWait:  true,
		Counter: counter,
		prefix:  hex.EncodeToString(raw),
		clients: clients{dial: dialTLS(connect, config), maxConns: maxPeerConns},
	}
	f.view.Store(&router.Snapshot{Table: router.New(nil)})
	return f
}

// SetSnapshot replaces the routes and targets that calls use.
func (f *Front) SetSnapshot(view *router.Snapshot) {
	f.view.Store(view)
}

// Snapshot returns the routes and targets that calls use.
func (f *Front) Snapshot() *router.Snapshot { return f.view.Load() }

// OpenCalls returns the number of calls in progress.
func (f *Front) OpenCalls() int { return int(f.open.Load()) }

func (f *Front) state(match router.Match) *routeState {
	key := match.Contract.Service + "/" + match.Route.Operation
	if s, ok := f.routes.Load(key); ok {
		return s.(*routeState)
	}
	fresh := &routeState{
		retries: retrier.Budget{Ratio: retrier.RetryRatio},
		hedges:  retrier.Budget{Ratio: retrier.HedgeRatio},
	}
	s, _ := f.routes.LoadOrStore(key, fresh)
	return s.(*routeState)
}

// call is one caller's request on its way.
type call struct {
	front    *Front
	state    *routeState
	targets  []*picker.Target
	tried    []*picker.Target
	id       string
	attempts int
	once     bool // must not run twice
	hedge    bool
	noWait   bool // the next attempt takes an open slot or none
	class    limiter.Class
	deadline time.Time
}

// Handle serves a caller.
func (f *Front) Handle(ctx *fasthttp.RequestCtx) {
	f.open.Add(1)
	defer f.open.Add(-1)
	view := f.view.Load()
	ctx.Request.Header.Set(HeaderCaller, ctx.RemoteIP().String())
	result := f.serve(view, &ctx.Request, &ctx.Response)
	if result.Outcome != Answered {
		result.write(&ctx.Response)
	}
	ctx.Response.Header.Del(HeaderLoad)
	ctx.Response.Header.Del(HeaderPace)
	f.Counter.Count("front_" + string(result.Outcome))
	if view.Draining {
		ctx.SetConnectionClose()
	}
}

func (f *Front) serve(view *router.Snapshot, request *fasthttp.Request, response *fasthttp.Response) Result {
	if !view.Ready {
		return refused(ReasonNotReady)
	}
	match, ok := view.Table.Find(string(request.Header.Method()), string(request.URI().Path()))
	if !ok {
		return refused(ReasonNoRoute)
	}
	c := f.newCall(view, match, request)
	if len(c.targets) == 0 {
		return refused(ReasonNoTarget)
	}
	c.state.retries.Deposit()
	c.state.hedges.Deposit()
	return c.run(request, response)
}

func (f *Front) newCall(view *router.Snapshot, match router.Match, request *fasthttp.Request) *call {
	depth, _ := strconv.Atoi(string(request.Header.Peek(HeaderDepth)))
	route := match.Route
	c := &call{
		front:    f,
		state:    f.state(match),
		targets:  view.Targets[match.Contract.Service],
		id:       string(request.Header.Peek(HeaderCall)),
		once:     !route.Idempotent(),
		class:    limiter.ClassOf(route),
		deadline: time.Now().Add(timeLeft(request.Header.Peek(HeaderDeadline), route.Timeout)),
	}
	c.hedge = f.Hedging && !c.once && route.Work == parser.WorkShort && depth <= retrier.MaxHedgeDepth && len(c.targets) > 1
	c.noWait = f.NoWait && len(c.targets) > 1 && (c.state.crowd.Value() < crowdedShare || rand.IntN(crowdedSample) == 0)
	if c.id == "" {
		c.id = f.prefix + "-" + strconv.FormatUint(f.serial.Add(1), 36)
	}
	request.Header.Set(HeaderCall, c.id)
	request.Header.Set(HeaderDepth, strconv.Itoa(depth+1))
	request.Header.Set(HeaderService, match.Contract.Service)
	request.Header.Set(HeaderClass, strconv.Itoa(int(c.class)))
	request.Header.Del(HeaderOnce)
	request.Header.Del(HeaderVoid)
	request.Header.Del(fasthttp.HeaderConnection)
	if c.once {
		request.Header.Set(HeaderOnce, "1")
	}
	return c
}

// run makes attempts until one is answered or nothing more may be tried. A call
// that must not run twice is tried again only after proof that it did not run.
func (c *call) run(request *fasthttp.Request, response *fasthttp.Response) Result {
	for {
		target := c.pick()
		if target == nil {
			return refused(ReasonNoTarget)
		}
		var result Result
		if c.hedge {
			result = c.raceAttempts(request, response, target)
		} else {
			result = c.attempt(request, response, target)
		}
		if result.Outcome == Answered {
			if c.noWait {
				c.state.crowd.Observe(false)
			}
			return result
		}
		if result.Outcome == Refused && result.Reason == ReasonLost {
			c.forget(target) // its connection was dead, the target itself may be sound
		}
		if c.noWait {
			c.noWait = false
			c.state.crowd.Observe(result.Reason == ReasonNoSlot)
		}
		if !c.mayRepeat(result) {
			return c.mustBeSafe(result)
		}
		c.front.Counter.Count("front_retry")
	}
}

// mustBeSafe keeps an idempotent call's refusal apart from what may have run.
func (c *call) mustBeSafe(result Result) Result {
	if result.Outcome == Refused && c.once && !result.provesNotRun() {
		panic("refusal without proof: " + string(result.Reason))
	}
	return result
}

// provesNotRun reports whether a refusal's reason can only arise before the call
// reached the target, or was stated by the target or by a void.
func (r Result) provesNotRun() bool {
	switch r.Reason {
	case ReasonNoRoute, ReasonNotReady, ReasonNoTarget, ReasonBusy, ReasonNoSlot, ReasonDraining,
		ReasonDeadline, ReasonUnreachable, ReasonShed, ReasonLost:
		return r.Outcome == Refused
	}
	return false
}

func (c *call) mayRepeat(result Result) bool {
	if result.Outcome == Unknown && c.once {
		return false
	}
	if c.attempts >= retrier.MaxAttempts || len(c.tried) >= len(c.targets) {
		return false
	}
	if !time.Now().Before(c.deadline) {
		return false
	}
	return result.sparesTarget() || c.state.retries.Withdraw()
}

// sparesTarget reports whether a refusal cost its target nothing and says nothing
// about load, so that trying elsewhere needs no budget.
func (r Result) sparesTarget() bool {
	return r.Outcome == Refused && (r.Reason == ReasonDraining || r.Reason == ReasonNoTarget)
}

// forget allows a target to be picked again.
func (c *call) forget(target *picker.Target) {
	c.tried = slices.DeleteFunc(c.tried, func(t *picker.Target) bool { return t == target })
}

func (c *call) pick() *picker.Target {
	target := c.front.Policy.Pick(c.targets, c.tried, time.Now())
	if target != nil {
		c.tried = append(c.tried, target)
		c.attempts++
	}
	return target
}

// attempt sends the call to one target and records what it showed.
func (c *call) attempt(request *fasthttp.Request, response *fasthttp.Response, target *picker.Target) Result {
	started := time.Now()
	target.RecordStart(started)
	result := c.exchange(request, response, target, c.id+"."+strconv.Itoa(c.attempts))
	now := time.Now()
	readLoad(response, target, now)
	switch {
	case result.Outcome == Answered:
		target.RecordAnswer(now)
		c.state.delay.Observe(now.Sub(started))
	case result.Reason == ReasonDeadline:
		target.RecordTimeout(now, now.Sub(started))
	case result.Reason == ReasonUnreachable || result.Reason == ReasonLost:
		target.RecordFailure(now)
	default:
		target.RecordRefusal()
	}
	return result
}

// readLoad takes in what an answer says of its target.
func readLoad(response *fasthttp.Response, target *picker.Target, now time.Time) {
	load, err := strconv.ParseFloat(string(response.Header.Peek(HeaderLoad)), 64)
	if err != nil {
		return
	}
	pace, err := strconv.ParseInt(string(response.Header.Peek(HeaderPace)), 10, 64)
	if err != nil {
		pace = 0
	}
	target.RecordLoad(now, load, time.Duration(pace)*time.Microsecond)
}

func (c *call) exchange(request *fasthttp.Request, response *fasthttp.Response, target *picker.Target, attempt string) Result {
	request.Header.Set(HeaderAttempt, attempt)
	request.Header.Del(HeaderNoWait)
	if c.noWait {
		request.Header.Set(HeaderNoWait, "1")
	}
	request.Header.Set(HeaderTarget, target.Listen)
	setTimeLeft(request, c.deadline)
	if target.Local {
		return c.exchangeLocal(request, response)
	}
	request.URI().SetScheme("http") // the connection itself is secured by its dialer
	request.URI().SetHost(target.Peer)
	client := c.front.clients.get(target.Peer)
	if err := client.DoDeadline(request, response, c.deadline.Add(answerSlack)); err != nil {
		response.Reset()
		return c.settle(classify(err), target, attempt)
	}
	return readResult(response)
}

// exchangeLocal serves the call here. The target's side strips headers, so it
// gets a copy that a further attempt does not need.
func (c *call) exchangeLocal(request *fasthttp.Request, response *fasthttp.Response) Result {
	local := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(local)
	request.CopyTo(local)
	return c.front.Back.Serve(local, response)
}

// settle asks the target's node to forbid an attempt whose outcome is unknown. If
// the attempt had not begun, that proves it never runs.
func (c *call) settle(result Result, target *picker.Target, attempt string) Result {
	if result.Outcome != Unknown || !c.once {
		return result
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + target.Peer + "/void")
	request.Header.Set(HeaderVoid, attempt)
	if err := c.front.clients.get(target.Peer).DoTimeout(request, response, voidTimeout); err != nil {
		return result
	}
	if readResult(response).Outcome == Refused {
		c.front.Counter.Count("front_voided")
		return Result{Outcome: Refused, Reason: result.Reason}
	}
	return result
}
