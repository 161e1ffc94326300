package measurer

import (
	"fmt"
	"runtime"
	"time"

	"clementinerock/internal/demo/builder"
	"clementinerock/internal/demo/driver"
)

// added compares calls through the mesh with calls straight to the targets,
// without network delays and with equal work.
func (m *Calls) added(name string) error {
	m.printf("%s: time added to a call", name)
	w := m.table("load\tpath\tsent\tp50 ms\tp99 ms\tCPU us/call\t")
	defer func() { _ = w.Flush() }()
	even := func(deployment *builder.Deployment, kinds []driver.Kind) {
		deployment.CrossDomainDelay = 0
		deployment.ClientDelay = 0
		evenWork(deployment, kinds)
	}
	f, cleanup, err := m.open(name, builder.Options{}, even)
	if err != nil {
		return err
	}
	defer cleanup()
	direct := f.direct()
	for _, share := range []float64{0.05, 0.3, 0.7} {
		for _, path := range []struct {
			name   string
			driver *driver.Driver
			rate   float64
		}{{"direct", direct, f.capacity * share}, {"mesh", f.driver, f.capacity * share}} {
			runtime.GC()
			cpu := cpuTime()
			s := sum(path.driver.Run(steadyTime, path.rate))
			used := (cpuTime() - cpu) / time.Duration(max(s.sent, 1))
			_, _ = fmt.Fprintf(w, "%.0f%%\t%s\t%d\t%.2f\t%.2f\t%d\t\n", share*100, path.name, s.sent, ms(s.wait, 50), ms(s.wait, 99), used.Microseconds())
		}
	}
	return nil
}

// evenWork leaves out the calls that are long by themselves, so that the 99th
// percentile shows the path and not the work.
func evenWork(_ *builder.Deployment, kinds []driver.Kind) {
	for i := range kinds {
		kinds[i].TailRatio = 0
	}
}

// direct returns a driver that calls the targets of the most used service
// themselves.
func (f *field) direct() *driver.Driver {
	kinds := f.driver.Kinds[:1]
	d := &driver.Driver{Kinds: kinds, Seed: f.driver.Seed, Direct: true}
	for _, target := range f.Targets() {
		if target.Service() == serviceOf(kinds[0]) {
			d.Addresses = append(d.Addresses, target.Address())
		}
	}
	return d
}
