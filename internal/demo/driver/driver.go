// Package driver generates open-loop load on nodes and checks the responses that clients receive.
package driver

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"clementinerock/internal/call/forwarder"
	"clementinerock/internal/demo/responder"
)

const (
	maxLatency        = 60 * time.Second
	significantDigits = 3 // precision of the histograms
	maxConns          = 4096
	callTimeout       = 15 * time.Second
	idleConnTimeout   = time.Minute
	minSleep          = 200 * time.Microsecond // a call that is due sooner is sent at once
)

// Kind describes one kind of call in a mix.
type Kind struct {
	Name       string
	Method     string
	Path       string
	Weight     float64       // share of the mix, relative to the other weights
	WorkTime   time.Duration // mean processing time at the target, without the tail
	TailRatio  float64       // share of calls whose work time is multiplied by TailFactor
	TailFactor float64
	AtMostOnce bool          // the call must not run twice
	Short      bool          // measurements count the call as short work
	Late       time.Duration // latency above which an answer counts as late; 0 for no bound
}

// Tally counts the outcomes of one kind of call.
type Tally struct {
	Kind      Kind
	Answered  int64
	Refused   int64
	Unknown   int64
	Failed    int64                   // no outcome received, because the connection failed or the call timed out
	Late      int64                   // answered calls that took longer than Kind.Late
	Wrong     int64                   // the body is truncated or answers another request
	Histogram *hdrhistogram.Histogram // latencies of answered calls in microseconds
	Waits     *hdrhistogram.Histogram // the same latencies less the work time of each call
}

// Window holds the tallies of the calls sent by one Run or Send.
type Window struct {
	mu      sync.Mutex
	tallies []*Tally
}

func newWindow(kinds []Kind) *Window {
	w := &Window{}
	for _, kind := range kinds {
		w.tallies = append(w.tallies, &Tally{
			Kind:      kind,
			Histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
			Waits:     hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		})
	}
	return w
}

// Tallies returns the counts of each kind. They are complete only after Wait has returned.
func (w *Window) Tallies() []*Tally { return w.tallies }

// Sent returns the number of calls that have ended, whatever their outcome.
func (t *Tally) Sent() int64 { return t.Answered + t.Refused + t.Unknown + t.Failed + t.Wrong }

// Quantile returns the latency of answered calls at the percentile q.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.Histogram.ValueAtQuantile(q)) * time.Microsecond
}

// Driver sends calls. Its fields must be set before the first Run or Send.
type Driver struct {
	Addresses    []string      // addresses at which the nodes accept calls
	NetworkDelay time.Duration // simulated one-way latency between clients and nodes
	Kinds        []Kind
	Seed         uint64
	Direct       bool // Addresses are those of targets, which are called without the mesh

	mu       sync.Mutex
	clients  map[string]*fasthttp.HostClient
	outcomes map[string]forwarder.Outcome // by request ID, for calls that must not run twice
	serial   atomic.Uint64                // number of calls sent so far
	pending  sync.WaitGroup
}

// Run sends calls at a steady rate, in calls per second, and waits for all of them to end.
func (d *Driver) Run(duration time.Duration, rate float64) *Window {
	window := d.Send(duration, rate)
	d.Wait()
	return window
}

// Wait waits until all calls have ended.
func (d *Driver) Wait() { d.pending.Wait() }

// Send sends calls at a steady mean rate, in calls per second, as an open loop: arrivals are random
// and do not depend on responses. Calls may still be in flight when it returns.
func (d *Driver) Send(duration time.Duration, rate float64) *Window {
	window := newWindow(d.Kinds)
	rng := rand.New(rand.NewPCG(d.Seed, d.serial.Load()))
	start := time.Now()
	due := time.Duration(0)
	for due < duration {
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if pause := due - time.Since(start); pause > minSleep {
			time.Sleep(pause)
		}
		chosen := d.chooseKind(rng)
		p := plannedCall{
			window:  window,
			tally:   window.tallies[chosen],
			address: d.Addresses[rng.IntN(len(d.Addresses))],
			work:    randomWorkTime(&d.Kinds[chosen], rng),
			dueAt:   start.Add(due),
		}
		d.pending.Go(func() { d.call(&p) })
	}
	return window
}

// plannedCall is one call of the load. Its latency counts from dueAt, so that a late start of the
// call counts too.
type plannedCall struct {
	window  *Window
	tally   *Tally
	address string
	work    time.Duration
	dueAt   time.Time
}

