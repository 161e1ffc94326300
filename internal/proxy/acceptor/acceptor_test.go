package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/reserver"
	"clementinerock/platform"
)

type discardMeter struct{}

func (discardMeter) Add(string, int64)     {}
func (discardMeter) Gauge(string, float64) {}

// fakeForwarder answers each request with its body, after hold is closed if it is set. Requests whose ID
// begins with "fail" fail.
type fakeForwarder struct {
	hold chan struct{}

	mu  sync.Mutex
	ran []string // IDs in the order of arrival
}

func (f *fakeForwarder) Forward(request *forwarder.Request) forwarder.Result {
	f.mu.Lock()
	f.ran = append(f.ran, string(request.ID))
	f.mu.Unlock()
	if f.hold != nil {
		select {
		case <-f.hold:
		case <-request.Gone:
			return forwarder.Result{Verdict: forwarder.Disconnected}
		}
	}
	if strings.HasPrefix(string(request.ID), "fail") {
		return forwarder.Result{Verdict: forwarder.Failed}
	}
	body := append([]byte(nil), request.Body...)
	for _, part := range request.BodyRest {
		body = append(body, part...)
	}
	return forwarder.Result{Verdict: forwarder.Answered, Answer: &carrier.Answer{
		Status:  http.StatusOK,
		Headers: []carrier.Header{{Name: []byte(platform.HeaderRequestID), Value: request.ID}},
		Body:    body,
	}}
}

func (f *fakeForwarder) requests() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.ran...)
}

// startAcceptor starts an acceptor that forwards all requests of the host a.example.
// Each of the given functions changes it before its start.
func startAcceptor(t *testing.T, f *fakeForwarder, changes ...func(*Acceptor)) (*Acceptor, string) {
	t.Helper()
	table := &matcher.Table{
		Version:  1,
		Routes:   []*matcher.Route{{Name: "r", Host: "a.example", Prefix: "/", Timeout: 10 * time.Second, WeightedServices: []matcher.WeightedService{{Service: "s", Weight: 1}}}},
		Services: map[string]matcher.Service{"s": {Name: "s"}},
		Limits:   matcher.Limits{HeaderBytes: 8 << 10, BodyBytes: 1 << 20, HeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second},
	}
	assert.NilError(t, table.Index())
	a := &Acceptor{
		Log:       zap.NewNop(),
		Meter:     discardMeter{},
		Forwarder: f,
		Table:     func() *matcher.Table { return table },
		Derived:   func([]byte) bool { return false },
	}
	for _, change := range changes {
		change(a)
	}
	stop, err := a.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(stop)
	return a, a.listener.Addr().String()
}

// client is a connection of a client.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

// requestText returns a request with a body. fields are further header fields, each with its line end.
func requestText(id, body, fields string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		platform.HeaderRequestID, id, len(body), fields, body)
}

// receive reads one response and returns its status, ID and body. The status is 0 if there is none.
func (c *client) receive() (status int, id, body string) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", ""
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", ""
	}
	return response.StatusCode, response.Header.Get(platform.HeaderRequestID), string(text)
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%s: not within 10 s", what)
	}
}

