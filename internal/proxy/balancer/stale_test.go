package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// staleFleet is a load in which many callers share many targets, so that each caller gets a report of a
// target only when one of its own calls there ends.
type staleFleet struct {
	random  *rand.Rand
	targets []*staleTarget
	callers [][]*view
	events  map[time.Duration][]func()
}

// staleTarget is a target with its own service time.
type staleTarget struct {
	mean    time.Duration
	busy    int
	waiting []*staleCall
}

// view is what one caller knows of one target.
type view struct {
	reportedBusy       int
	reportedWait       time.Duration
	at                 time.Duration // time of the last report
	open, openAtReport int
	Usual
}

const (
	fleetCallers   = 60
	fleetTargets   = 26
	fleetSlots     = 5
	fleetStep      = time.Millisecond
	fleetHop       = 4 * time.Millisecond // time to be refused and to choose again
	fleetObjective = 500 * time.Millisecond
)

func newStaleFleet() *staleFleet {
	f := &staleFleet{random: rand.New(rand.NewPCG(1, 2)), events: make(map[time.Duration][]func())}
	speeds := []float64{0.6, 1, 1, 1.6}
	for i := range fleetTargets {
		mean := time.Duration(float64(150*time.Millisecond) / speeds[i%len(speeds)])
		f.targets = append(f.targets, &staleTarget{mean: mean})
	}
	for range fleetCallers {
		views := make([]*view, fleetTargets)
		for i := range views {
			views[i] = &view{}
		}
		f.callers = append(f.callers, views)
	}
	return f
}

// pick returns the target that a caller chooses.
func (f *staleFleet) pick(views []*view, now time.Duration) int {
	candidates := make([]Candidate, len(views))
	for i, v := range views {
		candidates[i] = Candidate{
			SameDomain: true, Slots: fleetSlots, Busy: v.reportedBusy, Mean: f.targets[i].mean,
			ReportAge: now - v.at, Open: v.open, OpenAtReport: v.openAtReport, Usual: v.Usual,
		}
		candidates[i].ReportedWait = v.reportedWait
	}
	return Pick(candidates, f.random.Float64)
}

// report updates a caller's view of a target.
func (f *staleFleet) report(v *view, i int, now time.Duration) {
	target := f.targets[i]
	busy := target.busy + len(target.waiting)
	wait := time.Duration(0)
	if target.busy >= fleetSlots {
		wait = target.mean / fleetSlots * time.Duration(len(target.waiting)+1)
	}
	v.reportedBusy, v.reportedWait, v.at, v.openAtReport = busy, wait, now, v.open
	v.Add(busy, wait)
}

// outcome summarizes the calls of a replayed load.
type outcome struct {
	found     float64 // share of calls that found a free slot at the first target
	exchanges float64 // mean number of targets that a call was sent to
	late      float64 // share of calls that took longer than fleetObjective
	mean      time.Duration
}

// run replays a load with the given share of the capacity in use. A call looks for a free slot at up to
// three targets and then waits at the next one.
func (f *staleFleet) run(load float64, length time.Duration) outcome {
	capacity := 0.0
	for _, target := range f.targets {
		capacity += fleetSlots / target.mean.Seconds()
	}
	perStep := load * capacity * fleetStep.Seconds()
	var total outcome
	calls := 0.0
	for now := time.Duration(0); now < length; now += fleetStep {
		for _, event := range f.events[now] {
			event()
		}
		delete(f.events, now)
		for n := perStep; n > 0; n-- {
			if n < 1 && f.random.Float64() > n {
				break
			}
			calls++
			f.send(&staleCall{arrived: now, views: f.callers[f.random.IntN(len(f.callers))], total: &total}, now)
		}
	}
	total.found /= calls
	total.exchanges /= calls
	total.late /= calls
	total.mean /= time.Duration(calls)
	return total
}

// staleCall is one call on its way to a target.
type staleCall struct {
	arrived time.Duration
	views   []*view
	refused int
	total   *outcome
}

// send sends a call to the target that its caller chooses.
func (f *staleFleet) send(c *staleCall, now time.Duration) {
	c.total.exchanges++
	i := f.pick(c.views, now)
	target, v := f.targets[i], c.views[i]
	v.open++
	if target.busy < fleetSlots {
		if c.refused == 0 {
			c.total.found++
		}
		f.start(c, i, now)
		return
	}
	if c.refused < 3 {
		c.refused++
		v.open--
		f.report(v, i, now) // the refusal carries a report
		f.at(now+fleetHop, func() { f.send(c, now+fleetHop) })
		return
	}
	target.waiting = append(target.waiting, c)
}

// start runs a call at a target, and the next one after it.
func (f *staleFleet) start(c *staleCall, i int, now time.Duration) {
	target, v := f.targets[i], c.views[i]
	target.busy++
	end := now + time.Duration(f.random.ExpFloat64()*float64(target.mean))/fleetStep*fleetStep + fleetStep
	f.at(end, func() {
		target.busy--
		v.open--
		took := end - c.arrived
		c.total.mean += took
		if took > fleetObjective {
			c.total.late++
		}
		if len(target.waiting) > 0 {
			next := target.waiting[0]
			target.waiting = target.waiting[1:]
			f.start(next, i, end)
		}
		f.report(v, i, end)
	})
}

func (f *staleFleet) at(when time.Duration, event func()) {
	f.events[when] = append(f.events[when], event)
}

// TestManyCallersShareTargets replays 60 callers that share 26 targets of different speed. If an old
// report of a free target counts as an idle target, most calls go to the same fast targets: at 60% load a
// call is then sent to 2.9 targets, and at 90% load 8.7% of the calls are late.
func TestManyCallersShareTargets(t *testing.T) {
	tests := map[string]struct {
		load         float64
		maxExchanges float64
		maxLate      float64
	}{
		"40% load": {0.4, 1.3, 0.03},
		"60% load": {0.6, 2, 0.03},
		"75% load": {0.75, 3, 0.04},
		"90% load": {0.9, 3.5, 0.06},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			o := newStaleFleet().run(test.load, 30*time.Second)
			t.Logf("found %.3f exchanges %.2f late %.3f mean %s", o.found, o.exchanges, o.late, o.mean)
			assert.Assert(t, o.exchanges < test.maxExchanges, "%.2f exchanges", o.exchanges)
			assert.Assert(t, o.late < test.maxLate, "%.3f late", o.late)
		})
	}
}
