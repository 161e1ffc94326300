package reserver

import (
	"container/list"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// MaxWait is the time for which a body waits for memory before its request is refused. It is longer
	// than SlowWindow, after which slower bodies make room.
	MaxWait = 3 * time.Second

	// SlowWindow is the period in which a body must advance by MinWindowBytes while others wait for memory.
	SlowWindow = time.Second

	// MinWindowBytes is a rate that a host with the narrowest link (10 Mbit/s) exceeds with 30 bodies at once.
	MinWindowBytes = 32 << 10

	// collectPause is the pause after a collection that was started because someone waits for memory, so
	// that collections take a bounded share of the processor.
	collectPause = 100 * time.Millisecond

	// blindInterval is the interval between two collections while someone waits although no memory was
	// discarded. A body may be dropped by its last holder without notice, such as a call that its client has
	// canceled.
	blindInterval = time.Second

	// pressureTime is the time for which a refused allocation counts as one that waits.
	pressureTime = time.Second

	// yieldInterval is the interval between two refusals of bodies that are partly received, the youngest of
	// them first, so that bodies which together hold all memory do not all end at the same time. maxYield is
	// the longest time by which a refusal is put off for that.
	yieldInterval = 100 * time.Millisecond
	maxYield      = time.Second
)

// Errors of an allocation.
var (
	ErrNoMemory = merry.Sentinel("no memory left for the body")
	ErrTooLarge = merry.Sentinel("body exceeds the memory for bodies")
)

// Meter records measurements.
type Meter interface {
	Add(name string, n int64)
	Gauge(name string, value float64)
}

// Reserver allocates memory within a budget. A nil Reserver has no limit.
//
// Bytes return to the budget when the collector has freed their memory. That holds whoever still refers
// to it, such as a call that was canceled while the target runs it. So that the memory is free in time,
// collections are started while someone waits.
type Reserver struct {
	meter Meter

	mu         sync.Mutex
	budget     Budget
	waiters    list.List // of *waiter, in the order of service
	discarded  int64     // bytes discarded since the last collection that was started here
	collecting bool
	collected  time.Time // beginning of the last collection that was started here
	refused    time.Time // time of the last refused allocation
	yielded    time.Time // time at which a body that was partly received was last refused

	waiting atomic.Int64 // number of waiters
}

// waiter is an allocation that waits.
type waiter struct {
	owner   *Owner
	size    int64
	granted chan struct{}
}

func (w *waiter) isGranted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// New returns a Reserver for a process with the given memory in bytes, or nil if that is 0.
func New(memory int64, meter Meter) *Reserver {
	if memory <= 0 {
		return nil
	}
	return &Reserver{budget: NewBudget(memory), meter: meter}
}

// SizeClass returns the class of a request whose body has the given size in bytes.
func SizeClass(size int) Class {
	if size <= maxSmall {
		return Small
	}
	return Large
}

// Allocate returns size bytes. It waits up to MaxWait for them.
func (r *Reserver) Allocate(o Owner, size int) ([]byte, error) {
	if r == nil || size < minCounted {
		return make([]byte, size), nil
	}
	r.mu.Lock()
	if !r.budget.Possible(&o, int64(size)) {
		r.mu.Unlock()
		return nil, ErrTooLarge
	}
	w := &waiter{owner: &o, size: int64(size), granted: make(chan struct{})}
	element := r.enqueue(w)
	r.grantLocked()
	if !w.isGranted() {
		r.collectLocked()
	}
	r.mu.Unlock()
	timer := time.NewTimer(o.maxWait(time.Now()))
	defer timer.Stop()
	for end := time.Now().Add(o.maxWait(time.Now()) + maxYield); ; {
		select {
		case <-w.granted:
			return r.allocate(&o, size), nil
		case <-o.Gone:
			return r.giveUp(w, element)
		case <-timer.C:
		}
		if !time.Now().Before(end) || !r.mayYield(element) {
			return r.giveUp(w, element)
		}
		timer.Reset(yieldInterval)
	}
}

// mayYield reports whether another body is to be refused before that of a waiter: a younger one that waits, or
// one that was refused a moment ago and whose memory may soon be free.
func (r *Reserver) mayYield(element *list.Element) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := element.Value.(*waiter)
	if !ok || !w.owner.continues() || w.owner.Class != Large {
		return false
	}
	if next := element.Next(); next != nil {
		if other, ok := next.Value.(*waiter); ok && other.owner.continues() {
			return true // waiters that continue a body are in the order of its age
		}
	}
	if time.Since(r.yielded) < yieldInterval {
		return true
	}
	r.yielded = time.Now()
	return false
}

// enqueue queues a waiter.
func (r *Reserver) enqueue(w *waiter) *list.Element {
	r.waiting.Add(1)
	for element := r.waiters.Front(); element != nil; element = element.Next() {
		if other, ok := element.Value.(*waiter); ok && w.owner.goesBefore(other.owner) {
			return r.waiters.InsertBefore(w, element)
		}
	}
	return r.waiters.PushBack(w)
}

