// Package driver sends an open-loop load to nodes and checks what callers get.
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
	significantDigits = 3
	maxConns          = 4096
	callTimeout       = 15 * time.Second
	idleConnTimeout   = time.Minute
	minSleep          = 200 * time.Microsecond
)

// Kind is one kind of call in a mix.
type Kind struct {
	Name       string
	Method     string
	Path       string
	Weight     float64
	WorkTime   time.Duration // mean time at the target
	TailRatio  float64       // share of calls that take TailBy times longer
	TailFactor float64
	AtMostOnce bool          // must not run twice
	Short      bool          // counts as short work
	Late       time.Duration // a caller counts an answer after this as late
}

// Tally counts the outcomes of one kind of call.
type Tally struct {
	Kind      Kind
	Answered  int64
	Refused   int64
	Unknown   int64
	Failed    int64 // no outcome: the connection to the node failed
	Late      int64
	Wrong     int64                   // another caller's answer, or a part of one
	Histogram *hdrhistogram.Histogram // latency of answered calls, in microseconds
	Waits     *hdrhistogram.Histogram // the same without the call's own work
}

// Window holds the tallies of the calls that were due in one stretch of time.
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

// Tallies returns the counts of each kind. Read them after Wait.
func (w *Window) Tallies() []*Tally { return w.tallies }

// Sent returns the number of calls.
func (t *Tally) Sent() int64 { return t.Answered + t.Refused + t.Unknown + t.Failed + t.Wrong }

// Quantile returns a latency of answered calls.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.Histogram.ValueAtQuantile(q)) * time.Microsecond
}

// Driver sends calls. Set its fields before the first Run.
type Driver struct {
	Addresses    []string      // of the nodes' call listeners
	NetworkDelay time.Duration // one way between callers and nodes
	Kinds        []Kind
	Seed         uint64
	Direct       bool // Addresses are targets, without a mesh in between

	mu       sync.Mutex
	clients  map[string]*fasthttp.HostClient
	outcomes map[string]forwarder.Outcome // of calls that must not run twice
	serial   atomic.Uint64
	pending  sync.WaitGroup
}

// Run sends calls at a steady rate and waits for all of them to end.
func (d *Driver) Run(duration time.Duration, rate float64) *Window {
	window := d.Send(duration, rate)
	d.Wait()
	return window
}

// Wait waits for all calls to end.
func (d *Driver) Wait() { d.pending.Wait() }

// Send sends calls at a steady rate, as an open loop with random arrivals. Calls may
// go on after it returns.
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

// plannedCall is one call to be made.
type plannedCall struct {
	window  *Window
	tally   *Tally
	address string
	work    time.Duration
	dueAt   time.Time
}

// chooseKind returns the index of a random kind by weight.
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

// outcome reads what the caller was told; without an answer there is none.
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
	_ = histogram.RecordValue(value.Microseconds()) // within range by min and max
}

// Audit compares outcomes with the executions that targets counted.
type Audit struct {
	Lost    int // answered, but not run
	Doubled int // run more than once
	Denied  int // refused, but run
}

// HasViolations reports whether any promise failed.
func (a Audit) HasViolations() bool { return a.Lost+a.Doubled+a.Denied > 0 }

// Audit checks every call that must not run twice against executions by request.
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
