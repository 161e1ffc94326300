// Command term shows whether requests that wait for a slot get an answer when the host that took them is stopped with
// SIGTERM.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	kit "clementinerock/review/_kit2"
)

const (
	archiveWork = 900 * time.Millisecond // mean work of a request of the route "archive"; evenly distributed from half to one and a half
	swapWork    = 550 * time.Millisecond // of the route "swap"
	slots       = 4                      // of each of the four targets of these routes

	archiveLimit     = 10 * time.Second // time limit of the clients
	archiveObjective = 5.0              // targetLatencyS
	swapLimit        = 6 * time.Second
	swapObjective    = 1.5

	archiveClients = 32 // at the host that is stopped
	steadyClients  = 16 // of the route "swap" at another host
	waveClients    = 32 // of the same that are active in one half of each period only
	halfPeriod     = 4 * time.Second

	rounds    = 3                       // number of times that the host is stopped
	termPhase = 2500 * time.Millisecond // time from the beginning of the calm half of a period until SIGTERM
	grace     = 6 * time.Second         // graceS
	newWork   = 2900 * time.Millisecond // time after SIGTERM in which the clients at the host send requests
	lost      = 200 * time.Millisecond  // lostS
	maxRetry  = 2 * time.Second         // longest time for which a client waits before it sends again
)

func main() { kit.Case(run) }

// request is one client attempt.
type request struct {
	id         string
	host       *kit.Host
	sent, end  time.Time
	status     int // 0 if the connection ended without an answer
	failure    error
	afterTerm  time.Duration // time between SIGTERM and the sending
	duringStop bool
}

type load struct {
	mu     sync.Mutex
	number atomic.Int64
	done   []*request
	record *kit.Record
}

