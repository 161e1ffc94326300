package acceptor

import (
	"bufio"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"clementinerock/internal/proxy/reserver"
)

// hangUpInterval is the interval between two checks for a disconnect while the connection is not read.
const hangUpInterval = 100 * time.Millisecond

// maxPipelined is the maximum number of requests of one connection that are served at the same time.
// Further ones stay unread.
const maxPipelined = 16

// clientConn is a connection of a client. One goroutine reads its requests; each request is served by a
// goroutine of its own, and the responses are written in the order of the requests.
type clientConn struct {
	net.Conn
	address   string // of the client, without its port
	reader    *bufio.Reader
	memory    *reserver.Reserver
	body      *bodyProgress // nil unless a body is being read
	gone      chan struct{} // closed when the client has disconnected or no further response can be sent
	discarded bool          // discardUnread was called

	// unreadable is closed when a request that is being read is not read to its end: gone is closed, or the node
	// refuses all requests.
	unreadable chan struct{}

	places chan struct{} // holds an element for each request that is served and for the one to be read

	mu        sync.Mutex
	number    uint64          // of the last request read, from 1
	open      int             // requests that are being read or served
	exclusive bool            // the last request read is served alone
	last      <-chan struct{} // closed when the last request read was responded to; nil before the first
	served    bool            // whether a response was sent
	waiting   bool            // whether the reading goroutine waits for the next request
	reading   bool            // whether it reads a request whose first byte has arrived
	closing   bool            // no further request is read
	ended     bool            // gone is closed
	refusing  bool            // refuseUnread was called
	idleWait  time.Duration   // time for which the connection may be idle after a response
	idleSince time.Time       // end of the last request, or start of the connection
}

// turn is the place of a request among those of its connection.
type turn struct {
	number uint64
	before <-chan struct{} // closed when the request before it was responded to; nil if there is none
	done   chan struct{}   // closed when this request was responded to
}

func newClientConn(raw net.Conn, memory *reserver.Reserver) *clientConn {
	c := &clientConn{
		Conn:      raw,
		memory:    memory,
		gone:      make(chan struct{}),
		places:    make(chan struct{}, maxPipelined),
		idleSince: time.Now(),

		unreadable: make(chan struct{}),
	}
	c.address, _, _ = net.SplitHostPort(raw.RemoteAddr().String())
	c.reader = bufio.NewReaderSize(c, initialBuffer)
	return c
}

