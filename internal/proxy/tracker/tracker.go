// Package tracker keeps the newest valid report of the target on this host.
package tracker

import "time"

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

// Verdict is the result of checking a report.
type Verdict int

// Verdicts on a report.
const (
	Accepted Verdict = iota
	Stale            // superseded by the stored report
	Foreign          // not from this host's target
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

// maxClockSkew is the maximum tolerated difference between the clocks of a target and of its node.
const maxClockSkew = 3 * time.Second

// Tracker stores the newest report of the target at one address. Heartbeats may arrive late: one of an
// earlier run, or from before a drain, must not make the target available again.
type Tracker struct {
	Service string
	Address string
	Current Report // newest accepted report

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
	t.Current = report
	return Accepted
}

// observeLeave handles the end of a run of the target. The end of a run that sent no report so far is
// stored too, so that its late heartbeats are rejected.
func (t *Tracker) observeLeave(report Report, now time.Time) Verdict {
	if t.Current.State != Unreported && !t.sameRun(report) && report.Born <= t.Current.Born {
		return Stale
	}
	if t.sameRun(report) {
		t.Current.State = Gone
		return Accepted
	}
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
