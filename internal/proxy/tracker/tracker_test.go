package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	service = "slotboard"
	address = "10.0.0.1:80"
)

func heartbeat(id string, born int64, sequence uint64, state State) Report {
	return Report{Run: Run{ID: id, Born: born}, Service: service, Address: address, Slots: 6, State: state, Sequence: sequence}
}

// leave returns a leave message of target "a"; born is 0 if it gives no start time.
func leave(born int64) Report { return Report{Run: Run{ID: "a", Born: born}, State: Gone} }

// step is the arrival of a report.
type step struct {
	report  Report
	verdict Verdict
	at      time.Duration // time of the arrival since the start of the process
}

func TestObserve(t *testing.T) {
	tests := map[string]struct {
		steps []step
		id    string
		state State
	}{
		"first heartbeat": {
			steps: []step{{report: heartbeat("a", 1, 4, Serving)}},
			id:    "a",
			state: Serving,
		},
		"late heartbeat does not end a drain": {
			steps: []step{
				{report: heartbeat("a", 1, 4, Serving)},
				{report: heartbeat("a", 1, 6, Draining)},
				{report: heartbeat("a", 1, 5, Serving), verdict: Stale},
			},
			id:    "a",
			state: Draining,
		},
		"drain is final": {
			steps: []step{
				{report: heartbeat("a", 1, 4, Draining)},
				{report: heartbeat("a", 1, 5, Serving), verdict: Stale},
				{report: heartbeat("a", 1, 6, Serving), verdict: Stale, at: time.Minute},
			},
			id:    "a",
			state: Draining,
		},
		"drain that arrives after a later heartbeat": {
			steps: []step{
				{report: heartbeat("a", 1, 5, Serving)},
				{report: heartbeat("a", 1, 4, Draining)},
				{report: heartbeat("a", 1, 6, Serving), verdict: Stale},
			},
			id:    "a",
			state: Draining,
		},
		"heartbeat after a leave is stale": {
			steps: []step{
				{report: heartbeat("a", 1, 4, Serving)},
				{report: leave(1)},
				{report: heartbeat("a", 1, 9, Serving), verdict: Stale},
			},
			id:    "a",
			state: Gone,
		},
		"leave without a start time": {
			steps: []step{
				{report: heartbeat("a", 1, 4, Serving)},
				{report: leave(0)},
				{report: heartbeat("a", 1, 9, Serving), verdict: Stale},
			},
			id:    "a",
			state: Gone,
		},
		"later run replaces an earlier one": {
			steps: []step{
				{report: heartbeat("a", 1, 400, Serving)},
				{report: heartbeat("b", 2, 1, Serving)},
				{report: heartbeat("a", 1, 401, Serving), verdict: Unconfirmed},
			},
			id:    "b",
			state: Serving,
		},
		"later run with the same ID": {
			steps: []step{
				{report: heartbeat("a", 1, 400, Serving)},
				{report: heartbeat("a", 2, 1, Serving)},
			},
			id:    "a",
			state: Serving,
		},
		"late leave of an earlier run with another ID": {
			steps: []step{
				{report: heartbeat("b", 2, 1, Serving)},
				{report: leave(1)},
			},
			id:    "b",
			state: Serving,
		},
		"late reports of an earlier run with the same ID that has left": {
			steps: []step{
				{report: heartbeat("a", 1, 1, Draining)},
				{report: heartbeat("a", 2, 1, Serving), at: MaxReportDelay},
				{report: heartbeat("a", 1, 2, Draining), verdict: Stale, at: MaxReportDelay},
				{report: leave(1), verdict: Stale, at: MaxReportDelay},
				{report: heartbeat("a", 1, 3, Serving), verdict: Stale, at: MaxReportDelay},
			},
			id:    "a",
			state: Serving,
		},
		"leave before the first heartbeat": {
			steps: []step{
				{report: leave(1)},
				{report: heartbeat("a", 1, 3, Serving), verdict: Stale},
			},
			id:    "a",
			state: Gone,
		},
		"heartbeat after a leave without a start time that arrived first": {
			steps: []step{
				{report: leave(0)},
				{report: heartbeat("a", 50_000, 36, Serving), verdict: Unconfirmed},
				{report: heartbeat("a", 99_000, 1, Serving), verdict: Unconfirmed, at: MaxReportDelay - 1},
			},
			id:    "a",
			state: Gone,
		},
		"new run after a leave without a start time that arrived first": {
			steps: []step{
				{report: leave(0)},
				{report: heartbeat("a", 99_000, 5, Serving), at: MaxReportDelay},
			},
			id:    "a",
			state: Serving,
		},
		"another service": {
			steps: []step{{report: Report{Run: Run{ID: "x"}, Service: "other", Address: address, Slots: 1, State: Serving, Sequence: 1}, verdict: Foreign}},
		},
		"another address": {
			steps: []step{{report: Report{Run: Run{ID: "x"}, Service: service, Address: "10.0.0.9:80", Slots: 1, State: Serving, Sequence: 1}, verdict: Foreign}},
		},
		"drain of another service": {
			steps: []step{{report: Report{Run: Run{ID: "x"}, Service: "other", Address: address, Slots: 1, State: Draining, Sequence: 1}, verdict: Foreign}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := Tracker{Service: service, Address: address}
			observeAll(t, &tracker, test.steps)
			assert.Equal(t, tracker.Current.ID, test.id)
			assert.Equal(t, tracker.Current.State, test.state)
		})
	}
}

