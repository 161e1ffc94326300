package runner

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"clementinerock/platform"
)

// stoppingClient sends requests to a node that is stopping and records how they end.
type stoppingClient struct {
	host *host

	mu       sync.Mutex
	statuses map[string]int // by request ID; 0 for a connection that ended without a response
}

// send sends one request, whose client waits for longer than the node lives.
func (c *stoppingClient) send(id, path, body string) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+c.host.settings.Client+path, strings.NewReader(body))
	request.Host = "a.example"
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderTimeRemaining, "10000")
	status := 0
	if response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request); err == nil {
		status = response.StatusCode
		_ = response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[id] = status
}

// TestRequestsAtTheEnd stops a node while its requests are at every point of their way, and guards against requests
// whose connections end without an answer although no target has run them, against refusals of requests that run, and
// against requests that are cut because they were passed on too late.
func TestRequestsAtTheEnd(t *testing.T) {
	const bodySize = 200_000 // sent to other nodes in pieces
	tests := map[string]struct {
		kind     string
		holder   int // host whose target all requests run at
		body     int // size of the body in bytes
		requests int
		grace    time.Duration
	}{
		"safe, queued at another node":             {"safe", 1, 0, 12, 3 * time.Second},
		"unsafe, queued at another node":           {"unsafe", 1, 0, 12, 3 * time.Second},
		"safe, large body, queued elsewhere":       {"safe", 1, bodySize, 12, 3 * time.Second},
		"unsafe, large body, queued elsewhere":     {"unsafe", 1, bodySize, 12, 3 * time.Second},
		"safe, queued at the stopped node":         {"safe", 0, 0, 12, 3 * time.Second},
		"unsafe, queued at the stopped node":       {"unsafe", 0, 0, 12, 3 * time.Second},
		"safe, end before the node refuses calls":  {"safe", 0, 0, 12, 1500 * time.Millisecond},
		"unsafe, end before it refuses calls":      {"unsafe", 0, 0, 12, 1500 * time.Millisecond},
		"safe, elsewhere, end before it refuses":   {"safe", 1, 0, 12, 1500 * time.Millisecond},
		"unsafe, elsewhere, end before it refuses": {"unsafe", 1, 0, 12, 1500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			var releaseOnce sync.Once
			free := func() { releaseOnce.Do(func() { close(release) }) }
			t.Cleanup(free)
			var holding sync.Map // IDs of the requests that targets have begun to run
			m := startMeshWith(t, func(h *host) {
				h.settings.Bounds.StopGracePeriod = test.grace
				h.onRequest = func(r *http.Request) {
					id := r.Header.Get(platform.HeaderRequestID)
					if !strings.HasPrefix(id, "end-") {
						return
					}
					holding.Store(id, true)
					<-release
				}
			}, "first", "second")
			service := m.hosts[test.holder].service
			m.writeKind(2, test.kind, service)
			for _, h := range m.hosts {
				h.waitForOK(t, "/k/x")
			}
			stopped := m.hosts[0]
			client := &stoppingClient{host: stopped, statuses: make(map[string]int)}
			var clients sync.WaitGroup
			for i := range test.requests {
				clients.Go(func() { client.send(fmt.Sprint("end-", i), "/k/x", strings.Repeat("x", test.body)) })
			}
			const slots = 4
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				running := 0
				holding.Range(func(any, any) bool { running++; return true })
				held := m.hosts[test.holder].node.holdings()
				if running < slots || held.Waiting < test.requests-slots {
					return poll.Continue("%d running, %+v", running, held)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
			stopped.stopNode()
			<-stopped.done
			free()
			clients.Wait()
			ran := 0
			for id, status := range client.statuses {
				_, running := holding.Load(id)
				if running {
					ran++
					assert.Check(t, status != 0, "%s runs and its connection ended without an answer", id)
					assert.Check(t, status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests,
						"%s runs and was answered %d", id, status)
					continue
				}
				assert.Check(t, status == http.StatusServiceUnavailable, "%s has not run and was answered %d", id, status)
			}
			assert.Equal(t, ran, slots, "requests that were refused ran later")
		})
	}
}

// writeKind writes a configuration whose route for /k/ leads to a service and has a long latency objective, so that
// many requests are queued.
func (m *mesh) writeKind(version int, kind, service string) {
	m.writeRoutes(version, []map[string]any{{
		"name": "k", "host": "a.example", "prefix": "/k/", "kind": kind, "timeoutS": 10, "targetLatencyS": 9,
		"service": service, "maxAttempts": 2, "priority": 0,
	}})
}

// TestLateRequests sends requests throughout the grace time of a node, whose targets take a while for each. It guards
// against requests that are taken late in it, passed on, and cut at its end.
func TestLateRequests(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe"} {
		for _, grace := range []time.Duration{2500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprint(kind, " ", grace), func(t *testing.T) {
				t.Parallel()
				var arrived sync.Map // IDs of the requests that targets have begun to run
				m := startMeshWith(t, func(h *host) {
					h.settings.Bounds.StopGracePeriod = grace
					h.workMillis.Store(200)
					h.onRequest = func(r *http.Request) { arrived.Store(r.Header.Get(platform.HeaderRequestID), true) }
				}, "first", "second")
				m.writeKind(2, kind, "second")
				for _, h := range m.hosts {
					for range 8 { // so that the service time is known
						h.waitForOK(t, "/k/x")
					}
				}
				stopped := m.hosts[0]
				client := &stoppingClient{host: stopped, statuses: make(map[string]int)}
				var clients sync.WaitGroup
				stopped.stopNode()
				ctx, cancel := context.WithCancel(t.Context())
				for i := 0; ctx.Err() == nil; i++ {
					clients.Go(func() { client.send(fmt.Sprint("late-", kind, grace, i), "/k/x", "") })
					select {
					case <-stopped.done:
						cancel()
					case <-time.After(20 * time.Millisecond):
					}
				}
				clients.Wait()
				cancel()
				served := 0
				for id, status := range client.statuses {
					_, ran := arrived.Load(id)
					switch status {
					case http.StatusOK:
						served++
					case http.StatusServiceUnavailable:
						assert.Check(t, !ran, "%s ran and was refused", id)
					default:
						assert.Check(t, !ran, "%s ran and was answered %d", id, status)
					}
				}
				assert.Assert(t, served > 0, "no request was served during the grace time")
			})
		}
	}
}
