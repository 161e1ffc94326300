package forwarder

import (
	"math/rand/v2"
	"time"

	"clementinerock/internal/proxy/budgeter"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/prober"
	"clementinerock/internal/proxy/splitter"
)

const (
	maxSplitters = 1024 // maximum number of routes whose refusals are kept

	// minInitialLimit is the lowest initial time limit of a route's clients, as a share of the
	// highest one.
	minInitialLimit = 0.84
)

// budget returns the retry budget of a service with this node's current share.
func (f *Forwarder) budget(service string) *budgeter.Budget {
	current := f.Budget()
	b, ok := f.budgets[service]
	if !ok {
		if f.budgets == nil {
			f.budgets = make(map[string]*budgeter.Budget)
		}
		b = &current
		f.budgets[service] = b
	}
	b.Slack = current.Slack
	return b
}

func (f *Forwarder) countRequest(p *progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(p.service).AddRequest(p.Arrived, p.nested)
}

// chooseService chooses the service of a request by the weights of its route.
func (f *Forwarder) chooseService(p *progress) string {
	if len(p.Route.WeightedServices) == 1 {
		return p.Route.WeightedServices[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.splitter(p.Route.Name).Choose(p.Route, p.clientRetry, rand.Float64(), p.Arrived)
}

// recordRefused records that the client of a request with several services was refused.
func (f *Forwarder) recordRefused(p *progress) {
	if len(p.Route.WeightedServices) == 1 || p.nested {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.splitter(p.Route.Name).Refused(p.service, time.Now())
}

func (f *Forwarder) splitter(route string) *splitter.Splitter {
	s, ok := f.splitters[route]
	if !ok {
		if len(f.splitters) >= maxSplitters || f.splitters == nil {
			f.splitters = make(map[string]*splitter.Splitter)
		}
		s = &splitter.Splitter{}
		f.splitters[route] = s
	}
	return s
}

// probes returns the number of attempts of a request that are to look for a free slot.
func (f *Forwarder) probes(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.prober(service).Probes(rand.Float64())
}

// recordProbe records whether an attempt that looked for a free slot found one.
func (f *Forwarder) recordProbe(service string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prober(service).Record(found)
}

func (f *Forwarder) prober(service string) *prober.Prober {
	p, ok := f.probers[service]
	if !ok {
		if f.probers == nil {
			f.probers = make(map[string]*prober.Prober)
		}
		p = &prober.Prober{}
		f.probers[service] = p
	}
	return p
}

func (f *Forwarder) allowRetry(p *progress, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(p.service).AllowRetry(now, p.nested)
}

// elapsed estimates how long ago a client first sent its request, and returns 0 if it sends the
// request for the first time. The initial time limits of a route's clients lie between
// minInitialLimit and 1 times the longest one. A request with less time remaining is therefore a
// client retry; its initial limit is assumed to be the middle of that range.
func (f *Forwarder) elapsed(route *matcher.Route, remaining time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.maxRemaining == nil {
		f.maxRemaining = make(map[string]time.Duration)
	}
	maxRemaining := max(f.maxRemaining[route.Name], remaining)
	f.maxRemaining[route.Name] = maxRemaining
	if remaining >= time.Duration(minInitialLimit*float64(maxRemaining)) {
		return 0
	}
	return time.Duration((1+minInitialLimit)/2*float64(maxRemaining)) - remaining
}
