package main

import (
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

	extraShare = 0.03 // share of answers after which the faulty target sends more bytes (garble, extra late)

	// extraBytes is the message that "fleetbench wire" prints under "a server sheds". It has no request ID.
	extraBytes = "HTTP/1.1 503 Service Unavailable\r\nClementinerock-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// draw returns a number in [0, 1) that depends on a text only.
func draw(text string) float64 {
	sum := sha256.Sum256([]byte(text))
	return float64(binary.BigEndian.Uint64(sum[:])>>11) / (1 << 53)
}

// strayShed: a target sends additional bytes after some of its complete answers, late.
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
		sent := 0
		faulty.extra = func() []byte {
			mu.Lock()
			defer mu.Unlock()
			sent++
			if active() && draw(fmt.Sprint("extra", sent)) < extraShare {
				return []byte(extraBytes)
			}
			return nil
		}
	}
	ended := time.Now().Add(45 * time.Second)
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
