// Package acceptor speaks HTTP/1.1 with clients and with the target of this host as a
// caller.
package acceptor

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/platform"
)

const (
	initialBuffer        = 4 << 10          // bytes of a connection's buffer to begin with
	defaultHeaderBytes   = 16 << 10         // bytes, until a configuration says otherwise
	defaultBodyBytes     = 64 << 20         // bytes, until a configuration says otherwise
	defaultIdleTimeout   = 15 * time.Second // until a configuration says otherwise
	defaultHeaderTimeout = 3 * time.Second
	defaultRemaining     = 30 * time.Second       // of a client that says no time limit; the route's timeout is shorter
	idleMargin           = 500 * time.Millisecond // an idle connection is kept longer than promised
	writeTimeout         = 5 * time.Second
	notReadyRetryAfter   = 200 * time.Millisecond
)

// Forwarder brings requests to targets.
type Forwarder interface {
	Forward(request *forwarder.Request) forwarder.Result
}

// Acceptor serves clients.
type Acceptor struct {
	Log       *zap.Logger
	Forwarder Forwarder
	Table     func() *matcher.Table // the configuration in force, or nil

	stopping     atomic.Bool
	refusing     atomic.Bool
	openRequests atomic.Int64 // requests being served
	lastRequest  atomic.Int64 // Unix nanoseconds of the latest request
	listener     net.Listener
	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	closed       bool
}

// clientConn is one connection of a clientConn.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	served bool // has carried a request
	phase  atomic.Int32
}

// Phases of a client's connection.
const (
	phaseIdle int32 = iota
	phaseBusy       // a request is read or served
	phaseClosed
)

// Start serves an address. The clean-up function closes all connections.
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
				time.Sleep(10 * time.Millisecond) // out of descriptors: others must end first
				continue
			}
			go a.serve(conn)
		}
	}()
	return a.closeAll, nil
}

// Stop asks clients to go elsewhere: each answer from now on ends its connection.
func (a *Acceptor) Stop() { a.stopping.Store(true) }

// Refuse turns all further requests away, since they might not end in time.
func (a *Acceptor) Refuse() { a.refusing.Store(true) }

// OpenRequests returns the number of requests being served.
func (a *Acceptor) OpenRequests() int { return int(a.openRequests.Load()) }

// IdleTime returns how long ago the latest request came.
func (a *Acceptor) IdleTime() time.Duration {
	return time.Duration(time.Now().UnixNano() - a.lastRequest.Load())
}

// Close takes no more requests: connections without one are closed, the others end with
// their answer.
func (a *Acceptor) Close() {
	_ = a.listener.Close() // no more clients are wanted
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for c := range a.conns {
		if c.phase.CompareAndSwap(phaseIdle, phaseClosed) {
			_ = c.Close() // nothing was read from it
		}
	}
}

func (a *Acceptor) closeAll() {
	a.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		_ = c.Close() // the process ends
	}
}

func (a *Acceptor) serve(raw net.Conn) {
	c := &clientConn{Conn: raw, reader: bufio.NewReaderSize(raw, initialBuffer)}
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		_ = raw.Close() // the process ends; nothing was read
		return
	}
	a.conns[c] = struct{}{}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
		_ = c.Close() // the client has been answered
	}()
	for a.serveOne(c) {
		c.served = true
	}
}

// limits returns the bounds on what clients may send.
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

// serveOne serves one request. It reports whether another may follow on the connection.
func (a *Acceptor) serveOne(c *clientConn) bool {
	limits := a.limits()
	wait := limits.HeaderTimeout
	if c.served {
		wait = limits.IdleTimeout + idleMargin
	}
	if c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	if _, err := c.reader.Peek(1); err != nil {
		return false // closed, or idle for too long
	}
	a.openRequests.Add(1)
	defer a.openRequests.Add(-1)
	if !c.phase.CompareAndSwap(phaseIdle, phaseBusy) {
		return false // closed before anything was read
	}
	defer c.phase.CompareAndSwap(phaseBusy, phaseIdle)
	arrived := time.Now()
	a.lastRequest.Store(arrived.UnixNano())
	if c.SetReadDeadline(arrived.Add(limits.HeaderTimeout)) != nil {
		return false
	}
	request := fasthttp.AcquireRequest()
	if err := a.read(c, request, &limits); err != nil {
		a.reject(c, err)
		return false
	}
	gone, stopWatch := watch(c)
	result := a.handle(request, arrived, gone)
	if !stopWatch() || result == nil {
		return false // the target may still read the request, so it is not reused
	}
	defer fasthttp.ReleaseRequest(request)
	return a.writeResponse(c, request, result)
}

