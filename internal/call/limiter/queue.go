package limiter

import (
	"slices"
	"sync"
	"time"
)

const (
	reserveShare    = 4                     // one slot in this many is kept from bulk work
	startEstimate   = 10 * time.Millisecond // of a call's time in its slot, before any was measured
	estimateWeight  = 0.05
	minimumWait     = 2 * time.Millisecond
	lookupWait      = 1.0 // longest wait of a lookup, in mean service times
	criticalWait    = 3.0
	fifoQueueFactor = 64 // waiting calls per slot under first-in first-out
	bulkQueueFactor = 4
	shortFactor     = 8
)

// rules are what distinguishes the queueing policies.
type rules struct {
	oneQueue bool // all classes wait in one line
	bulkMax  int  // slots that bulk work may hold
	wait     [classCount]float64
	depth    [classCount]int
}

func priorityRules(slots int) rules {
	reserve := (slots + reserveShare - 1) / reserveShare
	return rules{
		bulkMax: max(1, slots-reserve),
		wait:    [classCount]float64{criticalWait, lookupWait, 0},
		depth:   [classCount]int{shortFactor * slots, shortFactor * slots, bulkQueueFactor * slots},
	}
}

func fifoRules(slots int) rules {
	depth := fifoQueueFactor * slots
	return rules{
		oneQueue: true,
		bulkMax:  slots,
		depth:    [classCount]int{depth, depth, depth},
	}
}

type waiter struct {
	request Request
	until   time.Time
	settled chan bool // whether it was admitted
	done    bool      // settled or given up
}

// queue admits up to the number of slots and lets further calls wait, each class
// in its own line, as long as their wait is likely to stay within bounds. Within a
// line the caller with the fewest slots goes first.
type queue struct {
	rules rules
	slots int

	mu        sync.Mutex
	inUse     int
	bulkInUse int
	held      map[string]int // slots by caller
	lines     [classCount][]*waiter
	estimate  [classCount]time.Duration // mean time in a slot
}

func newQueue(slots int, r rules) *queue {
	q := &queue{rules: r, slots: max(slots, 1), held: make(map[string]int)}
	for i := range q.estimate {
		q.estimate[i] = startEstimate
	}
	return q
}

func (q *queue) line(class Class) Class {
	if q.rules.oneQueue {
		return ClassCritical
	}
	return class
}

// Acquire waits for a slot until the deadline or the bound of the class.
func (q *queue) Acquire(request Request) Verdict {
	now := time.Now()
	q.mu.Lock()
	if q.free(request.Class) && q.ahead(request) == 0 {
		q.take(request)
		q.mu.Unlock()
		return Verdict{Admitted: true}
	}
	expected := q.expected(request)
	limit := q.limit(request.Class, request.Deadline.Sub(now))
	if request.NoWait || expected > limit || !q.makeRoom(request) {
		q.mu.Unlock()
		return Verdict{RetryAfter: expected}
	}
	w := &waiter{request: request, until: now.Add(limit), settled: make(chan bool, 1)}
	line := q.line(request.Class)
	q.lines[line] = append(q.lines[line], w)
	q.mu.Unlock()
	return q.await(w, limit)
}

func (q *queue) await(w *waiter, limit time.Duration) Verdict {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case admitted := <-w.settled:
		return Verdict{Admitted: admitted, RetryAfter: limit}
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		return Verdict{Admitted: <-w.settled, RetryAfter: limit}
	}
	q.remove(w)
	return Verdict{RetryAfter: q.expected(w.request)}
}

// free reports whether a slot is open to the class.
func (q *queue) free(class Class) bool {
	if q.inUse >= q.slots {
		return false
	}
	return class != ClassBulk || q.bulkInUse < q.rules.bulkMax
}

// ahead counts the waiting calls that go before a new request. Of another caller
// in the same line no more go before it than this caller has waiting, and one.
func (q *queue) ahead(request Request) int {
	count := 0
	line := q.line(request.Class)
	for i := range line {
		count += len(q.lines[i])
	}
	if q.rules.oneQueue {
		return len(q.lines[line])
	}
	waiting := q.waiting(line)
	own := waiting[request.Client]
	for caller, n := range waiting {
		if caller != request.Client {
			n = min(n, own+1)
		}
		count += n
	}
	return count
}

