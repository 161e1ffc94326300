package measurer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/store/caller"
	"clementinerock/internal/store/keeper"
	"clementinerock/internal/store/server"
)

// countingConn counts the bytes that pass through a connection in both directions.
type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// measurePoll returns the bytes of one read of the head over a connection that is already open.
func measurePoll(store *keeper.MemoryStore) (int, error) {
	s, stop, err := server.New(store, "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer stop()
	var bytes atomic.Int64
	client := caller.New(s.Address())
	client.SetDial(func(address string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, bytes: &bytes}, nil
	})
	ctx := context.Background()
	if _, err := client.Get(ctx, approver.HeadKey); err != nil {
		return 0, err
	}
	first := bytes.Load()
	if _, err := client.Get(ctx, approver.HeadKey); err != nil {
		return 0, err
	}
	return int(bytes.Load() - first), nil
}
