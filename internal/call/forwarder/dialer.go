package forwarder

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
)

const (
	connectTimeout = time.Second
	idleConnTime   = 10 * time.Second // shorter than the server's, so that it never closes first
	serverIdleTime = time.Minute
	maxBodyBytes   = 4 << 20
	maxPeerConns   = 256 // per peer
	maxTargetConns = 130 // per target
)

// errConnect marks a connection that was never made, so that nothing was sent.
var errConnect = merry.Sentinel("connect failed")

func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, merry.Wrap(errConnect, merry.WithCause(err))
	}
	return conn, nil
}

// dialTLS completes the handshake, so that its failure counts as not connected.
func dialTLS(connect fasthttp.DialFunc, config *tls.Config) fasthttp.DialFunc {
	if connect == nil {
		connect = dial
	}
	return func(address string) (net.Conn, error) {
		conn, err := connect(address)
		if err != nil {
			return nil, merry.Wrap(errConnect, merry.WithCause(err))
		}
		secure := tls.Client(conn, config)
		_ = conn.SetDeadline(time.Now().Add(connectTimeout))
		if err := secure.Handshake(); err != nil {
			_ = conn.Close()
			return nil, merry.Wrap(errConnect, merry.WithCause(err))
		}
		_ = conn.SetDeadline(time.Time{})
		return secure, nil
	}
}

// clients keeps one HTTP client per address.
type clients struct {
	dial     fasthttp.DialFunc
	maxConns int
	byAddr   sync.Map // address to *fasthttp.HostClient
}

func (c *clients) get(address string) *fasthttp.HostClient {
	if client, ok := c.byAddr.Load(address); ok {
		return client.(*fasthttp.HostClient)
	}
	client := &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          c.dial,
		MaxConns:                      c.maxConns,
		MaxIdleConnDuration:           idleConnTime,
		MaxIdemponentCallAttempts:     1, // repeating is decided here, never in the library
		MaxResponseBodySize:           maxBodyBytes,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
	known, _ := c.byAddr.LoadOrStore(address, client)
	return known.(*fasthttp.HostClient)
}

// drop forgets the client of an address that is gone.
func (c *clients) drop(keep func(address string) bool) {
	c.byAddr.Range(func(address, client any) bool {
		if !keep(address.(string)) {
			c.byAddr.Delete(address)
			client.(*fasthttp.HostClient).CloseIdleConnections()
		}
		return true
	})
}

// classify says what a transport error proves about a call.
func classify(err error) Result {
	switch {
	case errors.Is(err, errConnect):
		return refused(ReasonUnreachable)
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		return refused(ReasonBusy)
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout):
		return unknown(ReasonDeadline)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return unknown(ReasonDeadline)
	}
	return unknown(ReasonLost)
}
