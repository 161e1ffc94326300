package deliverer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/tracker"
)

type discardMeter struct{}

func (discardMeter) Add(string, int64)             {}
func (discardMeter) Observe(string, time.Duration) {}

// target is a server that handles each request with a responder.
type target struct {
	address string
	arrived atomic.Int64 // number of received requests
	running atomic.Int64 // number of requests without a response
}

// responder handles a request on a connection and reports whether to keep the connection open.
type responder func(conn net.Conn, request *http.Request) bool

// okResponse returns a complete response with a request ID and a body.
func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nClementinerock-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func startTarget(t *testing.T, respond responder) *target {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &target{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *target) serve(conn net.Conn, respond responder) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.arrived.Add(1)
		s.running.Add(1)
		keep := respond(conn, request)
		s.running.Add(-1)
		if !keep {
			return
		}
	}
}

func newDeliverer(s *target, slots int) *Deliverer {
	d := &Deliverer{
		Log:           zap.NewNop(),
		Meter:         discardMeter{},
		Address:       s.address,
		OnStateChange: func() {},
		OnMisdirected: func(tracker.Run) {},
		Version:       func() uint64 { return 1 },
		DrainGrace:    50 * time.Millisecond,
	}
	d.Update(report(s, slots, tracker.Serving, 1), time.Now())
	return d
}

func report(s *target, slots int, state tracker.State, sequence uint64) tracker.Report {
	return tracker.Report{Run: tracker.Run{ID: "i-1"}, Service: "s", Address: s.address, Slots: slots, State: state, Sequence: sequence}
}

func newCall(id string, idempotent bool) *carrier.Call {
	return &carrier.Call{
		ID:               []byte(id),
		Attempt:          1,
		Service:          "s",
		Idempotent:       idempotent,
		Remaining:        500 * time.Millisecond,
		SoftDeadline:     400 * time.Millisecond,
		LatencyObjective: 400 * time.Millisecond,
		Method:           []byte("GET"),
		URI:              []byte("/x"),
		Host:             []byte("a.example"),
	}
}

// serveAndWait delivers a call and waits for the answer.
func serveAndWait(d *Deliverer, call *carrier.Call) *carrier.Answer {
	answers := make(chan *carrier.Answer, 1)
	d.Serve(call, func(a *carrier.Answer) { answers <- a })
	return <-answers
}

// respondWith returns a responder that writes a fixed text.
func respondWith(text string, keep bool) responder {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return keep
	}
}

