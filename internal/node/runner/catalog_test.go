package runner

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"clementinerock/internal/mesh/messenger"
)

func catalogRecord(i, services int) *messenger.Record {
	return &messenger.Record{
		Host: messenger.Host{Name: fmt.Sprintf("host-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%10), Peer: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)},
		Targets: []messenger.Target{{
			Service: fmt.Sprintf("service-%d", i%services), Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Slots: 12, State: messenger.Serving,
		}},
	}
}

func TestCatalogAppliesTargetChanges(t *testing.T) {
	g := newCatalog(messenger.Host{Name: "host-0", FailureDomain: "domain-0"})
	first := catalogRecord(0, 1)
	g.update(first.Host.Name, first)
	second := catalogRecord(1, 1)
	g.update(second.Host.Name, second)
	before := g.byService["service-0"]
	assert.Equal(t, len(before), 2)
	assert.Assert(t, before[0].Local && before[0].SameDomain && !before[1].Local && !before[1].SameDomain)

	draining := catalogRecord(1, 1)
	draining.Targets[0].State = messenger.Draining
	g.update(draining.Host.Name, draining)
	assert.Equal(t, len(g.byService["service-0"]), 1)
	assert.Equal(t, len(before), 2, "a shared list was modified")

	g.update(second.Host.Name, second)
	stats := g.byService["service-0"][0].Stats
	g.update(first.Host.Name, first)
	assert.Assert(t, g.byService["service-0"][0].Stats == stats, "measurements of an unchanged target were lost")
	g.update(first.Host.Name, nil)
	g.update(second.Host.Name, nil)
	assert.Equal(t, len(g.byService), 0)
}

// BenchmarkCatalog measures the memory for the targets of a whole mesh and the time to apply a
// change of one host.
func BenchmarkCatalog(b *testing.B) {
	const hosts, services = 15_000, 2_000
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	g := newCatalog(messenger.Host{Name: "host-0", FailureDomain: "domain-0"})
	for i := range hosts {
		record := catalogRecord(i, services)
		g.update(record.Host.Name, record)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 0
	for b.Loop() {
		i++
		record := catalogRecord(i%hosts, services)
		g.update(record.Host.Name, record)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
	runtime.KeepAlive(g)
}
