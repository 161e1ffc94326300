package forwarder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"clementinerock/internal/proxy/admitter"
	"clementinerock/internal/proxy/balancer"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/exposer"
)

// explainSamples is the number of choices from which the probabilities of an explanation are estimated. With 300,
// their standard error is below 0.03.
const explainSamples = 300

// Explanation says where the requests of a route to one of its services would go at the moment.
type Explanation struct {
	Service       string              `json:"service"`
	Weight        float64             `json:"weight"`            // in the route
	Share         float64             `json:"share"`             // of the requests like the one explained
	Rollout       *RolloutExplanation `json:"rollout,omitempty"` // nil if the service moves to no other version
	Even          bool                `json:"even"`              // targets are drawn by weight; otherwise by the lowest score
	MaxWaitMillis float64             `json:"maxWaitMs"`         // longest expected wait with which a target queues the request
	TrustsWaits   bool                `json:"trustsWaits"`       // whether targets with longer reported waits are skipped
	Targets       []TargetExplanation `json:"targets"`
	Refusals      []RefusalShare      `json:"refusals,omitempty"`
}

// RolloutExplanation describes the rollout of a service.
type RolloutExplanation struct {
	Version string  `json:"version"`
	Phase   string  `json:"phase"`
	Share   float64 `json:"share"` // of the requests that the new version gets at the moment while it is compared
}

// TargetExplanation describes a target and its prospects. Score, Weight and the wait are not set if the target gets
// none of the requests.
type TargetExplanation struct {
	Node          string  `json:"node"`
	FailureDomain string  `json:"zone"`
	SameDomain    bool    `json:"sameZone"`
	Version       string  `json:"version,omitempty"` // of the target's software
	Serving       bool    `json:"serving"`
	Suspect       bool    `json:"suspect"`
	Slots         int     `json:"slots"`
	Busy          int     `json:"busy"`    // calls that hold a slot
	Waiting       int     `json:"waiting"` // calls that wait for one
	Open          int     `json:"open"`    // calls of this node without an answer
	AgeMillis     float64 `json:"ageMs"`   // of the report
	WaitMillis    float64 `json:"waitMs"`  // expected wait
	Score         float64 `json:"score,omitempty"`
	Weight        float64 `json:"weight,omitempty"`
	Probability   float64 `json:"probability"` // that the first attempt goes there, if the service is chosen
	Reason        string  `json:"reason,omitempty"`
}

// RefusalShare is the probability that a request is refused without an attempt.
type RefusalShare struct {
	Reason           string  `json:"reason"`
	Probability      float64 `json:"probability"`
	RetryAfterMillis float64 `json:"retryAfterMs"` // mean retry delay that the client gets
}

// Explain explains where a request would go, for each service of its route. It sends nothing and changes no state.
func (f *Forwarder) Explain(request *Request, retried bool) []Explanation {
	explanations := make([]Explanation, 0, len(request.Route.WeightedServices))
	shares := f.serviceShares(request, retried)
	for i, weighted := range request.Route.WeightedServices {
		e := f.explainService(request, weighted.Service)
		e.Weight, e.Share = weighted.Weight, shares[i]
		explanations = append(explanations, e)
	}
	return explanations
}

// serviceShares returns the probabilities of a route's services.
func (f *Forwarder) serviceShares(request *Request, retried bool) []float64 {
	services := request.Route.WeightedServices
	shares := make([]float64, len(services))
	returning := ""
	if len(services) > 1 && retried {
		f.mu.Lock()
		if s := f.splitters[request.Route.Name]; s != nil {
			returning, _ = s.Next(request.Route, time.Now())
		}
		f.mu.Unlock()
	}
	total := 0.0
	for i, weighted := range services {
		shares[i] = weighted.Weight
		if returning != "" {
			shares[i] = 0
			if weighted.Service == returning {
				shares[i] = 1
			}
		}
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total // above 0, since a table accepts no route whose weights are all zero
	}
	return shares
}

// explained returns the progress of a request whose choice is explained.
func (f *Forwarder) explained(request *Request, service string) *progress {
	return &progress{
		Request:  request,
		preview:  true,
		service:  service,
		random:   rand.Float64(),
		deadline: request.Arrived.Add(min(request.Remaining, request.Route.Timeout)),
		priority: request.Priority,
	}
}

