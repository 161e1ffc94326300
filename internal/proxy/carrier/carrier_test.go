package carrier

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/pacer"
	"clementinerock/internal/proxy/reserver"
)

// testServer is the Server of a hub under test.
type testServer struct {
	mu       sync.Mutex
	serve    func(call *Call, answer func(*Answer))
	voided   map[string]bool
	canceled chan string     // IDs of canceled calls
	withdraw func(id string) // called when a call is withdrawn; may be nil
	uplink   *pacer.Gate     // paces the answers; nil for no limit
	received atomic.Uint64   // version of the last update received
	issuing  atomic.Uint64   // shards whose issuer the node is, and the number of changes
	grants   chan *CreditGrant
	parts    chan lentParts
}

func (s *testServer) Serve(call *Call, answer func(*Answer)) Delivery {
	s.serve(call, answer)
	return &testDelivery{server: s, id: string(call.ID)}
}

// testDelivery is a call that a testServer has accepted.
type testDelivery struct {
	server *testServer
	id     string
}

func (d *testDelivery) Cancel() { d.server.canceled <- d.id }

func (d *testDelivery) Withdraw() {
	if d.server.withdraw != nil {
		d.server.withdraw(d.id)
	}
}

func (s *testServer) Void(id []byte, _ uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.voided[string(id)]
}

func (s *testServer) State() State {
	issuing := s.issuing.Load()
	return State{Serving: true, Slots: 1, Issuing: Issuing{Shards: issuing, Changes: issuing}}
}

// RenewLease renews all leases but one.
func (s *testServer) RenewLease(lease uint64) bool { return lease != unknownLease }

const unknownLease = 404

// GrantCredit grants what is requested.
func (s *testServer) GrantCredit(request *CreditRequest) *CreditGrant {
	grant := &CreditGrant{Sent: request.Sent}
	for _, want := range request.Wants {
		grant.Accounts = append(grant.Accounts, AccountCredit{Account: want.Account, Issued: true, Count: want.Want})
	}
	return grant
}

// LendParts lends all parts.
func (s *testServer) LendParts(_ *Peer, request *PartRequest) *PartReply {
	return &PartReply{Time: request.Time, Term: request.Term, Shards: request.Shards, Nodes: 2}
}

func (s *testServer) ReceiveParts(lender *Peer, reply *PartReply) {
	if s.parts != nil {
		s.parts <- lentParts{lender: *lender, reply: *reply}
	}
}

func (s *testServer) ReceiveCredit(grant *CreditGrant) {
	if s.grants != nil {
		s.grants <- grant
	}
}

func (s *testServer) Version() uint64                    { return 0 }
func (s *testServer) UpdateSince(uint64) *matcher.Update { return nil }
func (s *testServer) Receive(update *matcher.Update, _ func()) {
	s.received.Store(update.Version)
}

// ownLoopback returns a loopback IP address that no other running test uses. Ports of outgoing connections
// are taken on 127.0.0.1, so a free port stays free until the test listens on it.
func ownLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+(pid>>15)%100, (pid>>7)%256, 1+pid%128)
}

func startHub(t *testing.T, name string, s *testServer) *Hub {
	t.Helper()
	return startHubWith(t, name, s, s.uplink)
}

func startHubWith(t *testing.T, name string, s Server, uplink *pacer.Gate) *Hub {
	t.Helper()
	return startHubOf(t, &Hub{Self: Peer{Node: name}, Server: s, Uplink: uplink})
}

// startHubWithin starts a hub with limited memory for bodies.
func startHubWithin(t *testing.T, name string, s Server, uplink *pacer.Gate, memory *reserver.Reserver) *Hub {
	t.Helper()
	return startHubOf(t, &Hub{Self: Peer{Node: name}, Server: s, Uplink: uplink, Memory: memory})
}

// startHubOf sets the address and the other fields of a hub and starts it.
func startHubOf(t *testing.T, h *Hub) *Hub {
	t.Helper()
	listener, err := net.Listen("tcp4", ownLoopback()+":0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	h.Self.Address, h.Self.Started = address, time.Now().UnixNano()
	h.Log, h.AddPeers = zap.NewNop(), func([]Peer) {}
	h.Credits, _ = h.Server.(CreditServer)
	stop, err := h.Start()
	assert.NilError(t, err)
	t.Cleanup(stop)
	return h
}

// stallableProxy forwards connections to an address. stall makes the open connections drop all
// bytes without closing them; new connections work.
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
	p := &stallableProxy{address: listener.Addr().String(), stalled: make(chan struct{})}
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
			p.mu.Lock()
			stalled := p.stalled
			p.mu.Unlock()
			go copyUntilStalled(out, in, stalled)
			go copyUntilStalled(in, out, stalled)
		}
	}()
	return p
}

