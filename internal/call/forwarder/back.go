package forwarder

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/call/deduper"
	"clementinerock/internal/call/limiter"
	"clementinerock/internal/call/picker"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/proxy/headchecker"
)

// maxCallDuration is the longest time from a call's arrival at its target's node to its deadline.
const maxCallDuration = 10 * time.Minute

// Back is the side of a node that faces the targets on its host: it accepts calls from other nodes
// and from Front, and admits them to these targets.
type Back struct {
	LimiterPolicy string // name of the limiter policy
	Counter       Counter

	attempts    deduper.Deduper // attempts of calls that must not run twice
	httpClients httpClients
	mu          sync.RWMutex
	local       map[string]*localTarget // by address
	draining    bool
	openCalls   atomic.Int64
}

// Counter counts outcomes by name.
type Counter interface {
	Count(name string)
}

type localTarget struct {
	target      messenger.Target
	policy      limiter.Policy
	serviceTime *picker.Median // median time in a slot of calls other than bulk
}

// NewBack returns a Back without targets.
func NewBack(limiterPolicy string, counter Counter) *Back {
	return &Back{
		LimiterPolicy: limiterPolicy,
		Counter:       counter,
		httpClients:   httpClients{dial: dial, maxConns: maxTargetConns},
		local:         make(map[string]*localTarget),
	}
}

// SetTargets replaces the targets. A target that has the same address, service and slots as before
// keeps its queue and its measured service time.
func (b *Back) SetTargets(targets []messenger.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*localTarget, len(targets))
	for _, target := range targets {
		existing := b.local[target.Address]
		if existing == nil || existing.target.Slots != target.Slots || existing.target.Service != target.Service {
			existing = &localTarget{policy: limiter.New(b.LimiterPolicy, target.Slots), serviceTime: &picker.Median{}}
		}
		next[target.Address] = &localTarget{target: target, policy: existing.policy, serviceTime: existing.serviceTime}
	}
	b.local = next
	b.httpClients.prune(func(address string) bool { return next[address] != nil })
}

// Drain makes Back refuse all further calls.
func (b *Back) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// OpenCalls returns the number of calls in progress, including those that wait for a slot.
func (b *Back) OpenCalls() int { return int(b.openCalls.Load()) }

// Load returns the load of the target with the given address, or 0 if there is none.
func (b *Back) Load(address string) float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if t := b.local[address]; t != nil {
		return t.policy.Load()
	}
	return 0
}

// Attempts returns the number of attempts stored for deduplication.
func (b *Back) Attempts() int { return b.attempts.Len() }

// find returns the target to call, or nil and the reason for a refusal.
func (b *Back) find(address string) (*localTarget, Reason) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	t := b.local[address]
	switch {
	case b.draining:
		return nil, ReasonDraining
	case t == nil:
		return nil, ReasonNoTarget
	case t.target.State == messenger.Draining:
		return nil, ReasonDraining
	}
	return t, ReasonNone
}

// Handle serves a request from another node: a call, or the request to void an attempt.
func (b *Back) Handle(ctx *fasthttp.RequestCtx) {
	if void := ctx.Request.Header.Peek(HeaderVoid); len(void) > 0 {
		b.handleVoid(ctx, string(void))
		return
	}
	result := b.Serve(&ctx.Request, &ctx.Response)
	if result.Outcome != Answered {
		load := append([]byte(nil), ctx.Response.Header.Peek(HeaderLoad)...)
		serviceTime := append([]byte(nil), ctx.Response.Header.Peek(HeaderPace)...)
		result.write(&ctx.Response)
		ctx.Response.Header.SetBytesV(HeaderLoad, load)
		ctx.Response.Header.SetBytesV(HeaderPace, serviceTime)
	}
	if result.Reason == ReasonDraining {
		ctx.SetConnectionClose()
	}
}

// handleVoid responds "refused" if the attempt had not begun and will never run, else "unknown".
func (b *Back) handleVoid(ctx *fasthttp.RequestCtx, attempt string) {
	if b.attempts.Void(time.Now(), attempt) {
		refused(ReasonLost).write(&ctx.Response)
		return
	}
	unknown(ReasonLost).write(&ctx.Response)
}

