package carrier

import (
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/matcher"
)

// testServer is the server behind a hub under test.
type testServer struct {
	mu      sync.Mutex
	serve   func(call *Call, answer func(*Answer))
	voided  map[string]bool
	aborted chan string // ids of calls that were given up
}

func (p *testServer) Serve(call *Call, answer func(*Answer)) func() {
	p.serve(call, answer)
	return func() { p.aborted <- string(call.ID) }
}

func (p *testServer) Void(id []byte, _ uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voided[string(id)]
}

func (p *testServer) State() State                       { return State{Serving: true, Slots: 1} }
func (p *testServer) Version() uint64                    { return 0 }
func (p *testServer) UpdateSince(uint64) *matcher.Update { return nil }
func (p *testServer) Receive(*matcher.Update, func())    {}

func startHub(t *testing.T, name string, p *testServer) *Hub {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	h := &Hub{
		Self:     Peer{Node: name, Address: address, Started: time.Now().UnixNano()},
		Server:   p,
		Log:      zap.NewNop(),
		AddPeers: func([]Peer) {},
	}
	stop, err := h.Start()
	assert.NilError(t, err)
	t.Cleanup(stop)
	return h
}

// stallableProxy passes bytes on to an address until it is shut; from then on open connections are
// silent, and new ones work.
type stallableProxy struct {
	address string
	mu      sync.Mutex
	stalled chan struct{}
}

func startProxy(t *testing.T, to string) *stallableProxy {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	g := &stallableProxy{address: listener.Addr().String(), stalled: make(chan struct{})}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp4", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			g.mu.Lock()
			stalled := g.stalled
			g.mu.Unlock()
			go copyUntilStalled(out, in, stalled)
			go copyUntilStalled(in, out, stalled)
		}
	}()
	return g
}

func (g *stallableProxy) stall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.stalled)
	g.stalled = make(chan struct{})
}

func copyUntilStalled(to, from net.Conn, stalled <-chan struct{}) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-stalled:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// linkThrough returns a link to a server, by way of a gate.
func linkThrough(t *testing.T, p *testServer) (*Hub, *Link, *stallableProxy) {
	t.Helper()
	far := startHub(t, "far", p)
	g := startProxy(t, far.Self.Address)
	near := startHub(t, "near", &testServer{aborted: make(chan string, 8)})
	near.SetPeers(map[string]Peer{g.address: {}}, nil)
	for range 100 {
		if links := near.Links(); len(links) > 0 {
			return near, links[0], g
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no link")
	return nil, nil, nil
}

func echo(call *Call, answer func(*Answer)) {
	answer(&Answer{Outcome: Answered, Body: call.ID, Load: State{Serving: true, Slots: 1}})
}

func TestExchange(t *testing.T) {
	_, link, _ := linkThrough(t, &testServer{serve: echo, aborted: make(chan string, 8)})
	answer := link.Exchange(&Call{ID: []byte("a")}, nil, time.Second)
	assert.Equal(t, answer.Outcome, Answered)
	assert.Equal(t, string(answer.Body), "a")
	assert.Assert(t, !link.Suspect())
}

// TestClientLeaves tells the peer that the client left.
func TestClientLeaves(t *testing.T) {
	p := &testServer{serve: func(*Call, func(*Answer)) {}, aborted: make(chan string, 8)}
	_, link, _ := linkThrough(t, p)
	gone := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(gone) })
	assert.Assert(t, link.Exchange(&Call{ID: []byte("a")}, gone, time.Second) == nil)
	assert.Equal(t, <-p.aborted, "a")
}

// TestUnresponsiveLink lets a link fall silent while calls are at work. A call that may be
// repeated, and one that was not confirmed, is free to go elsewhere long before the link is
// closed; one that may have reached the target stays until then.
func TestUnresponsiveLink(t *testing.T) {
	early := busyPingInterval + suspectTimeout + 400*time.Millisecond
	tests := map[string]struct {
		idempotent, confirmed bool
		outcome               Outcome
		minTime, maxTime      time.Duration
	}{
		"may be repeated": {true, false, Unknown, busyPingInterval, early},
		"not confirmed":   {false, false, Refused, busyPingInterval, early},
		"confirmed":       {false, true, Unknown, pingTimeout, busyPingInterval + pingTimeout + 500*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ready := make(chan bool, 1)
			p := &testServer{aborted: make(chan string, 8)}
			p.serve = func(call *Call, _ func(*Answer)) {
				if test.confirmed {
					go func() { ready <- call.Confirm() }()
					return
				}
				ready <- false
			}
			_, link, g := linkThrough(t, p)
			answers := make(chan *Answer, 1)
			began := time.Now()
			go func() {
				answers <- link.Exchange(&Call{ID: []byte("a"), Idempotent: test.idempotent}, nil, 5*time.Second)
			}()
			assert.Equal(t, <-ready, test.confirmed)
			g.stall()
			answer := <-answers
			spent := time.Since(began)
			assert.Equal(t, answer.Outcome, test.outcome)
			assert.Assert(t, spent >= test.minTime && spent <= test.maxTime, "%s", spent)
		})
	}
}

