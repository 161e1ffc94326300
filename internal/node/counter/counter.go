// Package counter holds the metrics of a process and serves them in the Prometheus text format.
package counter

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	metricPrefix   = "clementinerock"
	reportInterval = time.Second
)

// latencyBuckets are the bucket bounds of the histograms, from 1 ms to 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Counter holds the metrics of a process by name. All methods are safe for concurrent use.
type Counter struct {
	scope      tally.Scope
	reporter   prometheus.Reporter
	counters   sync.Map // name to *total
	histograms sync.Map // name to tally.Histogram
}

// total is a counter whose value can be read back, which tally's counters don't allow.
type total struct {
	metric tally.Counter
	count  atomic.Int64
}

// New returns a Counter without metrics. The clean-up function stops its reporting.
func New() (*Counter, func()) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Counter{scope: scope, reporter: reporter}, func() { _ = closer.Close() }
}

// Count adds 1 to the named counter.
func (c *Counter) Count(name string) { c.Add(name, 1) }

// Add adds n to the named counter.
func (c *Counter) Add(name string, n int64) {
	existing, ok := c.counters.Load(name)
	if !ok {
		existing, _ = c.counters.LoadOrStore(name, &total{metric: c.scope.Counter(name)})
	}
	t := existing.(*total)
	t.count.Add(n)
	t.metric.Inc(n)
}

// Observe records a duration in the named histogram.
func (c *Counter) Observe(name string, d time.Duration) {
	existing, ok := c.histograms.Load(name)
	if !ok {
		existing, _ = c.histograms.LoadOrStore(name, c.scope.Histogram(name, latencyBuckets))
	}
	existing.(tally.Histogram).RecordDuration(d)
}

// Gauge sets the named gauge.
func (c *Counter) Gauge(name string, value float64) { c.scope.Gauge(name).Update(value) }

// Total returns the value of the named counter, or 0 if it does not exist.
func (c *Counter) Total(name string) int64 {
	if existing, ok := c.counters.Load(name); ok {
		return existing.(*total).count.Load()
	}
	return 0
}

// Totals returns the values of all counters by name.
func (c *Counter) Totals() map[string]int64 {
	counts := make(map[string]int64)
	c.counters.Range(func(name, t any) bool {
		counts[name.(string)] = t.(*total).count.Load()
		return true
	})
	return counts
}

// Handler returns an HTTP handler that serves the metrics.
func (c *Counter) Handler() http.Handler { return c.reporter.HTTPHandler() }
