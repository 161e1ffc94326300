package runner

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/node/counter"
	"clementinerock/platform"
	"clementinerock/platform/standin"
)

// host is one host of a test deployment: a node and the target beside it.
type host struct {
	settings       platform.Settings
	node           *Node
	service        string
	arrived        atomic.Int64  // number of requests that the target has received
	workMillis     atomic.Int64  // processing time of a request in milliseconds
	stop           chan struct{} // closed to stop the node and the heartbeats
	done           chan struct{} // closed when the node has stopped
	stopOnce       sync.Once
	stopHeartbeats chan struct{}
	sequence       atomic.Int64        // sequence number of the last heartbeat
	headers        sync.Map            // headers of the requests that the target has received, by request ID
	version        string              // version of the target's software; none if empty
	failing        atomic.Bool         // whether the target answers half of its requests with status 500
	onRequest      func(*http.Request) // called for each request that the target receives; may be nil
	log            *zap.Logger         // log of the node; nil for none

	// answer answers a request in the place of the target and reports whether it did; may be nil.
	answer func(http.ResponseWriter, *http.Request) bool
}

// mesh is a small deployment with a stand-in for the store, on loopback.
type mesh struct {
	store *standin.Store
	hosts []*host
}

// ownLoopback returns a loopback IP address that no other running test uses. Ports of outgoing connections
// are taken on 127.0.0.1, so a free port stays free until the test listens on it.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>15)%100, (pid>>7)%256, 1+pid%128)
}

// usedAddresses holds the addresses that freeAddress has returned. The system may choose the same free port
// again while no one listens on it yet.
var usedAddresses sync.Map

// freeAddress returns an address that nothing listens on and that it has not returned before.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp4", ownLoopback()+":0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

// startMesh starts a store and, for each of the given services, a host with a target of the service.
func startMesh(t *testing.T, services ...string) *mesh {
	t.Helper()
	return startMeshWith(t, func(*host) {}, services...)
}

// startMeshWith is startMesh with a function that changes each host before it starts.
func startMeshWith(t *testing.T, prepare func(*host), services ...string) *mesh {
	t.Helper()
	m := &mesh{store: &standin.Store{}}
	address, stop, err := m.store.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(stop)
	m.writeConfig(1, map[string]string{"/a/": "first", "/b/": "second"})
	for i, service := range services {
		h := &host{service: service, stop: make(chan struct{}), done: make(chan struct{}), stopHeartbeats: make(chan struct{})}
		h.settings = platform.Settings{
			Node:          fmt.Sprint("n", i),
			HostIP:        "127.0.0.1",
			FailureDomain: fmt.Sprint("z", i%2),
			Service:       service,
			Client:        freeAddress(t),
			Ready:         freeAddress(t),
			Control:       freeAddress(t),
			Peer:          freeAddress(t),
			Metrics:       freeAddress(t),
			Store:         address,
			Bounds: platform.Bounds{
				DrainPeriod:     2 * time.Second,
				StopGracePeriod: 6 * time.Second,
				RetryRatio:      0.2,
				RetryWindow:     10 * time.Second,
				RetrySlack:      20,
			},
		}
		prepare(h)
		h.startTarget(t)
		h.startNode(t)
		m.hosts = append(m.hosts, h)
	}
	t.Cleanup(func() {
		for _, h := range m.hosts {
			h.stopNode()
		}
		for _, h := range m.hosts {
			<-h.done
		}
	})
	return m
}

func (h *host) stopNode() { h.stopOnce.Do(func() { close(h.stop) }) }

// restartNode stops the node gracefully and starts a new process of it. The target runs on.
func (h *host) restartNode(t *testing.T) {
	t.Helper()
	h.stopNode()
	<-h.done
	h.stop, h.done, h.stopOnce = make(chan struct{}), make(chan struct{}), sync.Once{}
	h.startNode(t)
}

// startNode starts the node. It runs until stopNode is called.
func (h *host) startNode(t *testing.T) {
	t.Helper()
	meter, stopMeter := counter.New()
	log := h.log
	if log == nil {
		log = zap.NewNop()
	}
	node := &Node{Settings: h.settings, Log: log, Meter: meter, Dropped: func() int64 { return 0 }}
	h.node = node
	stop, done := h.stop, h.done
	go func() {
		defer close(done)
		defer stopMeter()
		assert.Check(t, node.Run(stop))
	}()
}