// TestPipelining sends several requests at once. It guards against responses out of order and against
// requests that run although the connection was closed before them.
func TestPipelining(t *testing.T) {
	large := strings.Repeat("large", 60_000)
	chunked := strings.Replace(requestText("chunked", "", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) +
		"5\r\nchunk\r\n0\r\n\r\n"
	tests := map[string]struct {
		requests []string
		ran      []string // IDs of the requests that run, each of which gets its response
		status   int      // of a last response to a request that was not run; 0 for none
	}{
		"in order":               {[]string{requestText("a", "1", ""), requestText("b", "2", ""), requestText("c", "3", "")}, []string{"a", "b", "c"}, 0},
		"failure in the middle":  {[]string{requestText("a", "1", ""), requestText("fail", "2", ""), requestText("c", "3", "")}, []string{"a", "fail", "c"}, 0},
		"usual body":             {[]string{requestText("a", "1", ""), requestText("b", large[:5000], ""), requestText("c", "3", "")}, []string{"a", "b", "c"}, 0},
		"large body":             {[]string{requestText("a", "1", ""), requestText("b", large, ""), requestText("c", "3", "")}, []string{"a", "b", "c"}, 0},
		"chunked body":           {[]string{requestText("a", "1", ""), chunked, requestText("c", "3", "")}, []string{"a", "chunked", "c"}, 0},
		"closed by the client":   {[]string{requestText("a", "1", ""), requestText("b", "2", "Connection: close\r\n"), requestText("c", "3", "")}, []string{"a", "b"}, 0},
		"closed by a bad one":    {[]string{requestText("a", "1", ""), "nonsense\r\n\r\n", requestText("c", "3", "")}, []string{"a"}, http.StatusBadRequest},
		"closed by a large body": {[]string{requestText("a", "1", ""), requestText("b", strings.Repeat("x", 2<<20), ""), requestText("c", "3", "")}, []string{"a"}, http.StatusRequestEntityTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fakeForwarder{}
			_, address := startAcceptor(t, f)
			c := dialClient(t, address)
			go func() { _, _ = io.WriteString(c, strings.Join(test.requests, "")) }()
			for i, want := range test.ran {
				status, id, body := c.receive()
				if strings.HasPrefix(want, "fail") {
					assert.Equal(t, status, http.StatusBadGateway)
					continue
				}
				assert.Equal(t, status, http.StatusOK)
				assert.Equal(t, id, want)
				assert.Assert(t, body == "chunk" || strings.HasSuffix(test.requests[i], "\r\n\r\n"+body))
			}
			if test.status != 0 {
				status, _, _ := c.receive()
				assert.Equal(t, status, test.status)
			}
			if len(test.ran) < len(test.requests) {
				status, _, _ := c.receive()
				assert.Equal(t, status, 0, "the connection must be closed")
			}
			assert.DeepEqual(t, f.requests(), test.ran)
		})
	}
}

// TestPipeliningWhileStopping sends requests of which the first is being served when the process begins to
// end. It guards against requests that run behind the last response and against responses that are lost.
func TestPipeliningWhileStopping(t *testing.T) {
	tests := map[string]struct {
		stop   func(*Acceptor)
		status []int // of the responses
		ran    int
	}{
		"Stop":            {(*Acceptor).Stop, []int{http.StatusOK, 0}, 1},
		"Stop and Refuse": {func(a *Acceptor) { a.Stop(); a.Refuse() }, []int{http.StatusOK, 0}, 1},
		"Refuse":          {(*Acceptor).Refuse, []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable}, 1},
		"Stop and Close":  {func(a *Acceptor) { a.Stop(); a.Close() }, []int{http.StatusOK, 0}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fakeForwarder{hold: make(chan struct{})}
			a, address := startAcceptor(t, f)
			c := dialClient(t, address)
			_, err := io.WriteString(c, requestText("a", "1", "")+requestText("b", "2", "")+requestText("c", strings.Repeat("x", 100_000), ""))
			assert.NilError(t, err)
			waitUntil(t, "first request", func() bool { return len(f.requests()) == 1 })
			test.stop(a)
			close(f.hold)
			for _, want := range test.status {
				status, _, _ := c.receive()
				assert.Equal(t, status, want)
			}
			assert.Equal(t, len(f.requests()), test.ran)
		})
	}
}

// TestDisconnectBehindPipelinedRequests checks that a client that leaves is noticed while its first request is
// served, whatever it has sent behind it.
func TestDisconnectBehindPipelinedRequests(t *testing.T) {
	tests := map[string]string{
		"nothing":         "",
		"one request":     requestText("b", "2", ""),
		"full buffer":     strings.Repeat(requestText("b", "2", ""), 200),
		"part of a body":  requestText("b", strings.Repeat("x", 100_000), "")[:50_000],
		"part of a head":  "POST / HT",
		"exactly 4096 B":  strings.Repeat("x", 4096),
		"exactly 4097 B":  strings.Repeat("x", 4097),
		"one less, 4095 ": strings.Repeat("x", 4095),
	}
	for name, behind := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fakeForwarder{hold: make(chan struct{})}
			a, address := startAcceptor(t, f)
			c := dialClient(t, address)
			_, err := io.WriteString(c, requestText("a", "1", "")+behind)
			assert.NilError(t, err)
			waitUntil(t, "first request", func() bool { return len(f.requests()) == 1 })
			assert.NilError(t, c.Close())
			waitUntil(t, "end of the request", func() bool { return a.OpenRequests() == 0 })
			assert.Equal(t, len(f.requests()), 1)
		})
	}
}