// start is the time at which the process starts in these tests.
var start = time.UnixMilli(100_000)

func observeAll(t *testing.T, tracker *Tracker, steps []step) {
	t.Helper()
	for i, s := range steps {
		assert.Equal(t, tracker.Observe(s.report, start.Add(s.at)), s.verdict, "report %d", i)
	}
}

// TestClockJumpedBack guards against reports that are acknowledged and ignored: the time of day jumped
// back between two starts of the target, so that the later run has the smaller start time.
func TestClockJumpedBack(t *testing.T) {
	const ahead, now = 102_400, 101_500 // start times of the earlier and the later run
	tests := map[string]struct {
		steps []step
		state State
		born  int64
	}{
		"drain": {
			steps: []step{
				{report: heartbeat("a", ahead, 1, Serving)},
				{report: heartbeat("a", now, 1, Serving)},
				{report: heartbeat("a", now, 2, Draining)},
			},
			state: Draining,
			born:  now,
		},
		"leave": {
			steps: []step{
				{report: heartbeat("a", ahead, 1, Serving)},
				{report: heartbeat("a", now, 1, Serving)},
				{report: leave(now)},
			},
			state: Gone,
			born:  now,
		},
		"drain is the first report": {
			steps: []step{
				{report: heartbeat("a", ahead, 1, Serving)},
				{report: heartbeat("a", now, 2, Draining)},
			},
			state: Draining,
			born:  now,
		},
		"late heartbeat of the earlier run after the drain": {
			steps: []step{
				{report: heartbeat("a", ahead, 1, Serving)},
				{report: heartbeat("a", now, 1, Serving)},
				{report: heartbeat("a", now, 2, Draining), at: time.Second},
				{report: heartbeat("a", ahead, 2, Serving), verdict: Unconfirmed, at: MaxReportDelay},
			},
			state: Draining,
			born:  now,
		},
		"late heartbeat of an earlier run that did not report before": {
			steps: []step{
				{report: heartbeat("a", now, 1, Serving)},
				{report: heartbeat("a", now, 2, Draining)},
				{report: heartbeat("a", ahead, 7, Serving), verdict: Unconfirmed, at: 9 * time.Second},
			},
			state: Draining,
			born:  now,
		},
		"later run after a drain": {
			steps: []step{
				{report: heartbeat("a", ahead, 1, Draining)},
				{report: heartbeat("a", ahead, 2, Draining), at: 3 * time.Second},
				{report: heartbeat("a", now, 1, Serving), verdict: Unconfirmed, at: MaxReportDelay},
				{report: heartbeat("a", now, 5, Serving), at: MaxReportDelay + 3*time.Second},
				{report: heartbeat("a", now, 6, Draining), at: MaxReportDelay + 4*time.Second},
			},
			state: Draining,
			born:  now,
		},
		"later run with another ID": {
			steps: []step{
				{report: heartbeat("b", ahead, 1, Serving)},
				{report: heartbeat("a", now, 1, Serving), verdict: Unconfirmed},
				{report: heartbeat("a", now, 8, Serving), at: MaxReportDelay},
			},
			state: Serving,
			born:  now,
		},
		"drain of a later run with another ID": {
			steps: []step{
				{report: heartbeat("b", ahead, 1, Serving)},
				{report: heartbeat("a", now, 2, Draining)},
				{report: heartbeat("a", now, 1, Serving), verdict: Stale, at: MaxReportDelay},
			},
			state: Serving, // of the earlier run; the target rejects its calls
			born:  ahead,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := Tracker{Service: service, Address: address}
			observeAll(t, &tracker, test.steps)
			assert.Equal(t, tracker.Current.State, test.state)
			assert.Equal(t, tracker.Current.Born, test.born)
		})
	}
}

