package acceptor

import (
	"errors"
	"io"
	"net"
	"time"

	"clementinerock/internal/proxy/reserver"
)

const (
	// maxDiscard and discardTime limit what is read, and for how long, behind a request that was refused
	// before it was read, or behind the last response. Closing at once could reset the connection before the
	// client has read the response.
	maxDiscard  = 256 << 10 // in bytes
	discardTime = 500 * time.Millisecond
)

// bodyProgress tells whether a body advances.
type bodyProgress struct {
	idleTimeout time.Duration
	last        time.Time // arrival of the last bytes
	window      time.Time // end of the current window
	inWindow    int       // bytes that arrived in it
	returned    time.Time // time at which the last read returned
}

// beginBody begins to supervise the progress of a body.
func (c *clientConn) beginBody(idleTimeout time.Duration) {
	now := time.Now()
	c.body = &bodyProgress{idleTimeout: idleTimeout, last: now, window: now.Add(reserver.SlowWindow), returned: now}
}

func (c *clientConn) endBody() { c.body = nil }

// Read reads from the client. While a body is read, it returns an error if no bytes arrive for the idle
// timeout, or fewer than the minimum while others wait for memory.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.body == nil {
		return c.Conn.Read(p)
	}
	c.body.resume(time.Now())
	for {
		end := c.body.last.Add(c.body.idleTimeout)
		if c.body.window.Before(end) {
			end = c.body.window
		}
		if err := c.limitRead(end); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if slow := c.body.advance(time.Now(), n, c.memory); slow {
			return n, errTooSlow
		}
		if n > 0 || !isTimeout(err) || !time.Now().Before(c.body.last.Add(c.body.idleTimeout)) {
			return n, err
		}
	}
}

// resume leaves out the time since the last read, in which this process waited for memory and not for the
// client.
func (b *bodyProgress) resume(now time.Time) {
	pause := now.Sub(b.returned)
	b.last, b.window = b.last.Add(pause), b.window.Add(pause)
}

// advance records that n bytes have arrived. It reports whether the body is too slow while others wait.
func (b *bodyProgress) advance(now time.Time, n int, memory *reserver.Reserver) bool {
	b.returned = now
	if n > 0 {
		b.last = now
		b.inWindow += n
	}
	if now.Before(b.window) {
		return false
	}
	slow := b.inWindow < reserver.MinWindowBytes && memory.Pressed()
	b.window, b.inWindow = now.Add(reserver.SlowWindow), 0
	return slow
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// discardUnread ends the connection for writing and reads the rest of what the client has sent, within
// limits, so that it can read the response. Beyond the limit, the client is held back by TCP until it has closed
// the connection or the time has passed. Further calls have no effect.
func (c *clientConn) discardUnread() {
	if c.discarded {
		return
	}
	c.discarded = true
	end := time.Now().Add(discardTime)
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok || conn.CloseWrite() != nil || conn.SetReadDeadline(end) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.reader, maxDiscard); err != nil {
		return // closed by the client, or time has passed
	}
	for time.Now().Before(end) && !c.hungUp() {
		time.Sleep(discardTime / 10)
	}
}
