package measurer

import (
	"fmt"
	"time"

	"clementinerock/internal/call/picker"
	"clementinerock/internal/demo/builder"
	"clementinerock/internal/demo/responder"
	"clementinerock/internal/mesh/messenger"
)

// measureSlowTargets measures the latency and the extra executions while one target in five is slow,
// under each pick policy.
func (m *Calls) measureSlowTargets(name string) error {
	m.printf("%s: one target in %d is %d times slower for %s at a time", name, slowEvery, slowFactor, slowRoundTime)
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
		f, cleanup, err := m.newFixture(name, v.options, removeTail)
		if err != nil {
			return err
		}
		normal := summarize(f.driver.Run(normalTime, f.capacity*normalLoad))
		before := f.executionCount()
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.slowTargetsInTurn()
		}()
		s := summarize(f.driver.Run(slowRounds*slowRoundTime, f.capacity*normalLoad))
		<-done
		extra := float64(f.executionCount()-before)/float64(max(s.answered, 1)) - 1
		audit := f.audit()
		cleanup()
		_, _ = fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.2f\t%.1f%%\t%d\t%d\t%d\t%d\t\n", v.name,
			quantileMillis(normal.shortLookups, 99), quantileMillis(s.shortLookups, 99),
			quantileMillis(s.shortLookups, 99)/quantileMillis(normal.shortLookups, 99), extra*100, s.refused, s.unknown, audit.Lost, audit.Doubled)
	}
	return nil
}

// slowTargetsInTurn slows one in slowEvery targets of each service, different ones in each round.
func (f *fixture) slowTargetsInTurn() {
	for round := range slowRounds {
		seen := make(map[string]int)
		for _, target := range f.Targets() {
			b := responder.Behaviour{}
			if seen[target.Service()]%slowEvery == round {
				b.Slowdown = slowFactor
			}
			seen[target.Service()]++
			target.SetBehaviour(b)
		}
		time.Sleep(slowRoundTime)
	}
	for _, target := range f.Targets() {
		target.SetBehaviour(responder.Behaviour{})
	}
}

// measureChurn measures calls while one target drains and another one joins in each second.
func (m *Calls) measureChurn(name string) error {
	m.printf("%s: a target leaves and one joins each second", name)
	w := m.table("sent\tanswered\trefused\tunknown\tcut\tlost\tdoubled\tp99 ms\t")
	defer func() { _ = w.Flush() }()
	f, cleanup, err := m.newFixture(name, builder.Options{}, nil)
	if err != nil {
		return err
	}
	defer cleanup()
	done := make(chan error, 1)
	go func() { done <- f.replaceTargets() }()
	s := summarize(f.driver.Run(churnTime, f.capacity*normalLoad))
	if err := <-done; err != nil {
		return err
	}
	audit := f.audit()
	_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t\n", s.sent, s.answered, s.refused, s.unknown, s.cut, audit.Lost, audit.Doubled, quantileMillis(s.shortLookups, 99))
	return nil
}

// replaceTargets drains one target in each second and starts another one on its host.
func (f *fixture) replaceTargets() error {
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
