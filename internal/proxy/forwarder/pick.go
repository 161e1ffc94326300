package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"clementinerock/internal/proxy/admitter"
	"clementinerock/internal/proxy/balancer"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/exposer"
)

// destination is one node whose target belongs to the service of a request.
type destination struct {
	link         *carrier.Link // nil for this node
	node         string
	reportedFull bool // the target's state is recent and says that no slot is free
	target       int  // index in choice.targets
}

// choice is the memory for one choice among many destinations.
type choice struct {
	nodes      []destination
	candidates []balancer.Candidate
	targets    []exposer.Target // all targets that serve, also those that are excluded
}

// choices holds unused memory, since a choice among hundreds of targets takes kilobytes.
var choices = sync.Pool{New: func() any { return new(choice) }}

// release returns the memory of a choice, without the links that it refers to.
func (c *choice) release() {
	clear(c.nodes)
	clear(c.targets)
	c.nodes, c.candidates, c.targets = c.nodes[:0], c.candidates[:0], c.targets[:0]
	choices.Put(c)
}

// pick chooses the destination of the next attempt among the nodes that are not excluded. It
// returns false if there is none.
func (f *Forwarder) pick(p *progress) (destination, bool) {
	memory, ok := choices.Get().(*choice)
	if !ok {
		panic("forwarder: the pool holds something else than choices")
	}
	defer memory.release()
	f.collect(p, memory)
	nodes, candidates := memory.nodes, memory.candidates
	random := p.random
	if f.Registry != nil {
		nodes, candidates = f.limitVersions(p, memory)
	}
	if f.trustsReportedWaits(p) {
		nodes, candidates = p.skipLikelyRefusals(nodes, candidates)
	}
	pick := balancer.Pick
	if f.spreadsLoad(p.service, len(candidates)) {
		pick = balancer.PickEven
	}
	best := pick(candidates, rand.Float64)
	if best < 0 && random < p.random && f.Registry.Tests(p.service) {
		return f.pick(p) // among the targets of other versions than the one under test
	}
	if best < 0 {
		return destination{}, false
	}
	nodes[best].reportedFull = candidates[best].ReportedFull()
	return nodes[best], true
}

// minContended is the minimum number of targets among which calls are spread because slots are contended.
// Among fewer, each caller's own calls and reports show most of the load.
const minContended = 12

