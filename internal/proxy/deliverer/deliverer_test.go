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

type noMeter struct{}

func (noMeter) Add(string, int64)             {}
func (noMeter) Observe(string, time.Duration) {}

// target is a server that answers each request by a script.
type target struct {
	address string
	arrived atomic.Int64
	working atomic.Int64
}

// script answers a request on a connection and reports whether to keep it.
type script func(conn net.Conn, request *http.Request) bool

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nClementinerock-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func startTarget(t *testing.T, answer script) *target {
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
			go s.serve(conn, answer)
		}
	}()
	return s
}

func (s *target) serve(conn net.Conn, answer script) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.arrived.Add(1)
		s.working.Add(1)
		keep := answer(conn, request)
		s.working.Add(-1)
		if !keep {
			return
		}
	}
}

func newDeliverer(s *target, slots int) *Deliverer {
	d := &Deliverer{
		Log:     zap.NewNop(),
		Meter:   noMeter{},
		Address: s.address,
		Changed: func() {},
		Version: func() uint64 { return 1 },
		Linger:  50 * time.Millisecond,
	}
	d.Update(report(s, slots, tracker.Serving, 1), time.Now())
	return d
}

func report(s *target, slots int, state tracker.State, sequence uint64) tracker.Report {
	return tracker.Report{ID: "i-1", Service: "s", Address: s.address, Slots: slots, State: state, Sequence: sequence}
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

// serve delivers a call and waits for the answer.
func serve(d *Deliverer, call *carrier.Call) *carrier.Answer {
	answers := make(chan *carrier.Answer, 1)
	d.Serve(call, func(a *carrier.Answer) { answers <- a })
	return <-answers
}

func say(text string, keep bool) script {
	return func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, text)
		return keep
	}
}

func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		answer  script
		outcome carrier.Outcome
		body    string
	}{
		"whole":              {say(whole("r", "yes"), true), carrier.Answered, "yes"},
		"cut short":          {say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nyes", false), carrier.Failed, ""},
		"cut in a chunk":     {say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nye", false), carrier.Failed, ""},
		"chunked":            {say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", true), carrier.Answered, "yes"},
		"ends with close":    {say("HTTP/1.1 200 OK\r\n\r\nyes", false), carrier.Answered, "yes"},
		"no answer":          {say("", false), carrier.Failed, ""},
		"not HTTP":           {say("garbage\r\n\r\n", false), carrier.Failed, ""},
		"shed":               {say("HTTP/1.1 503 No\r\nClementinerock-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), carrier.Shed, ""},
		"failure of its own": {say("HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", true), carrier.Answered, "no"},
		"other instance":     {say("HTTP/1.1 421 No\r\nClementinerock-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n", true), carrier.Shed, ""},
		"late answer first":  {say(whole("earlier", "no")+whole("r", "yes"), true), carrier.Answered, "yes"},
		"only a stray one":   {say(whole("earlier", "no"), false), carrier.Failed, ""},
		"silent":             {func(net.Conn, *http.Request) bool { time.Sleep(time.Second); return false }, carrier.Expired, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeliverer(startTarget(t, test.answer), 2)
			answer := serve(d, newCall("r", true))
			assert.Equal(t, answer.Outcome, test.outcome, answer.Reason)
			if test.outcome == carrier.Answered {
				assert.Equal(t, string(answer.Body), test.body)
			}
			assert.Equal(t, d.Busy(), 0)
		})
	}
}

// TestExtraBytes sends more than one answer to a request: the next request must not get
// the bytes that are left.
func TestExtraBytes(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Clementinerock-Request-Id")
		_, _ = io.WriteString(conn, whole(id, id)+whole("", "spoiled"))
		return true
	})
	d := newDeliverer(s, 1)
	for i := range 5 {
		id := fmt.Sprint("r", i)
		answer := serve(d, newCall(id, true))
		assert.Equal(t, answer.Outcome, carrier.Answered)
		assert.Equal(t, string(answer.Body), id)
	}
}

func TestHeadersOnTheLastHop(t *testing.T) {
	var seen http.Header
	s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
		seen = request.Header
		_, _ = io.WriteString(conn, whole("r", ""))
		return true
	})
	call := newCall("r", true)
	call.OriginService = "pickupdesk"
	call.Headers = []carrier.Header{{Name: []byte("X-One"), Value: []byte("1")}}
	assert.Equal(t, serve(newDeliverer(s, 1), call).Outcome, carrier.Answered)
	assert.Equal(t, seen.Get("Clementinerock-Expect-Instance"), "i-1")
	assert.Equal(t, seen.Get("Clementinerock-Caller-Service"), "pickupdesk")
	assert.Equal(t, seen.Get("X-One"), "1")
	assert.Assert(t, len(seen.Get("Clementinerock-Deadline-Ms")) == 3, seen)
}

