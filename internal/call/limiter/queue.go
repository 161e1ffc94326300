package limiter

import (
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
	class    Class
	deadline time.Time
	granted  chan struct{}
	done     bool // granted or given up
}

// queue admits up to the number of slots and lets further calls wait, each class
// in its own line, as long as their wait is likely to stay within bounds.
type queue struct {
	rules rules
	slots int

	mu        sync.Mutex
	inUse     int
	bulkInUse int
	lines     [classCount][]*waiter
	waiting   int
	estimate  [classCount]time.Duration // mean time in a slot
}

func newQueue(slots int, r rules) *queue {
	q := &queue{rules: r, slots: max(slots, 1)}
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
func (q *queue) Acquire(class Class, deadline time.Time) Verdict {
	now := time.Now()
	q.mu.Lock()
	if q.free(class) && q.ahead(class) == 0 {
		q.take(class)
		q.mu.Unlock()
		return Verdict{Admitted: true}
	}
	expected := q.expected(class)
	limit := q.limit(class, deadline.Sub(now))
	if expected > limit || len(q.lines[q.line(class)]) >= q.rules.depth[class] {
		q.mu.Unlock()
		return Verdict{RetryAfter: expected}
	}
	w := &waiter{class: class, deadline: now.Add(limit), granted: make(chan struct{})}
	q.lines[q.line(class)] = append(q.lines[q.line(class)], w)
	q.waiting++
	q.mu.Unlock()
	return q.await(w, limit)
}

func (q *queue) await(w *waiter, limit time.Duration) Verdict {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.granted:
		return Verdict{Admitted: true}
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		return Verdict{Admitted: true}
	}
	w.done = true
	q.waiting--
	return Verdict{RetryAfter: q.expected(w.class)}
}

// free reports whether a slot is open to the class.
func (q *queue) free(class Class) bool {
	if q.inUse >= q.slots {
		return false
	}
	return class != ClassBulk || q.bulkInUse < q.rules.bulkMax
}

// ahead counts the waiting calls that go before a new one of the class.
func (q *queue) ahead(class Class) int {
	count := 0
	for i := range q.lines {
		if Class(i) > q.line(class) {
			break
		}
		for _, w := range q.lines[i] {
			if !w.done {
				count++
			}
		}
	}
	return count
}

// expected estimates the wait of a new call of the class.
func (q *queue) expected(class Class) time.Duration {
	mean := q.estimate[class]
	slots := q.slots
	if class == ClassBulk {
		slots = q.rules.bulkMax
	}
	return mean * time.Duration(q.ahead(class)+1) / time.Duration(slots)
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

func (q *queue) take(class Class) {
	q.inUse++
	if class == ClassBulk {
		q.bulkInUse++
	}
}

// Release ends a call and hands its slot to the first that waits.
func (q *queue) Release(class Class, held time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inUse--
	if class == ClassBulk {
		q.bulkInUse--
	}
	if q.inUse < 0 || q.bulkInUse < 0 {
		panic("slot released twice")
	}
	q.estimate[class] += time.Duration(estimateWeight * float64(held-q.estimate[class]))
	q.grant(time.Now())
}

func (q *queue) grant(now time.Time) {
	for i := range q.lines {
		line := q.lines[i]
		for len(line) > 0 && q.inUse < q.slots {
			w := line[0]
			if !w.done && !q.free(w.class) {
				break
			}
			line = line[1:]
			if w.done {
				continue
			}
			if w.deadline.Before(now) {
				continue // its timer is about to end its wait
			}
			w.done = true
			q.waiting--
			q.take(w.class)
			close(w.granted)
		}
		q.lines[i] = line
	}
}

// Load returns the slots in use and the calls waiting as a share of the slots.
func (q *queue) Load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return float64(q.inUse+q.waiting) / float64(q.slots)
}
