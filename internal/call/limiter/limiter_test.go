package limiter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReservedSlotsRefuseBulk(t *testing.T) {
	q := newQueuePolicy(6, priorityRules(6))
	for range 4 {
		assert.Assert(t, q.Acquire(request(ClassBulk, time.Minute)).Admitted)
	}
	assert.Assert(t, !q.Acquire(request(ClassBulk, time.Millisecond)).Admitted)
	assert.Assert(t, q.Acquire(request(ClassLookup, time.Minute)).Admitted)
	assert.Assert(t, q.Acquire(request(ClassCritical, time.Minute)).Admitted)
}

// TestExpiredCallIsRefused requires that a call without time left is refused and not queued.
func TestExpiredCallIsRefused(t *testing.T) {
	for _, name := range []string{PolicyPriority, PolicyFIFO} {
		q := New(name, 1)
		assert.Assert(t, q.Acquire(request(ClassLookup, time.Second)).Admitted)
		assert.Assert(t, !q.Acquire(request(ClassLookup, 0)).Admitted)
	}
}

func TestDoubleReleasePanics(t *testing.T) {
	q := New(PolicyPriority, 1)
	defer func() { assert.Assert(t, recover() != nil) }()
	q.Release(request(ClassLookup, 0), 0)
}

func request(class Class, remaining time.Duration) Request {
	return Request{Class: class, Client: "client", Deadline: time.Now().Add(remaining)}
}

// TestOneClientDoesNotBlockAnother occupies all slots and queues calls for one client. The next
// free slot must go to another client, although it queued last.
func TestOneClientDoesNotBlockAnother(t *testing.T) {
	const slots = 2
	q := newQueuePolicy(slots, priorityRules(slots))
	heavy := Request{Class: ClassCritical, Client: "heavy", Deadline: time.Now().Add(time.Minute)}
	light := Request{Class: ClassCritical, Client: "light", Deadline: time.Now().Add(time.Minute)}
	q.serviceTime[ClassCritical] = time.Second
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

// awaitWaiting polls until count critical calls are queued.
func awaitWaiting(q *queuePolicy, count int) {
	for {
		q.mu.Lock()
		waiting := len(q.queues[ClassCritical])
		q.mu.Unlock()
		if waiting >= count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSlotsAreNeverExceeded runs many clients and counts the calls admitted at the same time.
func TestSlotsAreNeverExceeded(t *testing.T) {
	for _, name := range []string{PolicyPriority, PolicyFIFO} {
		t.Run(name, func(t *testing.T) {
			const slots, clients, rounds = 6, 40, 50
			q := New(name, slots)
			var inUse, admitted atomic.Int64
			var group sync.WaitGroup
			for client := range clients {
				group.Go(func() {
					rng := rand.New(rand.NewPCG(1, uint64(client)))
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
