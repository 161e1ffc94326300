package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReserveIsKeptFromBulk(t *testing.T) {
	q := newQueue(6, priorityRules(6))
	for range 4 {
		assert.Assert(t, q.Acquire(request(ClassBulk, time.Minute)).Admitted)
	}
	assert.Assert(t, !q.Acquire(request(ClassBulk, time.Millisecond)).Admitted)
	assert.Assert(t, q.Acquire(request(ClassLookup, time.Minute)).Admitted)
	assert.Assert(t, q.Acquire(request(ClassCritical, time.Minute)).Admitted)
}

func TestExpiredCallIsRefusedAtOnce(t *testing.T) {
	for _, name := range []string{PolicyPriority, PolicyFIFO} {
		q := New(name, 1)
		assert.Assert(t, q.Acquire(request(ClassLookup, time.Second)).Admitted)
		assert.Assert(t, !q.Acquire(request(ClassLookup, 0)).Admitted)
	}
}

func TestSlotReleasedTwiceStops(t *testing.T) {
	q := New(PolicyPriority, 1)
	defer func() { assert.Assert(t, recover() != nil) }()
	q.Release(request(ClassLookup, 0), 0)
}

func request(class Class, left time.Duration) Request {
	return Request{Class: class, Client: "caller", Deadline: time.Now().Add(left)}
}

// TestOneCallerDoesNotStarveAnother fills the queue for one caller and requires that
// another one gets the next slot.
func TestOneCallerDoesNotStarveAnother(t *testing.T) {
	const slots = 2
	q := newQueue(slots, priorityRules(slots))
	heavy := Request{Class: ClassCritical, Client: "heavy", Deadline: time.Now().Add(time.Minute)}
	light := Request{Class: ClassCritical, Client: "light", Deadline: time.Now().Add(time.Minute)}
	q.estimate[ClassCritical] = time.Second
	for range slots {
		assert.Assert(t, q.Acquire(heavy).Admitted)
	}
	served := make(chan string, 8)
	wait := func(r Request) {
		if q.Acquire(r).Admitted {
			served <- r.Client
		}
	}
	for range 4 {
		go wait(heavy)
	}
	awaitWaiting(q, 4)
	go wait(light)
	awaitWaiting(q, 5)
	q.Release(heavy, time.Second)
	assert.Equal(t, <-served, "light")
}

func awaitWaiting(q *queue, count int) {
	for {
		q.mu.Lock()
		waiting := len(q.lines[ClassCritical])
		q.mu.Unlock()
		if waiting >= count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSlotsAreNeverExceeded runs many callers and counts what is admitted at once.
func TestSlotsAreNeverExceeded(t *testing.T) {
	for _, name := range []string{PolicyPriority, PolicyFIFO} {
		t.Run(name, func(t *testing.T) {
			const slots, callers, rounds = 6, 40, 50
			q := New(name, slots)
			var inUse, admitted atomic.Int64
			var group sync.WaitGroup
			for caller := range callers {
				group.Go(func() {
					rng := rand.New(rand.NewPCG(1, uint64(caller)))
					for range rounds {
						r := request(Class(rng.IntN(int(classCount))), 50*time.Millisecond)
						if !q.Acquire(r).Admitted {
							continue
						}
						if inUse.Add(1) > slots {
							t.Error("more calls than slots")
						}
						admitted.Add(1)
						time.Sleep(time.Duration(rng.IntN(300)) * time.Microsecond)
						inUse.Add(-1)
						q.Release(r, time.Millisecond)
					}
				})
			}
			group.Wait()
			assert.Assert(t, admitted.Load() > 0)
			assert.Equal(t, q.Load(), 0.0)
		})
	}
}
