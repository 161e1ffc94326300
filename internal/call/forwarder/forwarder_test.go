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
	seeder.SetDefaults("6")
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

// testMesh is a Front and several target nodes on loopback, without a control plane.
type testMesh struct {
	front    *forwarder.Front
	snapshot router.Snapshot
	counts   *counts
	address  string // listen address of the Front
	nodes    []*targetNode
}

// targetNode is the Back of one host, whose connections a test can close.
type targetNode struct {
	back     *forwarder.Back
	listener *trackingListener
}

// trackingListener stores its accepted connections so that a test can close them all.
type trackingListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

func (l *trackingListener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func newTestMesh(cleanup func(func()), contracts []compiler.Contract) *testMesh {
	m := &testMesh{counts: &counts{}}
	authority := must(signer.NewAuthority(time.Now()))
	pair := must(signer.Issue(authority, "host", time.Now()))
	identity := must(signer.NewIdentity(pair, authority.Certificate))
	local := forwarder.NewBack(limiter.PolicyPriority, m.counts)
	m.front = forwarder.NewFront(&picker.Balanced{}, local, nil, identity.Client("http/1.1", ""), m.counts)
	m.snapshot = router.Snapshot{Version: 1, Ready: true, Table: router.New(contracts), Targets: make(map[string][]*picker.Target)}
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	m.address = listener.Addr().String()
	server := &fasthttp.Server{Handler: m.front.Handle}
	go func() { _ = server.Serve(listener) }()
	cleanup(func() { _ = listener.Close() })
	m.startTargetNodes(cleanup, identity)
	return m
}

// must returns value and panics on an error of the set-up.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

const targetNodes = 3

// startTargetNodes starts the target nodes.
func (m *testMesh) startTargetNodes(cleanup func(func()), identity signer.Identity) {
	for range targetNodes {
		plain := must(net.Listen("tcp", "127.0.0.1:0"))
		tracked := &trackingListener{Listener: plain}
		n := &targetNode{back: forwarder.NewBack(limiter.PolicyPriority, m.counts), listener: tracked}
		secure := tls.NewListener(tracked, identity.Server("http/1.1"))
		server := &fasthttp.Server{Handler: n.back.Handle, Logger: discardLogger{}}
		go func() { _ = server.Serve(secure) }()
		cleanup(func() { _ = plain.Close() })
		m.nodes = append(m.nodes, n)
	}
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// add registers a target of a service at one of the nodes and publishes it to the Front.
func (m *testMesh) add(n *targetNode, service, address string, slots int) {
	n.back.SetTargets([]messenger.Target{{Service: service, Address: address, Slots: slots, State: messenger.Serving}})
	m.snapshot.Targets[service] = append(m.snapshot.Targets[service], &picker.Target{
		Stats: &picker.Stats{}, Service: service, Listen: address, Peer: n.listener.Addr().String(), Slots: slots,
	})
	snapshot := m.snapshot
	m.front.SetSnapshot(&snapshot)
}

func contract(service string, effect parser.Effect, method string, timeout time.Duration) compiler.Contract {
	return compiler.Contract{
		Service: service, Owner: "owner", Zones: []string{"suva"}, Slots: 6,
		Routes: []compiler.Route{{
			Operation: "run", Method: method, Path: "/" + service, Effect: effect, Work: parser.WorkShort, Timeout: timeout,
		}},
	}
}

// TestRandomTargets sends calls while targets slow down, hang, crash while they answer and
// shed, and while connections between nodes are closed. The targets count each execution.
func TestRandomTargets(t *testing.T) {
	const wait = 300 * time.Millisecond
	behaviours := map[string]responder.Behaviour{
		"healthy": {}, "slow": {Slowdown: 20}, "hang": {Hang: true}, "crash": {Crash: true}, "shed": {Shed: true},
	}
	names := []string{"healthy", "slow", "hang", "crash", "shed"}
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
		m := newTestMesh(cleanup, contracts)
		var targets []*responder.Target
		for i, service := range []string{"book", "book", "look"} {
			target, stop, err := responder.New(responder.Config{Service: service, Slots: 6})
			assert.NilError(rt, err)
			cleanup(stop)
			targets = append(targets, target)
			m.add(m.nodes[i], service, target.Address(), 6)
		}
		d := &driver.Driver{
			Addresses: []string{m.address},
			Seed:      rapid.Uint64Range(1, 1<<40).Draw(rt, "load"),
			Kinds: []driver.Kind{
				{Name: "book", Method: "POST", Path: "/book", Weight: 2, WorkTime: 3 * time.Millisecond, AtMostOnce: true},
				{Name: "look", Method: "GET", Path: "/look", Weight: 1, WorkTime: 3 * time.Millisecond},
			},
		}
		var windows []*driver.Window
		for range rapid.IntRange(2, 5).Draw(rt, "phases") {
			for _, target := range targets {
				target.SetBehaviour(behaviours[rapid.SampledFrom(names).Draw(rt, "behaviour")])
			}
			windows = append(windows, d.Send(100*time.Millisecond, 400))
			if rapid.Bool().Draw(rt, "close") {
				m.nodes[rapid.IntRange(0, targetNodes-1).Draw(rt, "node")].listener.closeConns()
			}
		}
		for _, target := range targets {
			target.SetBehaviour(responder.Behaviour{})
		}
		d.Wait()
		executions := make(map[string]int)
		for _, target := range targets {
			target.AddExecutions(executions)
		}
		if audit := d.Audit(executions); audit.HasViolations() {
			rt.Fatalf("calls were lost, run twice or wrongly refused: %+v", audit)
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

// TestVoidedAttemptIsRetried closes a connection before an attempt reaches the target's node. The
// node voids the attempt, which proves that it did not run, so that the call must be retried.
func TestVoidedAttemptIsRetried(t *testing.T) {
	m := newTestMesh(t.Cleanup, []compiler.Contract{contract("book", parser.EffectBook, "POST", 2*time.Second)})
	target, stop, err := responder.New(responder.Config{Service: "book", Slots: 6})
	assert.NilError(t, err)
	t.Cleanup(stop)
	m.add(m.nodes[0], "book", target.Address(), 6)
	for i := range 3 {
		outcome, _ := m.call(t, "POST", "/book", fmt.Sprint(i))
		assert.Equal(t, outcome, forwarder.Answered)
		m.nodes[0].listener.closeConns() // the pooled connection is dead when the next call uses it
		time.Sleep(20 * time.Millisecond)
	}
	executions := make(map[string]int)
	target.AddExecutions(executions)
	assert.DeepEqual(t, executions, map[string]int{"0": 1, "1": 1, "2": 1})
}

func (m *testMesh) call(t *testing.T, method, path, id string) (forwarder.Outcome, forwarder.Reason) {
	t.Helper()
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + m.address + path)
	request.Header.Set(responder.HeaderRequestID, id)
	assert.NilError(t, fasthttp.Do(request, response))
	return forwarder.Outcome(response.Header.Peek(forwarder.HeaderOutcome)), forwarder.Reason(response.Header.Peek(forwarder.HeaderReason))
}

// TestOutcomes requires the outcome and reason of each kind of failure and that no call runs twice.
func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		effect  parser.Effect
		behave  responder.Behaviour
		stop    bool
		path    string
		outcome forwarder.Outcome
		reason  forwarder.Reason
	}{
		"answered":                       {effect: parser.EffectBook, path: "/book", outcome: forwarder.Answered},
		"no route":                       {effect: parser.EffectBook, path: "/other", outcome: forwarder.Refused, reason: forwarder.ReasonNoRoute},
		"target shed the call":           {effect: parser.EffectBook, behave: responder.Behaviour{Shed: true}, path: "/book", outcome: forwarder.Refused, reason: forwarder.ReasonShed},
		"target stopped":                 {effect: parser.EffectBook, stop: true, path: "/book", outcome: forwarder.Refused, reason: forwarder.ReasonUnreachable},
		"target hangs":                   {effect: parser.EffectBook, behave: responder.Behaviour{Hang: true}, path: "/book", outcome: forwarder.Unknown, reason: forwarder.ReasonDeadline},
		"target crashes while answering": {effect: parser.EffectPay, behave: responder.Behaviour{Crash: true}, path: "/book", outcome: forwarder.Unknown, reason: forwarder.ReasonLost},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			m := newTestMesh(t.Cleanup, []compiler.Contract{contract("book", test.effect, "POST", 300*time.Millisecond)})
			target, stop, err := responder.New(responder.Config{Service: "book", Slots: 6})
			assert.NilError(t, err)
			t.Cleanup(stop)
			m.add(m.nodes[0], "book", target.Address(), 6)
			target.SetBehaviour(test.behave)
			if test.stop {
				stop()
			}
			outcome, reason := m.call(t, "POST", test.path, "1")
			assert.Equal(t, outcome, test.outcome)
			assert.Equal(t, reason, test.reason)
			executions := make(map[string]int)
			target.AddExecutions(executions)
			assert.Assert(t, executions["1"] <= 1)
		})
	}
}