// spreadsLoad reports whether a target is to be chosen by balancer.PickEven among a number of candidates: if
// the settings ask for it, or while many callers choose the same targets of the service.
func (f *Forwarder) spreadsLoad(service string, candidates int) bool {
	if f.EvenLoad {
		return true
	}
	if candidates < minContended {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.probers[service]
	return ok && p.Contended()
}

// collect adds the nodes whose targets serve and that are not excluded to the choice.
func (f *Forwarder) collect(p *progress, memory *choice) {
	nodes, candidates := memory.nodes, memory.candidates
	if p.service == f.Service {
		if state := f.Local.State(); memory.addTarget(f, f.Hub.Self.Node, &state) && !p.isExcluded(f.Hub.Self.Node) {
			nodes = append(nodes, destination{node: f.Hub.Self.Node, target: len(memory.targets) - 1})
			candidates = append(candidates, p.localCandidate(&state))
		}
	}
	for _, l := range f.Hub.LinksTo(p.service) {
		state, candidate := f.linkCandidate(p, l)
		if !memory.addTarget(f, l.Peer.Node, &state) || p.isExcluded(l.Peer.Node) {
			continue
		}
		nodes = append(nodes, destination{link: l, node: l.Peer.Node, target: len(memory.targets) - 1})
		candidates = append(candidates, candidate)
	}
	memory.nodes, memory.candidates = nodes, candidates
}

// localCandidate returns the target on this host as a candidate.
func (p *progress) localCandidate(state *carrier.State) balancer.Candidate {
	c := p.candidate(state)
	c.SameDomain = true
	if p.Route.Bulk {
		c.SendDelay = time.Duration(state.SendWait) * time.Millisecond
	}
	return c
}

// linkCandidate returns the target of another node as a candidate, and its last state.
func (f *Forwarder) linkCandidate(p *progress, l *carrier.Link) (carrier.State, balancer.Candidate) {
	state, open, openAtReport, age := l.State()
	c := p.candidate(&state)
	c.SameDomain = l.Peer.FailureDomain == f.FailureDomain
	c.ReportAge, c.Open, c.OpenAtReport = age, open, openAtReport
	c.Suspect = l.Suspect()
	c.Usual = l.Usual(p.waitPriority())
	if p.Route.Bulk {
		c.SendDelay = max(time.Duration(state.SendWait)*time.Millisecond-age, 0) +
			time.Duration(state.SendTime)*time.Millisecond
	}
	return state, c
}

// addTarget adds the target of a node and reports whether it serves.
func (c *choice) addTarget(f *Forwarder, node string, state *carrier.State) bool {
	if state.Serving && f.Registry != nil {
		c.targets = append(c.targets, exposer.Target{Node: node, Version: state.TargetVersion})
	}
	return state.Serving
}

// limitVersions removes the destinations whose versions may not get the request. Only the first attempt of a
// request may go to a version under test, so that its share does not grow by attempts that others refuse.
func (f *Forwarder) limitVersions(p *progress, c *choice) ([]destination, []balancer.Candidate) {
	restrict := f.Registry.Restrict
	if p.preview {
		restrict = f.Registry.Preview
	}
	restrict(p.service, c.targets, p.random, time.Now())
	p.random = 1
	kept := 0
	for i := range c.nodes {
		if c.targets[c.nodes[i].target].Allowed {
			c.nodes[kept], c.candidates[kept] = c.nodes[i], c.candidates[i]
			kept++
		}
	}
	if kept == 0 && len(c.nodes) > 0 {
		p.reason = "no target of a version that may get requests"
	}
	return c.nodes[:kept], c.candidates[:kept]
}

// skipLikelyRefusals removes the destinations that would almost certainly refuse the request,
// and records the shortest expected wait among them as the retry delay for the client.
func (p *progress) skipLikelyRefusals(nodes []destination, candidates []balancer.Candidate) ([]destination, []balancer.Candidate) {
	maxWait := admitter.MaxExpectedWait(p.Route.SoftDeadline, p.priority)
	kept := 0
	for i := range candidates {
		if c := &candidates[i]; c.WouldRefuse(maxWait) {
			p.reason = "all full"
			if wait := c.ExpectedWait(); p.retryAfter == 0 || wait < p.retryAfter {
				p.retryAfter = wait
			}
			continue
		}
		nodes[kept], candidates[kept] = nodes[i], candidates[i]
		kept++
	}
	return nodes[:kept], candidates[:kept]
}

// candidate returns the fields of a candidate that come from the state of its target.
func (p *progress) candidate(state *carrier.State) balancer.Candidate {
	wait := 0
	if len(state.Waits) > 0 {
		wait = state.Waits[min(max(p.waitPriority(), 0), len(state.Waits)-1)]
	}
	return balancer.Candidate{
		ReportedWait:  time.Duration(wait) * time.Millisecond,
		Slots:         state.Slots,
		Busy:          state.InUse + state.Waiting,
		Mean:          state.Mean,
		Failing:       state.Failing,
		ColdRemaining: state.ColdRemaining,
	}
}

// waitPriority returns the priority whose announced wait applies to the request. Nested calls
// use that of the most urgent priority, since targets run them first.
func (p *progress) waitPriority() int {
	if p.nested {
		return 0
	}
	return p.priority
}

func (p *progress) isExcluded(node string) bool {
	for _, excluded := range p.excluded {
		if excluded == node {
			return true
		}
	}
	return false
}
