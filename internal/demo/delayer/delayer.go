// Package delayer adds the latency of a distant network to connections.
package delayer

import (
	"net"
	"sync"
	"time"
)

const queued = 64 // writes under way

// Conn delays what is written and read by a fixed one-way latency.
type Conn struct {
	net.Conn

	delay time.Duration
	out   chan packet
	once  sync.Once
	done  chan struct{}
}

type packet struct {
	data []byte
	due  time.Time
}

// Wrap returns conn with a one-way latency in each direction.
func Wrap(conn net.Conn, delay time.Duration) net.Conn {
	if delay <= 0 {
		return conn
	}
	c := &Conn{Conn: conn, delay: delay, out: make(chan packet, queued), done: make(chan struct{})}
	go c.send()
	return c
}

// Write queues data to be sent after the latency.
func (c *Conn) Write(data []byte) (int, error) {
	p := packet{data: append([]byte(nil), data...), due: time.Now().Add(c.delay)}
	select {
	case c.out <- p:
		return len(data), nil
	case <-c.done:
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
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

func (c *Conn) send() {
	for {
		select {
		case <-c.done:
			return
		case p := <-c.out:
			time.Sleep(time.Until(p.due))
			if _, err := c.Conn.Write(p.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}
