package splitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/matcher"
)

func splitRoute(weights map[string]float64) *matcher.Route {
	route := &matcher.Route{}
	for service, weight := range weights {
		route.WeightedServices = append(route.WeightedServices, matcher.WeightedService{Service: service, Weight: weight})
	}
	return route
}

// TestFullServiceKeepsItsShare replays an equal split of which one service refuses three of four requests.
// Their clients return twice. Drawn again, 0.75 of the clients' requests or more end at the other service.
func TestFullServiceKeepsItsShare(t *testing.T) {
	route := splitRoute(map[string]float64{"full": 1, "free": 1})
	random := rand.New(rand.NewPCG(1, 2))
	var s Splitter
	now := time.Unix(1000, 0)
	const requests = 2000
	free := 0
	type client struct {
		at   time.Time
		left int
	}
	var returning []client
	send := func(returned bool, left int) {
		service := s.Choose(route, returned, random.Float64(), now)
		if service == "free" {
			free++
			return
		}
		if random.Float64() < 0.75 {
			s.Refused(service, now)
			if left > 0 {
				returning = append(returning, client{at: now.Add(100 * time.Millisecond), left: left - 1})
			}
		}
	}
	for range requests {
		now = now.Add(15 * time.Millisecond)
		for len(returning) > 0 && !returning[0].at.After(now) {
			next := returning[0]
			returning = returning[1:]
			send(true, next.left)
		}
		send(false, 2)
	}
	share := float64(free) / requests
	assert.Assert(t, share > 0.45 && share < 0.55, "%.2f of the requests ended at the service with room", share)
}

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		weights  map[string]float64
		refused  string
		age      time.Duration
		returned bool
		service  string
	}{
		"first request":              {map[string]float64{"a": 1, "b": 0}, "b", 0, false, "a"},
		"returned":                   {map[string]float64{"a": 1, "b": 0.001}, "b", time.Second, true, "b"},
		"returned, no refusal known": {map[string]float64{"a": 1}, "", 0, true, "a"},
		"returned long afterwards":   {map[string]float64{"a": 1, "b": 0.001}, "b", time.Minute, true, "a"},
		"returned, service removed":  {map[string]float64{"a": 1}, "b", time.Second, true, "a"},
		"returned, service weighs 0": {map[string]float64{"a": 1, "b": 0}, "b", time.Second, true, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Splitter
			if test.refused != "" {
				s.Refused(test.refused, now.Add(-test.age))
			}
			assert.Equal(t, s.Choose(splitRoute(test.weights), test.returned, 0.5, now), test.service)
		})
	}
}

func TestRefusalsAreBounded(t *testing.T) {
	var s Splitter
	for range 10 * maxRefusals {
		s.Refused("a", time.Unix(1000, 0))
	}
	assert.Equal(t, len(s.refused), maxRefusals)
}
