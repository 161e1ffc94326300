// Package caller reaches the platform's store over HTTP.
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
	watchTimeout = 30 * time.Second
	maxConns     = 16
	idleTime     = 30 * time.Second
)

// Client is a client of the store.
type Client struct {
	client fasthttp.HostClient
}

// New returns a client of the store at address.
func New(address string) *Client {
	return &Client{client: fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleTime,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       64 * keeper.MaxValueBytes,
	}}
}

// SetDial replaces how connections are made. Call it before the first call.
func (c *Client) SetDial(dial fasthttp.DialFunc) { c.client.Dial = dial }

// Get returns the entry of a key.
func (c *Client) Get(ctx context.Context, key string) (keeper.Entry, error) {
	response, err := c.call(ctx, server.PathGet, &server.Request{Key: key}, callTimeout)
	return response.Entry, err
}

// List returns the entries and live leases under a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]keeper.Entry, error) {
	response, err := c.call(ctx, server.PathList, &server.Request{Key: prefix}, callTimeout)
	return response.Entries, err
}

// Swap writes a key if its revision is unchanged. If the connection fails after
// the call was sent, the error is keeper.ErrResponseLost.
func (c *Client) Swap(ctx context.Context, key string, revision uint64, value []byte) (keeper.Entry, error) {
	request := server.Request{Key: key, Revision: revision, Value: value}
	response, err := c.call(ctx, server.PathSwap, &request, callTimeout)
	return response.Entry, lostAnswer(err)
}

// Lease takes or renews a lease.
func (c *Client) Lease(ctx context.Context, key, holder string, value []byte, ttl time.Duration) (keeper.Lease, error) {
	request := server.Request{Key: key, Holder: holder, Value: value, TTL: ttl}
	response, err := c.call(ctx, server.PathLease, &request, callTimeout)
	return response.Lease, lostAnswer(err)
}

// Watch waits for a revision of key above the given one. Without news it returns
// context.DeadlineExceeded after a while.
func (c *Client) Watch(ctx context.Context, key string, revision uint64) (keeper.Entry, error) {
	request := server.Request{Key: key, Revision: revision}
	response, err := c.call(ctx, server.PathWatch, &request, watchTimeout)
	return response.Entry, err
}

// Counts returns the calls that the stand-in has served.
func (c *Client) Counts(ctx context.Context) (keeper.Counts, error) {
	response, err := c.call(ctx, server.PathCounts, &server.Request{}, callTimeout)
	return response.Counts, err
}

// SetFaults makes the stand-in misbehave.
func (c *Client) SetFaults(ctx context.Context, faults keeper.Faults) error {
	_, err := c.call(ctx, server.PathFaults, &server.Request{Faults: faults}, callTimeout)
	return err
}

var errTransport = merry.Sentinel("store connection failed")

// lostAnswer turns a failed connection into a lost answer, since the write may
// have taken effect.
func lostAnswer(err error) error {
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
		return out, merry.Prepend(err, "encode store call")
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
	limit, limited := ctx.Deadline()
	limited = limited && limit.Before(deadline)
	if limited {
		deadline = limit
	}
	if err := c.client.DoDeadline(request, response, deadline); err != nil {
		if limited && errors.Is(err, fasthttp.ErrTimeout) {
			return out, context.DeadlineExceeded
		}
		return out, c.transportError(err)
	}
	if err := json.Unmarshal(response.Body(), &out); err != nil {
		return out, merry.Prepend(err, "decode store answer")
	}
	return out, server.ErrorOf(&out)
}

func (c *Client) transportError(err error) error {
	return merry.Wrap(errTransport, merry.AppendMessagef("%s: %v", c.client.Addr, err))
}