func (q *queue) waiting(line Class) map[string]int {
	if len(q.lines[line]) == 0 {
		return nil
	}
	byCaller := make(map[string]int)
	for _, w := range q.lines[line] {
		byCaller[w.request.Client]++
	}
	return byCaller
}

// makeRoom reports whether the line takes one more. A full line gives up the last
// call of its heaviest caller for a caller that has fewer waiting.
func (q *queue) makeRoom(request Request) bool {
	line := q.line(request.Class)
	if len(q.lines[line]) < q.rules.depth[request.Class] {
		return true
	}
	if q.rules.oneQueue {
		return false
	}
	waiting := q.waiting(line)
	var last *waiter
	for _, w := range q.lines[line] {
		if last == nil || waiting[w.request.Client] >= waiting[last.request.Client] {
			last = w
		}
	}
	if waiting[last.request.Client] <= waiting[request.Client]+1 {
		return false
	}
	q.settle(last, false)
	return true
}

// expected estimates the wait of a new request.
func (q *queue) expected(request Request) time.Duration {
	slots := q.slots
	if request.Class == ClassBulk {
		slots = q.rules.bulkMax
	}
	return q.estimate[request.Class] * time.Duration(q.ahead(request)+1) / time.Duration(slots)
}

// limit returns the longest wait that the class allows within the time left.
func (q *queue) limit(class Class, left time.Duration) time.Duration {
	left -= q.estimate[class]
	bound := q.rules.wait[class]
	if bound == 0 {
		return left
	}
	return min(left, max(minimumWait, time.Duration(bound*float64(q.estimate[class]))))
}

func (q *queue) take(request Request) {
	q.inUse++
	q.held[request.Client]++
	if request.Class == ClassBulk {
		q.bulkInUse++
	}
	if q.inUse > q.slots {
		panic("more calls than slots")
	}
}

// Release ends a call and hands its slot to the next that waits.
func (q *queue) Release(request Request, held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inUse--
	q.held[request.Client]--
	if q.held[request.Client] == 0 {
		delete(q.held, request.Client)
	}
	if request.Class == ClassBulk {
		q.bulkInUse--
	}
	if q.inUse < 0 || q.bulkInUse < 0 {
		panic("slot released twice")
	}
	estimate := &q.estimate[request.Class]
	*estimate += time.Duration(estimateWeight * float64(held-*estimate))
	q.grant(time.Now())
}

// grant fills the open slots, critical calls first.
func (q *queue) grant(now time.Time) {
	for line := range q.lines {
		for q.inUse < q.slots {
			w := q.next(Class(line), now)
			if w == nil {
				break
			}
			q.take(w.request)
			q.settle(w, true)
		}
	}
}

// next returns the waiting call of a line whose caller has the fewest slots, the
// earliest among equals. A call whose time is up is left to its own timer.
func (q *queue) next(line Class, now time.Time) *waiter {
	var best *waiter
	for _, w := range q.lines[line] {
		if w.until.Before(now) || !q.free(w.request.Class) {
			continue
		}
		if q.rules.oneQueue {
			return w
		}
		if best == nil || q.held[w.request.Client] < q.held[best.request.Client] {
			best = w
		}
	}
	return best
}

func (q *queue) settle(w *waiter, admitted bool) {
	q.remove(w)
	w.settled <- admitted
}

func (q *queue) remove(w *waiter) {
	w.done = true
	line := q.line(w.request.Class)
	if i := slices.Index(q.lines[line], w); i >= 0 {
		q.lines[line] = slices.Delete(q.lines[line], i, i+1)
	}
}

// Load returns the slots in use and the calls waiting as a share of the slots.
func (q *queue) Load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := 0
	for _, line := range q.lines {
		waiting += len(line)
	}
	return float64(q.inUse+waiting) / float64(q.slots)
}
