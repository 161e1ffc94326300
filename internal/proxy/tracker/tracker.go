// Package tracker keeps the newest valid report of the target on this host, and the runs of the target
// that have left.
package tracker

import (
	"slices"
	"time"
)

// State is the availability of a target.
type State int

// States of a target.
const (
	Unreported State = iota // no report since this process started
	Serving                 // accepts work
	Draining                // accepts no new work
	Gone                    // has sent a leave message
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

// Report is a heartbeat or a leave message of a target. The state dump encodes it as JSON under the Go
// names of its fields.
type Report struct {
	ID       string // ID of the target's instance; a later run may reuse it
	Service  string
	Address  string
	Slots    int // number of calls that the target runs at the same time
	State    State
	Cold     time.Duration // time from the report on for which the target is still slow after its start
	Sequence uint64        // number that increases with each report of one run of the target
	Born     int64         // start time of the target in Unix milliseconds; 0 if unknown
}

// Run identifies one run of a target. A later run may have the same ID.
type Run struct {
	ID   string
	Born int64 // start time in Unix milliseconds; 0 if unknown
}

func (r *Report) run() Run { return Run{ID: r.ID, Born: r.Born} }

// Verdict is the result of checking a report.
type Verdict int

// Verdicts on a report.
const (
	Accepted    Verdict = iota
	Stale               // superseded by the stored report
	Foreign             // not from this host's target
	Unconfirmed         // may have been sent before a departure that an earlier process acknowledged
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "taken"
	case Stale:
		return "stale"
	case Unconfirmed:
		return "unconfirmed"
	}
	return "foreign"
}

// maxClockSkew is the maximum tolerated difference between the clocks of a target and of its node.
const maxClockSkew = 3 * time.Second

// MaxReportDelay is the longest time that a report may take from the target to its node. A partition
// delays reports by seconds.
const MaxReportDelay = 10 * time.Second

// maxDepartures is the number of departures that are kept.
const maxDepartures = 8

// Tracker stores the newest report of the target at one address. Heartbeats may arrive late: one of an
// earlier run, or from before a drain, must not make the target available again, also if the node has
// restarted since.
type Tracker struct {
	Service  string
	Address  string
	Current  Report // newest accepted report
	Departed []Run  // runs that drain or have left, oldest first

	// Loading is the time since which the departures that earlier processes of this node
	// acknowledged are being loaded. It is zero once they are in Departed.
	Loading time.Time

	leaveReceived int64 // Unix milliseconds at which the leave message of an unreported run arrived
}

// Observe checks a report and stores it if it supersedes the current one. now is the wall clock
// time.
func (t *Tracker) Observe(report Report, now time.Time) Verdict {
	if report.State == Gone {
		return t.observeLeave(report, now)
	}
	if report.Service != t.Service || report.Address != t.Address {
		return Foreign
	}
	if !t.supersedes(report) {
		return Stale
	}
	if report.State == Serving {
		if slices.Contains(t.Departed, report.run()) {
			return Stale
		}
		if t.mayPredateStart(now) {
			return Unconfirmed
		}
	} else {
		t.addDeparture(report.run())
	}
	t.Current = report
	return Accepted
}

// mayPredateStart reports whether a report that arrives now may have been sent before this process
// started, while it is unknown which departures earlier processes acknowledged.
func (t *Tracker) mayPredateStart(now time.Time) bool {
	return !t.Loading.IsZero() && now.Sub(t.Loading) < MaxReportDelay
}

// Restore adds the departures that earlier processes of this node acknowledged.
func (t *Tracker) Restore(departed []Run) {
	t.Loading = time.Time{}
	since := t.Departed
	t.Departed = slices.Clone(departed)
	for _, run := range since {
		t.addDeparture(run)
	}
	if t.Current.State == Serving && slices.Contains(t.Departed, t.Current.run()) {
		t.Current.State = Gone
	}
}

// addDeparture stores a run that drains or has left. The oldest one is dropped if there are too many.
func (t *Tracker) addDeparture(run Run) {
	if slices.Contains(t.Departed, run) {
		return
	}
	t.Departed = append(t.Departed, run)
	if len(t.Departed) > maxDepartures {
		t.Departed = slices.Delete(t.Departed, 0, len(t.Departed)-maxDepartures)
	}
}

// observeLeave handles the end of a run of the target. The end of a run that sent no report so far is
// stored too, so that its late heartbeats are rejected.
func (t *Tracker) observeLeave(report Report, now time.Time) Verdict {
	if t.Current.State != Unreported && !t.sameRun(report) && report.Born <= t.Current.Born {
		return Stale
	}
	if t.sameRun(report) {
		t.Current.State = Gone
		t.addDeparture(t.Current.run())
		return Accepted
	}
	t.addDeparture(report.run())
	t.Current = report
	t.leaveReceived = now.UnixMilli()
	return Accepted
}

// sameRun reports whether a report comes from the same run of the target as the current one. A report
// without a start time matches by ID alone.
func (t *Tracker) sameRun(report Report) bool {
	return report.ID == t.Current.ID && (report.Born == 0 || report.Born == t.Current.Born)
}

// supersedes reports whether a heartbeat is to replace the current report.
func (t *Tracker) supersedes(report Report) bool {
	current := &t.Current
	if current.State == Unreported {
		return true
	}
	if t.sameRun(report) {
		endsDrain := current.State == Draining && report.State == Serving
		return current.State != Gone && report.Sequence > current.Sequence && !endsDrain
	}
	if current.State == Gone && current.Born == 0 && report.ID == current.ID {
		// The leave message gave no start time, so it is taken to end a run that started well
		// before the message arrived.
		return report.Born > t.leaveReceived-maxClockSkew.Milliseconds()
	}
	return report.Born > current.Born
}