func (p *stallableProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
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

// linkThrough returns a new hub, its link to another hub with the given server, and the proxy that
// the link passes through.
func linkThrough(t *testing.T, s *testServer) (*Hub, *Link, *stallableProxy) {
	t.Helper()
	far := startHub(t, "far", s)
	proxy := startProxy(t, far.Self.Address)
	near := startHub(t, "near", &testServer{canceled: make(chan string, 8)})
	near.SetPeers(map[string]Peer{proxy.address: {}}, nil)
	for range 100 {
		if links := near.Links(); len(links) > 0 {
			return near, links[0], proxy
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
	_, link, _ := linkThrough(t, &testServer{serve: echo, canceled: make(chan string, 8)})
	answer := link.Exchange(&Call{ID: []byte("a")}, nil, time.Second)
	assert.Equal(t, answer.Outcome, Answered)
	assert.Equal(t, string(answer.Body), "a")
	assert.Assert(t, !link.Suspect())
}

// TestClientDisconnects checks that a call whose client has disconnected is canceled at the peer.
func TestClientDisconnects(t *testing.T) {
	s := &testServer{serve: func(*Call, func(*Answer)) {}, canceled: make(chan string, 8)}
	_, link, _ := linkThrough(t, s)
	gone := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(gone) })
	call := &Call{ID: []byte("a")}
	assert.Assert(t, link.Exchange(call, gone, time.Second) == nil)
	assert.Assert(t, call.NeverRuns, "it was not confirmed")
	repeatable := &Call{ID: []byte("b"), Idempotent: true}
	assert.Assert(t, link.Exchange(repeatable, gone, time.Second) == nil)
	assert.Assert(t, !repeatable.NeverRuns)
	assert.Equal(t, <-s.canceled, "a")
}

// TestUnresponsiveLink stalls a link with an open call. An idempotent call and one that was not
// confirmed end long before the link is closed, so that they can be tried elsewhere; a call
// that may have reached the target ends when the link is closed.
func TestUnresponsiveLink(t *testing.T) {
	early := busyPingInterval + suspectTimeout + 400*time.Millisecond
	tests := map[string]struct {
		idempotent, confirmed bool
		outcome               Outcome
		minTime, maxTime      time.Duration
	}{
		"idempotent":    {true, false, Unknown, busyPingInterval, early},
		"not confirmed": {false, false, Refused, busyPingInterval, early},
		"confirmed":     {false, true, Unknown, pingTimeout, busyPingInterval + pingTimeout + 500*time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ready := make(chan bool, 1)
			s := &testServer{canceled: make(chan string, 8)}
			s.serve = func(call *Call, _ func(*Answer)) {
				if test.confirmed {
					go func() { ready <- call.Confirm() }()
					return
				}
				ready <- false
			}
			_, link, proxy := linkThrough(t, s)
			answers := make(chan *Answer, 1)
			began := time.Now()
			go func() {
				answers <- link.Exchange(&Call{ID: []byte("a"), Idempotent: test.idempotent}, nil, 5*time.Second)
			}()
			assert.Equal(t, <-ready, test.confirmed)
			proxy.stall()
			answer := <-answers
			spent := time.Since(began)
			assert.Equal(t, answer.Outcome, test.outcome)
			assert.Assert(t, spent >= test.minTime && spent <= test.maxTime, "%s", spent)
		})
	}
}

// TestNoLongerWanted checks that a call is not confirmed if it gets its slot after its sender's
// timeout.
func TestNoLongerWanted(t *testing.T) {
	calls := make(chan *Call, 1)
	s := &testServer{serve: func(call *Call, _ func(*Answer)) { calls <- call }, canceled: make(chan string, 8)}
	_, link, _ := linkThrough(t, s)
	answer := link.Exchange(&Call{ID: []byte("a")}, nil, 50*time.Millisecond)
	assert.Equal(t, answer.Outcome, Refused)
	assert.Assert(t, !(<-calls).Confirm())
}