func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		answer  responder
		outcome carrier.Outcome
		body    string
	}{
		"complete":              {respondWith(okResponse("r", "yes"), true), carrier.Answered, "yes"},
		"truncated body":        {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes", false), carrier.Failed, ""},
		"truncated chunk":       {respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nye", false), carrier.Failed, ""},
		"chunked":               {respondWith("HTTP/1.1 200 OK\r\nClementinerock-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", true), carrier.Answered, "yes"},
		"body until close":      {respondWith("HTTP/1.1 200 OK\r\nClementinerock-Request-Id: r\r\n\r\nyes", false), carrier.Answered, "yes"},
		"no response":           {respondWith("", false), carrier.Failed, ""},
		"not HTTP":              {respondWith("garbage\r\n\r\n", false), carrier.Failed, ""},
		"shed":                  {respondWith("HTTP/1.1 503 No\r\nClementinerock-Request-Id: r\r\nClementinerock-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), carrier.Shed, ""},
		"server error":          {respondWith("HTTP/1.1 500 No\r\nClementinerock-Request-Id: r\r\nContent-Length: 2\r\n\r\nno", true), carrier.Answered, "no"},
		"other instance":        {respondWith("HTTP/1.1 421 No\r\nClementinerock-Request-Id: r\r\nClementinerock-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n", true), carrier.Shed, ""},
		"late response first":   {respondWith(okResponse("earlier", "no")+okResponse("r", "yes"), true), carrier.Answered, "yes"},
		"only a late response":  {respondWith(okResponse("earlier", "no"), false), carrier.Failed, ""},
		"success without an ID": {respondWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", true), carrier.Failed, ""},
		"no response in time":   {func(net.Conn, *http.Request) bool { time.Sleep(time.Second); return false }, carrier.Expired, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeliverer(startTarget(t, test.answer), 2)
			answer := serveAndWait(d, newCall("r", true))
			assert.Equal(t, answer.Outcome, test.outcome, answer.Reason)
			if test.outcome == carrier.Answered {
				assert.Equal(t, string(answer.Body), test.body)
			}
			assert.Equal(t, d.Busy(), 0)
		})
	}
}

// TestExtraBytes has a target that sends two responses to each request. The second one must not be
// returned for the next request on the connection.
func TestExtraBytes(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Clementinerock-Request-Id")
		_, _ = io.WriteString(conn, okResponse(id, id)+okResponse("", "spoiled"))
		return true
	})
	d := newDeliverer(s, 1)
	for i := range 5 {
		id := fmt.Sprint("r", i)
		answer := serveAndWait(d, newCall(id, true))
		assert.Equal(t, answer.Outcome, carrier.Answered)
		assert.Equal(t, string(answer.Body), id)
	}
}

func TestHeadersOnTheLastHop(t *testing.T) {
	var seen http.Header
	s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
		seen = request.Header
		_, _ = io.WriteString(conn, okResponse("r", ""))
		return true
	})
	call := newCall("r", true)
	call.OriginService = "pickupdesk"
	call.Headers = []carrier.Header{{Name: []byte("X-One"), Value: []byte("1")}}
	assert.Equal(t, serveAndWait(newDeliverer(s, 1), call).Outcome, carrier.Answered)
	assert.Equal(t, seen.Get("Clementinerock-Expect-Instance"), "i-1")
	assert.Equal(t, seen.Get("Clementinerock-Caller-Service"), "pickupdesk")
	assert.Equal(t, seen.Get("X-One"), "1")
	assert.Assert(t, len(seen.Get("Clementinerock-Deadline-Ms")) == 3, seen)
}

func TestDraining(t *testing.T) {
	s := startTarget(t, respondWith(okResponse("r", "yes"), true))
	d := newDeliverer(s, 1)
	d.Update(report(s, 1, tracker.Draining, 2), time.Now())
	assert.Equal(t, serveAndWait(d, newCall("r", true)).Outcome, carrier.Answered, "a draining target gets calls during the grace time")
	time.Sleep(100 * time.Millisecond)
	answer := serveAndWait(d, newCall("r", true))
	assert.Equal(t, answer.Outcome, carrier.Refused)
	assert.Assert(t, !answer.Load.Serving)
	assert.Equal(t, s.arrived.Load(), int64(1))
}

// TestQueueIsRefusedWhenTargetLeaves checks that a queued call is refused after its target has left.
func TestQueueIsRefusedWhenTargetLeaves(t *testing.T) {
	release := make(chan struct{})
	s := startTarget(t, func(conn net.Conn, _ *http.Request) bool {
		<-release
		_, _ = io.WriteString(conn, okResponse("r", "yes"))
		return true
	})
	d := newDeliverer(s, 1)
	answers := make(chan *carrier.Answer, 2)
	for i := range 2 {
		call := newCall(fmt.Sprint("r", i), true)
		call.Nested = true
		d.Serve(call, func(a *carrier.Answer) { answers <- a })
	}
	d.Update(report(s, 1, tracker.Gone, 2), time.Now())
	assert.Equal(t, (<-answers).Outcome, carrier.Refused)
	close(release)
	<-answers
	assert.Equal(t, s.arrived.Load(), int64(1))
}

