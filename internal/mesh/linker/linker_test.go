package linker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/mesh/signer"
)

const eventTimeout = 10 * time.Second

// recorder records the link events of one node as text.
type recorder struct{ events chan string }

func newRecorder() *recorder { return &recorder{events: make(chan string, 256)} }

func (r *recorder) LinkUp(host messenger.Host, _ bool) { r.events <- "up " + host.Name }
func (r *recorder) LinkDown(name string, planned bool) {
	if planned {
		r.events <- "closed " + name
		return
	}
	r.events <- "lost " + name
}
func (r *recorder) DialFailed(name string) { r.events <- "failed " + name }
func (r *recorder) Probed(name string, alive bool) {
	if alive {
		r.events <- "alive " + name
		return
	}
	r.events <- "unresponsive " + name
}

func (r *recorder) Received(from string, message messenger.Message) {
	if message.Ping != nil {
		r.events <- "ping " + from
	}
}

// await waits for an event and skips others.
func (r *recorder) await(t *testing.T, want string) {
	t.Helper()
	deadline := time.After(eventTimeout)
	for {
		select {
		case event := <-r.events:
			if event == want {
				return
			}
		case <-deadline:
			t.Fatalf("no event %q", want)
		}
	}
}

func newAuthority(t *testing.T) signer.KeyPair {
	t.Helper()
	authority, err := signer.NewAuthority(time.Now())
	assert.NilError(t, err)
	return authority
}

// open starts a linker on a loopback address with a certificate of the authority.
func open(t *testing.T, authority signer.KeyPair, name string) (*Linker, *recorder, messenger.Host) {
	t.Helper()
	pair, err := signer.Issue(authority, name, time.Now())
	assert.NilError(t, err)
	identity, err := signer.NewIdentity(pair, authority.Certificate)
	assert.NilError(t, err)
	events := newRecorder()
	host := messenger.Host{Name: name, FailureDomain: "suva", Control: "127.0.0.1:0"}
	l, cleanup, err := New(host, 1, identity, events)
	assert.NilError(t, err)
	t.Cleanup(cleanup)
	host.Control = l.Address()
	return l, events, host
}

func TestLinkCarriesMessages(t *testing.T) {
	authority := newAuthority(t)
	a, aEvents, aHost := open(t, authority, "a")
	b, bEvents, bHost := open(t, authority, "b")
	a.Dial(bHost)
	aEvents.await(t, "up b")
	bEvents.await(t, "up a")
	assert.NilError(t, a.Send("b", &messenger.Message{Ping: &messenger.Ping{}}))
	bEvents.await(t, "ping a")
	b.Probe(aHost)
	bEvents.await(t, "alive a")
	a.Close("b")
	bEvents.await(t, "closed a")
}

func TestUnexpectedPeerIsRejected(t *testing.T) {
	authority := newAuthority(t)
	a, aEvents, _ := open(t, authority, "a")
	_, _, foreignHost := open(t, newAuthority(t), "b")
	a.Dial(foreignHost)
	aEvents.await(t, "failed b")
	_, _, other := open(t, authority, "c")
	other.Name = "b"
	a.Dial(other)
	aEvents.await(t, "failed b")
}

func TestSimultaneousDialsLeaveOneLink(t *testing.T) {
	authority := newAuthority(t)
	a, aEvents, aHost := open(t, authority, "a")
	b, bEvents, bHost := open(t, authority, "b")
	a.Dial(bHost)
	b.Dial(aHost)
	aEvents.await(t, "up b")
	bEvents.await(t, "up a")
	// A message sent while one link replaces the other may be lost, but not a later one.
	sendUntil(t, a, "b", bEvents, "ping a")
	sendUntil(t, b, "a", aEvents, "ping b")
	assert.Equal(t, len(*a.links.Load()), 1)
	assert.Equal(t, len(*b.links.Load()), 1)
}

// sendUntil repeats a ping until the event occurs.
func sendUntil(t *testing.T, from *Linker, to string, events *recorder, want string) {
	t.Helper()
	for range 100 {
		assert.NilError(t, from.Send(to, &messenger.Message{Ping: &messenger.Ping{}}))
		select {
		case event := <-events.events:
			if event == want {
				return
			}
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Fatalf("no event %q", want)
}

func TestProbeOfUnresponsiveHost(t *testing.T) {
	authority := newAuthority(t)
	a, aEvents, _ := open(t, authority, "a")
	b, _, bHost := open(t, authority, "b")
	a.Dial(bHost)
	aEvents.await(t, "up b")
	b.DropPackets()
	a.Probe(bHost)
	aEvents.await(t, "unresponsive b")
}
