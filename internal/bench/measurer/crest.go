package measurer

import (
	"fmt"

	"clementinerock/internal/call/limiter"
	"clementinerock/internal/call/picker"
	"clementinerock/internal/demo/builder"
	"clementinerock/internal/demo/driver"
)

var limitVariants = []variant{
	{"no limit", builder.Options{Limit: limiter.PolicyUnlimited}},
	{"first-in first-out", builder.Options{Limit: limiter.PolicyFIFO}},
	{"priority", builder.Options{Limit: limiter.PolicyPriority}},
}

// measureOverload raises the demand to overloadFactor times the capacity and back, under each limit
// policy.
func (m *Calls) measureOverload(name string) error {
	m.printf("%s: demand at %.0f times capacity for %s", name, overloadFactor, overloadTime)
	w := m.table("limit\tgoodput\tcalm p99 ms\tcrest p99 ms\tnormal after s\tonce refused\tunknown\tcut\tlost\tdoubled\twrongly refused\t")
	defer func() { _ = w.Flush() }()
	for _, v := range limitVariants {
		f, cleanup, err := m.newFixture(name, v.options, nil)
		if err != nil {
			return err
		}
		normal := summarize(f.driver.Run(normalTime, f.capacity*normalLoad))
		overload := f.driver.Send(overloadTime, f.capacity*overloadFactor)
		var after []*driver.Window
		for range recoveryWindows {
			after = append(after, f.driver.Send(recoveryWindow, f.capacity*normalLoad))
		}
		f.driver.Wait()
		s := summarize(overload)
		audit := f.audit()
		cleanup()
		_, _ = fmt.Fprintf(w, "%s\t%.0f%%\t%.1f\t%.1f\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", v.name,
			100*f.goodput(overload, overloadTime), quantileMillis(normal.shortLookups, 99),
			quantileMillis(s.shortLookups, 99), recoveryTime(after, quantileMillis(normal.shortLookups, 99)),
			s.atMostOnceRefused, s.unknown, s.cut, audit.Lost, audit.Doubled, audit.Denied)
	}
	return nil
}

// recoveryTime returns the time in seconds, as text, after which the p99 of short lookups stays near
// normalP99 and no short call is refused. after holds the windows that follow the overload.
func recoveryTime(after []*driver.Window, normalP99 float64) string {
	recovered := 0
	for i, window := range after {
		if s := summarize(window); quantileMillis(s.shortLookups, 99) > recoveredFactor*normalP99 || s.shortRefused > 0 {
			recovered = i + 1
		}
	}
	if recovered == len(after) {
		return fmt.Sprintf(">%.1f", float64(recovered)*recoveryWindow.Seconds())
	}
	return fmt.Sprintf("%.2f", float64(recovered)*recoveryWindow.Seconds())
}

var queueingVariants = []variant{
	{"fifo, random pick", builder.Options{Limit: limiter.PolicyFIFO, Pick: picker.PolicyRandom, NoHedge: true, AlwaysWait: true}},
	{"fifo, balanced", builder.Options{Limit: limiter.PolicyFIFO, NoHedge: true, AlwaysWait: true}},
	{"fifo, balanced, no-wait try", builder.Options{Limit: limiter.PolicyFIFO, NoHedge: true}},
	{"priority, balanced, no-wait try", builder.Options{NoHedge: true}},
	{"the same, hedged", builder.Options{}},
}

// measureQueueing measures how long short calls wait behind long ones.
func (m *Calls) measureQueueing(name string) error {
	m.printf("%s: wait of short calls at %.0f%% of capacity, %.0f%% of the lookups %d times longer", name, queueingLoad*100, slowLookupRatio*100, slowLookupFactor)
	w := m.table("limit\tp50 ms\tp99 ms\tp99.9 ms\tanswered\trefused\t")
	defer func() { _ = w.Flush() }()
	addSlowLookups := func(deployment *builder.Deployment, kinds []driver.Kind) {
		deployment.ClientDelay = 0
		for i := range kinds {
			if kinds[i].TailRatio > 0 {
				kinds[i].TailRatio, kinds[i].TailFactor = slowLookupRatio, slowLookupFactor
			}
			if !kinds[i].Short {
				kinds[i].Weight *= 2
			}
		}
	}
	for _, v := range queueingVariants {
		f, cleanup, err := m.newFixture(name, v.options, addSlowLookups)
		if err != nil {
			return err
		}
		s := summarize(f.driver.Run(steadyTime, f.capacity*queueingLoad))
		cleanup()
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n", v.name,
			quantileMillis(s.wait, 50), quantileMillis(s.wait, 99), quantileMillis(s.wait, 99.9), s.answered, s.refused)
	}
	return nil
}
