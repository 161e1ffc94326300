package carrier

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitForIssuing waits until a hub knows the shards of a peer.
func waitForIssuing(t *testing.T, h *Hub, peer Peer, shards uint64) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); h.Issuing(&peer).Shards != shards; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "shards %b, not %b", h.Issuing(&peer).Shards, shards)
	}
}

// TestCredit checks the exchange of credit over a link.
func TestCredit(t *testing.T) {
	entry := &testServer{serve: echo, canceled: make(chan string, 8), grants: make(chan *CreditGrant, 1)}
	near := startHub(t, "near", entry)
	far := startHub(t, "far", &testServer{serve: echo, canceled: make(chan string, 8)})
	near.SetPeers(map[string]Peer{far.Self.Address: far.Self}, nil)
	for len(near.Links()) == 0 {
		time.Sleep(time.Millisecond)
	}
	near.Links()[0].RequestCredit(&CreditRequest{Sent: 5, Wants: []CreditWant{{Account: "a", Want: 3}}})
	grant := <-entry.grants
	assert.Equal(t, grant.Sent, time.Duration(5))
	assert.Equal(t, grant.Accounts[0].Count, 3)
}

// TestRenewLease checks that a node renews leases for its peer.
func TestRenewLease(t *testing.T) {
	near := startHub(t, "near", &testServer{serve: echo, canceled: make(chan string, 8)})
	far := startHub(t, "far", &testServer{serve: echo, canceled: make(chan string, 8)})
	near.SetPeers(map[string]Peer{far.Self.Address: far.Self}, nil)
	for len(near.Links()) == 0 {
		time.Sleep(time.Millisecond)
	}
	l := near.Links()[0]
	assert.Assert(t, l.RenewLease(7))
	assert.Assert(t, !l.RenewLease(unknownLease))
	assert.Equal(t, len(l.renewals), 0)
	l.Close()
	assert.Assert(t, !l.RenewLease(7))
}

// TestIssuingIsKnown guards against a node that does not know an issuer: because it began to issue after its
// hello, because an answer to a call carries no such state, or because states arrive out of order.
func TestIssuingIsKnown(t *testing.T) {
	near := startHub(t, "near", &testServer{serve: echo, canceled: make(chan string, 8)})
	server := &testServer{serve: echo, canceled: make(chan string, 8)}
	server.issuing.Store(3)
	far := startHub(t, "far", server)
	near.SetPeers(map[string]Peer{far.Self.Address: far.Self}, nil)
	waitForIssuing(t, near, far.Self, 3)
	server.issuing.Store(5)
	far.Announce()
	waitForIssuing(t, near, far.Self, 5)
	l := near.Links()[0]
	answer := l.Exchange(&Call{ID: []byte("x"), Idempotent: true, Remaining: time.Second}, nil, time.Second)
	assert.Equal(t, answer.Outcome, Answered)
	assert.Equal(t, near.Issuing(&far.Self).Shards, uint64(5))
	l.recordIssuing(&State{Issuing: Issuing{Shards: 3, Changes: 3}})
	assert.Equal(t, near.Issuing(&far.Self).Shards, uint64(5))
	restarted := far.Self
	restarted.Started++
	assert.Equal(t, near.Issuing(&restarted).Shards, uint64(0))
}

// lentParts are parts that a peer has lent.
type lentParts struct {
	lender Peer
	reply  PartReply
}

// TestParts checks the exchange of parts over a link, and that the request shows what its sender issues.
func TestParts(t *testing.T) {
	issuer := &testServer{serve: echo, canceled: make(chan string, 8), parts: make(chan lentParts, 1)}
	near := startHub(t, "near", issuer)
	far := startHub(t, "far", &testServer{serve: echo, canceled: make(chan string, 8)})
	near.SetPeers(map[string]Peer{far.Self.Address: far.Self}, nil)
	for len(near.Links()) == 0 {
		time.Sleep(time.Millisecond)
	}
	near.Links()[0].RequestParts(&PartRequest{Time: 5, Term: 7, Shards: 3})
	parts := <-issuer.parts
	assert.Equal(t, parts.lender.Node, "far")
	assert.Equal(t, parts.reply, PartReply{Time: 5, Term: 7, Shards: 3, Nodes: 2})
	assert.Equal(t, far.Issuing(&near.Self), Issuing{Shards: 3, Changes: 7})
}

// TestEnded guards against a process that counts as ended although this node has closed the link to it, and may be cut
// off from it, and against one that does not although it has closed its links.
func TestEnded(t *testing.T) {
	tests := map[string]struct {
		close func(near, far *Hub)
		ended bool
	}{
		"by the peer":  {func(_, far *Hub) { far.close() }, true},
		"by this node": {func(near, _ *Hub) { near.Links()[0].Close() }, false},
		"not at all":   {func(*Hub, *Hub) {}, false},
		"linked again": {func(near, _ *Hub) { _ = near.Links()[0].conn.(*net.TCPConn).CloseWrite() }, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near := startHub(t, "near", &testServer{serve: echo, canceled: make(chan string, 8)})
			far := startHub(t, "far", &testServer{serve: echo, canceled: make(chan string, 8)})
			near.SetPeers(map[string]Peer{far.Self.Address: far.Self}, nil)
			for len(near.Links()) == 0 {
				time.Sleep(time.Millisecond)
			}
			test.close(near, far)
			time.Sleep(100 * time.Millisecond)
			for end := time.Now().Add(5 * time.Second); near.Ended("far", far.Self.Started) != test.ended; time.Sleep(5 * time.Millisecond) {
				assert.Assert(t, time.Now().Before(end))
			}
			assert.Assert(t, !near.Ended("far", far.Self.Started+1))
		})
	}
}