// TestPipelineDepth guards against a node that reads on without bound while a request is served.
func TestPipelineDepth(t *testing.T) {
	f := &fakeForwarder{hold: make(chan struct{})}
	_, address := startAcceptor(t, f)
	c := dialClient(t, address)
	_, err := io.WriteString(c, requestText("a", "1", ""))
	assert.NilError(t, err)
	waitUntil(t, "first request", func() bool { return len(f.requests()) == 1 })
	assert.NilError(t, c.SetWriteDeadline(time.Now().Add(2*time.Second)))
	sent := 0
	for block := []byte(strings.Repeat(requestText("b", "2", ""), 1000)); sent < 64<<20; {
		n, err := c.Write(block)
		sent += n
		if err != nil {
			break
		}
	}
	assert.Assert(t, sent < 64<<20, "the node has read %d bytes behind the first request", sent)
	assert.Equal(t, len(f.requests()), 1)
	close(f.hold)
}

// TestMaxConns checks that above the maximum, the connection that has been idle longest is closed, and the new
// one if none is idle.
func TestMaxConns(t *testing.T) {
	f := &fakeForwarder{}
	a, address := startAcceptor(t, f, func(a *Acceptor) { a.MaxConns = 2 })
	ask := func(c *client, id string) int {
		_, err := io.WriteString(c, requestText(id, "1", ""))
		if err != nil {
			return 0
		}
		status, _, _ := c.receive()
		if status == http.StatusOK {
			waitUntil(t, "idle connections", func() bool { return a.OpenRequests() == 0 })
		}
		return status
	}
	first, second := dialClient(t, address), dialClient(t, address)
	assert.Equal(t, ask(second, "a"), http.StatusOK)
	assert.Equal(t, ask(first, "b"), http.StatusOK)
	third := dialClient(t, address)
	assert.Equal(t, ask(third, "c"), http.StatusOK)
	assert.Equal(t, ask(second, "d"), 0, "it was idle longest")
	assert.Equal(t, ask(first, "e"), http.StatusOK)
	assert.Equal(t, a.Conns(), 2)

	f.hold = make(chan struct{})
	for i, c := range []*client{first, third} {
		_, err := io.WriteString(c, requestText(fmt.Sprint("held-", i), "1", ""))
		assert.NilError(t, err)
	}
	waitUntil(t, "both requests", func() bool { return len(f.requests()) == 6 })
	assert.Equal(t, ask(dialClient(t, address), "f"), 0, "no connection is idle")
	close(f.hold)
	for _, c := range []*client{first, third} {
		status, _, _ := c.receive()
		assert.Equal(t, status, http.StatusOK)
	}
}

// pressedMemory returns a Reserver that has just refused an allocation.
func pressedMemory() *reserver.Reserver {
	memory := reserver.New(1<<20, discardMeter{})
	_ = memory.TryAllocate(reserver.Owner{Class: reserver.Answer}, 2<<20)
	return memory
}

// TestBodyProgress guards against slow bodies that are cut although no one waits for memory, or kept although
// someone does, and against time that the client is charged for while the process waits.
func TestBodyProgress(t *testing.T) {
	began := time.Now()
	tests := map[string]struct {
		bytes  int
		after  time.Duration
		memory *reserver.Reserver
		slow   bool
	}{
		"slow, no one waits":       {1, 2 * time.Second, nil, false},
		"slow while others wait":   {1, 2 * time.Second, pressedMemory(), true},
		"window not over":          {1, time.Second / 2, pressedMemory(), false},
		"fast while others wait":   {reserver.MinWindowBytes, 2 * time.Second, pressedMemory(), false},
		"nothing while others do":  {0, reserver.SlowWindow, pressedMemory(), true},
		"one byte less than fast ": {reserver.MinWindowBytes - 1, reserver.SlowWindow, pressedMemory(), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &bodyProgress{idleTimeout: 5 * time.Second, last: began, window: began.Add(reserver.SlowWindow), returned: began}
			assert.Equal(t, b.advance(began.Add(test.after), test.bytes, test.memory), test.slow)
		})
	}
	b := &bodyProgress{last: began, window: began.Add(time.Second), returned: began}
	b.resume(began.Add(10 * time.Second))
	assert.Equal(t, b.last, began.Add(10*time.Second))
	assert.Equal(t, b.window, began.Add(11*time.Second))
}

