package releaser

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/proxy/evaluator"
	"clementinerock/internal/proxy/exposer"
)

// decide makes the decisions that are due for one rollout.
func (r *Releaser) decide(known *exposer.Rollout, state *rollout, targets []Target, now time.Time) {
	if known.Phase != state.logged {
		r.logPhase(known, state)
	}
	if known.Phase == exposer.Promoting && state.promotingAt.IsZero() {
		state.promotingAt = now
	}
	_, reads := r.Mesh.ReaderRank()
	if !known.Phase.Ended() {
		r.evaluate(known, state, targets, reads, now)
	}
	wanted := exposer.Phase(0)
	if reads {
		wanted = state.wantedPhase(known, targets, now)
	}
	if wanted <= known.Written {
		wanted = 0
	}
	if wanted != state.wanted {
		state.wanted, state.wantedAt = wanted, now
	}
	if wanted != 0 || state.forced {
		r.wakeWriter()
	}
}

// wantedPhase returns the phase that is to be in the store.
func (s *rollout) wantedPhase(known *exposer.Rollout, targets []Target, now time.Time) exposer.Phase {
	switch {
	case known.Phase == exposer.Running && s.decision.Verdict == evaluator.Good:
		return exposer.Promoting
	case known.Phase == exposer.Running && s.decision.Verdict == evaluator.Bad:
		return exposer.RolledBack
	case known.Phase == exposer.Promoting && s.drained(known, targets, now):
		return exposer.Completed
	}
	return known.Phase
}

// evaluate compares the versions and rolls the new one back at once if it has proved bad. A verdict that had to be
// given because the time is over is only followed once it is in the store.
func (r *Releaser) evaluate(known *exposer.Rollout, state *rollout, targets []Target, reads bool, now time.Time) {
	if state.seen == nil {
		state.seen = make(map[string]struct{})
	}
	for i := range targets {
		t := &targets[i]
		state.seen[t.Node] = struct{}{}
		state.evaluator.Observe(t.Node, t.Version == known.Version, t.Serving, t.Counts, now)
	}
	kept := reserve(known.Duration, r.Mesh.LongestTimeout(known.Service))
	partial := 2*len(targets) < len(state.seen)
	if partial {
		kept /= 2 // a reader that sees more decides before
	}
	state.decision = state.evaluator.Decide(evaluator.Timing{
		Elapsed:   known.Duration - known.Remaining,
		Remaining: known.Remaining,
		Reserve:   kept,
		Partial:   partial,
		Promoting: known.Phase == exposer.Promoting,
		Own:       !reads,
	})
	if state.decision.Verdict != evaluator.Bad || state.decision.AtEnd {
		return
	}
	if r.Registry.SetPhase(known.Service, known.Order, exposer.RolledBack, now) {
		known.Phase = exposer.RolledBack
		r.logPhase(known, state)
		r.Mesh.Announce()
	}
}

// reserve returns the time before the deadline that is kept for promoting.
func reserve(duration, longestTimeout time.Duration) time.Duration {
	low, high := minReserve*float64(duration), maxReserve*float64(duration)
	return time.Duration(min(max(float64(longestTimeout+reserveMargin), low), high))
}

// drained reports whether the old targets may stop: for some time their nodes refuse further calls, see barReason,
// and run none any more; or the deadline is close.
func (s *rollout) drained(known *exposer.Rollout, targets []Target, now time.Time) bool {
	idle, replaced := true, false
	for i := range targets {
		t := &targets[i]
		if t.Version == known.Version {
			replaced = replaced || t.Serving
			continue
		}
		idle = idle && t.Busy == 0 && !t.Serving
	}
	switch {
	case !idle:
		s.idleAt = time.Time{}
	case s.idleAt.IsZero():
		s.idleAt = now
	}
	if !replaced || now.Sub(s.promotingAt) < promotingMin {
		return false
	}
	return idle && now.Sub(s.idleAt) >= idleMin || known.Remaining <= finalMargin
}

// logPhase logs and counts a new phase with the evidence of this node.
func (r *Releaser) logPhase(known *exposer.Rollout, state *rollout) {
	state.logged = known.Phase
	switch known.Phase {
	case exposer.RolledBack:
		r.Meter.Add("rollout_rolled_back", 1)
	case exposer.Completed:
		r.Meter.Add("rollout_completed", 1)
	case exposer.Running, exposer.Promoting:
	}
	r.Log.Info("rollout: "+known.Phase.String(),
		zap.String("service", known.Service),
		zap.String("version", known.Version),
		zap.Uint64("order", known.Order),
		zap.Duration("remaining", known.Remaining),
		zap.String("evidence", state.decision.String()))
}

// Status describes a rollout for the state dump.
type Status struct {
	Service   string  `json:"service"`
	Version   string  `json:"version"`
	Order     uint64  `json:"order"`
	Phase     string  `json:"phase"`
	Written   string  `json:"written"`   // newest phase that is known to be in the store
	Remaining float64 `json:"remaining"` // seconds until the deadline
	Evidence  string  `json:"evidence"`
}

// Statuses describes all rollouts that this node knows of.
func (r *Releaser) Statuses() []Status {
	rollouts := r.Registry.Rollouts(r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := make([]Status, 0, len(rollouts))
	for i := range rollouts {
		known := &rollouts[i]
		status := Status{
			Service: known.Service, Version: known.Version, Order: known.Order, Phase: known.Phase.String(),
			Written: known.Written.String(), Remaining: known.Remaining.Seconds(),
		}
		if state := r.rollouts[known.Service]; state != nil {
			status.Evidence = state.decision.String()
		}
		statuses = append(statuses, status)
	}
	return statuses
}
