// Package delayer adds the latency of a distant network to connections.
package delayer

import (
	"net"
	"sync"
	"time"
)

const writeQueueSize = 64 // writes under way

// Conn delays what is written and read by a fixed one-way latency.
type Conn struct {
	net.Conn

	delay     time.Duration
	writes    chan delayedWrite
	closeOnce sync.Once
	closed    chan struct{}
}

type delayedWrite struct {
	data []byte
	due  time.Time
}

// Wrap returns conn with a one-way latency in each direction.
func Wrap(conn net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return conn
	}
	c := &Conn{Conn: conn, delay: delay, writes: make(chan delayedWrite, writeQueueSize), closed: make(chan struct{})}
	go c.writeLoop()
	return c
}

// Write queues data to be sent after the latency.
func (c *Conn) Write(data []byte) (int, error) {
	p := delayedWrite{data: append([]byte(nil), data...), due: time.Now().Add(c.delay)}
	select {
	case c.writes <- p:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read returns data after the latency.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.closed:
			return
		case p := <-c.writes:
			time.Sleep(time.Until(p.due))
			if _, err := c.Conn.Write(p.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}