func (f *Forwarder) explainService(request *Request, service string) Explanation {
	now := time.Now()
	p := f.explained(request, service)
	maxWait := admitter.MaxExpectedWait(request.Route.SoftDeadline, p.priority)
	e := Explanation{Service: service, MaxWaitMillis: millis(maxWait), TrustsWaits: f.trustsReportedWaits(p)}
	if rollout, ok := f.Registry.Rollout(service, now); ok {
		e.Rollout = &RolloutExplanation{
			Version: rollout.Version,
			Phase:   rollout.Phase.String(),
			Share:   f.Registry.ShareNow(service, now),
		}
	}
	targets, candidates := f.targets(p)
	f.explainVersions(service, targets, now)
	var rated []balancer.Candidate
	var indexes []int
	for i := range targets {
		t := &targets[i]
		if t.Reason == "" && e.TrustsWaits && candidates[i].WouldRefuse(maxWait) {
			t.Reason = fmt.Sprintf("full: its expected wait exceeds the maximum of %s", maxWait)
		}
		if t.Reason == "" || t.Reason == reasonShare {
			rated, indexes = append(rated, candidates[i]), append(indexes, i)
		}
	}
	for k, rating := range balancer.Rate(rated) {
		t := &targets[indexes[k]]
		t.Score, t.Weight = rating.Score, rating.Weight
		if t.Suspect && t.Reason == "" {
			t.Reason = reasonSuspect
		}
	}
	e.Even = f.spreadsLoad(service, len(rated))
	e.Targets = targets
	f.sample(request, &e)
	return e
}

// Reasons why a target gets no requests, or few.
const (
	reasonNotServing = "not serving"
	reasonVersion    = "version not allowed"
	reasonShare      = "gets only the share of a version under test"
	reasonSuspect    = "suspect: ranks behind all others"
)

// targets returns all targets of the service, also those that do not serve, with their candidates.
func (f *Forwarder) targets(p *progress) ([]TargetExplanation, []balancer.Candidate) {
	var targets []TargetExplanation
	var candidates []balancer.Candidate
	add := func(node, domain string, state *carrier.State, c *balancer.Candidate) {
		t := TargetExplanation{
			Node:          node,
			FailureDomain: domain,
			SameDomain:    c.SameDomain,
			Version:       state.TargetVersion,
			Serving:       state.Serving,
			Suspect:       c.Suspect,
			Slots:         state.Slots,
			Busy:          state.InUse,
			Waiting:       state.Waiting,
			Open:          c.Open,
			AgeMillis:     millis(c.ReportAge),
			WaitMillis:    millis(c.ExpectedWait()),
		}
		if !state.Serving {
			t.Reason = reasonNotServing
		}
		targets, candidates = append(targets, t), append(candidates, *c)
	}
	if p.service == f.Service {
		state := f.Local.State()
		c := p.localCandidate(&state)
		add(f.Hub.Self.Node, f.FailureDomain, &state, &c)
	}
	for _, l := range f.Hub.LinksTo(p.service) {
		state, c := f.linkCandidate(p, l)
		add(l.Peer.Node, l.Peer.FailureDomain, &state, &c)
	}
	return targets, candidates
}

// explainVersions sets the reason of the targets whose versions may not get requests, or only some of them.
func (f *Forwarder) explainVersions(service string, targets []TargetExplanation, now time.Time) {
	if f.Registry == nil {
		return
	}
	var drawn, usual []exposer.Target // for a request that may go to a version under test, and for the others
	var indexes []int
	for i := range targets {
		if targets[i].Serving {
			drawn = append(drawn, exposer.Target{Node: targets[i].Node, Version: targets[i].Version})
			indexes = append(indexes, i)
		}
	}
	usual = slices.Clone(drawn)
	f.Registry.Preview(service, drawn, 0, now)
	f.Registry.Preview(service, usual, 1, now)
	for k, i := range indexes {
		switch {
		case usual[k].Allowed:
		case drawn[k].Allowed:
			targets[i].Reason = reasonShare
		default:
			targets[i].Reason = reasonVersion
		}
	}
}

// sample estimates the probabilities of the targets and of refusals by repeating the choice of a first attempt.
func (f *Forwarder) sample(request *Request, e *Explanation) {
	type refusals struct {
		count int
		delay time.Duration
	}
	chosen := make(map[string]int)
	refused := make(map[string]refusals)
	for range explainSamples {
		p := f.explained(request, e.Service)
		if to, ok := f.pick(p); ok {
			chosen[to.node]++
			continue
		}
		if p.reason == "" {
			p.reason = reasonNoTarget
		}
		delay := p.unansweredResult().RetryAfter
		if p.Account != "" {
			delay = spread(delay, rand.Float64())
		}
		r := refused[p.reason]
		refused[p.reason] = refusals{count: r.count + 1, delay: r.delay + delay}
	}
	for i := range e.Targets {
		e.Targets[i].Probability = float64(chosen[e.Targets[i].Node]) / explainSamples
	}
	for reason, r := range refused {
		e.Refusals = append(e.Refusals, RefusalShare{
			Reason:           reason,
			Probability:      float64(r.count) / explainSamples,
			RetryAfterMillis: millis(r.delay / time.Duration(r.count)),
		})
	}
	slices.SortFunc(e.Refusals, func(a, b RefusalShare) int { return strings.Compare(a.Reason, b.Reason) })
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
