package matcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func route(name, host, prefix string) *Route {
	return &Route{
		Name:             name,
		Host:             host,
		Prefix:           prefix,
		Timeout:          time.Second,
		MaxAttempts:      1,
		WeightedServices: []WeightedService{{Service: "s", Weight: 1}},
	}
}

func table(version uint64, routes ...*Route) *Table {
	return &Table{Version: version, Routes: routes, Services: map[string]Service{"s": {Name: "s"}}}
}

func TestMatch(t *testing.T) {
	tested := table(1, route("root", "a.example", "/"), route("short", "a.example", "/x/"),
		route("long", "a.example", "/x/y/"), route("only", "b.example", "/x/"))
	assert.NilError(t, tested.Index())
	tests := map[string]struct{ host, path, route string }{
		"longest prefix":           {"a.example", "/x/y/z", "long"},
		"path equal to the prefix": {"a.example", "/x/y/", "long"},
		"path without last slash":  {"a.example", "/x/y", "short"},
		"root prefix":              {"a.example", "/other", "root"},
		"host with port":           {"a.example:8080", "/x/1", "short"},
		"host in upper case":       {"A.Example", "/x/1", "short"},
		"no matching prefix":       {"b.example", "/y/", ""},
		"unknown host":             {"c.example", "/x/", ""},
		"path without a slash":     {"a.example", "x", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found := tested.Match(test.host, test.path)
			if test.route == "" {
				assert.Assert(t, found == nil)
				return
			}
			assert.Equal(t, found.Name, test.route)
		})
	}
}

func TestIndexRejectsInvalidTables(t *testing.T) {
	withServices := func(services ...WeightedService) *Route {
		r := route("r", "a.example", "/x/")
		r.WeightedServices = services
		return r
	}
	negativeTimeout := route("r", "a.example", "/x/")
	negativeTimeout.Timeout = -time.Second
	tests := map[string]*Table{
		"unknown service":           table(1, withServices(WeightedService{Service: "none", Weight: 1})),
		"no service":                table(1, withServices()),
		"negative weight":           table(1, withServices(WeightedService{Service: "s", Weight: -1}, WeightedService{Service: "s", Weight: 2})),
		"all weights zero":          table(1, withServices(WeightedService{Service: "s"})),
		"duplicate prefix":          table(1, route("a", "a.example", "/x/"), route("b", "a.example", "/x/")),
		"prefix without last slash": table(1, route("a", "a.example", "/x")),
		"negative timeout":          table(1, negativeTimeout),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, test.Index() != nil)
		})
	}
}

func TestChooseFollowsWeights(t *testing.T) {
	r := Route{WeightedServices: []WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Choose(float64(i)/1000)]++
	}
	assert.Equal(t, counts["a"], 900)
	assert.Equal(t, counts["b"], 100)
}

func drawTable(t *rapid.T, version uint64) *Table {
	drawn := table(version)
	for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
		if rapid.Bool().Draw(t, "omitted") {
			continue
		}
		r := route(fmt.Sprint("r", i), "a.example", fmt.Sprintf("/%d/", i))
		r.Timeout = time.Duration(rapid.IntRange(1, 3).Draw(t, "timeout")) * time.Second
		drawn.Routes = append(drawn.Routes, r)
	}
	return drawn
}

// TestUpdate encodes, decodes and applies the update from a random version, or from none, to another.
func TestUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawTable(t, 1), drawTable(t, 2)
		var from *Table
		if rapid.Bool().Draw(t, "with base") {
			from = base
		}
		update := next.Since(from)
		encoded, err := cbor.Marshal(&update)
		assert.NilError(t, err)
		var received Update
		assert.NilError(t, cbor.Unmarshal(encoded, &received))
		result, err := received.Apply(from)
		assert.NilError(t, err)
		assert.Equal(t, result.Digest(), next.Digest())
		assert.Equal(t, len(result.Routes), len(next.Routes))
	})
}

func TestApplyRejectsWrongBase(t *testing.T) {
	base := table(1, route("a", "a.example", "/a/"))
	other := table(3, route("b", "a.example", "/b/"))
	next := table(2, route("c", "a.example", "/c/"))
	update := next.Since(base)
	_, err := update.Apply(other)
	assert.ErrorContains(t, err, "applies to version 1 only")
	update.BaseVersion = 3
	_, err = update.Apply(other)
	assert.ErrorContains(t, err, "digest")
}

// largeTables returns a large configuration and its next version, which has one changed route.
func largeTables(routes int) (base, next *Table) {
	base = table(1)
	for i := range routes {
		base.Routes = append(base.Routes, route(fmt.Sprint("r", i), fmt.Sprintf("h%d.example", i/8), fmt.Sprintf("/%d/", i)))
	}
	next = table(2, base.Routes...)
	next.Routes = append([]*Route(nil), base.Routes...)
	next.Routes[0] = route("r0", "h0.example", "/0/")
	next.Routes[0].Timeout = 2 * time.Second
	return base, next
}

// TestApplySharesUnchangedRoutes guards against the cost of many versions in quick succession:
// unchanged routes are neither hashed nor indexed again.
func TestApplySharesUnchangedRoutes(t *testing.T) {
	base, next := largeTables(2500)
	assert.NilError(t, base.Index())
	update := next.Since(base)
	assert.Equal(t, len(update.Routes), 1)
	applied, err := update.Apply(base)
	assert.NilError(t, err)
	assert.Equal(t, applied.Match("h0.example", "/0/x").Timeout, 2*time.Second)
	assert.Equal(t, base.Match("h0.example", "/0/x").Timeout, time.Second)
	assert.Assert(t, applied.Match("h9.example", "/72/x") == base.Match("h9.example", "/72/x"))
	allocated := testing.AllocsPerRun(5, func() {
		_, err = update.Apply(base)
	})
	assert.NilError(t, err)
	assert.Assert(t, allocated < 100, "%v allocations for one changed route of 2,500", allocated)
}

// TestApplySwapsPrefixes swaps the prefixes of two routes and removes a third route.
func TestApplySwapsPrefixes(t *testing.T) {
	base := table(1, route("a", "a.example", "/a/"), route("b", "a.example", "/b/"), route("c", "a.example", "/c/"))
	assert.NilError(t, base.Index())
	next := table(2, route("a", "a.example", "/b/"), route("b", "a.example", "/a/"))
	assert.NilError(t, next.Index())
	update := next.Since(base)
	applied, err := update.Apply(base)
	assert.NilError(t, err)
	assert.Equal(t, applied.Match("a.example", "/b/").Name, "a")
	assert.Equal(t, applied.Match("a.example", "/a/").Name, "b")
	assert.Assert(t, applied.Match("a.example", "/c/") == nil)
	assert.Equal(t, base.Match("a.example", "/c/").Name, "c")
}

func BenchmarkApply(b *testing.B) {
	base, next := largeTables(2500)
	assert.NilError(b, base.Index())
	update := next.Since(base)
	for b.Loop() {
		_, _ = update.Apply(base)
	}
}
