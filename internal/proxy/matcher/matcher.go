// Package matcher holds the operator's configuration in the form that nodes use, and finds
// the route of a request.
package matcher

import (
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Table is the route table: one complete version of the configuration. It must not be
// modified after Index.
type Table struct {
	Version  uint64
	Routes   []*Route
	Services map[string]Service
	Limits   Limits
	Accounts []Account // sorted by name; if there are any, requests need a key unless their route is public

	routesByHost  map[string]prefixRoutes
	accountsByKey map[string]*Account // by digest of the key
}

// prefixRoutes holds the routes of one host by path prefix.
type prefixRoutes map[string]*Route

// Route defines how requests to one host under one path prefix are handled.
type Route struct {
	_ struct{} `cbor:",toarray"`

	Name             string
	Host             string // in lower case
	Prefix           string // begins and ends with a slash
	Idempotent       bool
	Bulk             bool              // whether responses may be large
	Timeout          time.Duration     // maximum time that a client waits for the response
	SoftDeadline     time.Duration     // latency objective: time from arrival until a response is late
	Priority         int               // 0 is the most urgent
	MaxAttempts      int               // maximum number of targets that receive one request
	WeightedServices []WeightedService // more than one if the route splits its traffic
	Public           bool              // whether requests need no key

	hash uint64 // hash of the content; 0 until it is computed
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Weight  float64
}

// Service is a group of interchangeable targets.
type Service struct {
	_ struct{} `cbor:",toarray"`

	Name           string
	HealthPath     string
	MaxConnections int // per target, from all clients together
}

// Limits holds the limits on the size and duration of what a client sends.
type Limits struct {
	_ struct{} `cbor:",toarray"`

	HeaderBytes   int
	BodyBytes     int           // 0 means no limit
	HeaderTimeout time.Duration // maximum time to receive a request header
	IdleTimeout   time.Duration // maximum time that a connection may be idle
}

// Index validates all routes and builds the index that Match uses.
func (t *Table) Index() error {
	t.indexAccounts()
	t.routesByHost = make(map[string]prefixRoutes)
	for _, route := range t.Routes {
		if err := t.prepareRoute(route); err != nil {
			return err
		}
		routes := t.routesByHost[route.Host]
		if routes == nil {
			routes = make(prefixRoutes)
			t.routesByHost[route.Host] = routes
		}
		if err := t.addToIndex(routes, route); err != nil {
			return err
		}
	}
	return nil
}

// addToIndex adds a route to the routes of its host. Two routes of a host must not have the
// same prefix.
func (t *Table) addToIndex(routes prefixRoutes, route *Route) error {
	if other := routes[route.Prefix]; other != nil {
		return merry.Errorf("version %d: routes %q and %q have the same host and prefix %s%s",
			t.Version, other.Name, route.Name, route.Host, route.Prefix)
	}
	routes[route.Prefix] = route
	return nil
}

// prepareRoute computes the hash of a route and validates it.
func (t *Table) prepareRoute(route *Route) error {
	route.ensureHash()
	if err := t.validateRoute(route); err != nil {
		return merry.Prependf(err, "version %d, route %q", t.Version, route.Name)
	}
	return nil
}

func (t *Table) validateRoute(route *Route) error {
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return merry.Errorf("prefix %q does not begin and end with a slash", route.Prefix)
	}
	if route.Timeout <= 0 || route.SoftDeadline < 0 {
		return merry.Errorf("timeout %s or latency objective %s is out of range",
			route.Timeout, route.SoftDeadline)
	}
	if len(route.WeightedServices) == 0 {
		return merry.New("route has no service")
	}
	totalWeight := 0.0
	for _, weighted := range route.WeightedServices {
		if _, ok := t.Services[weighted.Service]; !ok {
			return merry.Errorf("unknown service %q", weighted.Service)
		}
		if weighted.Weight < 0 {
			return merry.Errorf("negative weight %g of service %q", weighted.Weight, weighted.Service)
		}
		totalWeight += weighted.Weight
	}
	if totalWeight <= 0 {
		return merry.New("the weights of all services are zero")
	}
	return nil
}

// Match returns the route of the host whose prefix is the longest that matches the path, or
// nil if none does. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	routes := t.routesByHost[hostName(host)]
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

// HasHost reports whether the table has a route of a host. A port in host is ignored.
func (t *Table) HasHost(host string) bool {
	return len(t.routesByHost[hostName(host)]) > 0
}

// hostName returns the name of a host as routes contain it, without a port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Choose returns one of the route's services with a probability proportional to its weight.
// draw is a random number in [0, 1).
func (r *Route) Choose(draw float64) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	totalWeight := 0.0
	for _, weighted := range r.WeightedServices {
		totalWeight += weighted.Weight
	}
	draw *= totalWeight
	for _, weighted := range r.WeightedServices {
		if draw < weighted.Weight {
			return weighted.Service
		}
		draw -= weighted.Weight
	}
	return r.WeightedServices[0].Service
}
