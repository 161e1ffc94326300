// Package tracker keeps the newest valid report of the target on this host, and the departures of the
// target's runs.
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

// Run identifies one run of a target.
type Run struct {
	ID   string // ID of the target's instance; a later run may reuse it
	Born int64  // start time in Unix milliseconds by the clock of the host; 0 if unknown
}

// Report is a heartbeat or a leave message of a target. The state dump encodes it as JSON under the Go
// names of its fields.
type Report struct {
	Run

	Service  string
	Address  string
	Slots    int // number of calls that the target runs at the same time
	State    State
	Cold     time.Duration // time from the report on for which the target is still slow after its start
	Sequence uint64        // number that increases with each report of one run of the target
	Version  string        // version of the target's software; "" if it reports none
}

// Verdict is the result of checking a report.
type Verdict int

// Verdicts on a report.
const (
	Accepted    Verdict = iota
	Stale               // superseded by the stored report
	Foreign             // not from this host's target
	Unconfirmed         // may have been sent before a departure, or by a run that has ended
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

// Tracker stores the newest report of the target at one address. Reports may arrive late: one of an
// earlier run, or from before a departure, must not make the target available again, also if the node
// has restarted since.
//
// The start times of two runs do not decide whether a departure still holds, since the time of day may have
// been set between two starts of the target. A heartbeat of another run with the same ID counts only
// if it must have been sent after the departure. With another ID, the target rejects calls if the wrong run
// is current.
type Tracker struct {
	Service string
	Address string
	Current Report // newest accepted report

	// Loading is the time since which the departures that earlier processes of this node
	// acknowledged are being loaded. It is zero once they are restored.
	Loading time.Time

	heard    time.Time   // arrival of the last report of the current run
	departed []departure // oldest first
}

// Observe checks a report that arrives now and applies it. An accepted departure is in effect, so it
// may be acknowledged once it is stored.
func (t *Tracker) Observe(report Report, now time.Time) Verdict {
	if report.State != Gone && (report.Service != t.Service || report.Address != t.Address) {
		return Foreign
	}
	report.Born = t.knownBorn(report.Run)
	if report.State != Serving {
		return t.observeDeparture(report, now)
	}
	verdict := t.judgeHeartbeat(&report, now)
	if verdict == Accepted {
		t.endDepartures(report.Run)
		t.Current = report
		t.heard = now
	}
	return verdict
}

// knownBorn returns the start time of a run. A run without one is the known run with the same ID.
func (t *Tracker) knownBorn(run Run) int64 {
	if run.Born != 0 {
		return run.Born
	}
	if run.ID == t.Current.ID {
		return t.Current.Born
	}
	for i := range t.departed {
		if d := &t.departed[i]; d.ID == run.ID && !d.Over {
			return d.Born
		}
	}
	return 0
}

// judgeHeartbeat decides whether a heartbeat of a serving target is to replace the current report.
func (t *Tracker) judgeHeartbeat(report *Report, now time.Time) Verdict {
	if !t.Loading.IsZero() && now.Sub(t.Loading) < MaxReportDelay {
		return Unconfirmed // may have been sent before this process started
	}
	if verdict := t.judgeByDepartures(report, now); verdict != Accepted {
		return verdict
	}
	current := &t.Current
	switch {
	case current.State == Unreported:
		return Accepted
	case report.Run == current.Run:
		if report.Sequence <= current.Sequence {
			return Stale
		}
		return Accepted
	case report.ID == current.ID:
		return Accepted // calls reach either run, and both serve
	case report.Born > current.Born, now.Sub(t.heard) >= MaxReportDelay:
		// The target rejects calls if the other run is the newer one.
		return Accepted
	}
	return Unconfirmed
}

// observeDeparture applies a drain or a leave message. It changes the current report only if calls may
// reach the departing run: the target rejects those that are for an instance with another ID.
func (t *Tracker) observeDeparture(report Report, now time.Time) Verdict {
	if d := t.departure(report.Run); d != nil && d.Over {
		return Stale
	}
	t.addDeparture(report.Run, now)
	switch {
	case report.Run == t.Current.Run && report.State == Gone:
		t.Current.State = Gone
	case report.ID == t.Current.ID, t.Current.State == Unreported:
		t.Current = report
	default:
		return Accepted
	}
	t.heard = now
	return Accepted
}

// Misdirected records that the target has rejected a call because it is not the current run.
func (t *Tracker) Misdirected(run Run) {
	if t.Current.Run == run {
		t.Current = Report{}
	}
}