// startTarget starts a target that serves requests and sends heartbeats.
func (h *host) startTarget(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h.settings.Target = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.arrived.Add(1)
		if h.onRequest != nil {
			h.onRequest(r)
		}
		if h.answer != nil && h.answer(w, r) {
			return
		}
		body, _ := io.ReadAll(r.Body)
		time.Sleep(time.Duration(h.workMillis.Load()) * time.Millisecond)
		id := r.Header.Get(platform.HeaderRequestID)
		processedIDs.Store(id, true)
		h.headers.Store(id, r.Header.Clone())
		w.Header().Set(platform.HeaderRequestID, id)
		w.Header().Set(platform.HeaderServerStamp, "stamp")
		if h.failing.Load() && rand.IntN(2) == 0 {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = fmt.Fprintf(w, "%s %s %s %s", h.service, r.Header.Get(platform.HeaderOriginService), id, body)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			h.sendHeartbeat("ready")
			select {
			case <-h.stopHeartbeats:
				return
			case <-t.Context().Done():
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
}

// firstBorn is the start time of a target's first run in Unix milliseconds.
const firstBorn = 1000

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (h *host) sendHeartbeat(state string) bool {
	return h.sendReport("heartbeat", state, h.sequence.Add(1), firstBorn)
}

// sendReport sends a heartbeat or leave message and reports whether it was acknowledged.
func (h *host) sendReport(kind, state string, sequence, born int64) bool {
	fields := map[string]any{
		"service": h.service, "address": h.settings.Target, "zone": h.settings.FailureDomain, "slots": 4,
		"state": state, "sequence": sequence, "born": born,
	}
	if h.version != "" {
		fields["version"] = h.version
	}
	body, _ := json.Marshal(fields)
	url := fmt.Sprintf("http://%s%s?call=instances.%s&of=i-%s", h.settings.Control, platform.PathReports, kind, h.settings.Node)
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// writeConfig writes a version of the configuration with a route for each prefix to its service.
func (m *mesh) writeConfig(version int, prefixes map[string]string) {
	m.writeConfigWith(version, prefixes, nil)
}

// writeConfigWith is writeConfig with client accounts.
func (m *mesh) writeConfigWith(version int, prefixes map[string]string, accounts []map[string]any) {
	var routes []map[string]any
	for prefix, service := range prefixes {
		routes = append(routes, map[string]any{
			"name": "r" + prefix, "host": "a.example", "prefix": prefix, "kind": "unsafe",
			"timeoutS": 3, "targetLatencyS": 0.5, "service": service, "maxAttempts": 2,
		})
	}
	m.writeRoutesWith(version, routes, accounts)
}

// writeRoutes writes a version of the configuration with the given routes.
func (m *mesh) writeRoutes(version int, routes []map[string]any) {
	m.writeRoutesWith(version, routes, nil)
}

// writeRoutesWith is writeRoutes with client accounts.
func (m *mesh) writeRoutesWith(version int, routes, accounts []map[string]any) {
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": accounts,
		"services": []map[string]any{{"name": "first"}, {"name": "second"}},
		"limits":   map[string]any{"maxHeaderBytes": 4096, "maxBodyBytes": 1 << 20, "headerTimeoutS": 1, "idleTimeoutS": 5},
	})
	m.store.Put(platform.KeyConfig, text)
}

var requestNumber atomic.Int64

// send sends a request to the host's node and returns the status and body of the response.
func (h *host) send(path, body string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.settings.Client+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", err
	}
	request.Host = "a.example"
	request.Header.Set(platform.HeaderRequestID, fmt.Sprint("id-", requestNumber.Add(1)))
	request.Header.Set(platform.HeaderTimeRemaining, "2000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		_, processed := processedIDs.Load(request.Header.Get(platform.HeaderRequestID))
		return 0, "", &noResponseError{error: err, processed: processed}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// processedIDs contains the IDs of the requests that a target has processed.
var processedIDs sync.Map

// noResponseError is returned for a request without a response.
type noResponseError struct {
	error

	processed bool // whether a target has processed the request
}

// waitForOK sends requests to a path until one is successful.
func (h *host) waitForOK(t *testing.T, path string) {
	t.Helper()
	var last int
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var err error
		if last, _, err = h.send(path, ""); err == nil && last == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s at %s: status %d", path, h.settings.Node, last)
}

// ready returns the status of the readiness probe, or 0 if it gets no response.
func (h *host) ready() int {
	response, err := http.Get("http://" + h.settings.Ready + platform.PathReady)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestForwardingAndConfigChanges checks that all nodes forward requests by the newest version of the
// configuration, and that they do not activate an older one.
func TestForwardingAndConfigChanges(t *testing.T) {
	m := startMesh(t, "first", "first", "second")
	for _, h := range m.hosts {
		h.waitForOK(t, "/a/x")
		h.waitForOK(t, "/b/x")
		assert.Equal(t, h.ready(), http.StatusOK)
	}
	_, text, err := m.hosts[2].send("/a/x", "body")
	assert.NilError(t, err)
	assert.Equal(t, text, fmt.Sprintf("first second id-%d body", requestNumber.Load()))
	status, _, err := m.hosts[0].send("/none/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)

	m.writeConfig(2, map[string]string{"/a/": "second", "/c/": "first"})
	for _, h := range m.hosts {
		h.waitForOK(t, "/c/x")
		status, _, err := h.send("/b/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNotFound, "the route was removed")
	}
	m.writeConfig(1, map[string]string{"/b/": "second"})
	time.Sleep(200 * time.Millisecond)
	for _, h := range m.hosts {
		status, _, err := h.send("/b/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusNotFound, "an older version must not be activated")
	}
}

// TestDrain drains a target under load. No request may fail, and the target must get none after the
// time that the settings allow.
func TestDrain(t *testing.T) {
	m := startMesh(t, "first", "first", "second")
	draining := m.hosts[0]
	m.hosts[2].waitForOK(t, "/a/x")
	for draining.arrived.Load() == 0 {
		draining.waitForOK(t, "/a/x")
	}
	close(draining.stopHeartbeats)
	time.Sleep(150 * time.Millisecond)
	assert.Assert(t, draining.sendHeartbeat("draining"))
	began := time.Now()
	var arrivedAtBound int64
	for time.Since(began) < 2500*time.Millisecond {
		status, _, err := m.hosts[2].send("/a/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		if time.Since(began) < 2*time.Second {
			arrivedAtBound = draining.arrived.Load()
		}
	}
	assert.Equal(t, draining.arrived.Load(), arrivedAtBound)
}

// TestGracefulShutdown stops a node under load. Each request to it must get a response, unless no
// target has processed it.
func TestGracefulShutdown(t *testing.T) {
	m := startMesh(t, "first", "first", "second")
	stopped := m.hosts[0]
	for _, h := range m.hosts {
		h.workMillis.Store(50)
		h.waitForOK(t, "/a/x")
	}
	var failures atomic.Int64
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for stopped.ready() != 0 {
				status, _, err := stopped.send("/a/x", "")
				var noResponse *noResponseError
				if errors.As(err, &noResponse) && noResponse.processed {
					failures.Add(1)
					t.Logf("processed request without a response: %v", err)
				}
				if err == nil && status != http.StatusOK && status != http.StatusServiceUnavailable {
					failures.Add(1)
					t.Logf("status %d", status)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped.stopNode()
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, stopped.ready(), http.StatusServiceUnavailable)
	clients.Wait()
	<-stopped.done
	assert.Equal(t, failures.Load(), int64(0))
	m.hosts[2].waitForOK(t, "/a/x")
}

// TestStoreUnavailable checks that nodes serve requests while the store is unavailable, and activate
// a newer version when it is available again.
func TestStoreUnavailable(t *testing.T) {
	m := startMesh(t, "first", "second")
	for _, h := range m.hosts {
		h.waitForOK(t, "/a/x")
	}
	m.store.SetFaults(standin.Faults{Refuse: true})
	m.store.RemoveKeys(platform.PrefixNodes)
	m.writeConfig(2, map[string]string{"/a/": "first", "/c/": "first"})
	for range 20 {
		status, _, err := m.hosts[1].send("/a/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	m.store.CompactHistory()
	m.store.SetFaults(standin.Faults{})
	for _, h := range m.hosts {
		h.waitForOK(t, "/c/x")
	}
}

// TestMaxClientConns guards against connections of clients that use the descriptors of links and targets, or
// more memory than is left beside the bodies.
func TestMaxClientConns(t *testing.T) {
	tests := map[string]struct {
		memory      int64
		descriptors int
		want        int
	}{
		"no limits":         {0, 0, 0},
		"memory unknown":    {0, 4100, 2050},
		"files unknown":     {184 << 20, 0, 736},
		"smallest host":     {184 << 20, 4100, 736},
		"largest host":      {536 << 20, 8192, 2144},
		"few descriptors":   {536 << 20, 256, 128},
		"less than a share": {64 << 10, 1, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, maxClientConns(test.memory, test.descriptors), test.want)
		})
	}
}
