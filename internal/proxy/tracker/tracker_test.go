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
	return Report{ID: id, Service: service, Address: address, Slots: 6, State: state, Sequence: sequence, Born: born}
}

func TestObserve(t *testing.T) {
	tests := map[string]struct {
		reports  []Report
		verdicts []Verdict
		id       string
		state    State
	}{
		"first heartbeat": {
			reports:  []Report{heartbeat("a", 1, 4, Serving)},
			verdicts: []Verdict{Accepted},
			id:       "a",
			state:    Serving,
		},
		"late heartbeat does not end a drain": {
			reports:  []Report{heartbeat("a", 1, 4, Serving), heartbeat("a", 1, 6, Draining), heartbeat("a", 1, 5, Serving)},
			verdicts: []Verdict{Accepted, Accepted, Stale},
			id:       "a",
			state:    Draining,
		},
		"drain is final": {
			reports:  []Report{heartbeat("a", 1, 4, Draining), heartbeat("a", 1, 5, Serving)},
			verdicts: []Verdict{Accepted, Stale},
			id:       "a",
			state:    Draining,
		},
		"heartbeat after a leave is stale": {
			reports:  []Report{heartbeat("a", 1, 4, Serving), {ID: "a", State: Gone, Born: 1}, heartbeat("a", 1, 9, Serving)},
			verdicts: []Verdict{Accepted, Accepted, Stale},
			id:       "a",
			state:    Gone,
		},
		"leave without a start time": {
			reports:  []Report{heartbeat("a", 1, 4, Serving), {ID: "a", State: Gone}, heartbeat("a", 1, 9, Serving)},
			verdicts: []Verdict{Accepted, Accepted, Stale},
			id:       "a",
			state:    Gone,
		},
		"later run replaces an earlier one": {
			reports:  []Report{heartbeat("a", 1, 400, Serving), heartbeat("b", 2, 1, Serving), heartbeat("a", 1, 401, Serving)},
			verdicts: []Verdict{Accepted, Accepted, Stale},
			id:       "b",
			state:    Serving,
		},
		"later run with the same id": {
			reports:  []Report{heartbeat("a", 1, 400, Serving), heartbeat("a", 2, 1, Serving), heartbeat("a", 1, 401, Draining)},
			verdicts: []Verdict{Accepted, Accepted, Stale},
			id:       "a",
			state:    Serving,
		},
		"late leave of an earlier run": {
			reports:  []Report{heartbeat("a", 2, 1, Serving), {ID: "a", State: Gone, Born: 1}},
			verdicts: []Verdict{Accepted, Stale},
			id:       "a",
			state:    Serving,
		},
		"leave before the first heartbeat": {
			reports:  []Report{{ID: "a", State: Gone, Born: 1}, heartbeat("a", 1, 3, Serving)},
			verdicts: []Verdict{Accepted, Stale},
			id:       "a",
			state:    Gone,
		},
		"late heartbeat after a leave that arrived first": {
			reports:  []Report{{ID: "a", State: Gone}, heartbeat("a", 50_000, 36, Serving)},
			verdicts: []Verdict{Accepted, Stale},
			id:       "a",
			state:    Gone,
		},
		"new run after a leave that arrived first": {
			reports:  []Report{{ID: "a", State: Gone}, heartbeat("a", 99_000, 1, Serving)},
			verdicts: []Verdict{Accepted, Accepted},
			id:       "a",
			state:    Serving,
		},
		"another service": {
			reports:  []Report{{ID: "x", Service: "other", Address: address, Slots: 1, State: Serving, Sequence: 1}},
			verdicts: []Verdict{Foreign},
		},
		"another address": {
			reports:  []Report{{ID: "x", Service: service, Address: "10.0.0.9:80", Slots: 1, State: Serving, Sequence: 1}},
			verdicts: []Verdict{Foreign},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := Tracker{Service: service, Address: address}
			for i, report := range test.reports {
				assert.Equal(t, tracker.Observe(report, time.UnixMilli(100_000)), test.verdicts[i], "report %d", i)
			}
			assert.Equal(t, tracker.Current.ID, test.id)
			assert.Equal(t, tracker.Current.State, test.state)
		})
	}
}
