// Package authenticator decides whether a request may be served for the key that it carries. It performs
// no I/O.
package authenticator

import (
	"clementinerock/internal/proxy/matcher"
	"clementinerock/platform"
)

// Verdict is the result of the check of a request's key.
type Verdict int

// Verdicts on a request.
const (
	Accepted Verdict = iota
	Rejected         // the configuration holds no account for the key
	NoProof          // a key may have been withdrawn since the node last knew the newest configuration
	NoParent         // no key; the request may be a nested call of a request that an earlier process served
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"accepted", "rejected", "no proof", "no parent"}[v]
}

// Request holds what the check of a request depends on.
type Request struct {
	Route         *matcher.Route
	Authorization []byte // value of the header that carries the key
	Nested        bool   // whether the target makes the request while it runs another one
	Starting      bool   // whether nested calls of requests of an earlier process may still arrive
	Fresh         bool   // whether the active configuration was recently proved to be the newest one
}

// Check returns whether a request may be served, and the account that it belongs to, or nil if it belongs
// to none. Nested calls carry no key; a request with a key is never one, whatever its ID is. A key on a public route only names the account.
func Check(table *matcher.Table, r *Request) (*matcher.Account, Verdict) {
	if len(table.Accounts) == 0 || (r.Nested && len(r.Authorization) == 0) {
		return nil, Accepted
	}
	key := platform.ParseKey(r.Authorization)
	if r.Route.Public && len(key) == 0 {
		return nil, Accepted
	}
	if len(key) == 0 {
		if r.Starting && len(r.Authorization) == 0 {
			return nil, NoParent
		}
		return nil, Rejected
	}
	account := table.AccountByKey(key)
	switch {
	case account == nil && r.Route.Public:
		return nil, Accepted
	case account == nil:
		return nil, Rejected
	case !r.Fresh && r.Route.Public:
		return nil, Accepted // like one without a key, since the key may have been withdrawn
	case !r.Fresh:
		return account, NoProof
	}
	return account, Accepted
}
