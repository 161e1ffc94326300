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
	idleConnTime   = 10 * time.Second // below the idle timeout of servers, so that the client closes first
	serverIdleTime = time.Minute
	maxBodyBytes   = 4 << 20
	maxPeerConns   = 256 // per peer
	maxTargetConns = 130 // per target
)

// errConnect marks a failure to connect, which proves that nothing was sent.
var errConnect = merry.Sentinel("connect failed")

// dial connects over TCP and marks a failure with errConnect.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, merry.Wrap(errConnect, merry.WithCause(err))
	}
	return conn, nil
}

// dialTLS returns a dial function that also completes the TLS handshake, so that a failed handshake
// is marked with errConnect, too. A nil connect means plain TCP.
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

// httpClients holds one HTTP client per address.
type httpClients struct {
	dial     fasthttp.DialFunc
	maxConns int
	byAddr   sync.Map // address to *fasthttp.HostClient
}

func (c *httpClients) get(address string) *fasthttp.HostClient {
	if client, ok := c.byAddr.Load(address); ok {
		return client.(*fasthttp.HostClient)
	}
	client := &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          c.dial,
		MaxConns:                      c.maxConns,
		MaxIdleConnDuration:           idleConnTime,
		MaxIdemponentCallAttempts:     1, // this package decides on retries, not the library
		MaxResponseBodySize:           maxBodyBytes,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
	stored, _ := c.byAddr.LoadOrStore(address, client)
	return stored.(*fasthttp.HostClient)
}

// prune removes the clients of all addresses for which keep returns false.
func (c *httpClients) prune(keep func(address string) bool) {
	c.byAddr.Range(func(address, client any) bool {
		if !keep(address.(string)) {
			c.byAddr.Delete(address)
			client.(*fasthttp.HostClient).CloseIdleConnections()
		}
		return true
	})
}

// classify returns what a transport error proves about an attempt: Refused if nothing was sent,
// else Unknown.
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