func TestDraining(t *testing.T) {
	s := startTarget(t, say(whole("r", "yes"), true))
	d := newDeliverer(s, 1)
	d.Update(report(s, 1, tracker.Draining, 2), time.Now())
	assert.Equal(t, serve(d, newCall("r", true)).Outcome, carrier.Answered, "for a while it still gets calls")
	time.Sleep(100 * time.Millisecond)
	answer := serve(d, newCall("r", true))
	assert.Equal(t, answer.Outcome, carrier.Refused)
	assert.Assert(t, !answer.Load.Serving)
	assert.Equal(t, s.arrived.Load(), int64(1))
}

// TestDrainingTurnsTheLineAway refuses the calls that wait when a target has left.
func TestDrainingTurnsTheLineAway(t *testing.T) {
	release := make(chan struct{})
	s := startTarget(t, func(conn net.Conn, _ *http.Request) bool {
		<-release
		_, _ = io.WriteString(conn, whole("r", "yes"))
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

func TestUnheardTarget(t *testing.T) {
	s := startTarget(t, say(whole("r", "yes"), true))
	d := newDeliverer(s, 1)
	d.target = tracker.Report{}
	assert.Equal(t, serve(d, newCall("r", true)).Outcome, carrier.Refused)
	assert.Equal(t, s.arrived.Load(), int64(0))
}

func TestUnreachableTarget(t *testing.T) {
	s := startTarget(t, say(whole("r", "yes"), true))
	d := newDeliverer(s, 1)
	d.Address = "127.0.0.1:1"
	assert.Equal(t, serve(d, newCall("r", false)).Outcome, carrier.Refused, "no connection, so it has not run")
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
	assert.Equal(t, serve(d, newCall("r", true)).Outcome, carrier.Answered)
}

// TestSecondDelivery delivers an attempt twice, as after a link broke.
func TestSecondDelivery(t *testing.T) {
	s := startTarget(t, say(whole("r", "yes"), true))
	d := newDeliverer(s, 1)
	assert.Equal(t, serve(d, newCall("r", false)).Outcome, carrier.Answered)
	assert.Equal(t, serve(d, newCall("r", false)).Outcome, carrier.Unknown)
	assert.Assert(t, !d.Void([]byte("r"), 1))
	assert.Assert(t, d.Void([]byte("other"), 1))
	assert.Equal(t, serve(d, newCall("other", false)).Outcome, carrier.Unknown)
	assert.Equal(t, s.arrived.Load(), int64(1))
}

func TestGivingUp(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		stops      bool
	}{
		"may be repeated":     {true, true},
		"may not be repeated": {false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool, 1)
			s := startTarget(t, func(conn net.Conn, _ *http.Request) bool {
				_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				_, err := conn.Read(make([]byte, 1))
				closed <- err != nil && !strings.Contains(err.Error(), "timeout")
				_, _ = io.WriteString(conn, whole("r", "yes"))
				return false
			})
			d := newDeliverer(s, 1)
			giveUp := d.Serve(newCall("r", test.idempotent), func(*carrier.Answer) {})
			for s.working.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			giveUp()
			assert.Equal(t, <-closed, test.stops)
		})
	}
}

// TestNoLongerWanted has a slot for a call whose sender has given it up meanwhile.
func TestNoLongerWanted(t *testing.T) {
	s := startTarget(t, say(whole("r", "yes"), true))
	d := newDeliverer(s, 1)
	call := newCall("r", false)
	call.Confirm = func() bool { return false }
	answer := serve(d, call)
	assert.Equal(t, answer.Outcome, carrier.Refused)
	assert.Equal(t, s.arrived.Load(), int64(0))
	assert.Equal(t, d.Busy(), 0)
	call.Confirm = func() bool { return true }
	assert.Equal(t, serve(d, call).Outcome, carrier.Answered)
}

// TestHangingTarget replays a target that leaves half of its requests without an answer
// while the others are answered at once: other nodes are told that it fails.
func TestHangingTarget(t *testing.T) {
	var requests atomic.Int64
	s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
		if requests.Add(1)%2 == 0 {
			time.Sleep(time.Second)
			return false
		}
		_, _ = io.WriteString(conn, whole(request.Header.Get("Clementinerock-Request-Id"), "yes"))
		return true
	})
	d := newDeliverer(s, 1)
	for i := range 8 {
		call := newCall(fmt.Sprint("r", i), true)
		call.Remaining = 250 * time.Millisecond
		serve(d, call)
	}
	assert.Assert(t, d.State().Failing > 3*failureWeight, "%v", d.State().Failing)
}
