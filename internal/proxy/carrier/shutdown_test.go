package carrier

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShutdownEndsCalls ends calls of a node that stops. It guards against calls whose result claims more than is
// certain, and against results that come only after the end of the process.
func TestShutdownEndsCalls(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		confirmed  bool // the peer has asked for a confirmation
		size       int  // of the body in bytes
		queued     bool // the peer holds the call in a queue, so that it refuses it when it is withdrawn
		finish     bool // the process is about to end
		outcome    Outcome
		ran        bool // whether the call may run at the peer afterwards
	}{
		"idempotent, queued":              {true, false, 0, true, false, Refused, false},
		"idempotent, running":             {true, false, 0, false, true, Unknown, true},
		"not idempotent, not confirmed":   {false, false, 0, false, false, Refused, false},
		"not idempotent, confirmed":       {false, true, 0, false, true, Unknown, true},
		"not idempotent, confirmed, late": {false, true, 0, true, false, Refused, false},
		"large body, idempotent, queued":  {true, false, 100_000, true, false, Refused, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answers := make(chan func(*Answer), 1)
			var confirmed atomic.Bool
			arrived := make(chan struct{})
			server := &testServer{canceled: make(chan string, 1), serve: func(call *Call, answer func(*Answer)) {
				answers <- answer
				go func() {
					if test.confirmed {
						confirmed.Store(call.Confirm())
					}
					close(arrived)
				}()
			}}
			withdrawn := make(chan struct{}, 1)
			server.withdraw = func(string) {
				withdrawn <- struct{}{}
				if test.queued {
					(<-answers)(&Answer{Outcome: Refused, Reason: "withdrawn"})
				}
			}
			from, _, l := startPair(t, server)
			shutdown := new(Shutdown)
			call := &Call{ID: []byte("r"), Idempotent: test.idempotent, Body: make([]byte, test.size), Remaining: 20 * time.Second, Shutdown: shutdown}
			results := make(chan *Answer, 1)
			go func() { results <- l.Exchange(call, nil, 20*time.Second) }()
			<-arrived
			assert.Equal(t, confirmed.Load(), test.confirmed)
			shutdown.Begin(time.Now().Add(time.Second))
			if test.finish {
				select {
				case <-results:
					t.Fatal("a call that may run ended before the end of the process")
				case <-withdrawn:
				}
				shutdown.Finish()
			}
			select {
			case answer := <-results:
				assert.Equal(t, answer.Outcome, test.outcome, answer.Reason)
			case <-time.After(5 * time.Second):
				t.Fatal("no result")
			}
			assert.Equal(t, len(from.Links()), 1, "the link stays open")
		})
	}
}

// startPair starts two linked hubs, of which the second has the given server. It returns them with the first one's
// link.
func startPair(t *testing.T, server *testServer) (from, to *Hub, l *Link) {
	t.Helper()
	from = startHub(t, "from", &testServer{canceled: make(chan string, 1), serve: func(*Call, func(*Answer)) {}})
	to = startHub(t, "to", server)
	from.SetPeers(map[string]Peer{to.Self.Address: to.Self}, []Peer{to.Self})
	for end := time.Now().Add(5 * time.Second); len(from.Links()) == 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "no link")
	}
	return from, to, from.Links()[0]
}
