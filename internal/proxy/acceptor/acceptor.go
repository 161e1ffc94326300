// Package acceptor serves HTTP/1.1 to clients, which include the target on this host when it
// calls other services.
package acceptor

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/node/expirer"
	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/pacer"
	"clementinerock/internal/proxy/reserver"
)

const (
	initialBuffer        = 4 << 10                // bytes; write buffer, and read buffer at first
	maxPooledBody        = 8 << 10                // bytes; larger bodies are not read into the memory of pooled requests
	defaultHeaderBytes   = 16 << 10               // limit until a configuration is active
	defaultBodyBytes     = 64 << 20               // limit until a configuration is active
	defaultIdleTimeout   = 15 * time.Second       // limit until a configuration is active
	defaultHeaderTimeout = 3 * time.Second        // limit until a configuration is active
	idleMargin           = 500 * time.Millisecond // extra time beyond the idle timeout that clients rely on
	writeTimeout         = 5 * time.Second
	notReadyRetryAfter   = 200 * time.Millisecond // retry delay sent while the node starts or stops

	noMemoryRetryAfter = time.Second // retry delay sent while the memory for bodies is in use

	noProofRetryAfter = 300 * time.Millisecond // retry delay sent while no proof of the newest configuration exists

	// nestedGrace is the time after the start of the process in which nested calls of requests that an
	// earlier process delivered may still arrive. It covers the longest requests.
	nestedGrace = 10 * time.Second

	// defaultRemaining is the time that a client is assumed to wait if it sends no time limit. The
	// route's timeout limits the request in either case.
	defaultRemaining = 30 * time.Second
)

// Meter records measurements.
type Meter interface {
	Add(name string, n int64)
}

// Forwarder forwards requests to targets.
type Forwarder interface {
	Forward(request *forwarder.Request) forwarder.Result
}

// Acceptor accepts client connections and serves their requests.
type Acceptor struct {
	Log       *zap.Logger
	Forwarder Forwarder
	Table     func() *matcher.Table // returns the active route table, or nil
	Meter     Meter

	// Fresh reports whether the active configuration was recently proved to be the newest one, so that
	// no request with a withdrawn key is served; nil if no such proof is required.
	Fresh func() bool

	// Derived reports whether an ID was derived from that of a request that the target runs or ran until
	// recently, which makes the request a nested call.
	Derived func(id []byte) bool

	Uplink   *pacer.Gate        // paces large responses; nil for no limit
	Memory   *reserver.Reserver // memory for bodies; nil for no limit
	MaxConns int                // maximum number of connections of clients; 0 for no limit

	stopping     atomic.Bool  // set by Stop
	refusing     atomic.Bool  // set by Refuse
	openRequests atomic.Int64 // number of requests being served
	stages       [stageCount]atomic.Int64
	lastRequest  atomic.Int64 // arrival of the last request, as a duration since the start of the process
	listener     net.Listener
	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	closed       bool
}

// Start accepts clients at an address. The clean-up function closes all connections.
func (a *Acceptor) Start(address string) (func(), error) {
	a.conns = make(map[*clientConn]struct{})
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen for clients")
	}
	a.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				a.Log.Error("client: accept failed", recorder.Err(err))
				time.Sleep(10 * time.Millisecond) // probably out of file descriptors until other connections end
				continue
			}
			c := newClientConn(conn, a.Memory)
			if !a.add(c) { // before the next one is accepted, so that no more are open than the limit allows
				_ = conn.Close() // no request was read
				continue
			}
			go a.serve(c)
		}
	}()
	return a.closeAll, nil
}

// Stop begins a graceful shutdown: each response from now on closes its connection, so that
// clients reconnect elsewhere.
func (a *Acceptor) Stop() { a.stopping.Store(true) }

// Refuse refuses all further requests, since they might not end before the process does, and those that are being
// read.
func (a *Acceptor) Refuse() {
	a.refusing.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.refuseUnread()
	}
}

// OpenRequests returns the number of requests being served.
func (a *Acceptor) OpenRequests() int { return int(a.openRequests.Load()) }

