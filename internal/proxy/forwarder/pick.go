package forwarder

import (
	"math/rand/v2"
	"time"

	"clementinerock/internal/proxy/admitter"
	"clementinerock/internal/proxy/balancer"
	"clementinerock/internal/proxy/carrier"
)

// place is one node with a target of the service.
type place struct {
	link *carrier.Link // nil: this host
	node string
	full bool // has just said that no slot is free
}

// pick chooses the next place for a request among those not asked yet.
func (f *Forwarder) pick(p *pass) (place, bool) {
	links := f.Hub.LinksTo(p.service)
	places := make([]place, 0, len(links)+1)
	candidates := make([]balancer.Candidate, 0, len(links)+1)
	if p.service == f.Service && !p.wasAsked(f.Hub.Self.Node) {
		if state := f.Local.State(); state.Serving {
			places = append(places, place{node: f.Hub.Self.Node})
			c := p.candidate(&state)
			c.SameDomain = true
			candidates = append(candidates, c)
		}
	}
	for _, l := range links {
		if p.wasAsked(l.Peer.Node) {
			continue
		}
		state, open, openThen, age := l.State()
		if !state.Serving {
			continue
		}
		places = append(places, place{link: l, node: l.Peer.Node})
		c := p.candidate(&state)
		c.SameDomain = l.Peer.FailureDomain == f.FailureDomain
		c.ReportAge, c.Open, c.OpenAtReport = age, open, openThen
		c.Suspect = l.Suspect()
		candidates = append(candidates, c)
	}
	if !p.nested {
		places, candidates = p.hopeful(places, candidates)
	}
	best := balancer.Pick(candidates, rand.Float64)
	if best < 0 {
		return place{}, false
	}
	places[best].full = candidates[best].ReportedFull()
	return places[best], true
}

// hopeful leaves out places that would turn the request away, and notes when the first of
// them is likely to take it.
func (p *pass) hopeful(places []place, candidates []balancer.Candidate) ([]place, []balancer.Candidate) {
	longest := admitter.MaxExpectedWait(p.Route.LatencyObjective, p.priority)
	kept := 0
	for i := range candidates {
		if c := &candidates[i]; c.WouldRefuse(longest) {
			p.reason = "all full"
			if wait := c.ExpectedWait(); p.retry == 0 || wait < p.retry {
				p.retry = wait
			}
			continue
		}
		places[kept], candidates[kept] = places[i], candidates[i]
		kept++
	}
	return places[:kept], candidates[:kept]
}

// candidate returns what a target's report says for this request.
func (p *pass) candidate(state *carrier.State) balancer.Candidate {
	wait := 0
	if len(state.Waits) > 0 {
		wait = state.Waits[min(max(p.waitsAs(), 0), len(state.Waits)-1)]
	}
	return balancer.Candidate{
		ReportedWait: time.Duration(wait) * time.Millisecond,
		Slots:        state.Slots,
		Busy:         state.InUse + state.Waiting,
		Mean:         state.Mean,
		Failing:      state.Failing,
		Cold:         state.ColdRemaining,
	}
}

// waitsAs returns the priority whose waits the request can expect. Nested calls go first.
func (p *pass) waitsAs() int {
	if p.nested {
		return 0
	}
	return p.priority
}

func (p *pass) wasAsked(node string) bool {
	for _, asked := range p.asked {
		if asked == node {
			return true
		}
	}
	return false
}
