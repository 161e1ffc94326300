// Package router finds the route of a call and the targets that may serve it.
package router

import (
	"sort"
	"strings"

	"clementinerock/internal/call/picker"
	"clementinerock/internal/config/compiler"
)

const wildcard = "/*"

// Match is the route of a call and the contract that it belongs to.
type Match struct {
	Contract *compiler.Contract
	Route    *compiler.Route
}

// Table is an immutable route table that is searched by method and path.
type Table struct {
	exact    map[string]Match
	prefixes []prefix
	services map[string]*compiler.Contract
}

type prefix struct {
	method string
	path   string // without the wildcard, with a trailing slash
	match  Match
}

// New builds the route table of a checked configuration version.
func New(contracts []compiler.Contract) *Table {
	t := &Table{
		exact:    make(map[string]Match),
		services: make(map[string]*compiler.Contract, len(contracts)),
	}
	for i := range contracts {
		contract := &contracts[i]
		t.services[contract.Service] = contract
		for j := range contract.Routes {
			t.add(contract, &contract.Routes[j])
		}
	}
	sort.SliceStable(t.prefixes, func(i, j int) bool {
		return len(t.prefixes[i].path) > len(t.prefixes[j].path)
	})
	return t
}

func (t *Table) add(contract *compiler.Contract, route *compiler.Route) {
	match := Match{Contract: contract, Route: route}
	if base, ok := strings.CutSuffix(route.Path, wildcard); ok {
		t.prefixes = append(t.prefixes, prefix{method: route.Method, path: base + "/", match: match})
		return
	}
	t.exact[route.Method+" "+route.Path] = match
}

// Find returns the route of a call. An exact path has priority over a prefix, and a longer prefix
// over a shorter one.
func (t *Table) Find(method, path string) (Match, bool) {
	if match, ok := t.exact[method+" "+path]; ok {
		return match, true
	}
	for i := range t.prefixes {
		p := &t.prefixes[i]
		if p.method == method && strings.HasPrefix(path, p.path) {
			return p.match, true
		}
	}
	return Match{}, false
}

// Contract returns the contract of a service, or nil.
func (t *Table) Contract(service string) *compiler.Contract { return t.services[service] }

// Snapshot is the state that goroutines read to forward calls: the route table of one configuration
// version and the targets. It is immutable; a new snapshot replaces it.
type Snapshot struct {
	Version  uint64
	Ready    bool
	Draining bool
	Table    *Table
	Targets  map[string][]*picker.Target // by service name
}
