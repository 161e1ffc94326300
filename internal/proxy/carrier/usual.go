package carrier

import (
	"time"

	"clementinerock/internal/proxy/admitter"
	"clementinerock/internal/proxy/balancer"
)

// Usual returns the load of the peer's target that the states received usually show, for calls of a
// priority.
func (l *Link) Usual(priority int) balancer.Usual {
	usual := l.usual.Load()
	if usual == nil {
		return balancer.Usual{}
	}
	return usual[min(max(priority, 0), len(usual)-1)]
}

// usualLoad holds the usual load of a target for each reported priority.
type usualLoad [admitter.ReportedPriorities]balancer.Usual

// after returns the usual load after a further state. The receiver may be nil.
func (u *usualLoad) after(state *State) *usualLoad {
	var next usualLoad
	if u != nil {
		next = *u
	}
	for priority := range next {
		wait := 0
		if len(state.Waits) > 0 {
			wait = state.Waits[min(priority, len(state.Waits)-1)]
		}
		next[priority].Add(state.InUse+state.Waiting, time.Duration(wait)*time.Millisecond)
	}
	return &next
}
