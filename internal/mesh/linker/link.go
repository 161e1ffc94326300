package linker

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"

	"clementinerock/internal/mesh/messenger"
)

// link is a QUIC connection to a host, with one stream for all messages.
type link struct {
	host        messenger.Host
	incarnation uint64
	inbound     bool // dialed by the other node
	conn        *quic.Conn
	stream      *quic.Stream
	sendQueue   chan []byte // encoded frames
	closed      chan struct{}
	closeOnce   sync.Once
}

// writeLoop sends queued frames until the link is closed.
func (k *link) writeLoop() {
	for {
		select {
		case <-k.closed:
			return
		case frame := <-k.sendQueue:
			if _, err := k.stream.Write(frame); err != nil {
				k.close(codeFailed)
				return
			}
		}
	}
}

// close closes the connection. Only the first call has an effect.
func (k *link) close(code quic.ApplicationErrorCode) {
	k.closeOnce.Do(func() {
		close(k.closed)
		_ = k.conn.CloseWithError(code, "")
	})
}

// flushAndClose waits up to flushTimeout for queued frames to be written, gives the last one a quarter
// of that time to be sent, and closes the link.
func (k *link) flushAndClose() {
	deadline := time.Now().Add(flushTimeout)
	for len(k.sendQueue) > 0 && time.Now().Before(deadline) {
		time.Sleep(flushTimeout / 20)
	}
	time.Sleep(flushTimeout / 4)
	k.close(codePlanned)
}

const packetHeaderBytes = 28 // size of the IPv4 and UDP headers of a packet

// countingConn is a UDP socket that counts the bytes on the wire. It does not embed the socket, which
// has further methods to read and write, so that every packet is counted.
type countingConn struct {
	conn     *net.UDPConn
	sent     atomic.Uint64
	received atomic.Uint64
	dropping atomic.Bool // true once all packets are dropped
}

// ReadFrom reads a packet.
func (c *countingConn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.conn.ReadFrom(data)
		if err == nil && c.dropping.Load() {
			continue
		}
		if err == nil {
			c.received.Add(uint64(n) + packetHeaderBytes)
		}
		return n, from, err
	}
}

// WriteTo sends a packet.
func (c *countingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if c.dropping.Load() {
		return len(data), nil
	}
	c.sent.Add(uint64(len(data)) + packetHeaderBytes)
	return c.conn.WriteTo(data, to)
}

// Close closes the socket.
func (c *countingConn) Close() error { return c.conn.Close() }

// LocalAddr returns the local address of the socket.
func (c *countingConn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// SetDeadline sets the deadline of reads and writes.
func (c *countingConn) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// SetReadDeadline sets the deadline of reads.
func (c *countingConn) SetReadDeadline(t time.Time) error { return c.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the deadline of writes.
func (c *countingConn) SetWriteDeadline(t time.Time) error { return c.conn.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the receive buffer in bytes.
func (c *countingConn) SetReadBuffer(size int) error { return c.conn.SetReadBuffer(size) }

// SetWriteBuffer sets the size of the send buffer in bytes.
func (c *countingConn) SetWriteBuffer(size int) error { return c.conn.SetWriteBuffer(size) }

// SyscallConn returns access to the file descriptor of the socket.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) { return c.conn.SyscallConn() }