func TestUnreportedTarget(t *testing.T) {
	s := startTarget(t, respondWith(okResponse("r", "yes"), true))
	d := newDeliverer(s, 1)
	d.target = tracker.Report{}
	assert.Equal(t, serveAndWait(d, newCall("r", true)).Outcome, carrier.Refused)
	assert.Equal(t, s.arrived.Load(), int64(0))
}

func TestUnreachableTarget(t *testing.T) {
	s := startTarget(t, respondWith(okResponse("r", "yes"), true))
	d := newDeliverer(s, 1)
	d.Address = "127.0.0.1:1"
	assert.Equal(t, serveAndWait(d, newCall("r", false)).Outcome, carrier.Refused, "the target cannot have run the call without a connection")
	assert.Assert(t, !d.State().Serving)
	d.mu.Lock()
	d.Address = s.address
	d.mu.Unlock()
	for range 20 {
		time.Sleep(50 * time.Millisecond)
		if d.State().Serving {
			break
		}
	}
	assert.Equal(t, serveAndWait(d, newCall("r", true)).Outcome, carrier.Answered)
}

// TestSecondDelivery delivers an attempt twice, as could happen after a link broke. The target must
// receive it only once.
func TestSecondDelivery(t *testing.T) {
	s := startTarget(t, respondWith(okResponse("r", "yes"), true))
	d := newDeliverer(s, 1)
	assert.Equal(t, serveAndWait(d, newCall("r", false)).Outcome, carrier.Answered)
	assert.Equal(t, serveAndWait(d, newCall("r", false)).Outcome, carrier.Unknown)
	assert.Assert(t, !d.Void([]byte("r"), 1))
	assert.Assert(t, d.Void([]byte("other"), 1))
	assert.Equal(t, serveAndWait(d, newCall("other", false)).Outcome, carrier.Unknown)
	assert.Equal(t, s.arrived.Load(), int64(1))
}

func TestCancel(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		closes     bool
	}{
		"idempotent":     {true, true},
		"not idempotent": {false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool, 1)
			s := startTarget(t, func(conn net.Conn, _ *http.Request) bool {
				_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				_, err := conn.Read(make([]byte, 1))
				closed <- err != nil && !strings.Contains(err.Error(), "timeout")
				_, _ = io.WriteString(conn, okResponse("r", "yes"))
				return false
			})
			d := newDeliverer(s, 1)
			delivery := d.Serve(newCall("r", test.idempotent), func(*carrier.Answer) {})
			for s.running.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			delivery.Cancel()
			assert.Equal(t, <-closed, test.closes)
		})
	}
}

// TestUnconfirmedCall delivers a call whose sender has canceled it before it got a slot. The target
// must not receive it.
func TestUnconfirmedCall(t *testing.T) {
	s := startTarget(t, respondWith(okResponse("r", "yes"), true))
	d := newDeliverer(s, 1)
	call := newCall("r", false)
	call.Confirm = func() bool { return false }
	answer := serveAndWait(d, call)
	assert.Equal(t, answer.Outcome, carrier.Refused)
	assert.Equal(t, s.arrived.Load(), int64(0))
	assert.Equal(t, d.Busy(), 0)
	call.Confirm = func() bool { return true }
	assert.Equal(t, serveAndWait(d, call).Outcome, carrier.Answered)
}

// TestHangingTarget has a target that never responds to half of the requests and responds to the
// others at once. Its reported state must contain a high share of failures.
func TestHangingTarget(t *testing.T) {
	var requests atomic.Int64
	s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
		if requests.Add(1)%2 == 0 {
			time.Sleep(time.Second)
			return false
		}
		_, _ = io.WriteString(conn, okResponse(request.Header.Get("Clementinerock-Request-Id"), "yes"))
		return true
	})
	d := newDeliverer(s, 1)
	for i := range 8 {
		call := newCall(fmt.Sprint("r", i), true)
		call.Remaining = 250 * time.Millisecond
		serveAndWait(d, call)
	}
	assert.Assert(t, d.State().Failing > 3*failureWeight, "%v", d.State().Failing)
}