var (
	errHeaderSize = merry.Sentinel("header too large")
	errBodySize   = merry.Sentinel("body too large")
)

// read reads a whole request.
func (a *Acceptor) read(c *clientConn, request *fasthttp.Request, limits *matcher.Limits) error {
	err := request.Header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && c.reader.Size() < limits.HeaderBytes {
		c.reader = bufio.NewReaderSize(c.reader, limits.HeaderBytes)
		err = request.Header.Read(c.reader)
	}
	if errors.As(err, &small) {
		return merry.Wrap(errHeaderSize, merry.WithCause(err))
	}
	if err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)); err != nil {
		return err
	}
	if request.MayContinue() {
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	err = request.ContinueReadBody(c.reader, limits.BodyBytes, false)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return merry.Wrap(errBodySize, merry.WithCause(err))
	}
	return err
}

// reject answers a request that could not be read.
func (a *Acceptor) reject(c *clientConn, err error) {
	status := fasthttp.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, errHeaderSize):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodySize):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return // the client left in the middle of its request
	}
	a.Log.Info("client: request can't be read", zap.Int("status", status), recorder.Err(err))
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.SetStatusCode(status)
	response.SetConnectionClose()
	a.write(c, response)
}

// watch waits for the client to leave while its request is served. settle ends the watch
// and reports whether the client is still there.
func watch(c *clientConn) (gone <-chan struct{}, stopWatch func() bool) {
	disconnected := make(chan struct{})
	ended := make(chan struct{})
	_ = c.SetReadDeadline(time.Time{}) // a connection that fails is noticed by the read
	go func() {
		defer close(ended)
		_, err := c.reader.Peek(1)
		var timeout net.Error
		interrupted := errors.As(err, &timeout) && timeout.Timeout()
		if err != nil && !interrupted {
			close(disconnected)
		}
	}()
	return disconnected, func() bool {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // wakes the read
		<-ended
		select {
		case <-disconnected:
			return false
		default:
			return true
		}
	}
}

// handle forwards a request and returns what to tell the client, or nil if it left.
func (a *Acceptor) handle(in *fasthttp.Request, arrived time.Time, gone <-chan struct{}) *fasthttp.Response {
	table := a.Table()
	id := in.Header.Peek(platform.HeaderRequestID)
	uri := in.Header.RequestURI()
	if table == nil || a.refusing.Load() {
		a.Log.Info("client: turned away, node not ready or stopping", zap.ByteString("id", id))
		return newRefusal(notReadyRetryAfter)
	}
	path, _, _ := bytes.Cut(uri, []byte("?"))
	route := table.Match(string(in.Header.Host()), string(path))
	if route == nil {
		a.Log.Info("client: no route",
			zap.ByteString("id", id),
			zap.ByteString("host", in.Header.Host()),
			zap.ByteString("path", path),
			zap.Uint64("version", table.Version))
		return newResponse(fasthttp.StatusNotFound)
	}
	if len(id) == 0 {
		a.Log.Info("client: request without an id", zap.String("route", route.Name))
		return newResponse(fasthttp.StatusBadRequest)
	}
	remaining, ok := platform.TimeLeft(in.Header.Peek(platform.HeaderTimeLeft))
	if !ok {
		remaining = max(defaultRemaining, route.Timeout)
	}
	result := a.Forwarder.Forward(&forwarder.Request{
		ID:        id,
		Route:     route,
		Version:   table.Version,
		Arrived:   arrived,
		Remaining: remaining,
		Method:    in.Header.Method(),
		URI:       uri,
		Host:      in.Header.Host(),
		Headers:   carrier.CopyHeaders(in.Header.All(), dropped),
		Body:      in.Body(),
		Gone:      gone,
	})
	return responseFor(&result, id)
}