// chooseKind returns the index of a kind, chosen at random by weight.
func (d *Driver) chooseKind(rng *rand.Rand) int {
	total := 0.0
	for i := range d.Kinds {
		total += d.Kinds[i].Weight
	}
	point := rng.Float64() * total
	for i := range d.Kinds {
		point -= d.Kinds[i].Weight
		if point < 0 {
			return i
		}
	}
	return len(d.Kinds) - 1
}

func randomWorkTime(kind *Kind, rng *rand.Rand) time.Duration {
	work := float64(kind.WorkTime) * (0.5 + rng.Float64())
	if rng.Float64() < kind.TailRatio {
		work *= kind.TailFactor
	}
	return time.Duration(work)
}

func (d *Driver) client(address string) *fasthttp.HostClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clients == nil {
		d.clients = make(map[string]*fasthttp.HostClient)
	}
	client := d.clients[address]
	if client == nil {
		client = &fasthttp.HostClient{
			Addr: address, MaxConns: maxConns, MaxIdleConnDuration: idleConnTimeout, MaxIdemponentCallAttempts: 1,
		}
		d.clients[address] = client
	}
	return client
}

func (d *Driver) call(p *plannedCall) {
	kind := &p.tally.Kind
	id := fmt.Sprintf("%d-%d", d.Seed, d.serial.Add(1))
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(kind.Method)
	request.SetRequestURI("http://" + p.address + kind.Path)
	request.Header.Set(responder.HeaderRequestID, id)
	request.Header.Set(responder.HeaderWorkTime, strconv.FormatInt(p.work.Microseconds(), 10))
	time.Sleep(d.NetworkDelay)
	err := d.client(p.address).DoTimeout(request, response, callTimeout)
	time.Sleep(d.NetworkDelay)
	latency := time.Since(p.dueAt)
	outcome := d.outcome(response, err)
	if kind.AtMostOnce {
		d.recordOutcome(id, outcome)
	}
	complete := responder.IsAnswer(response.Body(), id)
	p.record(outcome, complete, latency)
}

// outcome returns the outcome that the response reports. It is empty without a response. A target that
// is called directly reports none; its status 200 counts as answered.
func (d *Driver) outcome(response *fasthttp.Response, err error) forwarder.Outcome {
	if err != nil {
		return ""
	}
	if d.Direct && response.StatusCode() == fasthttp.StatusOK {
		return forwarder.Answered
	}
	return forwarder.Outcome(response.Header.Peek(forwarder.HeaderOutcome))
}

func (d *Driver) recordOutcome(id string, outcome forwarder.Outcome) {
	if outcome == "" {
		outcome = forwarder.Unknown
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outcomes == nil {
		d.outcomes = make(map[string]forwarder.Outcome)
	}
	d.outcomes[id] = outcome
}

func (p *plannedCall) record(outcome forwarder.Outcome, complete bool, latency time.Duration) {
	p.window.mu.Lock()
	defer p.window.mu.Unlock()
	t := p.tally
	switch {
	case outcome == "":
		t.Failed++
	case outcome == forwarder.Refused:
		t.Refused++
	case outcome == forwarder.Unknown:
		t.Unknown++
	case !complete:
		t.Wrong++
	default:
		t.Answered++
		record(t.Histogram, latency)
		record(t.Waits, latency-p.work)
		if t.Kind.Late > 0 && latency > t.Kind.Late {
			t.Late++
		}
	}
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	value = min(max(value, time.Microsecond), maxLatency)
	_ = histogram.RecordValue(value.Microseconds()) // cannot fail, the value is within the range
}

// Audit counts the calls whose outcome contradicts the executions that targets counted.
type Audit struct {
	Lost    int // answered but not run
	Doubled int // run more than once
	Denied  int // refused but run
}

// HasViolations reports whether any call was lost, ran twice or ran although it was refused.
func (a Audit) HasViolations() bool { return a.Lost+a.Doubled+a.Denied > 0 }

// Audit compares the outcome of every call that must not run twice with executions, the number of
// executions by request ID.
func (d *Driver) Audit(executions map[string]int) Audit {
	d.mu.Lock()
	defer d.mu.Unlock()
	var audit Audit
	for id, outcome := range d.outcomes {
		runs := executions[id]
		switch {
		case runs > 1:
			audit.Doubled++
		case outcome == forwarder.Answered && runs == 0:
			audit.Lost++
		case outcome == forwarder.Refused && runs > 0:
			audit.Denied++
		}
	}
	return audit
}