// Serve admits one attempt and delivers it to its target. The result is Refused only if no byte of
// the call reached the target, or if the target responded that it did not run the call.
func (b *Back) Serve(request *fasthttp.Request, response *fasthttp.Response) Result {
	b.openCalls.Add(1)
	defer b.openCalls.Add(-1)
	started := time.Now()
	address := string(request.Header.Peek(HeaderTarget))
	admission := limiter.Request{
		Class:    readClass(request),
		Client:   string(request.Header.Peek(HeaderCaller)),
		Deadline: started.Add(remainingTime(request.Header.Peek(HeaderDeadline), maxCallDuration)),
		NoWait:   len(request.Header.Peek(HeaderNoWait)) > 0,
	}
	t, reason := b.find(address)
	if t == nil {
		b.Counter.Count("back_refused")
		return refused(reason)
	}
	verdict := t.policy.Acquire(admission)
	if !verdict.Admitted {
		b.Counter.Count("back_refused")
		setLoad(response, t)
		if admission.NoWait {
			return refused(ReasonNoSlot)
		}
		return Result{Outcome: Refused, Reason: ReasonBusy, RetryAfter: verdict.RetryAfter}
	}
	admitted := time.Now()
	result := b.deliver(request, response, address, admission.Deadline)
	held := time.Since(admitted)
	t.policy.Release(admission, held)
	if admission.Class != limiter.ClassBulk {
		t.serviceTime.Observe(held)
	}
	setLoad(response, t)
	b.Counter.Count("back_" + string(result.Outcome))
	return result
}

// setLoad reports the load and median service time of the target to the calling node.
func setLoad(response *fasthttp.Response, t *localTarget) {
	response.Header.Set(HeaderLoad, strconv.FormatFloat(t.policy.Load(), 'f', 2, 64))
	response.Header.Set(HeaderPace, strconv.FormatInt(t.serviceTime.Value().Microseconds(), 10))
}

// readClass returns the priority class of a request, the lowest if the header is missing or invalid.
func readClass(request *fasthttp.Request) limiter.Class {
	number, err := strconv.Atoi(string(request.Header.Peek(HeaderClass)))
	if err != nil {
		return limiter.ClassBulk
	}
	return limiter.Class(number).Normalize()
}

// deliver sends an admitted attempt to the target.
func (b *Back) deliver(request *fasthttp.Request, response *fasthttp.Response, address string, deadline time.Time) Result {
	if len(request.Header.Peek(HeaderOnce)) > 0 {
		attempt := string(request.Header.Peek(HeaderAttempt))
		if !b.attempts.Begin(time.Now(), attempt) {
			return unknown(ReasonDuplicate)
		}
	}
	if !time.Now().Before(deadline) {
		return refused(ReasonDeadline)
	}
	prepareForTarget(request, address, deadline)
	err := b.httpClients.get(address).DoDeadline(request, response, deadline)
	if err != nil {
		response.Reset()
		return classify(err)
	}
	for name, value := range response.Header.All() {
		if headchecker.CheckNameValue(string(name), string(value)) != nil {
			response.Reset()
			return unknown(ReasonBadAnswer) // the client library accepts more than the grammar of HTTP/1.1
		}
	}
	if string(response.Header.Peek(HeaderNotRun)) == "true" {
		return refused(ReasonShed)
	}
	response.Header.Set(HeaderOutcome, string(Answered))
	return Result{Outcome: Answered}
}

// prepareForTarget removes the headers that are used between nodes only and addresses the request
// to the target.
func prepareForTarget(request *fasthttp.Request, address string, deadline time.Time) {
	for _, header := range []string{HeaderAttempt, HeaderService, HeaderTarget, HeaderClass, HeaderOnce, HeaderCaller, HeaderNoWait} {
		request.Header.Del(header)
	}
	setRemainingTime(request, deadline)
	request.URI().SetScheme("http")
	request.URI().SetHost(address)
}
