// Package delayer adds a simulated network latency to connections.
package delayer

import (
	"net"
	"sync"
	"time"
)

const writeQueueSize = 64 // writes in flight before Write blocks

// Conn is a connection that delays reads and writes by a fixed one-way latency.
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

// Wrap adds a one-way latency to each direction of conn. With no latency it returns conn itself.
func Wrap(conn net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return conn
	}
	c := &Conn{Conn: conn, delay: delay, writes: make(chan delayedWrite, writeQueueSize), closed: make(chan struct{})}
	go c.writeLoop()
	return c
}

// Write queues a copy of data, which is sent after the latency.
func (c *Conn) Write(data []byte) (int, error) {
	p := delayedWrite{data: append([]byte(nil), data...), due: time.Now().Add(c.delay)}
	select {
	case c.writes <- p:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Read returns received data after the latency.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// Close closes the connection. Queued writes are dropped.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// writeLoop sends queued writes when they are due.
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
