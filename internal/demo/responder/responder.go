// Package responder implements a stand-in target for demos, measurements and tests: an HTTP server
// with a limited number of slots that takes time to connect to and to answer, sheds load, and counts
// the executions of each request.
package responder

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"clementinerock/internal/call/forwarder"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/node/announcer"
)

// HeaderRequestID holds the ID of a client's request. The target counts executions by it and returns
// it in its answer.
const HeaderRequestID = "X-Request-Id"

// HeaderWorkTime holds the time in microseconds that the request asks the target to take.
const HeaderWorkTime = "X-Work-Us"

const (
	announceInterval       = 3 * time.Second
	shedQueueFactor        = 4 // waiting calls per slot above which the target sheds calls
	announceAttempts       = 20
	announceRetryDelay     = 100 * time.Millisecond
	truncatedAnswerTimeout = 2 * time.Second
)

// Behaviour selects the faults of a target. With the zero value, the target has none.
type Behaviour struct {
	Slowdown float64 // factor on the work time of each call; 0 means 1
	Hang     bool    // calls hang until the target stops
	Crash    bool    // the target closes the connection in the middle of each answer
	Shed     bool    // the target sheds every call
}

// Config configures a target.
type Config struct {
	Service      string
	Slots        int
	ConnectDelay time.Duration // time to open a connection
	Admin        string        // admin address of the node on the target's host; if empty, the target is not announced
}

// Target is a running stand-in target.
type Target struct {
	config    Config
	listener  net.Listener
	server    *fasthttp.Server
	slots     chan struct{}
	waiting   atomic.Int64 // calls that wait for a slot
	behaviour atomic.Pointer[Behaviour]
	state     atomic.Pointer[messenger.TargetState]
	stop      chan struct{}
	stopOnce  sync.Once

	mu         sync.Mutex
	executions map[string]int // by request ID
}

// New starts a target and announces it to its node. The clean-up function stops it at once.
func New(config Config) (*Target, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, merry.Prepend(err, "listen for stand-in target")
	}
	t := &Target{
		config:     config,
		listener:   listener,
		slots:      make(chan struct{}, config.Slots),
		stop:       make(chan struct{}),
		executions: make(map[string]int),
	}
	t.behaviour.Store(&Behaviour{})
	t.server = &fasthttp.Server{Handler: t.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{}}
	go func() { _ = t.server.Serve(&delayedListener{Listener: listener, delay: config.ConnectDelay}) }()
	if config.Admin == "" {
		return t, t.Stop, nil
	}
	if err := t.Announce(messenger.Serving); err != nil {
		t.Stop()
		return nil, nil, err
	}
	go t.announceLoop()
	return t, t.Stop, nil
}

// discardLogger drops the server's log messages.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// delayedListener accepts connections whose first read is delayed, to simulate the time to open a
// connection.
type delayedListener struct {
	net.Listener

	delay time.Duration
}

// Accept implements net.Listener.
func (l *delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.delay == 0 {
		return conn, err
	}
	return &delayedConn{Conn: conn, delay: l.delay}, nil
}

type delayedConn struct {
	net.Conn

	delay time.Duration
	once  sync.Once
}

// Read implements net.Conn. Its first call sleeps for the delay.
func (c *delayedConn) Read(data []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(data)
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Service returns the service of the target.
func (t *Target) Service() string { return t.config.Service }

// Slots returns the number of slots of the target.
func (t *Target) Slots() int { return t.config.Slots }

// SetBehaviour replaces the behaviour of the target for the calls that arrive from then on.
func (t *Target) SetBehaviour(b Behaviour) { t.behaviour.Store(&b) }

// AddExecutions adds the number of executions of each request to totals, by request ID.
func (t *Target) AddExecutions(totals map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range t.executions {
		totals[id] += n
	}
}

// Announce sends the target's state to the node on its host. It retries if the node cannot be
// reached.
func (t *Target) Announce(state messenger.TargetState) error {
	t.state.Store(&state)
	body, err := json.Marshal(announcer.Announcement{
		Service: t.config.Service, Address: t.Address(), Slots: t.config.Slots, State: state,
	})
	if err != nil {
		return merry.Prepend(err, "encode announcement")
	}
	for range announceAttempts {
		var response *http.Response
		response, err = http.Post("http://"+t.config.Admin+announcer.PathTargets, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusNoContent {
				return nil
			}
			return merry.Errorf("announcement refused with status %d", response.StatusCode)
		}
		time.Sleep(announceRetryDelay)
	}
	return merry.Prepend(err, "announce target")
}

// announceLoop repeats the last announcement until the target stops.
func (t *Target) announceLoop() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
			_ = t.Announce(*t.state.Load()) // retried at the next tick
		}
	}
}

// Stop stops the target at once, without draining it.
func (t *Target) Stop() {
	t.stopOnce.Do(func() {
		close(t.stop)
		_ = t.listener.Close()
		go func() { _ = t.server.Shutdown() }()
	})
}

func (t *Target) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(HeaderRequestID))
	b := *t.behaviour.Load()
	if b.Shed || t.waiting.Load() > int64(shedQueueFactor*t.config.Slots) {
		ctx.Response.Header.Set(forwarder.HeaderNotRun, "true")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	t.waiting.Add(1)
	t.slots <- struct{}{}
	t.waiting.Add(-1)
	defer func() { <-t.slots }()
	t.mu.Lock()
	t.executions[id]++
	t.mu.Unlock()
	time.Sleep(t.workTime(ctx, b))
	if b.Hang {
		<-t.stop
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(answerBody(id))
	if b.Crash {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(sendTruncatedAnswer)
	}
}

// sendTruncatedAnswer sends the start of an answer. The server then closes the connection.
func sendTruncatedAnswer(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(truncatedAnswerTimeout))
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\ncut"))
}

// workTime returns how long a call takes: the time that the request asks for or, if it asks for none,
// a random time from 1 to 2 ms, each multiplied by the slowdown.
func (t *Target) workTime(ctx *fasthttp.RequestCtx, b Behaviour) time.Duration {
	us, err := strconv.Atoi(string(ctx.Request.Header.Peek(HeaderWorkTime)))
	if err != nil {
		us = 1000 + rand.IntN(1000)
	}
	if b.Slowdown > 0 {
		us = int(float64(us) * b.Slowdown)
	}
	return time.Duration(us) * time.Microsecond
}

const answerPrefix = "done "

func answerBody(id string) string { return answerPrefix + id }

// IsAnswer reports whether body is the complete answer to the request with the given ID.
func IsAnswer(body []byte, id string) bool { return string(body) == answerBody(id) }
