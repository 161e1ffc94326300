// Package caller is an HTTP client of the platform's store.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"clementinerock/internal/store/keeper"
	"clementinerock/internal/store/server"
)

const (
	callTimeout  = 3 * time.Second
	watchTimeout = 30 * time.Second // longer than the server lets a watch wait
	maxConns     = 16
	maxIdleTime  = 30 * time.Second
)

// Client is an HTTP client of the store.
type Client struct {
	client fasthttp.HostClient
}

// New returns a client of the store at address.
func New(address string) *Client {
	return &Client{client: fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       maxIdleTime,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       64 * keeper.MaxValueBytes,
	}}
}

// SetDial sets the function that opens connections. Call it before the first request.
func (c *Client) SetDial(dial fasthttp.DialFunc) { c.client.Dial = dial }

// Get returns the entry of a key.
func (c *Client) Get(ctx context.Context, key string) (keeper.Entry, error) {
	response, err := c.call(ctx, server.PathGet, &server.Request{Key: key}, callTimeout)
	return response.Entry, err
}

// List returns the entries and unexpired leases whose key starts with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]keeper.Entry, error) {
	response, err := c.call(ctx, server.PathList, &server.Request{Key: prefix}, callTimeout)
	return response.Entries, err
}

// Swap writes value if the current revision of the key equals revision. If the connection fails,
// it returns keeper.ErrResponseLost because the write may have taken effect.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte) (keeper.Entry, error) {
	request := server.Request{Key: key, Revision: revision, Value: value}
	response, err := c.call(ctx, server.PathSwap, &request, callTimeout)
	return response.Entry, asLostResponse(err)
}

// Lease acquires or renews a lease. If the connection fails, it returns keeper.ErrResponseLost
// because the lease may have been granted.
func (c *Client) Lease(ctx context.Context, key, holder string, value []byte, ttl time.Duration) (keeper.Lease, error) {
	request := server.Request{Key: key, Holder: holder, Value: value, TTL: ttl}
	response, err := c.call(ctx, server.PathLease, &request, callTimeout)
	return response.Lease, asLostResponse(err)
}

// Watch waits until the revision of key exceeds the given one and returns the entry. If that does
// not happen before the server's time limit for watches, it returns context.DeadlineExceeded.
func (c *Client) Watch(ctx context.Context, key string, revision uint64) (keeper.Entry, error) {
	request := server.Request{Key: key, Revision: revision}
	response, err := c.call(ctx, server.PathWatch, &request, watchTimeout)
	return response.Entry, err
}

// Counts returns the numbers of calls that the in-memory store has served.
func (c *Client) Counts(ctx context.Context) (keeper.Counts, error) {
	response, err := c.call(ctx, server.PathCounts, &server.Request{}, callTimeout)
	return response.Counts, err
}

// SetFaults configures fault injection in the in-memory store.
func (c *Client) SetFaults(ctx context.Context, faults keeper.Faults) error {
	_, err := c.call(ctx, server.PathFaults, &server.Request{Faults: faults}, callTimeout)
	return err
}

var errTransport = merry.Sentinel("store connection failed")

// asLostResponse turns a connection error of a write into keeper.ErrResponseLost, since the write
// may have taken effect.
func asLostResponse(err error) error {
	if errors.Is(err, errTransport) {
		return merry.Wrap(keeper.ErrResponseLost, merry.WithCause(err))
	}
	return err
}

func (c *Client) call(ctx context.Context, path string, in *server.Request, timeout time.Duration) (server.Response, error) {
	var out server.Response
	if err := ctx.Err(); err != nil {
		return out, err
	}
	body, err := json.Marshal(in)
	if err != nil {
		return out, merry.Prepend(err, "encode store request")
	}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + c.client.Addr + path)
	request.Header.SetContentType("application/json")
	request.SetBody(body)
	deadline := time.Now().Add(timeout)
	ctxDeadline, boundByCtx := ctx.Deadline()
	boundByCtx = boundByCtx && ctxDeadline.Before(deadline)
	if boundByCtx {
		deadline = ctxDeadline
	}
	if err := c.client.DoDeadline(request, response, deadline); err != nil {
		if boundByCtx && errors.Is(err, fasthttp.ErrTimeout) {
			return out, context.DeadlineExceeded
		}
		return out, c.transportError(err)
	}
	if err := json.Unmarshal(response.Body(), &out); err != nil {
		return out, merry.Prepend(err, "decode store response")
	}
	return out, server.ErrorOf(&out)
}

func (c *Client) transportError(err error) error {
	return merry.Wrap(errTransport, merry.AppendMessagef("%s: %v", c.client.Addr, err))
}
