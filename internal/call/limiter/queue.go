package limiter

import (
	"slices"
	"sync"
	"time"
)

// A wait factor bounds the time in the queue as a multiple of the mean service time, a queue
// factor bounds the number of waiting calls per slot.
const (
	reserveDivisor     = 4                     // one slot in this many is unavailable to bulk calls
	initialServiceTime = 10 * time.Millisecond // estimate before the first measurement
	serviceTimeWeight  = 0.05                  // weight of a new sample in the moving average
	minWait            = 2 * time.Millisecond  // lower bound of the max wait, whatever the service time
	lookupWaitFactor   = 1.0
	criticalWaitFactor = 3.0
	fifoQueueFactor    = 64 // for the one queue of the FIFO policy
	bulkQueueFactor    = 4
	shortQueueFactor   = 8
)

// rules are the parameters that differ between the queueing policies.
type rules struct {
	sharedQueue  bool                // all classes share one queue
	maxBulkSlots int                 // slots that bulk calls may occupy at once
	waitFactor   [classCount]float64 // 0 means bounded by the deadline only
	maxDepth     [classCount]int     // waiting calls per queue
}

func priorityRules(slots int) rules {
	reserve := (slots + reserveDivisor - 1) / reserveDivisor
	return rules{
		maxBulkSlots: max(1, slots-reserve),
		waitFactor:   [classCount]float64{criticalWaitFactor, lookupWaitFactor, 0},
		maxDepth:     [classCount]int{shortQueueFactor * slots, shortQueueFactor * slots, bulkQueueFactor * slots},
	}
}

func fifoRules(slots int) rules {
	maxDepth := fifoQueueFactor * slots
	return rules{
		sharedQueue:  true,
		maxBulkSlots: slots,
		maxDepth:     [classCount]int{maxDepth, maxDepth, maxDepth},
	}
}

type waiter struct {
	request Request
	waitEnd time.Time // not admitted after this
	result  chan bool // whether it was admitted
	done    bool      // admitted, displaced or timed out
}

// queuePolicy admits as many calls as there are slots and queues further calls, by class, if
// their expected wait is within the max wait of the class. Within a queue of one class the client
// that occupies the fewest slots goes first; a queue shared by all classes is first in, first out.
type queuePolicy struct {
	rules rules
	slots int

	mu          sync.Mutex
	inUse       int
	bulkInUse   int
	held        map[string]int // slots in use by client
	queues      [classCount][]*waiter
	serviceTime [classCount]time.Duration // moving average of the time in a slot
}

func newQueuePolicy(slots int, r rules) *queuePolicy {
	q := &queuePolicy{rules: r, slots: max(slots, 1), held: make(map[string]int)}
	for i := range q.serviceTime {
		q.serviceTime[i] = initialServiceTime
	}
	return q
}

// queueIndex returns the index of the queue in which calls of the class wait.
func (q *queuePolicy) queueIndex(class Class) Class {
	if q.rules.sharedQueue {
		return ClassCritical
	}
	return class
}

// Acquire takes a slot. If none is free it waits for one, at most for the max wait of the class,
// and refuses at once a request whose expected wait is longer or that has NoWait set.
func (q *queuePolicy) Acquire(request Request) Verdict {
	now := time.Now()
	q.mu.Lock()
	if q.hasFreeSlot(request.Class) && q.queuedAhead(request) == 0 {
		q.takeSlot(request)
		q.mu.Unlock()
		return Verdict{Admitted: true}
	}
	expectedWait := q.expectedWait(request)
	maxWait := q.maxWait(request.Class, request.Deadline.Sub(now))
	if request.NoWait || expectedWait > maxWait || !q.makeRoom(request) {
		q.mu.Unlock()
		return Verdict{RetryAfter: expectedWait}
	}
	w := &waiter{request: request, waitEnd: now.Add(maxWait), result: make(chan bool, 1)}
	queueIndex := q.queueIndex(request.Class)
	q.queues[queueIndex] = append(q.queues[queueIndex], w)
	q.mu.Unlock()
	return q.await(w, maxWait)
}

func (q *queuePolicy) await(w *waiter, maxWait time.Duration) Verdict {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case admitted := <-w.result:
		return Verdict{Admitted: admitted, RetryAfter: maxWait}
	case <-timer.C:
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		return Verdict{Admitted: <-w.result, RetryAfter: maxWait}
	}
	q.remove(w)
	return Verdict{RetryAfter: q.expectedWait(w.request)}
}

// hasFreeSlot reports whether a call of the class may take a slot now.
func (q *queuePolicy) hasFreeSlot(class Class) bool {
	if q.inUse >= q.slots {
		return false
	}
	return class != ClassBulk || q.bulkInUse < q.rules.maxBulkSlots
}

