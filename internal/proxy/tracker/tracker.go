// Package tracker orders what the target on this host says of itself.
package tracker

import "time"

// State says whether a target takes work.
type State int

// States of a target. The zero value is one that has not been heard of since this
// process started.
const (
	Unreported State = iota
	Serving
	Draining
	Gone
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return "unheard"
}

// Report is one statement of a target about itself.
type Report struct {
	ID       string
	Service  string
	Address  string
	Slots    int
	State    State
	Cold     time.Duration // for which the target remains slow
	Sequence uint64        // rises with each report of one start
	Born     int64         // Unix milliseconds of the target's start; 0 if unknown
}

// Verdict says what became of a report.
type Verdict int

// Verdicts on a report.
const (
	Accepted Verdict = iota
	Stale            // overtaken by a later report
	Foreign          // not about this host's target
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "taken"
	case Stale:
		return "stale"
	}
	return "foreign"
}

// clockSlack is by how much the times of day of a target and its node may differ.
const clockSlack = 3 * time.Second

// Tracker holds the newest report of the target at one address. It answers the pattern in
// which heartbeats are delayed: one of an earlier start, or from before a drain, must not
// bring a target back.
type Tracker struct {
	Service string
	Address string
	Current Report

	left int64 // Unix milliseconds at which a leave came whose start is unknown
}

// Observe takes in a report. now is the time of day.
func (t *Tracker) Observe(report Report, now time.Time) Verdict {
	if report.State == Gone {
		return t.observeLeave(report, now)
	}
	if report.Service != t.Service || report.Address != t.Address {
		return Foreign
	}
	if !t.newer(report) {
		return Stale
	}
	t.Current = report
	return Accepted
}

// observeLeave takes in that a start of the target ends. A start of which nothing was
// heard is remembered too, so that its delayed heartbeats count for nothing.
func (t *Tracker) observeLeave(report Report, now time.Time) Verdict {
	if t.Current.State != Unreported && !t.sameStart(report) && report.Born <= t.Current.Born {
		return Stale
	}
	if t.sameStart(report) {
		t.Current.State = Gone
		return Accepted
	}
	t.Current = report
	t.left = now.UnixMilli()
	return Accepted
}

func (t *Tracker) sameStart(report Report) bool {
	return report.ID == t.Current.ID && (report.Born == 0 || report.Born == t.Current.Born)
}

func (t *Tracker) newer(report Report) bool {
	current := &t.Current
	if current.State == Unreported {
		return true
	}
	if t.sameStart(report) {
		returns := current.State == Draining && report.State == Serving
		return current.State != Gone && report.Sequence > current.Sequence && !returns
	}
	if current.State == Gone && current.Born == 0 && report.ID == current.ID {
		// The leave did not say which start of this target ended: one from well before it.
		return report.Born > t.left-clockSlack.Milliseconds()
	}
	return report.Born > current.Born
}
