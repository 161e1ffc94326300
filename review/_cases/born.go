package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// clockJump is the largest jump of the time of day in the site files.
const clockJump = 2400 * time.Millisecond

// clockBorn: the time of day of a host jumps forward and back again. A target is added there and starts while the
// clock is ahead, crashes, and starts again under its ID after the clock has jumped back. Later it drains.
func clockBorn(e *env, trouble bool) (bool, error) {
	front, targets, _, err := startDeployment(e, 2, 6, 60*time.Millisecond, deskRoute(), 1)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var ran []time.Time // requests that the leaving target runs
	counts := make(map[string]int)
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 10 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{env: e, node: front}
			for k := 0; ; k++ {
				select {
				case <-ended:
					return
				case <-time.After(40 * time.Millisecond):
				}
				id := fmt.Sprintf("req-%d-%04d", i, k)
				e.add("client %d: sends %s", i, id)
				r := c.do("POST", deskHost, deskPath, id, []byte("pond 7"), 1500*time.Millisecond)
				e.add("client %d: %s gets status %d stamp %q error %v", i, id, r.status, r.stamp, r.err)
				mu.Lock()
				counts[fmt.Sprint("status ", r.status)]++
				mu.Unlock()
			}
		}()
	}
	// start starts the target's process under its ID while the clock is ahead by the given time.
	start := func(clock time.Duration) (*target, chan struct{}, error) {
		t := newTarget(targets[1].node, targets[1].id, 6, 60*time.Millisecond)
		t.born += clock.Milliseconds()
		t.onRun = func(string) {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, time.Now())
		}
		if err := t.listen(); err != nil {
			return nil, nil, err
		}
		s := make(chan struct{})
		go t.beats(s)
		e.add("target %s: starts, born %d, the clock is %s ahead", t.id, t.born, clock)
		return t, s, nil
	}
	clock := time.Duration(0)
	if trouble {
		clock = clockJump
	}
	leaving, s, err := start(clock)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	close(s)
	leaving.exit()
	time.Sleep(500 * time.Millisecond)
	if leaving, s, err = start(0); err != nil {
		return false, err
	}
	time.Sleep(contactS + 2*time.Second)
	close(s)
	time.Sleep(heartbeat)
	if !leaving.beat("draining") {
		return false, errors.New("draining heartbeat not acknowledged")
	}
	acked := time.Now()
	e.add("target %s: draining heartbeat acknowledged", leaving.id)
	for time.Since(acked) < drainS+5*time.Second {
		time.Sleep(heartbeat)
		e.add("target %s: draining heartbeat acknowledged: %t", leaving.id, leaving.beat("draining"))
	}
	e.add("target %s: leave message acknowledged: %t", leaving.id, leaving.leave())
	time.Sleep(300 * time.Millisecond)
	leaving.exit()
	time.Sleep(time.Second)
	close(ended)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	reached := 0
	for _, at := range ran {
		if at.After(acked.Add(drainS)) {
			reached++
		}
	}
	e.say("requests that the target ran later than %s after the acknowledgement of its drain: %d; answers to all clients: %v", drainS, reached, counts)
	if counts["status 200"] < 50 {
		return false, errors.New("too few requests were served")
	}
	return reached > 0, nil
}
