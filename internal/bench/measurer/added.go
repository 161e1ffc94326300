package measurer

import (
	"fmt"
	"runtime"
	"time"

	"clementinerock/internal/demo/builder"
	"clementinerock/internal/demo/driver"
)

// measureAddedTime compares the latency and CPU time of calls through the mesh with those of calls
// straight to the targets, without simulated network delays and without the tail of the work times.
func (m *Calls) measureAddedTime(name string) error {
	m.printf("%s: time added to a call", name)
	w := m.table("load\tpath\tsent\tp50 ms\tp99 ms\tCPU us/call\t")
	defer func() { _ = w.Flush() }()
	withoutDelays := func(deployment *builder.Deployment, kinds []driver.Kind) {
		deployment.CrossDomainDelay = 0
		deployment.ClientDelay = 0
		removeTail(deployment, kinds)
	}
	f, cleanup, err := m.newFixture(name, builder.Options{}, withoutDelays)
	if err != nil {
		return err
	}
	defer cleanup()
	directDriver := f.directDriver()
	for _, share := range []float64{0.05, 0.3, 0.7} {
		for _, path := range []struct {
			name   string
			driver *driver.Driver
			rate   float64
		}{{"direct", directDriver, f.capacity * share}, {"mesh", f.driver, f.capacity * share}} {
			runtime.GC()
			cpu := cpuTime()
			s := summarize(path.driver.Run(steadyTime, path.rate))
			used := (cpuTime() - cpu) / time.Duration(max(s.sent, 1))
			_, _ = fmt.Fprintf(w, "%.0f%%\t%s\t%d\t%.2f\t%.2f\t%d\t\n", share*100, path.name, s.sent,
				quantileMillis(s.wait, 50), quantileMillis(s.wait, 99), used.Microseconds())
		}
	}
	return nil
}

// removeTail removes the tail of the work times, so that the 99th percentile shows the call path and
// not the work.
func removeTail(_ *builder.Deployment, kinds []driver.Kind) {
	for i := range kinds {
		kinds[i].TailRatio = 0
	}
}

// directDriver returns a driver that sends the most frequent kind of call straight to the targets of
// its service.
func (f *fixture) directDriver() *driver.Driver {
	kinds := f.driver.Kinds[:1]
	d := &driver.Driver{Kinds: kinds, Seed: f.driver.Seed, Direct: true}
	for _, target := range f.Targets() {
		if target.Service() == serviceOf(kinds[0]) {
			d.Addresses = append(d.Addresses, target.Address())
		}
	}
	return d
}
