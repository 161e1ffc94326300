package forwarder_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"clementinerock/internal/call/forwarder"
	"clementinerock/internal/call/limiter"
	"clementinerock/internal/call/picker"
	"clementinerock/internal/call/retrier"
	"clementinerock/internal/call/router"
	"clementinerock/internal/check/seeder"
	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/demo/driver"
	"clementinerock/internal/demo/responder"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/mesh/signer"
)

func TestMain(m *testing.M) {
	seeder.Fix("6")
	os.Exit(m.Run())
}

// counts is a forwarder.Counter that tests can read.
type counts struct{ byName sync.Map }

func (c *counts) Count(name string) {
	total, _ := c.byName.LoadOrStore(name, &atomic.Int64{})
	total.(*atomic.Int64).Add(1)
}

func (c *counts) total(name string) int64 {
	if total, ok := c.byName.Load(name); ok {
		return total.(*atomic.Int64).Load()
	}
	return 0
}

// rig is a callers' side with target sides on loopback and no control plane.
type rig struct {
	front   *forwarder.Front
	view    router.Snapshot
	counts  *counts
	address string // of the callers' side
	backs   []*side
}

// side is the target's side of one machine, whose connections can be cut.
type side struct {
	back     *forwarder.Back
	listener *cutListener
}

// cutListener remembers its connections so that a test can cut them all.
type cutListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func (l *cutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

func (l *cutListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func newRig(cleanup func(func()), contracts []compiler.Contract) *rig {
	r := &rig{counts: &counts{}}
	authority := first(signer.NewAuthority(time.Now()))
	pair := first(signer.Issue(authority, "machine", time.Now()))
	identity := first(signer.NewIdentity(pair, authority.Certificate))
	local := forwarder.NewBack(limiter.PolicyPriority, r.counts)
	r.front = forwarder.NewFront(&picker.Balanced{}, local, nil, identity.Client("http/1.1", ""), r.counts)
	r.view = router.Snapshot{Version: 1, Ready: true, Table: router.New(contracts), Targets: make(map[string][]*picker.Target)}
	listener := first(net.Listen("tcp", "127.0.0.1:0"))
	r.address = listener.Addr().String()
	server := &fasthttp.Server{Handler: r.front.Handle}
	go func() { _ = server.Serve(listener) }()
	cleanup(func() { _ = listener.Close() })
	r.openSides(cleanup, identity)
	return r
}

// first returns value and stops the test on an error of the set-up.
func first[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

const sides = 3

// openSides opens the target sides.
func (r *rig) openSides(cleanup func(func()), identity signer.Identity) {
	for range sides {
		plain := first(net.Listen("tcp", "127.0.0.1:0"))
		cut := &cutListener{Listener: plain}
		s := &side{back: forwarder.NewBack(limiter.PolicyPriority, r.counts), listener: cut}
		secure := tls.NewListener(cut, identity.Server("http/1.1"))
		server := &fasthttp.Server{Handler: s.back.Handle, Logger: quiet{}}
		go func() { _ = server.Serve(secure) }()
		cleanup(func() { _ = plain.Close() })
		r.backs = append(r.backs, s)
	}
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

// add puts a target of a service beside one of the sides.
func (r *rig) add(s *side, service, address string, slots int) {
	s.back.SetTargets([]messenger.Target{{Service: service, Address: address, Slots: slots, State: messenger.Serving}})
	r.view.Targets[service] = append(r.view.Targets[service], &picker.Target{
		Stats: &picker.Stats{}, Service: service, Listen: address, Peer: s.listener.Addr().String(), Slots: slots,
	})
	view := r.view
	r.front.SetSnapshot(&view)
}

func contract(service string, effect parser.Effect, method string, timeout time.Duration) compiler.Contract {
	return compiler.Contract{
		Service: service, Owner: "owner", Zones: []string{"suva"}, Slots: 6,
		Routes: []compiler.Route{{
			Operation: "run", Method: method, Path: "/" + service, Effect: effect, Work: parser.WorkShort, Timeout: timeout,
		}},
	}
}

// TestRandomTargets sends calls while targets slow down, hang, crash in the middle
// of an answer and shed, and while connections between nodes are cut. The targets
// count each execution.
func TestRandomTargets(t *testing.T) {
	const wait = 300 * time.Millisecond
	behaviours := map[string]responder.Behaviour{
		"sound": {}, "slow": {Slowdown: 20}, "hang": {Hang: true}, "crash": {Crash: true}, "shed": {Shed: true},
	}
	names := []string{"sound", "slow", "hang", "crash", "shed"}
	rapid.Check(t, func(rt *rapid.T) {
		var cleanups []func()
		defer func() {
			for _, cleanup := range cleanups {
				cleanup()
			}
		}()
		cleanup := func(f func()) { cleanups = append(cleanups, f) }
		contracts := []compiler.Contract{
			contract("book", parser.EffectBook, "POST", wait),
			contract("look", parser.EffectLookup, "GET", wait),
		}
		r := newRig(cleanup, contracts)
		var targets []*responder.Target
		for i, service := range []string{"book", "book", "look"} {
			target, stop, err := responder.New(responder.Config{Service: service, Slots: 6})
			assert.NilError(rt, err)
			cleanup(stop)
			targets = append(targets, target)
			r.add(r.backs[i], service, target.Address(), 6)
		}
		d := &driver.Driver{
			Addresses: []string{r.address},
			Seed:      rapid.Uint64Range(1, 1<<40).Draw(rt, "load"),
			Kinds: []driver.Kind{
				{Name: "book", Method: "POST", Path: "/book", Weight: 2, Work: 3 * time.Millisecond, Once: true},
				{Name: "look", Method: "GET", Path: "/look", Weight: 1, Work: 3 * time.Millisecond},
			},
		}
		var windows []*driver.Window
		for range rapid.IntRange(2, 5).Draw(rt, "phases") {
			for _, target := range targets {
				target.Behave(behaviours[rapid.SampledFrom(names).Draw(rt, "behaviour")])
			}
			windows = append(windows, d.Send(100*time.Millisecond, 400))
			if rapid.Bool().Draw(rt, "cut") {
				r.backs[rapid.IntRange(0, sides-1).Draw(rt, "side")].listener.cut()
			}
		}
		for _, target := range targets {
			target.Behave(responder.Behaviour{})
		}
		d.Wait()
		executions := make(map[string]int)
		for _, target := range targets {
			target.Executions(executions)
		}
		if audit := d.Audit(executions); audit.Broken() {
			rt.Fatalf("work was lost, doubled or wrongly refused: %+v", audit)
		}
		for _, window := range windows {
			for _, tally := range window.Tallies() {
				if tally.Failed > 0 || tally.Wrong > 0 {
					rt.Fatalf("%s: %d calls without an outcome, %d wrong answers", tally.Kind.Name, tally.Failed, tally.Wrong)
				}
			}
		}
	})
}

// TestCutConnectionIsSettled cuts a connection before the attempt reached the
// target's node and requires the node's proof to be used.
func TestCutConnectionIsSettled(t *testing.T) {
	r := newRig(t.Cleanup, []compiler.Contract{contract("book", parser.EffectBook, "POST", 2*time.Second)})
	target, stop, err := responder.New(responder.Config{Service: "book", Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(stop)
	r.add(r.backs[0], "book", target.Address(), 6)
	for i := range 3 {
		outcome, _ := r.call(t, "POST", "/book", fmt.Sprint(i))
		assert.Equal(t, outcome, forwarder.Answered)
		r.backs[0].listener.cut() // the pooled connection is dead when the next call uses it
		time.Sleep(20 * time.Millisecond)
	}
	executions := make(map[string]int)
	target.Executions(executions)
	assert.DeepEqual(t, executions, map[string]int{"0": 1, "1": 1, "2": 1})
}

func (r *rig) call(t *testing.T, method, path, id string) (forwarder.Outcome, forwarder.Reason) {
	t.Helper()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + r.address + path)
	request.Header.Set(responder.HeaderRequest, id)
	assert.NilError(t, fasthttp.Do(request, response))
	return forwarder.Outcome(response.Header.Peek(forwarder.HeaderOutcome)), forwarder.Reason(response.Header.Peek(forwarder.HeaderReason))
}

func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		effect  parser.Effect
		behave  responder.Behaviour
		stop    bool
		path    string
		outcome forwarder.Outcome
		reason  forwarder.Reason
	}{
		"answered":                 {effect: parser.EffectBook, path: "/book", outcome: forwarder.Answered},
		"no route":                 {effect: parser.EffectBook, path: "/other", outcome: forwarder.Refused, reason: forwarder.ReasonNoRoute},
		"target shed it":           {effect: parser.EffectBook, behave: responder.Behaviour{Shed: true}, path: "/book", outcome: forwarder.Refused, reason: forwarder.ReasonShed},
		"target gone":              {effect: parser.EffectBook, stop: true, path: "/book", outcome: forwarder.Refused, reason: forwarder.ReasonUnreachable},
		"target hangs":             {effect: parser.EffectBook, behave: responder.Behaviour{Hang: true}, path: "/book", outcome: forwarder.Unknown, reason: forwarder.ReasonDeadline},
		"target crashes answering": {effect: parser.EffectPay, behave: responder.Behaviour{Crash: true}, path: "/book", outcome: forwarder.Unknown, reason: forwarder.ReasonLost},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t.Cleanup, []compiler.Contract{contract("book", test.effect, "POST", 300*time.Millisecond)})
			target, stop, err := responder.New(responder.Config{Service: "book", Slots: 6})
			assert.NilError(t, err)
			t.Cleanup(stop)
			r.add(r.backs[0], "book", target.Address(), 6)
			target.Behave(test.behave)
			if test.stop {
				stop()
			}
			outcome, reason := r.call(t, "POST", test.path, "1")
			assert.Equal(t, outcome, test.outcome)
			assert.Equal(t, reason, test.reason)
			executions := make(map[string]int)
			target.Executions(executions)
			assert.Assert(t, executions["1"] <= 1)
		})
	}
}

