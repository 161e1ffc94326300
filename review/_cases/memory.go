package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// enforceMemory does what the platform does: it kills each process that exceeds its memory and starts it
// again shortly after. It returns the highest memory seen and the number of kills.
func enforceMemory(e *env, stop <-chan struct{}) (peak func() float64, kills func() int) {
	var mu sync.Mutex
	highest, killed := 0.0, 0
	for _, n := range e.nodes {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				used := n.resident()
				mu.Lock()
				highest = max(highest, used)
				mu.Unlock()
				if used <= memoryMB {
					continue
				}
				e.add("%s: uses %.0f MB of %d MB and is killed by the platform", n.name, used, memoryMB)
				n.kill()
				mu.Lock()
				killed++
				mu.Unlock()
				time.Sleep(500 * time.Millisecond)
				if err := n.start(); err != nil {
					e.add("%s: not started again: %v", n.name, err)
				}
			}
		}()
	}
	return func() float64 { mu.Lock(); defer mu.Unlock(); return highest },
		func() int { mu.Lock(); defer mu.Unlock(); return killed }
}

// steady holds what clients with small requests see.
type steady struct {
	mu     sync.Mutex
	counts map[string]int
	lost   int // requests sent on kept connections that ran and were closed without an answer
	ran    map[string]bool
}

// run sends small requests from several clients until stop is closed.
func (s *steady) run(e *env, at *node, to string, clients int, stop <-chan struct{}, done *sync.WaitGroup) {
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			c := &client{env: e, node: at}
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("small-%s-%d-%04d", at.name, i, k)
				r := c.do("POST", to, deskPath, id, []byte("pond 7"), 1500*time.Millisecond)
				e.add("client %d: %s on a kept connection: %t; gets status %d error %v", i, id, r.kept, r.status, r.err)
				s.mu.Lock()
				s.counts[fmt.Sprint("status ", r.status)]++
				if r.status == 0 && r.kept && r.sent && !r.timedOut() && s.ran[id] {
					s.lost++
					e.add("client %d: %s had been passed on to a target and was closed without an answer", i, id)
				}
				s.mu.Unlock()
			}
		}()
	}
}

func (s *steady) onRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id] = true
}

const (
	uploadCount = 3
	uploadSize  = 60 << 20 // bytes; maxBodyBytes is 64 << 20
	uploadRate  = 100e6    // bytes per second of all uploads; the link of a host carries 125e6
)

// largeBodies: a few clients send bodies that are large but within maxBodyBytes.
func largeBodies(e *env, trouble bool) (bool, error) {
	front, targets, _, err := startDeployment(e, 2, 12, 180*time.Millisecond, bookingRoute())
	if err != nil {
		return false, err
	}
	s := &steady{counts: make(map[string]int), ran: make(map[string]bool)}
	for _, t := range targets[1:] {
		t.onRun = s.onRun
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	peak, kills := enforceMemory(e, stop)
	s.run(e, front, deskHost, 16, stop, &done)
	time.Sleep(5 * time.Second)
	calm := peak()
	var uploads atomic.Int64
	if trouble {
		body := make([]byte, uploadSize)
		for round := range 3 {
			var burst sync.WaitGroup
			for i := range uploadCount {
				burst.Add(1)
				go func() {
					defer burst.Done()
					c := &client{env: e, node: front, rate: uploadRate / uploadCount}
					id := fmt.Sprintf("large-%d-%d", round, i)
					e.add("upload %s: %d bytes", id, len(body))
					r := c.do("POST", deskHost, deskPath, id, body, 2500*time.Millisecond)
					e.add("upload %s: gets status %d error %v", id, r.status, r.err)
					c.close()
					uploads.Add(1)
				}()
			}
			burst.Wait()
			time.Sleep(6 * time.Second)
		}
	} else {
		time.Sleep(20 * time.Second)
	}
	close(stop)
	done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	e.say("memory before: %.0f MB; highest: %.0f MB of %d MB; processes killed for it: %d; uploads: %d; small requests: %v, of these passed on and closed without an answer: %d",
		calm, peak(), memoryMB, kills(), uploads.Load(), s.counts, s.lost)
	if s.counts["status 200"] < 200 {
		return false, errors.New("too few requests were served")
	}
	return s.lost > 3, nil
}

const (
	giveUpShare = 0.3                    // share of the clients that leave (give_up)
	giveUpFor   = 6 * time.Second        // length of one give_up
	giveUpPause = 2 * time.Second        // pause between two
	giveUpTime  = 300 * time.Millisecond // half of the latency objective
	bookingSize = 512 << 10              // bytes of a booking
)

// bookingRoute is the route of pallet-booking on bellenblaas-mesh.
func bookingRoute() route {
	return route{"r-desk", deskHost, deskPrefix, "unsafe", "desk", 2.5, 0.6, 1}
}

// giveUpLeak: part of the clients leave before their time limit, while their requests wait for a slot.
func giveUpLeak(e *env, trouble bool) (bool, error) {
	front, targets, _, err := startDeployment(e, 2, 12, 180*time.Millisecond, bookingRoute())
	if err != nil {
		return false, err
	}
	s := &steady{counts: make(map[string]int), ran: make(map[string]bool)}
	targets[0].work = 120 * time.Millisecond
	for _, t := range targets {
		t.onRun = s.onRun
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	peak, kills := enforceMemory(e, stop)
	for _, n := range e.nodes[1:] {
		s.run(e, n, frontHost, 8, stop, &done)
	}
	var left, served atomic.Int64
	body := make([]byte, bookingSize)
	began := time.Now()
	for i := range 60 {
		done.Add(1)
		go func() {
			defer done.Done()
			c := &client{env: e, node: front}
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for k := 0; ; k++ {
				select {
				case <-stop:
					c.close()
					return
				default:
				}
				limit := 2500 * time.Millisecond
				leaves := trouble && time.Since(began)%(giveUpFor+giveUpPause) < giveUpFor && random.Float64() < giveUpShare
				id := fmt.Sprintf("booking-%d-%04d", i, k)
				if leaves {
					limit = 20*time.Millisecond + time.Duration(random.Float64()*float64(giveUpTime-20*time.Millisecond))
				}
				r := c.doFor("POST", deskHost, deskPath, id, body, limit, 2500*time.Millisecond)
				switch {
				case r.timedOut():
					left.Add(1)
					e.add("booking client %d: leaves %s after %s", i, id, limit)
				case r.status == 200:
					served.Add(1)
				default:
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	for at := 0; at < 90; at += 5 {
		time.Sleep(5 * time.Second)
		var used []string
		for _, n := range e.nodes {
			used = append(used, fmt.Sprintf("%s %.0f MB", n.name, n.resident()))
		}
		e.add("memory: %v; clients that left: %d; bookings served: %d", used, left.Load(), served.Load())
		if kills() > 1 {
			time.Sleep(2 * time.Second)
			break
		}
	}
	close(stop)
	done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	e.say("highest memory: %.0f MB of %d MB; processes killed for it: %d; clients that left: %d; bookings served: %d; small requests: %v, of these passed on and closed without an answer: %d",
		peak(), memoryMB, kills(), left.Load(), served.Load(), s.counts, s.lost)
	if served.Load() < 200 {
		return false, errors.New("too few requests were served")
	}
	return s.lost > 3, nil
}
