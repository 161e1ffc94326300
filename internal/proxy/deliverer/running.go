package deliverer

import (
	"time"

	"clementinerock/internal/proxy/carrier"
)

// ParentPriority returns the priority of the running request whose ID is a proper prefix of the
// given ID, and whether there is one. Targets derive the IDs of their nested calls by appending to
// the ID of the request.
func (d *Deliverer) ParentPriority(derived []byte) (priority int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, request := range d.running {
		if len(id) < len(derived) && id == string(derived[:len(id)]) {
			return request.priority, true
		}
	}
	return 0, false
}

// runningRequest is a request that the target runs.
type runningRequest struct {
	runs     int // number of attempts that run at the same time
	priority int
}

// addRunning records that the target runs an attempt of a request.
func (d *Deliverer) addRunning(call *carrier.Call) {
	if d.running == nil {
		d.running = make(map[string]runningRequest)
	}
	id := string(call.ID)
	d.running[id] = runningRequest{runs: d.running[id].runs + 1, priority: call.Priority}
}

// removeRunning records that an attempt of a request has ended.
func (d *Deliverer) removeRunning(call *carrier.Call) {
	id := string(call.ID)
	request := d.running[id]
	request.runs--
	if request.runs <= 0 {
		delete(d.running, id)
		d.ended.add(id, time.Now())
		return
	}
	d.running[id] = request
}

// Derived reports whether the given ID was derived from that of a request that the target runs or ran
// until recently. A target may go on with a request whose call was canceled or has timed out.
func (d *Deliverer) Derived(derived []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for end := len(derived) - 1; end > 0; end-- {
		id := string(derived[:end])
		if _, ok := d.running[id]; ok || d.ended.contains(id) {
			return true
		}
	}
	return false
}

// endedRequests holds the IDs of requests that ended recently: those of the current period of
// endedRetention and of the one before it. The zero value is empty.
type endedRequests struct {
	began            time.Time // start of the current period
	current, earlier map[string]struct{}
}

func (e *endedRequests) add(id string, now time.Time) {
	if e.current == nil || now.Sub(e.began) > endedRetention {
		e.began = now
		e.current, e.earlier = make(map[string]struct{}), e.current
	}
	e.current[id] = struct{}{}
}

func (e *endedRequests) contains(id string) bool {
	if _, ok := e.current[id]; ok {
		return true
	}
	_, ok := e.earlier[id]
	return ok
}