func TestSecondDeliveryIsRejected(t *testing.T) {
	target, stop, err := responder.New(responder.Config{Service: "book", Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(stop)
	back := forwarder.NewBack(limiter.PolicyPriority, &counts{})
	back.SetTargets([]messenger.Target{{Service: "book", Address: target.Address(), Slots: 6, State: messenger.Serving}})
	deliver := func(attempt string) forwarder.Result {
		var request fasthttp.Request
		var response fasthttp.Response
		request.Header.SetMethod("POST")
		request.SetRequestURI("http://mesh/book")
		request.Header.Set(responder.HeaderRequest, "1")
		request.Header.Set(forwarder.HeaderOnce, "1")
		request.Header.Set(forwarder.HeaderAttempt, attempt)
		request.Header.Set(forwarder.HeaderTarget, target.Address())
		return back.Serve(&request, &response)
	}
	assert.Equal(t, deliver("a.1").Outcome, forwarder.Answered)
	assert.Equal(t, deliver("a.1"), forwarder.Result{Outcome: forwarder.Unknown, Reason: forwarder.ReasonDuplicate})
	executions := make(map[string]int)
	target.Executions(executions)
	assert.Equal(t, executions["1"], 1)
}

// TestDeepChainDoesNotAmplify calls through 23 levels whose last one refuses, and
// requires that only the level above it repeats.
func TestDeepChainDoesNotAmplify(t *testing.T) {
	const levels, callers = 23, 100
	var contracts []compiler.Contract
	for i := range levels {
		contracts = append(contracts, contract(fmt.Sprintf("level-%d", i), parser.EffectLookup, "GET", 5*time.Second))
	}
	r := newRig(t.Cleanup, contracts)
	var seen [levels]atomic.Int64
	local := make([]messenger.Target, 0, 2*levels)
	for i := range levels {
		for range 2 {
			address := serveLevel(t, r.address, i, levels, &seen[i])
			service := fmt.Sprintf("level-%d", i)
			local = append(local, messenger.Target{Service: service, Address: address, Slots: 100, State: messenger.Serving})
			r.view.Targets[service] = append(r.view.Targets[service], &picker.Target{
				Stats: &picker.Stats{}, Service: service, Listen: address, Local: true, Slots: 100,
			})
		}
	}
	r.front.Back.SetTargets(local)
	view := r.view
	r.front.SetSnapshot(&view)
	for i := range callers {
		outcome, _ := r.call(t, "GET", "/level-0", strconv.Itoa(i))
		assert.Equal(t, outcome, forwarder.Answered) // the levels above answer that they could not
	}
	hedges := r.counts.total("front_hedge")
	for i := range levels - 1 {
		if got := seen[i].Load(); got > callers+hedges {
			t.Errorf("level %d ran %d calls for %d callers", i, got, callers)
		}
	}
	budget := int64(callers*retrier.RetryRatio) + 10
	if got := seen[levels-1].Load(); got > callers+budget+hedges {
		t.Errorf("the last level was asked %d times for %d callers", got, callers)
	}
}

// serveLevel starts a target that calls the next level and passes on the headers of
// the mesh. The last level sheds every call.
func serveLevel(t *testing.T, mesh string, level, levels int, seen *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	handler := func(ctx *fasthttp.RequestCtx) {
		seen.Add(1)
		if level == levels-1 {
			ctx.Response.Header.Set(forwarder.HeaderNotRun, "true")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		request := fasthttp.AcquireRequest()
		response := fasthttp.AcquireResponse()
		request.SetRequestURI(fmt.Sprintf("http://%s/level-%d", mesh, level+1))
		for _, name := range []string{forwarder.HeaderCall, forwarder.HeaderDepth, forwarder.HeaderDeadline} {
			request.Header.SetBytesV(name, ctx.Request.Header.Peek(name))
		}
		if err := fasthttp.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
		}
	}
	go func() { _ = fasthttp.Serve(listener, handler) }()
	return listener.Addr().String()
}

func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CALLS.md")
	assert.NilError(t, err)
	for _, reason := range []forwarder.Reason{
		forwarder.ReasonNoRoute, forwarder.ReasonNotReady, forwarder.ReasonNoTarget, forwarder.ReasonBusy, forwarder.ReasonNoSlot, forwarder.ReasonDraining,
		forwarder.ReasonDeadline, forwarder.ReasonUnreachable, forwarder.ReasonLost, forwarder.ReasonShed, forwarder.ReasonDuplicate, forwarder.ReasonPeer,
	} {
		assert.Assert(t, strings.Contains(string(page), "`"+string(reason)+"`"), "%s", reason)
	}
}
