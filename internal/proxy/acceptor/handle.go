package acceptor

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/node/expirer"
	"clementinerock/internal/proxy/authenticator"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/platform"
)

// handle forwards a request and returns the response with the urgency of its sending, or nil if the
// client disconnected.
func (a *Acceptor) handle(in *received, arrived time.Time, gone <-chan struct{}) (*answer, urgency) {
	fresh := a.Fresh == nil || a.Fresh() // before the table, which may be replaced by one without the key
	table := a.Table()
	id := in.Header.Peek(platform.HeaderRequestID)
	if table == nil || a.refusing.Load() {
		a.Log.Info("client: request refused, node is not ready or is stopping", zap.ByteString("id", id))
		return &answer{Response: newRefusal(notReadyRetryAfter)}, urgency{}
	}
	route, failure := a.route(in.Request, table, id)
	if failure != nil {
		return &answer{Response: failure}, urgency{}
	}
	if !route.Idempotent && !in.alone {
		// The configuration has changed since the request was read. An earlier response may close the
		// connection, and the client would then send this request again.
		return &answer{Response: newRefusal(notReadyRetryAfter)}, urgency{}
	}
	account, failure := a.authenticate(in.Request, table, route, fresh, arrived)
	if failure != nil {
		return &answer{Response: failure}, urgency{}
	}
	request := newRequest(in, table, route, account)
	request.Arrived = arrived
	request.Gone = gone
	result := a.Forwarder.Forward(request)
	return responseFor(&result, id), urgency{priority: route.Priority, deadline: arrived.Add(request.Remaining)}
}

// route returns the route of a request, or the response to a request that can't be forwarded.
func (a *Acceptor) route(in *fasthttp.Request, table *matcher.Table, id []byte) (*matcher.Route, *fasthttp.Response) {
	route, path := match(in, table)
	if route == nil {
		a.Log.Info("client: no route",
			zap.ByteString("id", id),
			zap.ByteString("host", in.Header.Host()),
			zap.ByteString("path", path),
			zap.Uint64("version", table.Version))
		return nil, newResponse(fasthttp.StatusNotFound)
	}
	if len(id) == 0 {
		a.Log.Info("client: request without an id", zap.String("route", route.Name))
		return nil, newResponse(fasthttp.StatusBadRequest)
	}
	return route, nil
}

// match returns the route of a request, or nil, and its path.
func match(in *fasthttp.Request, table *matcher.Table) (*matcher.Route, []byte) {
	path, _, _ := bytes.Cut(in.Header.RequestURI(), []byte("?"))
	return table.Match(string(in.Header.Host()), string(path)), path
}

// check checks the key of a request. nested says whether it is a nested call.
func check(in *fasthttp.Request, table *matcher.Table, route *matcher.Route, fresh, nested bool, arrived time.Time) (*matcher.Account, authenticator.Verdict) {
	return authenticator.Check(table, &authenticator.Request{
		Route:         route,
		Authorization: in.Header.Peek(platform.HeaderKey),
		Nested:        nested,
		Starting:      expirer.SinceStart(arrived) < nestedGrace,
		Fresh:         fresh,
	})
}

// authenticate checks the key of a request. It returns the client account, or nil if the request belongs to
// none, or else the response to a request that must not be served. fresh is the result of Fresh before the
// table was loaded.
func (a *Acceptor) authenticate(in *fasthttp.Request, table *matcher.Table, route *matcher.Route, fresh bool, arrived time.Time) (*matcher.Account, *fasthttp.Response) {
	if len(table.Accounts) == 0 {
		return nil, nil
	}
	id := in.Header.Peek(platform.HeaderRequestID)
	account, verdict := check(in, table, route, fresh, a.Derived(id), arrived)
	if verdict == authenticator.Accepted {
		return account, nil
	}
	a.Meter.Add("authenticate_refused", 1)
	name := ""
	if account != nil {
		name = account.Name
	}
	a.Log.Info("client: request not authenticated",
		zap.ByteString("id", id),
		zap.String("verdict", verdict.String()),
		zap.String("account", name),
		zap.String("route", route.Name),
		zap.Uint64("version", table.Version))
	if verdict == authenticator.Rejected {
		return nil, newResponse(fasthttp.StatusUnauthorized)
	}
	return nil, newRefusal(noProofRetryAfter)
}

// newRequest returns a client's request as it is forwarded.
func newRequest(in *received, table *matcher.Table, route *matcher.Route, account *matcher.Account) *forwarder.Request {
	remaining, ok := platform.ParseTimeRemaining(in.Header.Peek(platform.HeaderTimeRemaining))
	if !ok {
		remaining = max(defaultRemaining, route.Timeout)
	}
	drop := dropped
	if len(table.Accounts) > 0 {
		drop = droppedWithAccounts
	}
	request := &forwarder.Request{
		ID:        in.Header.Peek(platform.HeaderRequestID),
		Route:     route,
		Version:   table.Version,
		Priority:  route.Priority,
		Remaining: remaining,
		Method:    in.Header.Method(),
		URI:       in.Header.RequestURI(),
		Host:      in.Header.Host(),
		Headers:   carrier.CopyHeaders(in.Header.All(), drop),
		Body:      in.body.First,
		BodyRest:  in.body.Rest,
	}
	if account != nil {
		request.Account = account.Name
		if account.Priority != nil {
			request.Priority = *account.Priority
		}
	}
	return request
}
