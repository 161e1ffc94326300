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

// link is one connection with its single stream.
type link struct {
	machine     messenger.Host
	incarnation uint64
	inbound     bool
	conn        *quic.Conn
	stream      *quic.Stream
	queue       chan []byte
	done        chan struct{}
	once        sync.Once
}

func (k *link) write() {
	for {
		select {
		case <-k.done:
			return
		case frame := <-k.queue:
			if _, err := k.stream.Write(frame); err != nil {
				k.close(codeBroken)
				return
			}
		}
	}
}

func (k *link) close(code quic.ApplicationErrorCode) {
	k.once.Do(func() {
		close(k.done)
		_ = k.conn.CloseWithError(code, "")
	})
}

// drain gives queued messages a moment to leave before closing.
func (k *link) drain() {
	deadline := time.Now().Add(closeGrace)
	for len(k.queue) > 0 && time.Now().Before(deadline) {
		time.Sleep(closeGrace / 20)
	}
	time.Sleep(closeGrace / 4)
	k.close(codePlanned)
}

const headerBytes = 28 // IPv4 and UDP headers of a packet

// countingConn counts the bytes on the wire. It offers no more than the plain
// packet interface, so that every packet passes through it.
type countingConn struct {
	conn     *net.UDPConn
	sent     atomic.Uint64
	received atomic.Uint64
	silent   atomic.Bool // drops every packet
}

// ReadFrom reads one packet.
func (c *countingConn) ReadFrom(data []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.conn.ReadFrom(data)
		if err == nil && c.silent.Load() {
			continue
		}
		if err == nil {
			c.received.Add(uint64(n) + headerBytes)
		}
		return n, from, err
	}
}

// WriteTo sends one packet.
func (c *countingConn) WriteTo(data []byte, to net.Addr) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	c.sent.Add(uint64(len(data)) + headerBytes)
	return c.conn.WriteTo(data, to)
}

// Close closes the socket.
func (c *countingConn) Close() error { return c.conn.Close() }

// LocalAddr returns the address in use.
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

// SyscallConn returns the raw socket.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) { return c.conn.SyscallConn() }
