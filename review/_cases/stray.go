package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	troubleFor   = 5 * time.Second // length of one disruption
	troublePause = 3 * time.Second // pause between two

	shedShare  = 0.45 // share of requests that the faulty target rejects (srv_grey, shed)
	extraShare = 0.03 // share of answers that are sent again late (garble, extra late)
)

// draw returns a number in [0, 1) that depends on a text only.
func draw(text string) float64 {
	sum := sha256.Sum256([]byte(text))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) / (1 << 53)
}

// strayShed: a target rejects part of its requests, and some of its answers are sent a second time, late.
func strayShed(e *env, trouble bool) (bool, error) {
	front, targets, _, err := startDeployment(e, 3, 6, 60*time.Millisecond, deskRoute())
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := make(map[string][]string) // targets that ran a request
	for _, t := range targets[1:] {
		t.onRun = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			runs[id] = append(runs[id], t.id)
		}
	}
	if trouble {
		faulty := targets[1]
		began := time.Now()
		active := func() bool { return time.Since(began)%(troubleFor+troublePause) < troubleFor }
		faulty.shed = func(id string) bool { return active() && draw("shed"+id) < shedShare }
		sent := 0
		faulty.extra = func(answer []byte) []byte {
			mu.Lock()
			defer mu.Unlock()
			sent++
			if active() && draw(fmt.Sprint("extra", sent)) < extraShare {
				return bytes.Clone(answer)
			}
			return nil
		}
	}
	ended := time.Now().Add(90 * time.Second)
	counts := make(map[string]int)
	refused := make(map[string]bool)
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &client{env: e, node: front}
			for k := 0; time.Now().Before(ended); k++ {
				id := fmt.Sprintf("req-%d-%04d", i, k)
				e.add("client %d: sends %s", i, id)
				r := c.do("POST", deskHost, deskPath, id, []byte("pond 7"), 1500*time.Millisecond)
				e.add("client %d: %s gets status %d stamp %q error %v", i, id, r.status, r.stamp, r.err)
				mu.Lock()
				counts[fmt.Sprint("status ", r.status)]++
				refused[id] = r.status == 503
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, ranRefused := 0, 0
	for id, by := range runs {
		if refused[id] {
			ranRefused++
			e.add("request %s was answered 503 and ran: %v", id, by)
		}
		if len(by) > 1 {
			twice++
			e.add("request %s ran %d times: %v", id, len(by), by)
		}
	}
	e.say("requests that ran: %d, more than once: %d, answered 503: %d; answers: %v", len(runs), twice, ranRefused, counts)
	if counts["status 200"] < 200 {
		return false, errors.New("too few requests were served")
	}
	return twice > 0, nil
}