// TestSecondDeliveryIsRejected delivers the same attempt twice; the target must run it once.
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
		request.Header.Set(responder.HeaderRequestID, "1")
		request.Header.Set(forwarder.HeaderOnce, "1")
		request.Header.Set(forwarder.HeaderAttempt, attempt)
		request.Header.Set(forwarder.HeaderTarget, target.Address())
		return back.Serve(&request, &response)
	}
	assert.Equal(t, deliver("a.1").Outcome, forwarder.Answered)
	assert.Equal(t, deliver("a.1"), forwarder.Result{Outcome: forwarder.Unknown, Reason: forwarder.ReasonDuplicate})
	executions := make(map[string]int)
	target.AddExecutions(executions)
	assert.Equal(t, executions["1"], 1)
}

// TestBlankInFieldName guards against an answer with a blank in the name of a field, which the client library accepts.
func TestBlankInFieldName(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nhi")
	}()
	address := listener.Addr().String()
	back := forwarder.NewBack(limiter.PolicyPriority, &counts{})
	back.SetTargets([]messenger.Target{{Service: "book", Address: address, Slots: 6, State: messenger.Serving}})
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://mesh/book")
	request.Header.Set(forwarder.HeaderTarget, address)
	assert.Equal(t, back.Serve(&request, &response), forwarder.Result{Outcome: forwarder.Unknown, Reason: forwarder.ReasonBadAnswer})
}