// awaitRequest waits for the first byte of the next request. first is the time for which a new connection
// may be silent, and idle that between requests. It returns false if no further request is to be read.
func (c *clientConn) awaitRequest(first, idle time.Duration) bool {
	c.takePlace()
	c.mu.Lock()
	c.waiting = true
	c.idleWait = idle
	wait := first
	if c.served {
		wait = idle
	}
	var deadline time.Time // none while requests are served, since the read detects a disconnect
	if c.open == 0 {
		deadline = time.Now().Add(wait)
	}
	err := c.SetReadDeadline(deadline)
	closing := c.closing
	c.mu.Unlock()
	if err != nil || closing {
		return false
	}
	_, err = c.reader.Peek(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if err != nil {
		if !c.closing {
			c.end()
		}
		return false
	}
	return !c.closing
}

// begin registers a request whose first byte has arrived. It returns false if the connection was closed in
// the meantime; the request then counts as not read.
func (c *clientConn) begin() (turn, bool) {
	c.mu.Lock()
	for c.exclusive && c.open > 0 && !c.closing {
		last := c.last
		c.mu.Unlock()
		c.awaitWatched(last)
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.closing {
		return turn{}, false
	}
	c.number++
	c.open++
	c.exclusive = false
	c.reading = true
	t := turn{number: c.number, before: c.last, done: make(chan struct{})}
	c.last = t.done
	return t, true
}

// endRead records that a request was read, or can't be.
func (c *clientConn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// setExclusive makes the request that was read last the only one that is served, because it must not be
// run if an earlier response closes the connection: its client would send it again. It returns false if
// that has happened.
func (c *clientConn) setExclusive(t turn) bool {
	c.mu.Lock()
	c.exclusive = true
	c.mu.Unlock()
	return c.awaitTurn(t)
}

// await waits until the request before has been responded to. It returns false if no further response can
// be sent.
func (c *clientConn) await(t turn) bool {
	if t.before != nil {
		<-t.before
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended
}

// awaitTurn is await for the goroutine that reads the connection, which meanwhile checks for a disconnect.
func (c *clientConn) awaitTurn(t turn) bool {
	if t.before != nil {
		c.awaitWatched(t.before)
	}
	return c.await(t)
}

// takePlace waits until fewer than maxPipelined requests are served.
func (c *clientConn) takePlace() {
	select {
	case c.places <- struct{}{}:
		return
	default:
	}
	ticker := time.NewTicker(hangUpInterval)
	defer ticker.Stop()
	for {
		select {
		case c.places <- struct{}{}:
			return
		case <-ticker.C:
			c.checkHangUp()
		}
	}
}

// awaitWatched waits until done is closed. It checks periodically whether the client has disconnected, since the
// goroutine that reads the connection does not read meanwhile.
func (c *clientConn) awaitWatched(done <-chan struct{}) {
	select {
	case <-done:
		return
	default:
	}
	ticker := time.NewTicker(hangUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			c.checkHangUp()
		}
	}
}

// watchOthers checks for a disconnect until the returned function is called, if earlier requests are served. The
// goroutine that reads the connection may wait for memory meanwhile.
func (c *clientConn) watchOthers(t turn) (stop func()) {
	if t.before == nil {
		return func() {}
	}
	select {
	case <-t.before:
		return func() {}
	default:
	}
	done := make(chan struct{})
	go c.awaitWatched(done)
	return func() { close(done) }
}

// checkHangUp cancels the requests that are being served if the client has disconnected. That is not noticed
// while the client's system holds back bytes that do not fit the receive buffer of this one, since the
// disconnect follows them.
func (c *clientConn) checkHangUp() {
	if c.hungUp() {
		c.abandon()
	}
}

// closeAfter reports whether the response to a request is the last one, and if so stops reading. That is
// the case if close is set or, if stopping is set, unless a later request has been read: it may be running
// already, and its client gets the response as well.
func (c *clientConn) closeAfter(t turn, closes, stopping bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || (!closes && (!stopping || c.number > t.number)) {
		return c.closing && c.number == t.number
	}
	c.stopReading()
	return true
}

// stopReading makes the reading goroutine end. c.mu must be held.
func (c *clientConn) stopReading() {
	c.closing = true
	if c.waiting {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // interrupts the read
	}
}

// finish ends a request. If its response was not sent, or closes the connection, the requests behind it
// are canceled.
func (c *clientConn) finish(t turn, keepAlive bool) {
	c.mu.Lock()
	c.open--
	c.idleSince = time.Now()
	if keepAlive {
		c.served = true
	} else {
		c.end()
		_ = c.SetReadDeadline(time.Unix(1, 0)) // interrupts the read of a request behind this one
	}
	if c.open == 0 && c.waiting && !c.closing {
		_ = c.SetReadDeadline(time.Now().Add(c.idleWait)) // a failure shows in the read
	}
	c.mu.Unlock()
	close(t.done)
	<-c.places
}

// end cancels the requests that are being served. c.mu must be held.
func (c *clientConn) end() {
	c.closing = true
	if !c.ended {
		c.ended = true
		close(c.gone)
		c.endReading()
	}
}

// endReading ends the wait for the memory of a request that is being read. c.mu must be held.
func (c *clientConn) endReading() {
	select {
	case <-c.unreadable:
	default:
		close(c.unreadable)
	}
}

// refuseUnread interrupts the reading of a request. Its response and those of earlier requests can still be sent.
func (c *clientConn) refuseUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = true
	if !c.reading {
		return
	}
	c.endReading()
	_ = c.SetReadDeadline(time.Unix(1, 0)) // a failure shows in the read
}

// limitRead sets the time until which the body of a request is read. It returns an error if it is not to be read any
// more.
func (c *clientConn) limitRead(end time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return net.ErrClosed // an earlier response has closed the connection
	case c.refusing:
		return errStopping
	}
	return c.SetReadDeadline(end)
}

// abandon cancels the requests that are being served because the client has disconnected.
func (c *clientConn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// closeIfIdle closes the connection unless a request is being read or served, or the connection is being closed
// anyway, and reports whether it did.
func (c *clientConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 || c.closing {
		return false
	}
	c.stopReading()
	_ = c.Close() // no request is in progress
	return true
}

// idle returns since when no request has been read or served, and whether that is so now.
func (c *clientConn) idle() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.open == 0 && !c.closing
}

// awaitAll waits until all requests have ended.
func (c *clientConn) awaitAll() {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if last != nil {
		<-last
	}
}

// hungUp reports whether the client has closed its side of the connection, without reading from it.
func (c *clientConn) hungUp() bool {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	const closed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	found := false
	err = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, pollErr := unix.Poll(polled, 0)
		found = pollErr == nil && polled[0].Revents&closed != 0
	})
	return err != nil || found
}
