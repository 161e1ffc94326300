package tracker

import (
	"slices"
	"time"
)

// MaxReportDelay is the longest time that a report may take from the target to its node. A partition
// delays reports by seconds.
const MaxReportDelay = 10 * time.Second

// maxDepartures is the number of departures that are kept.
const maxDepartures = 8

// Departure is a run of the target that drains or has left.
type Departure struct {
	Run

	Over bool // whether a later run with the same ID serves
}

// departure is a Departure with the arrival of its last report in this process.
type departure struct {
	Departure

	heard time.Time
}

// Departures returns the known departures of the target, oldest first.
func (t *Tracker) Departures() []Departure {
	departures := make([]Departure, len(t.departed))
	for i := range t.departed {
		departures[i] = t.departed[i].Departure
	}
	return departures
}

// Restore adds the departures that earlier processes of this node acknowledged.
func (t *Tracker) Restore(departures []Departure, now time.Time) {
	t.Loading = time.Time{}
	since := t.departed
	t.departed = nil
	for _, d := range departures {
		t.departed = append(t.departed, departure{Departure: d, heard: now})
	}
	for _, d := range since {
		t.addDeparture(d.Run, d.heard)
	}
	if t.Current.State != Serving {
		return
	}
	if d := t.departure(t.Current.Run); d != nil && !d.Over {
		t.Current.State = Gone
		return
	}
	t.endDepartures(t.Current.Run) // its report was sent after this process started
}

// departure returns the departure of a run, or nil if there is none.
func (t *Tracker) departure(run Run) *departure {
	i := slices.IndexFunc(t.departed, func(d departure) bool { return d.Run == run })
	if i < 0 {
		return nil
	}
	return &t.departed[i]
}

// addDeparture stores a run that drains or has left. The oldest one is dropped if there are too many.
func (t *Tracker) addDeparture(run Run, now time.Time) {
	if d := t.departure(run); d != nil {
		d.heard = now
		return
	}
	t.departed = append(t.departed, departure{Departure: Departure{Run: run}, heard: now})
	if len(t.departed) > maxDepartures {
		t.departed = slices.Delete(t.departed, 0, len(t.departed)-maxDepartures)
	}
}

// judgeByDepartures decides whether a heartbeat comes from a run that has not departed. The target
// accepts calls for any run with its ID, so another run with the ID of one that departed counts only
// when the heartbeat must have been sent after the departure.
func (t *Tracker) judgeByDepartures(report *Report, now time.Time) Verdict {
	if t.departure(report.Run) != nil {
		return Stale
	}
	for i := range t.departed {
		if d := &t.departed[i]; d.ID == report.ID && !d.Over && now.Sub(d.heard) < MaxReportDelay {
			return Unconfirmed
		}
	}
	return Accepted
}

// endDepartures records that a later run with the same ID as earlier ones serves.
func (t *Tracker) endDepartures(run Run) {
	for i := range t.departed {
		if d := &t.departed[i]; d.ID == run.ID && d.Run != run {
			d.Over = true
		}
	}
}