// TestStalledBody checks that a body without progress ends after the idle timeout, and that one that advances
// slowly is served.
func TestStalledBody(t *testing.T) {
	f := &fakeForwarder{}
	_, address := startAcceptor(t, f, func(a *Acceptor) { a.Table().Limits.IdleTimeout = 400 * time.Millisecond })
	stalled, slow := dialClient(t, address), dialClient(t, address)
	body := requestText("stalled", "0123456789", "")
	_, err := io.WriteString(stalled, body[:len(body)-1])
	assert.NilError(t, err)
	body = requestText("slow", "0123456789", "")
	_, err = io.WriteString(slow, body[:len(body)-8])
	assert.NilError(t, err)
	for _, b := range []byte(body[len(body)-8:]) {
		time.Sleep(100 * time.Millisecond)
		_, err := slow.Write([]byte{b})
		assert.NilError(t, err)
	}
	status, _, text := slow.receive()
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, "0123456789")
	status, _, _ = stalled.receive()
	assert.Equal(t, status, http.StatusRequestTimeout)
	assert.DeepEqual(t, f.requests(), []string{"slow"})
}

// TestNoMemory checks that a request for whose body there is no memory is refused as not run and closes its
// connection, while small requests are served.
func TestNoMemory(t *testing.T) {
	f := &fakeForwarder{}
	memory := reserver.New(2<<20, discardMeter{})
	_, address := startAcceptor(t, f, func(a *Acceptor) { a.Memory = memory })
	held := memory.TryAllocate(reserver.Owner{Class: reserver.Large}, 800<<10)
	assert.Assert(t, held != nil)
	c := dialClient(t, address)
	go func() { _, _ = io.WriteString(c, requestText("large", strings.Repeat("x", 500<<10), "")) }()
	small := dialClient(t, address)
	_, err := io.WriteString(small, requestText("small", strings.Repeat("x", 40<<10), ""))
	assert.NilError(t, err)
	status, _, _ := small.receive()
	assert.Equal(t, status, http.StatusOK)
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(platform.HeaderRetryAfter), "1.000")
	assert.Assert(t, response.Close)
	assert.DeepEqual(t, f.requests(), []string{"small"})
	runtime.KeepAlive(held)
}

// TestStatusOfAnotherNode guards against an answer without a valid status that reaches the client as 200.
func TestStatusOfAnotherNode(t *testing.T) {
	tests := map[int]int{0: 502, 99: 502, 199: 502, 200: 200, 404: 404, 599: 599, 600: 502, -1: 502}
	for status, want := range tests {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			result := &forwarder.Result{Verdict: forwarder.Answered, Answer: &carrier.Answer{Status: status}}
			assert.Equal(t, responseFor(result, nil).StatusCode(), want)
		})
	}
}

// TestCountedBeforeAccepted guards against a flood of connections that are accepted faster than they are counted,
// so that more of them are open than the limit allows.
func TestCountedBeforeAccepted(t *testing.T) {
	a, address := startAcceptor(t, &fakeForwarder{}, func(a *Acceptor) { a.MaxConns = 1 })
	a.mu.Lock() // as while an idle connection is searched for
	before := runtime.NumGoroutine()
	for range 50 {
		dialClient(t, address)
	}
	time.Sleep(100 * time.Millisecond)
	waiting := runtime.NumGoroutine() - before
	a.mu.Unlock()
	assert.Assert(t, waiting < 5, "%d connections were accepted and not counted", waiting)
}

// TestRefuseUnread guards against requests that are read, or wait for memory, until the process ends and are then cut
// without an answer: they are refused at once.
func TestRefuseUnread(t *testing.T) {
	tests := map[string]string{
		"part of a small body":       requestText("a", strings.Repeat("x", 1000), "")[:600],
		"part of a large body":       requestText("a", strings.Repeat("x", 100_000), "")[:50_000],
		"part of a chunked body":     strings.Replace(requestText("a", "", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "5\r\nchu",
		"body that waits for memory": requestText("a", strings.Repeat("x", 900_000), ""),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fakeForwarder{hold: make(chan struct{})}
			t.Cleanup(sync.OnceFunc(func() { close(f.hold) }))
			memory := reserver.New(16<<20, discardMeter{})
			a, address := startAcceptor(t, f, func(a *Acceptor) { a.Memory = memory })
			var held [][]byte // all memory for large bodies
			for {
				data := memory.TryAllocate(reserver.Owner{Class: reserver.Large}, 900_000)
				if data == nil {
					break
				}
				held = append(held, data)
			}
			defer runtime.KeepAlive(held)
			c := dialClient(t, address)
			go func() { _, _ = io.WriteString(c, text) }()
			waitUntil(t, "request", func() bool { return a.Stages().Reading == 1 })
			time.Sleep(50 * time.Millisecond) // its head is read
			a.Stop()
			a.Refuse()
			began := time.Now()
			status, _, _ := c.receive()
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Assert(t, time.Since(began) < reserver.MaxWait/2)
			waitUntil(t, "end", func() bool { return a.OpenRequests() == 0 })
		})
	}
}