// client sends requests one after the other on kept connections until stop is closed, while active returns true.
func (l *load) client(h *kit.Host, path string, limit time.Duration, stop <-chan struct{}, term func() time.Time, active func() bool) {
	var c *kit.Client
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if at := term(); !at.IsZero() && time.Since(at) > newWork {
			return // the platform sends no new work after two missed probes
		}
		if !active() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if c == nil {
			var err error
			if c, err = kit.Dial(h.Outbound()); err != nil {
				time.Sleep(100 * time.Millisecond)
				c = nil
				continue
			}
		}
		r := &request{id: fmt.Sprintf("r%d", l.number.Add(1)), host: h, sent: time.Now()}
		if at := term(); !at.IsZero() {
			r.afterTerm, r.duringStop = r.sent.Sub(at), true
		}
		l.record.Add("client at %s sends %s", h.Name, r.id)
		_, err := c.Write([]byte(kit.Text("GET", "a.example", path, r.id, limit, "", "")))
		var response *kit.Response
		if err == nil {
			response, err = c.ReadResponse("GET", limit+time.Second)
		}
		r.end, r.failure = time.Now(), err
		pause := 10 * time.Millisecond
		if err != nil {
			l.record.Add("client at %s: the connection ends without an answer to %s: %v", h.Name, r.id, err)
			_ = c.Close()
			c = nil
		} else {
			r.status = response.Status
			l.record.Add("client at %s gets %d for %s", h.Name, r.status, r.id)
			if response.Close {
				_ = c.Close()
				c = nil
			}
			if r.status == 503 || r.status == 429 {
				pause = min(retryAfter(response), maxRetry)
			}
		}
		l.mu.Lock()
		l.done = append(l.done, r)
		l.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func retryAfter(response *kit.Response) time.Duration {
	var seconds float64
	if _, err := fmt.Sscan(response.Header.Get("Retry-After"), &seconds); err != nil {
		return 100 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}

func run(record *kit.Record, trouble bool) (int, error) {
	m, err := kit.NewMesh(record)
	if err != nil {
		return kit.Failed, err
	}
	defer m.Close()
	stopped := m.AddHost("suva", "ride-api")
	other := m.AddHost("nadi", "ride-api")
	for _, zone := range []string{"suva", "nadi", "ba", "ba"} {
		m.AddHost(zone, "fleet-api")
	}
	archive := kit.NewRoute("archive", "/archive/", "safe", "fleet-api", archiveLimit.Seconds())
	archive["targetLatencyS"], archive["priority"] = archiveObjective, 2
	swap := kit.NewRoute("swap", "/swap/", "safe", "fleet-api", swapLimit.Seconds())
	swap["targetLatencyS"], swap["priority"] = swapObjective, 1
	_, stopStore, err := m.StartStore(kit.Config(3, []string{"ride-api", "fleet-api"}, []kit.Route{archive, swap}, nil))
	if err != nil {
		return kit.Failed, err
	}
	defer stopStore()
	targets, err := m.StartTargets()
	if err != nil {
		return kit.Failed, err
	}
	for i, h := range m.Hosts {
		targets[i].Slots = slots
		targets[i].Work = func(r *kit.Run) time.Duration {
			mean := swapWork
			if strings.HasPrefix(r.Path, "/archive/") {
				mean = archiveWork
			}
			return mean/2 + time.Duration(rand.Int63n(int64(mean)))
		}
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
	l := &load{record: record}
	end := make(chan struct{})
	var group sync.WaitGroup
	never := func() time.Time { return time.Time{} }
	always := func() bool { return true }
	began := time.Now()
	busy := func() bool { return time.Since(began)/halfPeriod%2 == 1 }
	for i := range steadyClients + waveClients {
		active := always
		if i >= steadyClients {
			active = busy
		}
		group.Go(func() { l.client(other, "/swap/z", swapLimit, end, never, active) })
	}
	var terms []time.Time
	for range rounds {
		var at atomic.Pointer[time.Time]
		term := func() time.Time {
			if t := at.Load(); t != nil {
				return *t
			}
			return time.Time{}
		}
		var here sync.WaitGroup
		leave := make(chan struct{})
		for range archiveClients {
			here.Go(func() { l.client(stopped, "/archive/z", archiveLimit, leave, term, always) })
		}
		calm := time.Since(began).Truncate(2*halfPeriod) + 2*2*halfPeriod
		time.Sleep(time.Until(began.Add(calm + termPhase)))
		if !trouble {
			time.Sleep(grace)
			close(leave)
			here.Wait()
			continue
		}
		now := time.Now()
		at.Store(&now)
		terms = append(terms, now)
		stopped.Signal(syscall.SIGTERM)
		if !stopped.Wait(grace) {
			record.Say("the process did not end within %s", grace)
			stopped.Kill()
		}
		record.Say("the process ended %.2f s after SIGTERM", time.Since(now).Seconds())
		close(leave)
		here.Wait()
		if err := stopped.Start(); err != nil {
			return kit.Failed, err
		}
		if !m.WaitReady(10 * time.Second) {
			return kit.Failed, errors.New("the host did not become ready again")
		}
	}
	close(end)
	group.Wait()
	ran := make(map[string]bool)
	for _, t := range targets {
		for _, r := range t.Runs() {
			ran[r.ID] = true
		}
	}
	statuses, broken := make(map[int]int), 0
	for _, r := range l.done {
		statuses[r.status]++
		// A connection with unread bytes would be reset, so an end without a reset shows that the process has read all.
		read := errors.Is(r.failure, io.EOF) || errors.Is(r.failure, io.ErrUnexpectedEOF)
		if !read || ran[r.id] || r.host != stopped || r.end.Sub(r.sent) <= lost || r.end.Sub(r.sent) >= archiveLimit {
			continue // answered, or passed on to a target, or not read, or out of time
		}
		for _, at := range terms {
			if since := r.end.Sub(at); since >= 0 && since <= grace+time.Second {
				broken++
				record.Say("%s, sent %.2f s after SIGTERM, was passed on to no target and got no answer; its connection ended after %.2f s (%v)",
					r.id, r.sent.Sub(at).Seconds(), r.end.Sub(r.sent).Seconds(), r.failure)
			}
		}
	}
	record.Say("requests: %d, statuses %v (0: no answer); read, never passed on and never answered: %d", len(l.done), statuses, broken)
	if broken > 0 {
		return kit.Broken, nil
	}
	return kit.Held, nil
}
