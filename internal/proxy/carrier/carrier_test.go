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

// peer is the server behind a hub under test.
type peer struct {
	mu     sync.Mutex
	serve  func(call *Call, answer func(*Answer))
	voided map[string]bool
	given  chan string // ids of calls that were given up
}

func (p *peer) Serve(call *Call, answer func(*Answer)) func() {
	p.serve(call, answer)
	return func() { p.given <- string(call.ID) }
}

func (p *peer) Void(id []byte, _ uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voided[string(id)]
}

func (p *peer) State() State                    { return State{Serving: true, Slots: 1} }
func (p *peer) Version() uint64                 { return 0 }
func (p *peer) Since(uint64) *matcher.Update    { return nil }
func (p *peer) Receive(*matcher.Update, func()) {}

func startHub(t *testing.T, name string, p *peer) *Hub {
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

// gate passes bytes on to an address until it is shut; from then on open connections are
// silent, and new ones work.
type gate struct {
	address string
	mu      sync.Mutex
	shut    chan struct{}
}

func startGate(t *testing.T, to string) *gate {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	g := &gate{address: listener.Addr().String(), shut: make(chan struct{})}
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
			shut := g.shut
			g.mu.Unlock()
			go pass(out, in, shut)
			go pass(in, out, shut)
		}
	}()
	return g
}

func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.shut)
	g.shut = make(chan struct{})
}

func pass(to, from net.Conn, shut <-chan struct{}) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-shut:
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
func linkThrough(t *testing.T, p *peer) (*Hub, *Link, *gate) {
	t.Helper()
	far := startHub(t, "far", p)
	g := startGate(t, far.Self.Address)
	near := startHub(t, "near", &peer{given: make(chan string, 8)})
	near.Want(map[string]Peer{g.address: {}}, nil)
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
	_, link, _ := linkThrough(t, &peer{serve: echo, given: make(chan string, 8)})
	answer := link.Exchange(&Call{ID: []byte("a")}, nil, time.Second)
	assert.Equal(t, answer.Outcome, Answered)
	assert.Equal(t, string(answer.Body), "a")
	assert.Assert(t, !link.Suspect())
}

// TestGone tells the peer that the client left.
func TestGone(t *testing.T) {
	p := &peer{serve: func(*Call, func(*Answer)) {}, given: make(chan string, 8)}
	_, link, _ := linkThrough(t, p)
	gone := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(gone) })
	assert.Assert(t, link.Exchange(&Call{ID: []byte("a")}, gone, time.Second) == nil)
	assert.Equal(t, <-p.given, "a")
}

// TestSilentLink lets a link fall silent while calls are at work. A call that may be
// repeated, and one that was not confirmed, is free to go elsewhere long before the link is
// closed; one that may have reached the target stays until then.
func TestSilentLink(t *testing.T) {
	early := quietLimit + suspectAfter + 400*time.Millisecond
	tests := map[string]struct {
		idempotent, confirmed bool
		outcome               Outcome
		least, most           time.Duration
	}{
		"may be repeated": {true, false, Unknown, quietLimit, early},
		"not confirmed":   {false, false, Refused, quietLimit, early},
		"confirmed":       {false, true, Unknown, pingTimeout, quietLimit + pingTimeout + 500*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ready := make(chan bool, 1)
			p := &peer{given: make(chan string, 8)}
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
			g.silence()
			answer := <-answers
			spent := time.Since(began)
			assert.Equal(t, answer.Outcome, test.outcome)
			assert.Assert(t, spent >= test.least && spent <= test.most, "%s", spent)
		})
	}
}

// TestNoLongerWanted lets a call get its slot after its sender gave it up.
func TestNoLongerWanted(t *testing.T) {
	calls := make(chan *Call, 1)
	p := &peer{serve: func(call *Call, _ func(*Answer)) { calls <- call }, given: make(chan string, 8)}
	_, link, _ := linkThrough(t, p)
	answer := link.Exchange(&Call{ID: []byte("a")}, nil, 50*time.Millisecond)
	assert.Equal(t, answer.Outcome, Refused)
	assert.Assert(t, !(<-calls).Confirm())
}

// TestRumour tells a node that another one is silent: it asks for itself, and believes the
// answer.
func TestRumour(t *testing.T) {
	near, link, g := linkThrough(t, &peer{serve: echo, given: make(chan string, 8)})
	time.Sleep(2 * heardLately)
	near.suspect("far", time.Now())
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !link.Suspect(), "it has answered")
	g.silence()
	near.suspect("far", time.Now())
	assert.Assert(t, link.Suspect())
}

// TestVoid settles an attempt over a fresh link after the first one fell silent.
func TestVoid(t *testing.T) {
	p := &peer{serve: func(*Call, func(*Answer)) {}, given: make(chan string, 8), voided: map[string]bool{"begun": false, "waits": true}}
	near, link, g := linkThrough(t, p)
	g.silence()
	fresh, cleanUp, err := near.Redial(g.address)
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
	wanted := make(map[string]Peer)
	var known []Peer
	for i := range hubs {
		hubs[i] = startHub(t, string(rune('a'+i)), &peer{serve: echo, given: make(chan string, 8)})
		wanted[hubs[i].Self.Address] = hubs[i].Self
		known = append(known, hubs[i].Self)
	}
	for _, h := range hubs {
		others := slices.DeleteFunc(slices.Clone(known), func(p Peer) bool { return p.Node == h.Self.Node })
		h.Want(wanted, others)
	}
	return hubs
}

// count returns the number of links that are up, preferred or not.
func (h *Hub) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.all)
}

// TestOneLinkPerPair starts all nodes at once: each pair has one link, which carries calls
// both ways, though both sides know one another.
func TestOneLinkPerPair(t *testing.T) {
	hubs := startHubs(t, 5)
	time.Sleep(acceptWait + 400*time.Millisecond)
	for _, h := range hubs {
		assert.Equal(t, h.count(), len(hubs)-1, h.Self.Node)
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
	time.Sleep(spareIdle + 500*time.Millisecond)
	for _, h := range hubs {
		assert.Equal(t, h.count(), 1)
	}
}

// TestPeersAreAskedFor lets a node that knows one other learn of all.
func TestPeersAreAskedFor(t *testing.T) {
	hubs := startHubs(t, 4)
	met := make(chan []Peer, 8)
	newcomer := startHub(t, "z", &peer{serve: echo, given: make(chan string, 8)})
	newcomer.AddPeers = func(peers []Peer) { met <- peers }
	newcomer.Want(map[string]Peer{hubs[0].Self.Address: {}}, nil)
	select {
	case peers := <-met:
		assert.Equal(t, len(peers), len(hubs))
	case <-time.After(2 * time.Second):
		t.Fatal("nobody was met")
	}
}
