package runner

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/acceptor"
	"clementinerock/internal/proxy/forwarder"
)

// PathExplain is the path at the metrics address that explains the handling of a request. The request is sent as a
// Query in a body, so that its key appears in no URL.
const PathExplain = "/v1/explain"

// Query describes a request to be explained.
type Query struct {
	Method  string `json:"method"`
	Host    string `json:"host"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"` // key of the client account; empty for none
	Retried bool   `json:"retried"`       // whether the client was refused before
}

// Explanation says what would happen to a request now. It never contains the key.
type Explanation struct {
	Node             string                  `json:"node"`
	Version          uint64                  `json:"version"` // of the configuration in force; 0 for none
	Method           string                  `json:"method"`
	Host             string                  `json:"host"`
	Path             string                  `json:"path"`
	Retried          bool                    `json:"retried"`
	Status           int                     `json:"status,omitempty"` // of the response if the request would certainly be refused
	Reason           string                  `json:"reason,omitempty"` // why it would be refused
	RetryAfterMillis float64                 `json:"retryAfterMs,omitempty"`
	Route            *ExplainedRoute         `json:"route,omitempty"`
	Key              *ExplainedKey           `json:"key,omitempty"` // nil if there are no client accounts
	Priority         int                     `json:"priority"`
	Proof            *dumpProof              `json:"proof,omitempty"` // nil if nodes keep no proofs of freshness
	Cap              *ExplainedCap           `json:"cap,omitempty"`   // nil if the account has no usage cap
	Choice           *ExplainedChoice        `json:"choice,omitempty"`
	Refused          float64                 `json:"refused"` // probability that no target gets a first attempt
	Services         []forwarder.Explanation `json:"services,omitempty"`
}

// ExplainedRoute describes the route of a request.
type ExplainedRoute struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Idempotent      bool    `json:"idempotent"`
	Public          bool    `json:"public"`
	TimeoutMillis   float64 `json:"timeoutMs"`
	ObjectiveMillis float64 `json:"objectiveMs"`
}

// ExplainedKey is the result of the check of the key.
type ExplainedKey struct {
	Needed  bool   `json:"needed"`
	Verdict string `json:"verdict"`
	Account string `json:"account"` // name of the client account; empty for none
}

// ExplainedCap describes the usage cap of an account as this node knows it.
type ExplainedCap struct {
	Rate             float64 `json:"ratePerS"`
	Burst            float64 `json:"burst"`
	Issuer           string  `json:"issuer"`  // node that issues credit; empty if unknown
	Credit           int     `json:"credit"`  // held by this node
	Waiting          int     `json:"waiting"` // requests that wait for credit here
	Limited          bool    `json:"limited"` // whether the last reply said that the cap is reached
	RetryAfterMillis float64 `json:"retryAfterMs,omitempty"`
}

// ExplainedChoice is the target that the first attempt most likely goes to.
type ExplainedChoice struct {
	Service     string  `json:"service"`
	Node        string  `json:"node"`
	Probability float64 `json:"probability"`
}

// explain explains what would happen to a request now. It changes no state.
func (n *Node) explain(q *Query) Explanation {
	path, _, _ := strings.Cut(q.Path, "?") // only the path decides, and the rest may hold secrets
	d := n.acceptor.Explain(&acceptor.Query{Method: q.Method, Host: q.Host, Path: path, Key: q.Key, Arrived: time.Now()})
	e := Explanation{
		Node:             n.self.Node,
		Version:          d.Version,
		Method:           q.Method,
		Host:             q.Host,
		Path:             path,
		Retried:          q.Retried,
		Status:           d.Status,
		Reason:           d.Reason,
		RetryAfterMillis: millis(d.RetryAfter),
		Proof:            n.dumpProof(),
	}
	if r := d.Route; r != nil {
		e.Priority = r.Priority
		e.Route = &ExplainedRoute{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, Public: r.Public,
			TimeoutMillis: millis(r.Timeout), ObjectiveMillis: millis(r.SoftDeadline),
		}
	}
	if d.Verdict != "" {
		e.Key = &ExplainedKey{Needed: d.KeyNeeded, Verdict: d.Verdict}
		if d.Account != nil {
			e.Key.Account = d.Account.Name
		}
	}
	if d.Request != nil {
		e.Priority = d.Request.Priority
		n.explainCap(&e, &d)
		e.Services = n.forwarder.Explain(d.Request, q.Retried)
		e.summarize()
	}
	return e
}

// explainCap describes the usage cap of the account, and refuses the request if its node would without asking.
func (n *Node) explainCap(e *Explanation, d *acceptor.Decision) {
	if n.throttler == nil || d.Account == nil || d.Account.Rate <= 0 {
		return
	}
	i := n.throttler.Inspect(d.Account.Name)
	e.Cap = &ExplainedCap{
		Rate:             d.Account.Rate,
		Burst:            d.Account.Burst,
		Issuer:           i.Issuer,
		Credit:           i.Credit,
		Waiting:          i.Waiting,
		Limited:          i.Limited,
		RetryAfterMillis: millis(i.RetryAfter),
	}
	if i.Refuses(forwarder.MaxCreditWait(d.Request)) {
		e.Status, e.Reason = fasthttp.StatusTooManyRequests, "the account has reached its usage cap"
		e.RetryAfterMillis = millis(i.RetryAfter)
	}
}

// summarize sets the likeliest target, and the probability that none gets the request.
func (e *Explanation) summarize() {
	var delay float64
	var reasons []string
	for i := range e.Services {
		s := &e.Services[i]
		for k := range s.Targets {
			p := s.Share * s.Targets[k].Probability
			if p > 0 && (e.Choice == nil || p > e.Choice.Probability) {
				e.Choice = &ExplainedChoice{Service: s.Service, Node: s.Targets[k].Node, Probability: p}
			}
		}
		for _, refusal := range s.Refusals {
			if p := s.Share * refusal.Probability; p > 0 {
				e.Refused += p
				delay += p * refusal.RetryAfterMillis
				reasons = append(reasons, s.Service+": "+refusal.Reason)
			}
		}
	}
	if e.Choice == nil && e.Status == 0 {
		e.Status, e.Reason = fasthttp.StatusServiceUnavailable, strings.Join(reasons, "; ")
		e.RetryAfterMillis = delay / e.Refused
	}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// serveExplain serves the explanation of a request.
func (n *Node) serveExplain(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	var query Query
	// The error is not reported, since it may contain a part of the key.
	if json.Unmarshal(ctx.PostBody(), &query) != nil || !strings.HasPrefix(query.Path, "/") {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(n.explain(&query)); err != nil {
		n.Log.Warn("node: writing the explanation of a request failed", recorder.Err(err))
	}
}
