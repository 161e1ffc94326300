// Command restore shows whether the usage cap of a tenant holds while the store is restored from an older copy.
package main

import (
	"errors"
	"fmt"
	"math/rand"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"clementinerock/platform/standin"
	kit "clementinerock/review/_kit2"
)

const (
	hosts   = 12
	rate    = 100.0 // ratePerS of each tenant
	burst   = 30.0
	window  = 5 * time.Second       // quotaWindowS
	over    = 0.1                   // quotaOver
	slack   = 20.0                  // quotaSlack
	clients = 4                     // of each tenant at each host
	pause   = 80 * time.Millisecond // mean pause of a client between two requests

	drills   = 3
	first    = 8 * time.Second        // start of the first drill, after the hosts are ready
	interval = 8 * time.Second        // between two drills
	copyAge  = 3 * time.Second        // the copy is taken at the start of the drill
	away     = 100 * time.Millisecond // for which the store answers 503 before it is back
	endAt    = first + drills*interval
)

// tenants are the names of the tenants, whose keys are the names behind "key-".
var tenants = []string{"alder", "birch", "fir", "ginkgo", "hule930", "juniper", "kauri"}

func main() { kit.Case(run) }

type request struct {
	tenant    string
	sent, run time.Time
}

func run(record *kit.Record, trouble bool) (int, error) {
	m, err := kit.NewMesh(record)
	if err != nil {
		return kit.Failed, err
	}
	defer m.Close()
	zones := []string{"suva", "nadi", "ba"}
	for i := range hosts {
		h := m.AddHost(zones[i%len(zones)], "slotboard")
		h.Bounds = []string{"failClosed=true", "revokeS=5", "quotaWindowS=5", "quotaOver=0.1", "quotaSlack=20"}
	}
	var caps []map[string]any
	for _, name := range tenants {
		caps = append(caps, map[string]any{"name": name, "apiKeys": []string{"key-" + name}, "priority": 1, "ratePerS": rate, "burst": burst})
	}
	config := kit.Config(3, []string{"slotboard"},
		[]kit.Route{kit.NewRoute("s", "/s/", "safe", "slotboard", 1)},
		caps)
	store, stop, err := m.StartStore(config)
	if err != nil {
		return kit.Failed, err
	}
	defer stop()
	targets, err := m.StartTargets()
	if err != nil {
		return kit.Failed, err
	}
	for _, h := range m.Hosts {
		if err := h.Start(); err != nil {
			return kit.Failed, err
		}
	}
	for _, t := range targets {
		t.StartReports()
	}
	if !m.WaitReady(15 * time.Second) {
		return kit.Failed, errors.New("the hosts did not become ready")
	}
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	var mu sync.Mutex
	sent := make(map[string]request)
	statuses := make(map[int]int)
	var number atomic.Int64
	end := make(chan struct{})
	var group sync.WaitGroup
	for i := range clients * hosts * len(tenants) {
		h, tenant := m.Hosts[i%hosts], tenants[i/hosts%len(tenants)]
		group.Go(func() {
			var c *kit.Client
			for {
				select {
				case <-end:
					return
				case <-time.After(pause/2 + time.Duration(rand.Int63n(int64(pause)))):
				}
				if c == nil {
					if c, _ = kit.Dial(h.Outbound()); c == nil {
						continue
					}
				}
				id := fmt.Sprintf("r%d", number.Add(1))
				began := time.Now()
				mu.Lock()
				sent[id] = request{tenant: tenant, sent: began}
				mu.Unlock()
				_, err := c.Write([]byte(kit.Text("GET", "a.example", "/s/z", id, time.Second, "Authorization: Token key-"+tenant+"\r\n", "")))
				var response *kit.Response
				if err == nil {
					response, err = c.ReadResponse("GET", 2*time.Second)
				}
				if err != nil {
					record.Add("client of %s at %s gets no answer to %s: %v", tenant, h.Name, id, err)
					_ = c.Close()
					c = nil
					continue
				}
				record.Add("client of %s at %s gets %d for %s, sent %.3f s before", tenant, h.Name, response.Status, id, time.Since(began).Seconds())
				mu.Lock()
				statuses[response.Status]++
				mu.Unlock()
			}
		})
	}
	if trouble {
		for drill := range drills {
			start := first + time.Duration(drill)*interval
			at(start)
			copied := store.Copy()
			record.Add("store: copy taken")
			at(start + copyAge - away)
			store.SetFaults(standin.Faults{Refuse: true})
			record.Add("store: away")
			at(start + copyAge)
			store.Restore(copied)
			store.Put("op/config", config)
			store.SetFaults(standin.Faults{})
			record.Add("store: back from the copy, Store-Era %d, configuration written again", drill+1)
		}
	}
	at(endAt)
	close(end)
	group.Wait()
	ran := make(map[string]time.Time) // first run of each request
	for _, t := range targets {
		for _, r := range t.Runs() {
			if at, ok := ran[r.ID]; !ok || r.At.Before(at) {
				ran[r.ID] = r.At
			}
		}
	}
	limit := (rate*window.Seconds()+burst)*(1+over) + slack
	record.Say("requests sent: %d, statuses %v", len(sent), statuses)
	result := kit.Held
	for _, tenant := range tenants {
		var list []request
		for id, r := range sent {
			if at, ok := ran[id]; ok && r.tenant == tenant {
				list = append(list, request{sent: r.sent, run: at})
			}
		}
		most, first := most(list)
		record.Say("tenant %s: most requests that were sent and ran within 5 s: %d, from %.1f s on; allowed: %.0f",
			tenant, most, first.Sub(began).Seconds(), limit)
		if float64(most) > limit {
			result = kit.Broken
		}
	}
	return result, nil
}

// most returns the largest number of requests that were sent and ran within a window, and the start of that window.
func most(list []request) (most int, first time.Time) {
	sort.Slice(list, func(i, j int) bool { return list[i].sent.Before(list[j].sent) })
	for i := range list {
		n := 0
		for j := i; j < len(list) && list[j].sent.Sub(list[i].sent) <= window; j++ {
			if list[j].run.Sub(list[i].sent) <= window {
				n++
			}
		}
		if n > most {
			most, first = n, list[i].sent
		}
	}
	return most, first
}