// TestDeepChainDoesNotAmplifyRetries calls through 23 nested levels, of which the last one sheds every
// call. Only the level above it may retry, within its budget; retries at each level would multiply.
func TestDeepChainDoesNotAmplifyRetries(t *testing.T) {
	const levels, clients = 23, 100
	var contracts []compiler.Contract
	for i := range levels {
		contracts = append(contracts, contract(fmt.Sprintf("level-%d", i), parser.EffectLookup, "GET", 5*time.Second))
	}
	m := newTestMesh(t.Cleanup, contracts)
	var received [levels]atomic.Int64
	local := make([]messenger.Target, 0, 2*levels)
	for i := range levels {
		for range 2 {
			address := serveLevel(t, m.address, i, levels, &received[i])
			service := fmt.Sprintf("level-%d", i)
			local = append(local, messenger.Target{Service: service, Address: address, Slots: 100, State: messenger.Serving})
			m.snapshot.Targets[service] = append(m.snapshot.Targets[service], &picker.Target{
				Stats: &picker.Stats{}, Service: service, Listen: address, Local: true, Slots: 100,
			})
		}
	}
	m.front.Back.SetTargets(local)
	snapshot := m.snapshot
	m.front.SetSnapshot(&snapshot)
	for i := range clients {
		outcome, _ := m.call(t, "GET", "/level-0", strconv.Itoa(i))
		assert.Equal(t, outcome, forwarder.Answered) // the upper levels answer with an error status
	}
	hedges := m.counts.total("front_hedge")
	for i := range levels - 1 {
		if got := received[i].Load(); got > clients+hedges {
			t.Errorf("level %d ran %d calls for %d client requests", i, got, clients)
		}
	}
	budget := int64(clients*retrier.RetryRatio) + 10
	if got := received[levels-1].Load(); got > clients+budget+hedges {
		t.Errorf("the last level received %d calls for %d client requests", got, clients)
	}
}

// serveLevel starts a target that calls the next level and forwards the headers of the mesh. The last
// level sheds every call.
func serveLevel(t *testing.T, mesh string, level, levels int, received *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	handler := func(ctx *fasthttp.RequestCtx) {
		received.Add(1)
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

// TestReasonsAreDocumented requires that docs/CALLS.md names each reason.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/CALLS.md")
	assert.NilError(t, err)
	for _, reason := range []forwarder.Reason{
		forwarder.ReasonNoRoute, forwarder.ReasonNotReady, forwarder.ReasonNoTarget, forwarder.ReasonBusy, forwarder.ReasonNoSlot, forwarder.ReasonDraining,
		forwarder.ReasonDeadline, forwarder.ReasonUnreachable, forwarder.ReasonLost, forwarder.ReasonShed, forwarder.ReasonDuplicate, forwarder.ReasonPeer,
		forwarder.ReasonBadAnswer,
	} {
		assert.Assert(t, strings.Contains(string(page), "`"+string(reason)+"`"), "%s", reason)
	}
}
