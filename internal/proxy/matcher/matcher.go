// Package matcher holds the operator's configuration as nodes use it and finds the
// route of a request.
package matcher

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Table is one whole version of the configuration. It is immutable after Index.
type Table struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits

	hosts map[string]prefixes
}

// prefixes holds a host's routes by path prefix.
type prefixes map[string]*Route

// Route says what happens to the requests of one host under one path prefix.
type Route struct {
	_ struct{} `cbor:",toarray"`

	Name             string
	Host             string // lower case
	Prefix           string // begins and ends with a slash
	Idempotent       bool
	Timeout          time.Duration     // longest time that a caller is kept waiting
	LatencyObjective time.Duration     // latency within which an answer earns full credit
	Priority         int               // 0 goes first
	MaxAttempts      int               // targets that one request may reach
	WeightedServices []WeightedService // more than one for a split

	hash uint64 // of the content; 0 until it is computed
}

// WeightedService is a service's share of a route's requests.
type WeightedService struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Weight  float64
}

// Service is a group of like targets.
type Service struct {
	_ struct{} `cbor:",toarray"`

	Name           string
	HealthPath     string
	MaxConnections int // of one target, from all its callers
}

// Limits bound what a client may send. Zero means no limit.
type Limits struct {
	_ struct{} `cbor:",toarray"`

	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // in which a request's header must be complete
	IdleTimeout   time.Duration // after which an idle connection is closed
}

// Index checks the table whole and prepares it for Match.
func (t *Table) Index() error {
	t.hosts = make(map[string]prefixes)
	for _, route := range t.Routes {
		if err := t.check(route); err != nil {
			return err
		}
		routes := t.hosts[route.Host]
		if routes == nil {
			routes = make(prefixes)
			t.hosts[route.Host] = routes
		}
		if err := t.place(routes, route); err != nil {
			return err
		}
	}
	return nil
}

// place adds a route to those of its host.
func (t *Table) place(routes prefixes, route *Route) error {
	if other := routes[route.Prefix]; other != nil {
		return merry.Errorf("version %d: routes %q and %q claim %s%s",
			t.Version, other.Name, route.Name, route.Host, route.Prefix)
	}
	routes[route.Prefix] = route
	return nil
}

// check checks one route and computes its hash.
func (t *Table) check(route *Route) error {
	route.seal()
	if err := t.fault(route); err != nil {
		return merry.Prependf(err, "version %d, route %q", t.Version, route.Name)
	}
	return nil
}

func (t *Table) fault(route *Route) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return merry.Errorf("prefix %q", route.Prefix)
	}
	if route.Timeout <= 0 || route.LatencyObjective < 0 {
		return merry.Errorf("timeout %s, aim %s", route.Timeout, route.LatencyObjective)
	}
	if len(route.WeightedServices) == 0 {
		return merry.New("no service")
	}
	total := 0.0
	for _, part := range route.WeightedServices {
		if _, ok := t.Services[part.Service]; !ok {
			return merry.Errorf("unknown service %q", part.Service)
		}
		if part.Weight < 0 {
			return merry.Errorf("weight %g of %q", part.Weight, part.Service)
		}
		total += part.Weight
	}
	if total <= 0 {
		return merry.New("weights add up to nothing")
	}
	return nil
}

// Match returns the route with the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	routes := t.hosts[strings.ToLower(host)]
	for len(routes) > 0 {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			break
		}
		if route := routes[path[:slash+1]]; route != nil {
			return route
		}
		path = path[:slash]
	}
	return nil
}

// Choose returns the service of a part, drawn by weight. draw lies in [0, 1).
func (r *Route) Choose(draw float64) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	total := 0.0
	for _, part := range r.WeightedServices {
		total += part.Weight
	}
	draw *= total
	for _, part := range r.WeightedServices {
		if draw < part.Weight {
			return part.Service
		}
		draw -= part.Weight
	}
	return r.WeightedServices[0].Service
}
