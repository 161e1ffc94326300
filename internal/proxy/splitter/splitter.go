// Package splitter chooses the service of a request whose route splits its traffic. It performs no I/O.
package splitter

import (
	"time"

	"clementinerock/internal/proxy/matcher"
)

const (
	// returnTime is the time within which a refused client returns; it is longer than any retry delay.
	returnTime = 3 * time.Second

	maxRefusals = 256 // maximum number of refusals that are kept
)

// Splitter chooses services of one route by their weights.
//
// It is designed for a service that has no room for its share. A client that it refused returns as a new
// request. If that one were drawn again, half of the refused requests of an equal split would move to the
// other service at each return, against the weights and onto a service that may have no room for them.
// Instead a returning request goes to a service that has refused one.
//
// The zero value has refused no request.
type Splitter struct {
	refused []refusal // oldest first
}

// refusal is a request that may return.
type refusal struct {
	service string
	time    time.Time
}

// Choose returns the service of a request. returned says whether its client was refused before; draw is a
// random number in [0, 1).
func (s *Splitter) Choose(route *matcher.Route, returned bool, draw float64, now time.Time) string {
	if !returned {
		return route.Choose(draw)
	}
	i, found := s.next(route, now)
	if !found {
		s.refused = s.refused[len(s.refused):]
		return route.Choose(draw)
	}
	service := s.refused[i].service
	s.refused = s.refused[i+1:]
	return service
}

// Next returns the service that Choose would return for a returning request because that service has refused one,
// and whether there is one. It changes nothing.
func (s *Splitter) Next(route *matcher.Route, now time.Time) (service string, found bool) {
	i, found := s.next(route, now)
	if !found {
		return "", false
	}
	return s.refused[i].service, true
}

// next returns the index of the oldest refusal whose request may still return.
func (s *Splitter) next(route *matcher.Route, now time.Time) (index int, found bool) {
	for i, r := range s.refused {
		if now.Sub(r.time) <= returnTime && hasWeight(route, r.service) {
			return i, true
		}
	}
	return 0, false
}

// hasWeight reports whether a route sends requests to a service.
func hasWeight(route *matcher.Route, service string) bool {
	for _, weighted := range route.WeightedServices {
		if weighted.Service == service {
			return weighted.Weight > 0
		}
	}
	return false
}

// Refused records that a request to a service was refused, so that its client may return.
func (s *Splitter) Refused(service string, now time.Time) {
	if len(s.refused) >= maxRefusals {
		s.refused = s.refused[1:]
	}
	s.refused = append(s.refused, refusal{service: service, time: now})
}
