package acceptor

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/proxy/authenticator"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/platform"
)

// Query describes a request of a client whose handling is to be explained.
type Query struct {
	Method  string
	Host    string
	Path    string
	Key     string // empty for a request without a key
	Arrived time.Time
}

// Decision is what the acceptor decides on a request before it is forwarded.
type Decision struct {
	Version    uint64             // of the active configuration; 0 if there is none
	Status     int                // of the response if the request is refused; otherwise 0
	Reason     string             // why it is refused
	RetryAfter time.Duration      // retry delay sent to the client; 0 for none
	Route      *matcher.Route     // nil if none matches
	Account    *matcher.Account   // nil if the request belongs to none
	KeyNeeded  bool               // whether a request of the route needs a key
	Verdict    string             // result of the check of the key; empty if it is not checked
	Request    *forwarder.Request // as it is forwarded; nil if it is refused
}

// Explain decides on a request that is not a nested call, and carries an ID, like on one that arrives now. It changes
// no state and writes no log line.
func (a *Acceptor) Explain(q *Query) Decision {
	fresh := a.Fresh == nil || a.Fresh()
	table := a.Table()
	if table == nil {
		return Decision{Status: fasthttp.StatusServiceUnavailable, Reason: "no configuration is in force", RetryAfter: notReadyRetryAfter}
	}
	d := Decision{Version: table.Version}
	in := &received{Request: &fasthttp.Request{}}
	in.Header.SetMethod(q.Method)
	in.Header.SetHost(q.Host)
	in.Header.SetRequestURI(q.Path)
	if q.Key != "" {
		in.Header.Set(platform.HeaderKey, platform.FormatKey(q.Key))
	}
	if a.refusing.Load() {
		d.Status, d.Reason, d.RetryAfter = fasthttp.StatusServiceUnavailable, "the node is stopping", notReadyRetryAfter
		return d
	}
	if d.Route, _ = match(in.Request, table); d.Route == nil {
		d.Status, d.Reason = fasthttp.StatusNotFound, "no route has the host"
		if table.HasHost(q.Host) {
			d.Reason = "no route of the host has a prefix of the path"
		}
		return d
	}
	if len(table.Accounts) > 0 {
		d.KeyNeeded = !d.Route.Public
		var verdict authenticator.Verdict
		d.Account, verdict = check(in.Request, table, d.Route, fresh, false, q.Arrived)
		d.Verdict = verdict.String()
		if d.refuse(verdict, q.Key != ""); d.Status != 0 {
			return d
		}
	}
	d.Request = newRequest(in, table, d.Route, d.Account)
	d.Request.Arrived = q.Arrived
	return d
}

// refuse sets the response to a request whose key was not accepted.
func (d *Decision) refuse(verdict authenticator.Verdict, hasKey bool) {
	switch verdict {
	case authenticator.Accepted:
		return
	case authenticator.Rejected:
		d.Status, d.Reason = fasthttp.StatusUnauthorized, "the route needs a key"
		if hasKey {
			d.Reason = "no client account has the key"
		}
		return
	case authenticator.NoProof:
		d.Reason = "no recent proof that the configuration is the newest one"
	case authenticator.NoParent:
		d.Reason = fmt.Sprintf("no key, and the process started less than %s ago", nestedGrace)
	}
	d.Status, d.RetryAfter = fasthttp.StatusServiceUnavailable, noProofRetryAfter
}