// TestSuspicion sends a node another node's suspicion of a peer: the node pings the peer, and
// the peer is suspect until it answers.
func TestSuspicion(t *testing.T) {
	near, link, proxy := linkThrough(t, &testServer{serve: echo, canceled: make(chan string, 8)})
	time.Sleep(2 * suspicionIgnoreTime)
	near.suspect("far", time.Now())
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, !link.Suspect(), "the peer has answered the ping")
	proxy.stall()
	near.suspect("far", time.Now())
	assert.Assert(t, link.Suspect())
}

// TestVoid voids attempts over a new link after the first one has stalled.
func TestVoid(t *testing.T) {
	s := &testServer{serve: func(*Call, func(*Answer)) {}, canceled: make(chan string, 8), voided: map[string]bool{"started": false, "queued": true}}
	near, link, proxy := linkThrough(t, s)
	proxy.stall()
	fresh, cleanUp, err := near.DialTemporary(proxy.address)
	assert.NilError(t, err)
	defer cleanUp()
	assert.Equal(t, fresh.Peer.Started, link.Peer.Started)
	assert.Assert(t, fresh.Void([]byte("queued"), 1))
	assert.Assert(t, !fresh.Void([]byte("started"), 1))
}

// startHubs starts hubs that each keep links to all others.
func startHubs(t *testing.T, number int) []*Hub {
	t.Helper()
	hubs := make([]*Hub, number)
	peers := make(map[string]Peer)
	var known []Peer
	for i := range hubs {
		hubs[i] = startHub(t, string(rune('a'+i)), &testServer{serve: echo, canceled: make(chan string, 8)})
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

// TestOneLinkPerPair starts several nodes at once, so that both sides of each pair may dial:
// each pair gets one link, which carries calls in both directions.
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

// TestBothDial lets both sides of a pair dial. Both prefer the same link, and the redundant one
// is closed once it is idle, so that no call is lost with it.
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

// TestPeersAreRequested checks that a node with the address of one other node receives all peers.
func TestPeersAreRequested(t *testing.T) {
	hubs := startHubs(t, 4)
	received := make(chan []Peer, 8)
	joining := startHub(t, "z", &testServer{serve: echo, canceled: make(chan string, 8)})
	joining.AddPeers = func(peers []Peer) { received <- peers }
	joining.SetPeers(map[string]Peer{hubs[0].Self.Address: {}}, nil)
	select {
	case peers := <-received:
		assert.Equal(t, len(peers), len(hubs))
	case <-time.After(2 * time.Second):
		t.Fatal("no peers were received")
	}
}

// TestLinkToLaterProcess guards against calls on the link to a process that has ended: its peer has started
// again after its clock was set back.
func TestLinkToLaterProcess(t *testing.T) {
	for name, started := range map[string]int64{"clock set back": 4, "clock ahead": 6} {
		t.Run(name, func(t *testing.T) {
			h := &Hub{Self: Peer{Node: "near", Started: 5}, allLinks: make(map[*Link]struct{})}
			ended := &Link{Peer: Peer{Node: "far", Started: 5}}
			later := &Link{Peer: Peer{Node: "far", Started: started}}
			assert.Assert(t, h.add(ended))
			assert.Assert(t, h.add(later))
			assert.Equal(t, len(h.Links()), 1)
			assert.Equal(t, h.Links()[0], later)
		})
	}
}

// failingListener fails to accept a number of times, as it does without free file descriptors.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptFails guards against a node that accepts no more links after it was out of file descriptors.
func TestAcceptFails(t *testing.T) {
	s := &testServer{serve: echo, canceled: make(chan string, 8)}
	h := startHub(t, "far", s)
	listener, err := net.Listen("tcp4", ownLoopback()+":0")
	assert.NilError(t, err)
	failing := &failingListener{Listener: listener}
	failing.failures.Store(3)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.acceptLoop(failing)
	}()
	near := startHub(t, "near", &testServer{serve: echo, canceled: make(chan string, 8)})
	link, cleanUp, err := near.DialTemporary(listener.Addr().String())
	assert.NilError(t, err)
	defer cleanUp()
	assert.Equal(t, link.Exchange(&Call{ID: []byte("a")}, nil, time.Second).Outcome, Answered)
	assert.NilError(t, listener.Close())
	<-ended
}
