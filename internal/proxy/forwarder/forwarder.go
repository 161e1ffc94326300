// Package forwarder carries a request from the node that took it to a target and decides
// what may be tried again.
package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/budgeter"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/matcher"
)

const (
	maxHops       = 5                      // nodes that are asked before a request is turned away
	longestReason = 100                    // bytes in a log line; a reason may hold what a target sent
	eagerHops     = 3                      // of them, that are asked for a free slot only
	silence       = 250 * time.Millisecond // beyond the time limit until a silent node is given up
	defaultRetry  = 100 * time.Millisecond // pause that a client is told when nobody knows better
	maxRetry      = 2 * time.Second        // longest pause that a client is told
	leastRetry    = 20 * time.Millisecond  // left for another try to be worth it
	clientTravel  = 15 * time.Millisecond  // of a request and its answer between client and node
	leastPatience = 0.84                   // of the longest time limit of a route's clients, that all of them have at first
	returnedAim   = 0.6                    // of a route's aim, from its return, for which a returning client may wait
)

// Request is one request of a client, whole.
type Request struct {
	ID        []byte
	Route     *matcher.Route
	Version   uint64 // of the configuration that chose the route
	Arrived   time.Time
	Remaining time.Duration // until the client stops waiting
	Method    []byte
	URI       []byte
	Host      []byte
	Headers   []carrier.Header
	Body      []byte
	Gone      <-chan struct{} // closed when the client leaves
}

// Result is what the client is told.
type Result struct {
	Verdict    Verdict
	Answer     *carrier.Answer // if answered
	RetryAfter time.Duration   // if refused: the pause after which the client may return
}

// Verdict says what became of a request.
type Verdict int

// Verdicts on a request.
const (
	Answered Verdict = iota
	Refused          // it has not run and never will
	Failed           // it may have run
	Expired          // it was at work when its time was up
	Left             // the client left
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"answered", "refused", "failed", "expired", "left"}[v]
}

// Meter takes in measurements.
type Meter interface {
	Add(name string, n int64)
	Observe(name string, d time.Duration)
}

// Local delivers to this host's target.
type Local interface {
	Serve(call *carrier.Call, answer func(*carrier.Answer)) func()
	State() carrier.State
	// ParentPriority returns the priority of the request that the target runs from which an id was
	// derived, and whether there is one.
	ParentPriority(derived []byte) (priority int, ok bool)
}

// Forwarder sends requests to targets, on this host or beside other nodes.
type Forwarder struct {
	Log           *zap.Logger
	Meter         Meter
	Service       string // of this host's target
	FailureDomain string
	Local         Local
	Hub           *carrier.Hub
	Budget        func() budgeter.Budget // returns this node's allowance of repeats

	mu      sync.Mutex
	budgets map[string]*budgeter.Budget
	longest map[string]time.Duration // time left that a client had, by route
}

// budget returns a service's budget with the allowance that this node has now.
func (f *Forwarder) budget(service string) *budgeter.Budget {
	allowance := f.Budget()
	b, ok := f.budgets[service]
	if !ok {
		if f.budgets == nil {
			f.budgets = make(map[string]*budgeter.Budget)
		}
		b = &allowance
		f.budgets[service] = b
	}
	b.Slack = allowance.Slack
	return b
}

func (f *Forwarder) count(service string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).AddRequest(now)
}

func (f *Forwarder) mayRepeat(p *pass, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(p.service).AllowRetry(now, p.nested)
}

// spent estimates how much of a client's patience earlier attempts have used, and 0 for a
// first attempt. Clients of a route start with a time limit of their own, all within a
// share of the longest; one with less left than that has been here before.
func (f *Forwarder) spent(route *matcher.Route, left time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.longest == nil {
		f.longest = make(map[string]time.Duration)
	}
	longest := max(f.longest[route.Name], left)
	f.longest[route.Name] = longest
	if left >= time.Duration(leastPatience*float64(longest)) {
		return 0
	}
	return time.Duration((1+leastPatience)/2*float64(longest)) - left
}

// pass is the state of one request on its way.
type pass struct {
	*Request
	service  string
	end      time.Time
	aim      time.Time
	priority int
	nested   bool
	returned bool
	node     string   // last one that was asked
	asked    []string // nodes that refused or failed
	arrivals int      // at targets
	attempt  uint64
	mayRun   bool // an attempt may have run
	retry    time.Duration
	reason   string
}

// Forward brings a request to a target and returns what to tell the client.
func (f *Forwarder) Forward(request *Request) Result {
	limit := min(request.Remaining, request.Route.Timeout)
	p := &pass{
		Request:  request,
		service:  request.Route.Choose(rand.Float64()),
		end:      request.Arrived.Add(limit),
		priority: request.Route.Priority,
	}
	if priority, ok := f.Local.ParentPriority(request.ID); ok {
		p.nested, p.priority = true, priority
	}
	spent := f.spent(request.Route, request.Remaining)
	aim := request.Route.LatencyObjective - spent
	if !p.nested && spent > 0 {
		p.returned = true
		aim = max(aim, time.Duration(returnedAim*float64(request.Route.LatencyObjective)))
	}
	p.aim = request.Arrived.Add(aim - clientTravel)
	f.count(p.service, request.Arrived)
	for range maxHops {
		result, done := f.try(p)
		if done {
			f.note(p, result)
			return result
		}
	}
	result := p.giveUp()
	f.note(p, result)
	return result
}