// queuedAhead estimates how many waiting calls are admitted before a new request: all calls in
// queues of higher priority, the client's own calls, and of each other client in the same queue
// at most one call more than the client's own, since admission alternates between clients. In a
// shared queue it is the number of all waiting calls.
func (q *queuePolicy) queuedAhead(request Request) int {
	count := 0
	queueIndex := q.queueIndex(request.Class)
	for i := range queueIndex {
		count += len(q.queues[i])
	}
	if q.rules.sharedQueue {
		return len(q.queues[queueIndex])
	}
	waitingByClient := q.waitingByClient(queueIndex)
	own := waitingByClient[request.Client]
	for client, n := range waitingByClient {
		if client != request.Client {
			n = min(n, own+1)
		}
		count += n
	}
	return count
}

// waitingByClient returns the number of waiting calls in a queue by client.
func (q *queuePolicy) waitingByClient(queueIndex Class) map[string]int {
	if len(q.queues[queueIndex]) == 0 {
		return nil
	}
	counts := make(map[string]int)
	for _, w := range q.queues[queueIndex] {
		counts[w.request.Client]++
	}
	return counts
}

// makeRoom reports whether the queue accepts the request. If the queue is full, it displaces the
// last call of the client with the most waiting calls, provided that this client still has at
// least as many waiting afterwards as the request's client.
func (q *queuePolicy) makeRoom(request Request) bool {
	queueIndex := q.queueIndex(request.Class)
	if len(q.queues[queueIndex]) < q.rules.maxDepth[request.Class] {
		return true
	}
	if q.rules.sharedQueue {
		return false
	}
	waitingByClient := q.waitingByClient(queueIndex)
	var last *waiter
	for _, w := range q.queues[queueIndex] {
		if last == nil || waitingByClient[w.request.Client] >= waitingByClient[last.request.Client] {
			last = w
		}
	}
	if waitingByClient[last.request.Client] <= waitingByClient[request.Client]+1 {
		return false
	}
	q.resolve(last, false)
	return true
}

// expectedWait estimates the time in the queue of a new request.
func (q *queuePolicy) expectedWait(request Request) time.Duration {
	slots := q.slots
	if request.Class == ClassBulk {
		slots = q.rules.maxBulkSlots
	}
	return q.serviceTime[request.Class] * time.Duration(q.queuedAhead(request)+1) / time.Duration(slots)
}

// maxWait returns the longest time in the queue that the class allows and that leaves the mean
// service time before the deadline.
func (q *queuePolicy) maxWait(class Class, remaining time.Duration) time.Duration {
	remaining -= q.serviceTime[class]
	bound := q.rules.waitFactor[class]
	if bound == 0 {
		return remaining
	}
	return min(remaining, max(minWait, time.Duration(bound*float64(q.serviceTime[class]))))
}

func (q *queuePolicy) takeSlot(request Request) {
	q.inUse++
	q.held[request.Client]++
	if request.Class == ClassBulk {
		q.bulkInUse++
	}
	if q.inUse > q.slots {
		panic("limiter: more calls admitted than slots")
	}
}

// Release frees the slot of a call and admits the next waiting call.
func (q *queuePolicy) Release(request Request, held time.Duration) {
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
		panic("limiter: slot released twice")
	}
	serviceTime := &q.serviceTime[request.Class]
	*serviceTime += time.Duration(serviceTimeWeight * float64(held-*serviceTime))
	q.admitWaiting(time.Now())
}

// admitWaiting admits waiting calls to the free slots, critical calls first.
func (q *queuePolicy) admitWaiting(now time.Time) {
	for queueIndex := range q.queues {
		for q.inUse < q.slots {
			w := q.nextWaiter(Class(queueIndex), now)
			if w == nil {
				break
			}
			q.takeSlot(w.request)
			q.resolve(w, true)
		}
	}
}

// nextWaiter returns the waiting call whose client occupies the fewest slots, the earliest one if
// several do. It skips a call whose max wait has passed; the timer in await removes that call.
func (q *queuePolicy) nextWaiter(queueIndex Class, now time.Time) *waiter {
	var best *waiter
	for _, w := range q.queues[queueIndex] {
		if w.waitEnd.Before(now) || !q.hasFreeSlot(w.request.Class) {
			continue
		}
		if q.rules.sharedQueue {
			return w
		}
		if best == nil || q.held[w.request.Client] < q.held[best.request.Client] {
			best = w
		}
	}
	return best
}

// resolve removes a call from its queue and sends the result to its Acquire.
func (q *queuePolicy) resolve(w *waiter, admitted bool) {
	q.remove(w)
	w.result <- admitted
}

func (q *queuePolicy) remove(w *waiter) {
	w.done = true
	queueIndex := q.queueIndex(w.request.Class)
	if i := slices.Index(q.queues[queueIndex], w); i >= 0 {
		q.queues[queueIndex] = slices.Delete(q.queues[queueIndex], i, i+1)
	}
}

// Load returns the ratio of slots in use and waiting calls to the number of slots.
func (q *queuePolicy) Load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := 0
	for _, queue := range q.queues {
		waiting += len(queue)
	}
	return float64(q.inUse+waiting) / float64(q.slots)
}