// TestMisdirected checks that a later run with another ID and a smaller start time is used as soon as the
// target has rejected a call for the earlier run.
func TestMisdirected(t *testing.T) {
	tracker := Tracker{Service: service, Address: address}
	observeAll(t, &tracker, []step{
		{report: heartbeat("b", 2, 1, Serving)},
		{report: heartbeat("a", 1, 1, Serving), verdict: Unconfirmed},
	})
	tracker.Misdirected(Run{ID: "other", Born: 2})
	assert.Equal(t, tracker.Current.ID, "b")
	tracker.Misdirected(Run{ID: "b", Born: 2})
	assert.Equal(t, tracker.Current.State, Unreported)
	observeAll(t, &tracker, []step{{report: heartbeat("a", 1, 2, Serving)}})
	assert.Equal(t, tracker.Current.ID, "a")
}

// TestRestart checks what a new process of the node accepts, given the departures that an earlier one
// stored.
func TestRestart(t *testing.T) {
	left := Departure{Run: Run{ID: "a", Born: 5}}
	over := Departure{Run: Run{ID: "a", Born: 5}, Over: true}
	tests := map[string]struct {
		stored Departure
		before []step // reports that arrive before the departures are loaded
		after  []step // reports that arrive later
		state  State
	}{
		"heartbeat before the departures are loaded": {
			stored: left,
			before: []step{{report: heartbeat("a", 5, 3, Serving), verdict: Unconfirmed, at: time.Second}},
			after:  []step{{report: heartbeat("a", 5, 4, Serving), verdict: Stale, at: 2 * time.Second}},
		},
		"drain before the departures are loaded": {
			stored: left,
			before: []step{{report: heartbeat("a", 6, 3, Draining), at: time.Second}},
			after:  []step{{report: heartbeat("a", 6, 4, Serving), verdict: Stale, at: 2 * time.Second}},
			state:  Draining,
		},
		"heartbeat sent after the start": {
			stored: left,
			before: []step{{report: heartbeat("a", 6, 3, Serving), at: MaxReportDelay}},
			after:  []step{{report: heartbeat("a", 6, 4, Serving), at: MaxReportDelay + time.Second}},
			state:  Serving,
		},
		"heartbeat later than reports can be": {
			stored: left,
			before: []step{{report: heartbeat("a", 5, 3, Serving), at: MaxReportDelay}},
			state:  Gone,
		},
		"late heartbeat of a run with the same ID and a clock that was ahead": {
			stored: left,
			after: []step{
				{report: heartbeat("a", 2_405, 3, Serving), verdict: Unconfirmed, at: 2 * time.Second},
				{report: heartbeat("a", 2_405, 4, Serving), verdict: Unconfirmed, at: 9 * time.Second},
			},
		},
		"run that serves since the departure": {
			stored: over,
			after: []step{
				{report: heartbeat("a", 5, 9, Serving), verdict: Stale, at: 2 * time.Second},
				{report: heartbeat("a", 3, 3, Serving), at: 2 * time.Second},
			},
			state: Serving,
		},
		"run with another ID": {
			stored: left,
			after:  []step{{report: heartbeat("b", 3, 3, Serving), at: 2 * time.Second}},
			state:  Serving,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := Tracker{Service: service, Address: address, Loading: start}
			observeAll(t, &tracker, test.before)
			tracker.Restore([]Departure{test.stored}, start.Add(time.Second))
			observeAll(t, &tracker, test.after)
			assert.Equal(t, tracker.Current.State, test.state)
		})
	}
}

// TestDeparturesAreBounded checks that the newest departures are kept.
func TestDeparturesAreBounded(t *testing.T) {
	tracker := Tracker{Service: service, Address: address}
	for born := range int64(100) {
		tracker.Observe(leave(born+1), start)
	}
	departures := tracker.Departures()
	assert.Equal(t, len(departures), maxDepartures)
	assert.Equal(t, departures[maxDepartures-1].Born, int64(100))
}
