// Package exposer decides which targets may get the requests of a service while the service moves to another
// version. It keeps the rollouts that a node knows of and the versions that it has seen, and performs no I/O.
package exposer

import "time"

// Phase is the progress of a rollout. Of two phases of the same rollout the larger one is in effect, so that a
// phase never goes back. RolledBack ends a rollout that is promoting; Completed is only reached after it has
// been written to the store, when the targets of other versions may have stopped already.
type Phase uint8

// Phases of a rollout.
const (
	Running    Phase = iota + 1 // the new version gets a limited share of the requests
	Promoting                   // all requests go to the new version; other targets finish theirs
	RolledBack                  // the new version gets no requests
	Completed                   // targets of other versions stop
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Running:
		return "running"
	case Promoting:
		return "promoting"
	case RolledBack:
		return "rolled back"
	case Completed:
		return "completed"
	}
	return "none"
}

// Ended reports whether the outcome of the rollout is decided.
func (p Phase) Ended() bool { return p == RolledBack || p == Completed }

// Order is the operator's order to move a service to a version.
type Order struct {
	Number   uint64 // a later order of the service has a larger number
	Service  string
	Version  string
	Duration time.Duration // time from the order until it must be completed or rolled back
}

// Rollout is what nodes tell one another of the execution of an order.
type Rollout struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Version   string
	Order     uint64        // number of the order
	Phase     Phase         // phase in effect
	Written   Phase         // newest phase that is known to be in the store; 0 if none
	Duration  time.Duration // that of the order
	Remaining time.Duration // time until the deadline; negative after it
}

const (
	// announceRetention is the time for which an ended rollout is still announced. A node that was partitioned
	// or restarted meanwhile receives the outcome from its peers.
	announceRetention = time.Minute

	// rolledBackRetention is the time for which a version that was rolled back gets no requests. Its targets
	// drain a few seconds after the outcome.
	rolledBackRetention = 10 * time.Minute

	// lateRetention is the remaining retention of a rollout that had ended when this node learned of it from
	// the store, which does not tell when it ended.
	lateRetention = 10 * time.Second

	// maxAnnounced is the maximum number of rollouts in an announced state, which each answer carries.
	maxAnnounced = 16

	// maxRollouts is the maximum number of rollouts that a node keeps and accepts from its peers.
	maxRollouts = 4096
)

// record is a rollout with the times at which it ends on the clock of this node.
type record struct {
	Rollout

	deadline time.Time
	ended    time.Time // time at which this node learned that the rollout has ended; zero before
	late     bool      // the rollout had ended when this node learned of it from the store

	// settled is true if the target version served the service before the order was known.
	settled bool

	// banned is the version that the preceding order of the service has rolled back, or "". Its targets may still
	// drain.
	banned string
}

// at returns the rollout with the time that remains.
func (r *record) at(now time.Time) Rollout {
	rollout := r.Rollout
	rollout.Remaining = r.deadline.Sub(now)
	return rollout
}

// setPhase enters a later phase and reports whether anything has changed.
func (r *record) setPhase(phase Phase, now time.Time) bool {
	if phase <= r.Phase {
		return false
	}
	r.Phase = phase
	if phase.Ended() {
		r.ended = now
	}
	return true
}

// announced reports whether the rollout is still announced to other nodes.
func (r *record) announced(now time.Time) bool {
	limit := announceRetention
	if r.late {
		limit = lateRetention
	}
	return !r.Phase.Ended() || now.Sub(r.ended) < limit
}

// expired reports whether the rollout has no effect any more.
func (r *record) expired(now time.Time) bool {
	if r.Phase == RolledBack {
		return now.Sub(r.ended) >= rolledBackRetention
	}
	return !r.announced(now)
}
