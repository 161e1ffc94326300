package tracker

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// world simulates a target that starts again and again at one address, reports that are late or lost, a clock
// that is set, and a node that is restarted while the store may be unavailable.
type world struct {
	now    time.Time
	clock  time.Duration // by which the time of day is ahead
	live   *simulatedRun // nil while no process of the target runs
	borns  []int64       // start times of all runs; no two are equal
	inbox  []arrival
	node   *Tracker
	stored []Departure
	loadAt time.Time // time at which the node can read the store
}

// simulatedRun is a process of the target.
type simulatedRun struct {
	Run

	sequence     uint64
	state        State
	acknowledged bool // whether the node has acknowledged its departure
}

// arrival is a report on its way.
type arrival struct {
	report Report
	from   *simulatedRun
	at     time.Time
}

func (w *world) start(id string) {
	born := w.now.Add(w.clock).UnixMilli()
	for slices.Contains(w.borns, born) {
		born++
	}
	w.borns = append(w.borns, born)
	w.live = &simulatedRun{Run: Run{ID: id, Born: born}, state: Serving}
}

// send sends a report that takes the given time.
func (w *world) send(state State, delay time.Duration) {
	w.live.sequence++
	report := heartbeat(w.live.ID, w.live.Born, w.live.sequence, state)
	if state == Gone {
		report = Report{Run: w.live.Run, State: Gone}
	}
	w.inbox = append(w.inbox, arrival{report: report, from: w.live, at: w.now.Add(delay)})
}

func (w *world) restartNode(unavailable time.Duration) {
	w.node = &Tracker{Service: service, Address: address, Loading: w.now}
	w.loadAt = w.now.Add(unavailable)
}

// advance lets time pass and delivers the reports that arrive in it, in the order of their arrival.
func (w *world) advance(until time.Time) {
	slices.SortStableFunc(w.inbox, func(a, b arrival) int { return a.at.Compare(b.at) })
	for len(w.inbox) > 0 && !w.inbox[0].at.After(until) {
		next := w.inbox[0]
		w.inbox = w.inbox[1:]
		w.load(next.at)
		w.deliver(&next)
	}
	w.load(until)
	w.now = until
}

func (w *world) load(now time.Time) {
	if !w.node.Loading.IsZero() && !now.Before(w.loadAt) {
		w.node.Restore(w.stored, now)
	}
}

func (w *world) deliver(a *arrival) {
	verdict := w.node.Observe(a.report, a.at)
	storeAvailable := !a.at.Before(w.loadAt)
	if storeAvailable {
		w.stored = w.node.Departures()
	}
	if a.report.State != Serving && storeAvailable && (verdict == Accepted || verdict == Stale) {
		a.from.acknowledged = true
	}
}

// check requires that no call reaches a run whose departure is acknowledged. A target rejects calls that are
// for another instance, and the node drops that one.
func (w *world) check(t *rapid.T) {
	current := w.node.Current
	if w.live == nil || current.State != Serving {
		return
	}
	if current.ID != w.live.ID {
		w.node.Misdirected(current.Run)
		return
	}
	assert.Assert(t, !w.live.acknowledged, "calls reach %+v by the report %+v", w.live.Run, current)
}

// TestRandomReports checks the promise of an acknowledged departure in random orders of starts, crashes, drains,
// late and lost reports, clock steps and restarts of the node, and that a target that goes on serving is used
// in the end.
func TestRandomReports(t *testing.T) {
	milliseconds := func(t *rapid.T, most time.Duration, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, int(most.Milliseconds())).Draw(t, label)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, node: &Tracker{Service: service, Address: address}}
		w.loadAt = w.now
		for range rapid.IntRange(5, 60).Draw(t, "events") {
			if w.live == nil {
				w.start(rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "id"))
			}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.live = nil // crashes or exits
			case 1:
				w.clock = milliseconds(t, 10*time.Second, "clock") - 5*time.Second
			case 2:
				w.restartNode(milliseconds(t, 15*time.Second, "unavailable"))
			case 3:
				w.live.state = Draining
			case 4:
				w.live.state = Gone
				w.send(Gone, milliseconds(t, MaxReportDelay-time.Millisecond, "delay"))
			default:
				if w.live.state != Gone {
					w.send(w.live.state, milliseconds(t, MaxReportDelay-time.Millisecond, "delay"))
				}
			}
			w.advance(w.now.Add(milliseconds(t, 3*time.Second, "pause")))
			w.check(t)
		}
		w.start("a")
		for range 3 * MaxReportDelay / time.Second {
			w.send(Serving, 0)
			w.advance(w.now.Add(time.Second))
			w.check(t)
		}
		assert.Equal(t, w.node.Current.State, Serving)
		assert.Equal(t, w.node.Current.ID, "a")
	})
}