// giveUp ends the wait for memory, which may have been granted meanwhile.
func (r *Reserver) giveUp(w *waiter, element *list.Element) ([]byte, error) {
	r.mu.Lock()
	if w.isGranted() {
		r.mu.Unlock()
		return r.allocate(w.owner, int(w.size)), nil
	}
	r.waiters.Remove(element)
	r.waiting.Add(-1)
	r.refused = time.Now()
	r.grantLocked() // others may have waited behind this one
	r.mu.Unlock()
	r.meter.Add("memory_refused", 1)
	return nil, ErrNoMemory
}

// Adopt counts data that was allocated elsewhere, and reports false if its bytes are not left.
func (r *Reserver) Adopt(o Owner, data []byte) bool {
	if r == nil || len(data) < minCounted {
		return true
	}
	if !r.tryTake(&o, len(data)) {
		return false
	}
	r.count(&o, data)
	return true
}

// TryAllocate returns size bytes, or nil if they are not left now.
func (r *Reserver) TryAllocate(o Owner, size int) []byte {
	if r == nil || size < minCounted {
		return make([]byte, size)
	}
	if !r.tryTake(&o, size) {
		return nil
	}
	return r.allocate(&o, size)
}

// tryTake takes bytes from the budget without waiting.
func (r *Reserver) tryTake(o *Owner, size int) bool {
	r.mu.Lock()
	taken := r.budget.Take(o, int64(size))
	if !taken {
		r.refused = time.Now()
		r.collectLocked()
	}
	r.mu.Unlock()
	if !taken {
		r.meter.Add("memory_refused", 1)
	}
	return taken
}

// allocate allocates bytes that were taken from the budget, to which they return once they are freed.
func (r *Reserver) allocate(o *Owner, size int) []byte {
	data := make([]byte, size)
	r.count(o, data)
	return data
}

func (r *Reserver) count(o *Owner, data []byte) {
	size := int64(len(data))
	r.meter.Add("memory_granted_bytes", size)
	owner := Owner{Client: o.Client, Class: o.Class}
	runtime.AddCleanup(&data[0], func(o Owner) { r.free(&o, size) }, owner)
}

func (r *Reserver) free(o *Owner, size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Return(o, size)
	r.grantLocked()
}

// grantLocked grants memory to the waiters in their order. One that does not fit holds up those of its class
// behind it, unless only the share of its client is used up.
func (r *Reserver) grantLocked() {
	var blocked [numClasses]bool
	for element := r.waiters.Front(); element != nil; {
		next := element.Next()
		w, ok := element.Value.(*waiter)
		if !ok {
			panic("reserver: the list holds something else than waiters")
		}
		switch {
		case blocked[w.owner.Class]:
		case r.budget.Take(w.owner, w.size):
			r.waiters.Remove(element)
			r.waiting.Add(-1)
			close(w.granted)
		default:
			blocked[w.owner.Class] = r.budget.fitsClient(w.owner, w.size)
		}
		element = next
	}
}

// Discard records that the holder of size bytes has dropped them, so that the collector can free them.
func (r *Reserver) Discard(size int) {
	if r == nil || size < minCounted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discarded += int64(size)
	if r.waiters.Len() > 0 {
		r.collectLocked()
	}
}

// collectLocked starts collections if they do not run already and someone waits or one may free memory.
func (r *Reserver) collectLocked() {
	if r.collecting || (r.waiters.Len() == 0 && !r.shouldCollect()) {
		return
	}
	r.collecting = true
	go r.collect()
}

// shouldCollect reports whether a collection is likely to free memory: some was discarded, or the last
// collection was long ago.
func (r *Reserver) shouldCollect() bool {
	return r.discarded > 0 || time.Since(r.collected) >= blindInterval
}

// collect runs collections while someone waits.
func (r *Reserver) collect() {
	for {
		r.mu.Lock()
		if !r.shouldCollect() {
			if r.waiters.Len() == 0 {
				r.collecting = false
				r.mu.Unlock()
				return
			}
			r.mu.Unlock()
			time.Sleep(collectPause)
			continue
		}
		r.discarded, r.collected = 0, time.Now()
		r.mu.Unlock()
		runtime.GC()
		r.meter.Add("memory_collections", 1)
		time.Sleep(collectPause)
		r.mu.Lock()
		if r.waiters.Len() == 0 {
			r.collecting = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
	}
}

// Pressed reports whether someone waits for memory or was refused a moment ago.
func (r *Reserver) Pressed() bool {
	if r == nil {
		return false
	}
	if r.waiting.Load() > 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.refused.IsZero() && time.Since(r.refused) < pressureTime
}

// Record updates the gauges.
func (r *Reserver) Record() {
	if r == nil {
		return
	}
	r.mu.Lock()
	used, total := r.budget.used, r.budget.total
	r.mu.Unlock()
	r.meter.Gauge("memory_used_bytes", float64(used))
	r.meter.Gauge("memory_budget_bytes", float64(total))
	r.meter.Gauge("memory_waiting", float64(r.waiting.Load()))
}