// try makes one attempt. It reports false if another one may follow.
func (f *Forwarder) try(p *pass) (Result, bool) {
	now := time.Now()
	left := p.end.Sub(now)
	if left < leastRetry {
		return p.giveUp(), true
	}
	to, ok := f.pick(p)
	if !ok {
		if p.reason == "" {
			p.reason = "no target"
		}
		return p.giveUp(), true
	}
	if p.arrivals > 0 && (p.arrivals >= p.Route.MaxAttempts || !f.mayRepeat(p, now)) {
		p.reason += "; no more attempts"
		return p.giveUp(), true
	}
	p.attempt++
	p.node = to.node
	call := p.call(now, f.Service)
	call.NoWait = !to.full && p.attempt <= eagerHops
	answer := f.exchange(p, to, call, left)
	if answer == nil {
		return Result{Verdict: Left}, true
	}
	if !call.NoWait || answer.Outcome != carrier.Refused || !answer.NodeState.Serving {
		p.asked = append(p.asked, to.node)
	}
	return f.settle(p, to, call, answer)
}

// settle decides what an attempt's outcome means for the request.
func (f *Forwarder) settle(p *pass, to place, call *carrier.Call, answer *carrier.Answer) (Result, bool) {
	if answer.Outcome == carrier.Unknown && f.void(to, call) {
		answer.Outcome = carrier.Refused
	}
	if answer.Outcome != carrier.Answered {
		p.reason = to.node + ": " + answer.Reason[:min(len(answer.Reason), longestReason)]
	}
	switch answer.Outcome {
	case carrier.Answered:
		return Result{Verdict: Answered, Answer: answer}, true
	case carrier.Refused:
		if answer.RetryAfter > 0 && (p.retry == 0 || answer.RetryAfter < p.retry) {
			p.retry = answer.RetryAfter
		}
		if answer.MaxWaitExceeded {
			return p.giveUp(), true
		}
		return Result{}, false
	case carrier.Shed:
		p.arrivals++
		return Result{}, false
	case carrier.Expired:
		return Result{Verdict: Expired}, true
	}
	p.arrivals++
	p.mayRun = true
	if !p.Route.Idempotent {
		return Result{Verdict: Failed}, true
	}
	return Result{}, false
}

// giveUp returns what the client is told when nothing more is tried.
func (p *pass) giveUp() Result {
	if p.mayRun {
		return Result{Verdict: Failed}
	}
	retry := p.retry
	if retry == 0 {
		retry = defaultRetry
	}
	return Result{Verdict: Refused, RetryAfter: min(retry, maxRetry)}
}

// note logs what became of a request and why.
func (f *Forwarder) note(p *pass, result Result) {
	f.Meter.Add("request_"+result.Verdict.String(), 1)
	f.Meter.Observe("request", time.Since(p.Arrived))
	f.Log.Info("forward: "+result.Verdict.String(),
		zap.ByteString("id", p.ID),
		zap.String("route", p.Route.Name),
		zap.Uint64("version", p.Version),
		zap.String("service", p.service),
		zap.String("node", p.node),
		zap.Bool("nested", p.nested),
		zap.Bool("returned", p.returned),
		zap.Uint64("attempts", p.attempt),
		zap.Int("arrivals", p.arrivals),
		zap.String("reason", p.reason),
		zap.Duration("took", time.Since(p.Arrived)),
		zap.Duration("limit", p.end.Sub(p.Arrived)),
		zap.Duration("retry", result.RetryAfter))
}

func (p *pass) call(now time.Time, caller string) *carrier.Call {
	return &carrier.Call{
		ID:               p.ID,
		Attempt:          p.attempt,
		Service:          p.service,
		Priority:         p.priority,
		Nested:           p.nested,
		ClientRetry:      p.returned,
		Idempotent:       p.Route.Idempotent,
		Remaining:        p.end.Sub(now),
		SoftRemaining:    p.aim.Sub(now),
		LatencyObjective: p.Route.LatencyObjective,
		OriginService:    caller,
		Method:           p.Method,
		URI:              p.URI,
		Host:             p.Host,
		Headers:          p.Headers,
		Body:             p.Body,
	}
}

// exchange sends a call and waits for its answer, or nil if the client left.
func (f *Forwarder) exchange(p *pass, to place, call *carrier.Call, left time.Duration) *carrier.Answer {
	if to.link != nil {
		return to.link.Exchange(call, p.Gone, left+silence)
	}
	answers := make(chan *carrier.Answer, 1)
	giveUp := f.Local.Serve(call, func(answer *carrier.Answer) { answers <- answer })
	select {
	case answer := <-answers:
		return answer
	case <-p.Gone:
		if giveUp != nil {
			giveUp()
		}
		return nil
	}
}

// void tries to learn over a fresh link that an attempt never reached its target.
func (f *Forwarder) void(to place, call *carrier.Call) bool {
	if call.Idempotent || to.link == nil {
		return false
	}
	link, cleanUp, err := f.Hub.Redial(to.link.Peer.Address)
	if err != nil {
		f.Log.Info("forward: attempt can't be settled", zap.ByteString("id", call.ID), zap.String("node", to.node), recorder.Err(err))
		return false
	}
	defer cleanUp()
	if link.Peer.Started != to.link.Peer.Started {
		return false // the process that had the attempt is gone, and what it knew
	}
	return link.Void(call.ID, call.Attempt)
}
