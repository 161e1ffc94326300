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

// crest raises the demand to three times the capacity and back.
func (m *Calls) crest(name string) error {
	m.printf("%s: demand at %.0f times capacity for %s", name, crestFactor, crestTime)
	w := m.table("limit\tgoodput\tcalm p99 ms\tcrest p99 ms\tnormal after s\tonce refused\tunknown\tcut\tlost\tdoubled\twrongly refused\t")
	defer func() { _ = w.Flush() }()
	for _, v := range limitVariants {
		f, cleanup, err := m.open(name, v.options, nil)
		if err != nil {
			return err
		}
		calm := sum(f.driver.Run(calmTime, f.capacity*calmShare))
		high := f.driver.Send(crestTime, f.capacity*crestFactor)
		var after []*driver.Window
		for range slices {
			after = append(after, f.driver.Send(sliceTime, f.capacity*calmShare))
		}
		f.driver.Wait()
		s := sum(high)
		audit := f.audit()
		cleanup()
		_, _ = fmt.Fprintf(w, "%s\t%.0f%%\t%.1f\t%.1f\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", v.name,
			100*f.goodput(high, crestTime), ms(calm.short, 99), ms(s.short, 99), normalAfter(after, ms(calm.short, 99)),
			s.onceRefused, s.unknown, s.cut, audit.Lost, audit.Doubled, audit.Denied)
	}
	return nil
}

// normalAfter returns when the latency of short calls is back near the calm one.
func normalAfter(after []*driver.Window, calm float64) string {
	last := 0
	for i, window := range after {
		if s := sum(window); ms(s.short, 99) > normalFactor*calm || s.shortRefused > 0 {
			last = i + 1
		}
	}
	if last == len(after) {
		return fmt.Sprintf(">%.1f", float64(last)*sliceTime.Seconds())
	}
	return fmt.Sprintf("%.2f", float64(last)*sliceTime.Seconds())
}

var lineVariants = []variant{
	{"fifo, random pick", builder.Options{Limit: limiter.PolicyFIFO, Pick: picker.PolicyRandom, NoHedge: true, AlwaysWait: true}},
	{"fifo, balanced", builder.Options{Limit: limiter.PolicyFIFO, NoHedge: true, AlwaysWait: true}},
	{"fifo, balanced, no-wait try", builder.Options{Limit: limiter.PolicyFIFO, NoHedge: true}},
	{"priority, balanced, no-wait try", builder.Options{NoHedge: true}},
	{"the same, hedged", builder.Options{}},
}

// line shows how long short work waits behind long work.
func (m *Calls) line(name string) error {
	m.printf("%s: wait of short calls at %.0f%% of capacity, %.0f%% of the lookups %d times longer", name, lineShare*100, lineTail*100, lineTailBy)
	w := m.table("limit\tp50 ms\tp99 ms\tp99.9 ms\tanswered\trefused\t")
	defer func() { _ = w.Flush() }()
	stragglers := func(deployment *builder.Deployment, kinds []driver.Kind) {
		deployment.ClientDelay = 0
		for i := range kinds {
			if kinds[i].TailRatio > 0 {
				kinds[i].TailRatio, kinds[i].TailFactor = lineTail, lineTailBy
			}
			if !kinds[i].Short {
				kinds[i].Weight *= 2
			}
		}
	}
	for _, v := range lineVariants {
		f, cleanup, err := m.open(name, v.options, stragglers)
		if err != nil {
			return err
		}
		s := sum(f.driver.Run(steadyTime, f.capacity*lineShare))
		cleanup()
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n", v.name, ms(s.wait, 50), ms(s.wait, 99), ms(s.wait, 99.9), s.answered, s.refused)
	}
	return nil
}