// TestNoLongerWanted lets a call get its slot after its sender gave it up.
func TestNoLongerWanted(t *testing.T) {
	calls := make(chan *Call, 1)
	p := &testServer{serve: func(call *Call, _ func(*Answer)) { calls <- call }, aborted: make(chan string, 8)}
	_, link, _ := linkThrough(t, p)
	answer := link.Exchange(&Call{ID: []byte("a")}, nil, 50*time.Millisecond)
	assert.Equal(t, answer.Outcome, Refused)
	assert.Assert(t, !(<-calls).Confirm())
}

// TestSuspicion tells a node that another one is silent: it asks for itself, and believes the
// answer.
func TestSuspicion(t *testing.T) {
	near, link, g := linkThrough(t, &testServer{serve: echo, aborted: make(chan string, 8)})
	time.Sleep(2 * suspicionIgnoreTime)
	near.suspect("far", time.Now())
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !link.Suspect(), "it has answered")
	g.stall()
	near.suspect("far", time.Now())
	assert.Assert(t, link.Suspect())
}

// TestVoid settles an attempt over a fresh link after the first one fell silent.
func TestVoid(t *testing.T) {
	p := &testServer{serve: func(*Call, func(*Answer)) {}, aborted: make(chan string, 8), voided: map[string]bool{"begun": false, "waits": true}}
	near, link, g := linkThrough(t, p)
	g.stall()
	fresh, cleanUp, err := near.DialTemporary(g.address)
	assert.NilError(t, err)
	defer cleanUp()
	assert.Equal(t, fresh.Peer.Started, link.Peer.Started)
	assert.Assert(t, fresh.Void([]byte("waits"), 1))
	assert.Assert(t, !fresh.Void([]byte("begun"), 1))
}

// startHubs starts hubs that all want links to all others.
func startHubs(t *testing.T, number int) []*Hub {
	t.Helper()
	hubs := make([]*Hub, number)
	peers := make(map[string]Peer)
	var known []Peer
	for i := range hubs {
		hubs[i] = startHub(t, string(rune('a'+i)), &testServer{serve: echo, aborted: make(chan string, 8)})
		peers[hubs[i].Self.Address] = hubs[i].Self
		known = append(known, hubs[i].Self)
	}
	for _, h := range hubs {
		others := slices.DeleteFunc(slices.Clone(known), func(p Peer) bool { return p.Node == h.Self.Node })
		h.SetPeers(peers, others)
	}
	return hubs
}

// countLinks returns the number of links that are up, preferred or not.
func (h *Hub) countLinks() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.allLinks)
}

// TestOneLinkPerPair starts all nodes at once: each pair has one link, which carries calls
// both ways, though both sides know one another.
func TestOneLinkPerPair(t *testing.T) {
	hubs := startHubs(t, 5)
	time.Sleep(passiveDialDelay + 400*time.Millisecond)
	for _, h := range hubs {
		assert.Equal(t, h.countLinks(), len(hubs)-1, h.Self.Node)
		for _, l := range h.Links() {
			answer := l.Exchange(&Call{ID: []byte("x")}, nil, time.Second)
			assert.Equal(t, answer.Outcome, Answered)
		}
	}
}

// TestBothDial lets both sides of a pair dial; the link that one side does not prefer is
// closed in the end, and nothing is lost with it.
func TestBothDial(t *testing.T) {
	hubs := startHubs(t, 2)
	for _, h := range hubs {
		other := hubs[0]
		if h == other {
			other = hubs[1]
		}
		go func() { _ = h.connect(other.Self.Address) }()
	}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, len(hubs[0].Links()), 1)
	assert.Equal(t, hubs[0].Links()[0].dialed, !hubs[1].Links()[0].dialed)
	time.Sleep(spareIdleTimeout + 500*time.Millisecond)
	for _, h := range hubs {
		assert.Equal(t, h.countLinks(), 1)
	}
}

// TestPeersAreRequested lets a node that knows one other learn of all.
func TestPeersAreRequested(t *testing.T) {
	hubs := startHubs(t, 4)
	received := make(chan []Peer, 8)
	joining := startHub(t, "z", &testServer{serve: echo, aborted: make(chan string, 8)})
	joining.AddPeers = func(peers []Peer) { received <- peers }
	joining.SetPeers(map[string]Peer{hubs[0].Self.Address: {}}, nil)
	select {
	case peers := <-received:
		assert.Equal(t, len(peers), len(hubs))
	case <-time.After(2 * time.Second):
		t.Fatal("nobody was met")
	}
}
