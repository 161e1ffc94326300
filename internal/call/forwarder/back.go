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
)

const longestWait = 10 * time.Minute

// Back is the target's side of a node: it admits calls to the targets beside it.
type Back struct {
	LimiterPolicy string // name of the limiter policy
	Counter       Counter

	attempts deduper.Deduper
	clients  clients
	mu       sync.RWMutex
	local    map[string]*localTarget // by address
	draining bool
	open     atomic.Int64
}

// Counter counts outcomes by name.
type Counter interface {
	Count(name string)
}

type localTarget struct {
	target messenger.Target
	limit  limiter.Policy
	pace   *picker.Median // time in a slot of short calls
}

// NewBack returns a target side without targets.
func NewBack(limit string, counter Counter) *Back {
	return &Back{
		LimiterPolicy: limit,
		Counter:       counter,
		clients:       clients{dial: dial, maxConns: maxTargetConns},
		local:         make(map[string]*localTarget),
	}
}

// SetTargets replaces the targets. A target that stays keeps its queue.
func (b *Back) SetTargets(targets []messenger.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*localTarget, len(targets))
	for _, target := range targets {
		known := b.local[target.Address]
		if known == nil || known.target.Slots != target.Slots || known.target.Service != target.Service {
			known = &localTarget{limit: limiter.New(b.LimiterPolicy, target.Slots), pace: &picker.Median{}}
		}
		next[target.Address] = &localTarget{target: target, limit: known.limit, pace: known.pace}
	}
	b.local = next
	b.clients.drop(func(address string) bool { return next[address] != nil })
}

// Drain refuses all further calls.
func (b *Back) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// OpenCalls returns the number of calls in progress.
func (b *Back) OpenCalls() int { return int(b.open.Load()) }

// Load returns the load of a target, by address.
func (b *Back) Load(address string) float64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if t := b.local[address]; t != nil {
		return t.limit.Load()
	}
	return 0
}

// Attempts returns the number of attempts remembered.
func (b *Back) Attempts() int { return b.attempts.Len() }

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

// Handle serves a call from another node.
func (b *Back) Handle(ctx *fasthttp.RequestCtx) {
	if void := ctx.Request.Header.Peek(HeaderVoid); len(void) > 0 {
		b.handleVoid(ctx, string(void))
		return
	}
	result := b.Serve(&ctx.Request, &ctx.Response)
	if result.Outcome != Answered {
		load := append([]byte(nil), ctx.Response.Header.Peek(HeaderLoad)...)
		pace := append([]byte(nil), ctx.Response.Header.Peek(HeaderPace)...)
		result.write(&ctx.Response)
		ctx.Response.Header.SetBytesV(HeaderLoad, load)
		ctx.Response.Header.SetBytesV(HeaderPace, pace)
	}
	if result.Reason == ReasonDraining {
		ctx.SetConnectionClose()
	}
}

func (b *Back) handleVoid(ctx *fasthttp.RequestCtx, attempt string) {
	if b.attempts.Void(time.Now(), attempt) {
		refused(ReasonLost).write(&ctx.Response)
		return
	}
	unknown(ReasonLost).write(&ctx.Response)
}

// Serve admits one attempt and passes it to its target. The result is Refused
// only if no byte of the call reached the target, or the target said so.
func (b *Back) Serve(request *fasthttp.Request, response *fasthttp.Response) Result {
	b.open.Add(1)
	defer b.open.Add(-1)
	started := time.Now()
	address := string(request.Header.Peek(HeaderTarget))
	admission := limiter.Request{
		Class:    readClass(request),
		Client:   string(request.Header.Peek(HeaderCaller)),
		Deadline: started.Add(timeLeft(request.Header.Peek(HeaderDeadline), longestWait)),
		NoWait:   len(request.Header.Peek(HeaderNoWait)) > 0,
	}
	t, reason := b.find(address)
	if t == nil {
		b.Counter.Count("back_refused")
		return refused(reason)
	}
	verdict := t.limit.Acquire(admission)
	if !verdict.Admitted {
		b.Counter.Count("back_refused")
		setLoad(response, t)
		if admission.NoWait {
			return refused(ReasonNoSlot)
		}
		return Result{Outcome: Refused, Reason: ReasonBusy, RetryAfter: verdict.RetryAfter}
	}
	admitted := time.Now()
	result := b.run(request, response, address, admission.Deadline)
	held := time.Since(admitted)
	t.limit.Release(admission, held)
	if admission.Class != limiter.ClassBulk {
		t.pace.Observe(held)
	}
	setLoad(response, t)
	b.Counter.Count("back_" + string(result.Outcome))
	return result
}

func setLoad(response *fasthttp.Response, t *localTarget) {
	response.Header.Set(HeaderLoad, strconv.FormatFloat(t.limit.Load(), 'f', 2, 64))
	response.Header.Set(HeaderPace, strconv.FormatInt(t.pace.Value().Microseconds(), 10))
}

func readClass(request *fasthttp.Request) limiter.Class {
	number, err := strconv.Atoi(string(request.Header.Peek(HeaderClass)))
	if err != nil {
		return limiter.ClassBulk
	}
	return limiter.Class(number).Normalize()
}

// run passes an admitted attempt to the target.
func (b *Back) run(request *fasthttp.Request, response *fasthttp.Response, address string, deadline time.Time) Result {
	if len(request.Header.Peek(HeaderOnce)) > 0 {
		attempt := string(request.Header.Peek(HeaderAttempt))
		if !b.attempts.Begin(time.Now(), attempt) {
			return unknown(ReasonDuplicate)
		}
	}
	if !time.Now().Before(deadline) {
		return refused(ReasonDeadline)
	}
	toTarget(request, address, deadline)
	err := b.clients.get(address).DoDeadline(request, response, deadline)
	if err != nil {
		response.Reset()
		return classify(err)
	}
	if string(response.Header.Peek(HeaderNotRun)) == "true" {
		return refused(ReasonShed)
	}
	response.Header.Set(HeaderOutcome, string(Answered))
	return Result{Outcome: Answered}
}

// toTarget strips what is between nodes only and names the target.
func toTarget(request *fasthttp.Request, address string, deadline time.Time) {
	for _, header := range []string{HeaderAttempt, HeaderService, HeaderTarget, HeaderClass, HeaderOnce, HeaderCaller, HeaderNoWait} {
		request.Header.Del(header)
	}
	setTimeLeft(request, deadline)
	request.URI().SetScheme("http")
	request.URI().SetHost(address)
}