// IdleTime returns the time since the last request arrived.
func (a *Acceptor) IdleTime() time.Duration {
	return expirer.SinceStart(time.Now()) - time.Duration(a.lastRequest.Load())
}

// Close accepts no more requests: connections without a request are closed now, the others
// after their response.
func (a *Acceptor) Close() {
	_ = a.listener.Close() // no more connections are accepted
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for c := range a.conns {
		c.closeIfIdle()
	}
}

// closeAll also closes connections with a request in progress.
func (a *Acceptor) closeAll() {
	a.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Close() // the process is about to end
	}
}

// serve serves the requests on one connection.
func (a *Acceptor) serve(c *clientConn) {
	defer func() {
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
		_ = c.Close() // the last response was sent
	}()
	for a.serveNext(c) {
	}
	c.awaitAll()
	if c.reader.Buffered() > 0 || !c.hungUp() {
		c.discardUnread() // pipelined requests, which are not run
	}
}

// limits returns the limits on sizes and times of requests.
func (a *Acceptor) limits() matcher.Limits {
	limits := matcher.Limits{
		HeaderBytes:   defaultHeaderBytes,
		BodyBytes:     defaultBodyBytes,
		HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:   defaultIdleTimeout,
	}
	if table := a.Table(); table != nil {
		limits = table.Limits
	}
	return limits
}

// serveNext reads the next request and begins to serve it. It reports whether another one may follow on the
// connection.
func (a *Acceptor) serveNext(c *clientConn) bool {
	limits := a.limits()
	if !c.awaitRequest(limits.HeaderTimeout, limits.IdleTimeout+idleMargin) {
		return false // closed by the client, or idle for too long
	}
	o := a.open()
	t, ok := c.begin()
	if !ok {
		o.end()
		return false // closed before the request was read
	}
	end := func(keepAlive bool) bool {
		c.finish(t, keepAlive)
		o.end()
		return keepAlive
	}
	o.enter(stageReading)
	arrived := time.Now()
	a.lastRequest.Store(int64(expirer.SinceStart(arrived)))
	if c.SetReadDeadline(arrived.Add(limits.HeaderTimeout)) != nil {
		return end(false)
	}
	in := &received{Request: fasthttp.AcquireRequest()}
	err := a.read(c, t, in, arrived, &limits)
	c.endRead()
	if err != nil && a.refusing.Load() && !disconnected(err) {
		err = merry.Wrap(errStopping, merry.WithCause(err)) // its reading was interrupted
	}
	if err != nil {
		if disconnected(err) {
			c.abandon()
		}
		o.enter(stageResponding)
		if c.awaitTurn(t) {
			a.reject(c, err)
		}
		return end(false)
	}
	o.enter(stageQueued)
	in.alone = !a.mayPipeline(in)
	if in.alone && !c.setExclusive(t) {
		a.Memory.Discard(in.body.Size())
		return end(false) // an earlier response closed the connection, so the client sends it again
	}
	o.enter(stageForwarded)
	go func() { end(a.respond(c, o, t, in, arrived)) }()
	return true
}

// mayPipeline reports whether a request may be served before the ones that were sent earlier on its
// connection have been answered. Above the maximum number of connections, each connection serves one request
// at a time, so that pipelined requests do not take more memory than the connections may.
func (a *Acceptor) mayPipeline(in *received) bool {
	table := a.Table()
	if table == nil || (a.MaxConns > 0 && a.OpenRequests() > a.MaxConns) {
		return false
	}
	route, _ := match(in.Request, table)
	return route != nil && route.Idempotent
}

// respond serves a request and sends its response after those of the earlier requests on the connection.
// It reports whether the connection may be used for further requests.
func (a *Acceptor) respond(c *clientConn, o *openRequest, t turn, in *received, arrived time.Time) bool {
	result, urgency := a.handle(in, arrived, c.gone)
	defer a.Memory.Discard(in.body.Size())
	o.enter(stageResponding)
	if !c.await(t) || result == nil {
		return false // a call may still use the request's memory, so it is not released
	}
	defer fasthttp.ReleaseRequest(in.Request)
	return a.writeResponse(c, t, in.Request, result, urgency)
}
