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
	maxLatency   = 60 * time.Second
	digits       = 3
	maxConns     = 4096
	callerLimit  = 15 * time.Second
	idleTime     = time.Minute
	sleepQuantum = 200 * time.Microsecond
)

// Kind is one kind of call in a mix.
type Kind struct {
	Name   string
	Method string
	Path   string
	Weight float64
	Work   time.Duration // mean time at the target
	Tail   float64       // share of calls that take TailBy times longer
	TailBy float64
	Once   bool          // must not run twice
	Short  bool          // counts as short work
	Late   time.Duration // a caller counts an answer after this as late
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
	Histogram *hdrhistogram.Histogram // of answered calls, in microseconds
}

// Sent returns the number of calls.
func (t *Tally) Sent() int64 { return t.Answered + t.Refused + t.Unknown + t.Failed + t.Wrong }

// Quantile returns a latency of answered calls.
func (t *Tally) Quantile(q float64) time.Duration {
	return time.Duration(t.Histogram.ValueAtQuantile(q)) * time.Microsecond
}

// Driver sends calls. Set its fields before the first Run.
type Driver struct {
	Addresses []string      // of the nodes' call listeners
	Distance  time.Duration // one way between callers and nodes
	Kinds     []Kind
	Seed      uint64

	mu       sync.Mutex
	clients  map[string]*fasthttp.HostClient
	tallies  map[string]*Tally
	outcomes map[string]forwarder.Outcome // of calls that must not run twice
	serial   atomic.Uint64
	pending  sync.WaitGroup
}

// Prepare readies the driver and clears earlier tallies; outcomes are kept.
func (d *Driver) Prepare() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clients == nil {
		d.clients = make(map[string]*fasthttp.HostClient)
		d.outcomes = make(map[string]forwarder.Outcome)
	}
	d.tallies = make(map[string]*Tally)
	for _, kind := range d.Kinds {
		d.tallies[kind.Name] = &Tally{Kind: kind, Histogram: hdrhistogram.New(1, maxLatency.Microseconds(), digits)}
	}
}

// Run sends calls at rate, which depends on the time since the start, and waits
// for all of them to end.
func (d *Driver) Run(duration time.Duration, rate func(time.Duration) float64) {
	rng := rand.New(rand.NewPCG(d.Seed, d.serial.Load()))
	start := time.Now()
	due := time.Duration(0)
	for due < duration {
		due += time.Duration(rng.ExpFloat64() / rate(due) * float64(time.Second))
		if pause := due - time.Since(start); pause > sleepQuantum {
			time.Sleep(pause)
		}
		kind := d.choose(rng)
		address := d.Addresses[rng.IntN(len(d.Addresses))]
		work := workTime(kind, rng)
		intended := start.Add(due)
		d.pending.Go(func() { d.call(kind, address, work, intended) })
	}
	d.pending.Wait()
}

// Constant returns a steady rate.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func (d *Driver) choose(rng *rand.Rand) *Kind {
	total := 0.0
	for i := range d.Kinds {
		total += d.Kinds[i].Weight
	}
	point := rng.Float64() * total
	for i := range d.Kinds {
		point -= d.Kinds[i].Weight
		if point < 0 {
			return &d.Kinds[i]
		}
	}
	return &d.Kinds[len(d.Kinds)-1]
}

func workTime(kind *Kind, rng *rand.Rand) time.Duration {
	work := float64(kind.Work) * (0.5 + rng.Float64())
	if rng.Float64() < kind.Tail {
		work *= kind.TailBy
	}
	return time.Duration(work)
}

func (d *Driver) client(address string) *fasthttp.HostClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	client := d.clients[address]
	if client == nil {
		client = &fasthttp.HostClient{
			Addr: address, MaxConns: maxConns, MaxIdleConnDuration: idleTime, MaxIdemponentCallAttempts: 1,
		}
		d.clients[address] = client
	}
	return client
}

func (d *Driver) call(kind *Kind, address string, work time.Duration, intended time.Time) {
	id := fmt.Sprintf("%d-%d", d.Seed, d.serial.Add(1))
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(kind.Method)
	request.SetRequestURI("http://" + address + kind.Path)
	request.Header.Set(responder.HeaderRequest, id)
	request.Header.Set(responder.HeaderWork, strconv.FormatInt(work.Microseconds(), 10))
	time.Sleep(d.Distance)
	err := d.client(address).DoTimeout(request, response, callerLimit)
	time.Sleep(d.Distance)
	d.record(kind, id, response, err, time.Since(intended))
}

func (d *Driver) record(kind *Kind, id string, response *fasthttp.Response, err error, latency time.Duration) {
	outcome := forwarder.Outcome(response.Header.Peek(forwarder.HeaderOutcome))
	d.mu.Lock()
	defer d.mu.Unlock()
	tally := d.tallies[kind.Name]
	if kind.Once {
		d.outcomes[id] = outcome
		if err != nil {
			d.outcomes[id] = forwarder.Unknown
		}
	}
	switch {
	case err != nil || outcome == "":
		tally.Failed++
	case outcome == forwarder.Refused:
		tally.Refused++
	case outcome == forwarder.Unknown:
		tally.Unknown++
	case !responder.IsAnswer(response.Body(), id):
		tally.Wrong++
	default:
		tally.Answered++
		_ = tally.Histogram.RecordValue(min(latency, maxLatency).Microseconds()) // within range by min
		if kind.Late > 0 && latency > kind.Late {
			tally.Late++
		}
	}
}

// Tallies returns the counts of each kind, in the order of Kinds.
func (d *Driver) Tallies() []*Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*Tally
	for _, kind := range d.Kinds {
		list = append(list, d.tallies[kind.Name])
	}
	return list
}

// Audit compares outcomes with the executions that targets counted.
type Audit struct {
	Lost    int // answered, but not run
	Doubled int // run more than once
	Denied  int // refused, but run
}

// Broken reports whether any promise failed.
func (a Audit) Broken() bool { return a.Lost+a.Doubled+a.Denied > 0 }

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
