// Package responder is a stand-in target. It has slots, takes time, costs
// something to connect to, sheds load, and counts each execution by request.
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

// HeaderRequestID identifies a caller's request; the target counts executions by it
// and returns it in its answer.
const HeaderRequestID = "X-Request-Id"

// HeaderWorkTime is the time that the request asks the target to take, in
// microseconds.
const HeaderWorkTime = "X-Work-Us"

const (
	announceInterval       = 3 * time.Second
	shedQueueFactor        = 4 // waiting calls per slot beyond which the target sheds
	announceAttempts       = 20
	announceRetryDelay     = 100 * time.Millisecond
	truncatedAnswerTimeout = 2 * time.Second
)

// Behaviour is how a target behaves. It may change while it runs.
type Behaviour struct {
	Slowdown float64 // multiplies the time of each call; 0 means 1
	Hang     bool    // calls never end
	Crash    bool    // closes the connection in the middle of each answer
	Shed     bool    // sheds every call
}

// Config is what a target is made of.
type Config struct {
	Service      string
	Slots        int
	ConnectDelay time.Duration // cost of a new connection
	Admin        string        // admin address of the node on its host; empty to announce nothing
}

// Target is a running stand-in.
type Target struct {
	config    Config
	listener  net.Listener
	server    *fasthttp.Server
	slots     chan struct{}
	waiting   atomic.Int64
	behaviour atomic.Pointer[Behaviour]
	state     atomic.Pointer[messenger.TargetState]
	stop      chan struct{}
	stopOnce  sync.Once

	mu         sync.Mutex
	executions map[string]int
}

// New starts a target and announces it. The clean-up function stops it at once.
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

type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// delayedListener makes the first read of each connection cost something.
type delayedListener struct {
	net.Listener

	delay time.Duration
}

// Accept returns the next connection.
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

// Read pays for the connection once and reads.
func (c *delayedConn) Read(data []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(data)
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Service returns the service of the target.
func (t *Target) Service() string { return t.config.Service }

// Slots returns the slots of the target.
func (t *Target) Slots() int { return t.config.Slots }

// SetBehaviour changes how the target behaves.
func (t *Target) SetBehaviour(b Behaviour) { t.behaviour.Store(&b) }

// AddExecutions adds the executions of each request to totals.
func (t *Target) AddExecutions(totals map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range t.executions {
		totals[id] += n
	}
}

// Announce tells the node on the target's host its state.
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

func (t *Target) announceLoop() {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-ticker.C:
			_ = t.Announce(*t.state.Load()) // tried again at the next tick
		}
	}
}

// Stop ends the target at once.
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

// sendTruncatedAnswer sends the start of an answer and closes the connection.
func sendTruncatedAnswer(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(truncatedAnswerTimeout))
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\ncut"))
}

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

// IsAnswer reports whether a body is the whole answer to a request.
func IsAnswer(body []byte, id string) bool { return string(body) == answerBody(id) }
