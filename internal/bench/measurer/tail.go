package measurer

import (
	"fmt"
	"time"

	"clementinerock/internal/call/picker"
	"clementinerock/internal/demo/builder"
	"clementinerock/internal/demo/responder"
	"clementinerock/internal/mesh/messenger"
)

// tail slows one target in five at a time.
func (m *Calls) tail(name string) error {
	m.printf("%s: one target in %d is %d times slower for %s at a time", name, slowShare, slowFactor, slowTime)
	w := m.table("pick\tcalm p99 ms\tslowed p99 ms\tratio\textra work\trefused\tunknown\tlost\tdoubled\t")
	defer func() { _ = w.Flush() }()
	variants := []variant{
		{"round robin", builder.Options{Pick: picker.PolicyRoundRobin, NoHedge: true}},
		{"random", builder.Options{Pick: picker.PolicyRandom, NoHedge: true}},
		{"least connections", builder.Options{Pick: picker.PolicyLeastConnections, NoHedge: true}},
		{"balanced", builder.Options{Pick: picker.PolicyBalanced, NoHedge: true}},
		{"balanced, hedged", builder.Options{Pick: picker.PolicyBalanced}},
	}
	for _, v := range variants {
		f, cleanup, err := m.open(name, v.options, evenWork)
		if err != nil {
			return err
		}
		calm := sum(f.driver.Run(calmTime, f.capacity*calmShare))
		before := f.executed()
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.slow()
		}()
		s := sum(f.driver.Run(slowRounds*slowTime, f.capacity*calmShare))
		<-done
		extra := float64(f.executed()-before)/float64(max(s.answered, 1)) - 1
		audit := f.audit()
		cleanup()
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.2f\t%.1f%%\t%d\t%d\t%d\t%d\t\n", v.name, ms(calm.short, 99), ms(s.short, 99),
			ms(s.short, 99)/ms(calm.short, 99), extra*100, s.refused, s.unknown, audit.Lost, audit.Doubled)
	}
	return nil
}

// slow slows a share of each service's targets, others in each round.
func (f *field) slow() {
	for round := range slowRounds {
		seen := make(map[string]int)
		for _, target := range f.Targets() {
			b := responder.Behaviour{}
			if seen[target.Service()]%slowShare == round {
				b.Slowdown = slowFactor
			}
			seen[target.Service()]++
			target.SetBehaviour(b)
		}
		time.Sleep(slowTime)
	}
	for _, target := range f.Targets() {
		target.SetBehaviour(responder.Behaviour{})
	}
}

// churn lets a target leave and another one join each second.
func (m *Calls) churn(name string) error {
	m.printf("%s: a target leaves and one joins each second", name)
	w := m.table("sent\tanswered\trefused\tunknown\tcut\tlost\tdoubled\tp99 ms\t")
	defer func() { _ = w.Flush() }()
	f, cleanup, err := m.open(name, builder.Options{}, nil)
	if err != nil {
		return err
	}
	defer cleanup()
	done := make(chan error, 1)
	go func() { done <- f.replaceTargets() }()
	s := sum(f.driver.Run(churnTime, f.capacity*calmShare))
	if err := <-done; err != nil {
		return err
	}
	audit := f.audit()
	_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t\n", s.sent, s.answered, s.refused, s.unknown, s.cut, audit.Lost, audit.Doubled, ms(s.short, 99))
	return nil
}

func (f *field) replaceTargets() error {
	hosts := f.Hosts()
	for i := range int(churnTime / time.Second) {
		host := hosts[i%len(hosts)]
		old := host.Targets[0]
		if err := old.Announce(messenger.Draining); err != nil {
			return err
		}
		if _, err := f.StartTarget(host, builder.Service{Name: old.Service(), Slots: old.Slots()}); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}
