package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["timeout"] = playTimeout }

// playTimeout freezes one node of the called service several times, for 4 s each, while clients at other machines send
// unsafe requests.
func playTimeout(rec *record, trouble bool) (bool, error) {
	const routeTimeout = 800 * time.Millisecond
	w, err := newWorld(rec, smallBounds, 6, []place{
		{"sidecar-suva-1", "suva", "slotboard"}, {"sidecar-nadi-1", "nadi", "slotboard"}, {"sidecar-ba-1", "ba", "slotboard"},
		{"sidecar-suva-2", "suva", "pickupdesk"}, {"sidecar-nadi-2", "nadi", "pickupdesk"}, {"sidecar-ba-2", "ba", "pickupdesk"},
	})
	if err != nil {
		return false, err
	}
	defer w.end()
	config := map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "r-book", "host": "book.example", "prefix": "/book/", "kind": "unsafe", "timeoutS": 0.8,
				"targetLatencyS": 0.25, "priority": 1, "service": "pickupdesk", "maxAttempts": 2},
		},
		"services": []any{
			map[string]any{"name": "slotboard", "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false},
			map[string]any{"name": "pickupdesk", "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
	if err := w.begin(config); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var all []outcome
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, h := range w.hosts[:3] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					o := w.request(h, "POST", "book.example", "/book/w300/x", 1500*time.Millisecond, "", []byte("pickup"))
					mu.Lock()
					all = append(all, o)
					mu.Unlock()
				}()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	for i := range 6 {
		frozen := w.hosts[3+i%3]
		if trouble {
			frozen.signal(syscall.SIGSTOP)
		}
		time.Sleep(4 * time.Second)
		if trouble {
			frozen.signal(syscall.SIGCONT)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	wg.Wait()
	beyond, late, unanswered := 0, 0, 0
	counts := map[int]int{}
	sortOutcomes(all)
	for _, o := range all {
		counts[o.status]++
		held := o.ended - o.sent
		if held <= routeTimeout {
			continue
		}
		beyond++
		if held > routeTimeout+500*time.Millisecond {
			late++
			if o.status < 0 {
				unanswered++
			}
		}
	}
	broken := late >= 8 && 2*late > beyond
	rec.add("%d requests, by status %v; unanswered at timeoutS: %d; of these without a final answer 0.5 s later: %d (%d until the client left)",
		len(all), counts, beyond, late, unanswered)
	fmt.Printf("%d requests, by status %v; beyond timeoutS %d, 0.5 s later still unanswered %d, never answered %d\n", len(all), counts, beyond, late, unanswered)
	return broken, nil
}
