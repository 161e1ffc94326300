package carrier

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/pacer"
)

const (
	narrowLink   = 12e6 / 8 // bandwidth of 12 Mbit/s in bytes per second
	largestPhoto = 540_000  // size in bytes of the largest download of the further deployments
)

// photos answers calls whose ID begins with "photo" with a large body, and others with their ID.
func photos(call *Call, answer func(*Answer)) {
	if !bytes.HasPrefix(call.ID, []byte("photo")) {
		go echo(call, answer)
		return
	}
	go answer(&Answer{
		Outcome: Answered,
		Body:    bytes.Repeat(call.ID, largestPhoto/len(call.ID)),
		Load:    State{Serving: true, Slots: 1},
	})
}

func bulkCall(id string) *Call {
	return &Call{ID: []byte(id), Idempotent: true, Bulk: true, Priority: 2, Remaining: 2 * time.Second}
}

// TestSmallAnswerOvertakesLargeOne replays an urgent lookup beside the largest download on a narrow link.
func TestSmallAnswerOvertakesLargeOne(t *testing.T) {
	server := &testServer{serve: photos, canceled: make(chan string, 8), uplink: &pacer.Gate{Rate: narrowLink}}
	_, link, _ := linkThrough(t, server)
	photo := make(chan *Answer, 1)
	go func() { photo <- link.Exchange(bulkCall("photo-1"), nil, 3*time.Second) }()
	time.Sleep(50 * time.Millisecond) // the download is being sent
	began := time.Now()
	small := link.Exchange(&Call{ID: []byte("price"), Idempotent: true, Remaining: time.Second}, nil, time.Second)
	took := time.Since(began)
	assert.Equal(t, small.Outcome, Answered)
	select {
	case <-photo:
		t.Fatal("the download ended before the lookup")
	default:
	}
	assert.Assert(t, took < 100*time.Millisecond, "the lookup took %s", took)
	large := <-photo
	assert.Equal(t, large.Outcome, Answered)
	assert.Assert(t, bytes.Equal(large.Body, bytes.Repeat([]byte("photo-1"), largestPhoto/7)))
	assert.Assert(t, large.Load.Serving)
}

// TestCanceledLargeAnswer checks that the rest of an answer is not sent once its caller has gone.
func TestCanceledLargeAnswer(t *testing.T) {
	uplink := &pacer.Gate{Rate: narrowLink}
	server := &testServer{serve: photos, canceled: make(chan string, 8), uplink: uplink}
	_, link, _ := linkThrough(t, server)
	gone := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() { close(gone) })
	assert.Assert(t, link.Exchange(bulkCall("photo-2"), gone, 3*time.Second) == nil)
	time.Sleep(100 * time.Millisecond)
	waiting, _ := uplink.Delay(0)
	assert.Assert(t, waiting < 50*time.Millisecond, "the rest would occupy the link for %s", waiting)
}

// TestLinkBreaksDuringLargeAnswer checks that a body that lacks its end is not passed on as complete.
func TestLinkBreaksDuringLargeAnswer(t *testing.T) {
	server := &testServer{serve: photos, canceled: make(chan string, 8), uplink: &pacer.Gate{Rate: narrowLink}}
	_, link, _ := linkThrough(t, server)
	time.AfterFunc(100*time.Millisecond, link.Close)
	assert.Equal(t, link.Exchange(bulkCall("photo-3"), nil, 3*time.Second).Outcome, Unknown)
}

func TestWholeBody(t *testing.T) {
	tests := map[string]struct {
		received string
		frame    answerFrame
		outcome  Outcome
		body     string
	}{
		"in one frame":  {"", answerFrame{Answer: &Answer{Outcome: Answered, Body: []byte("abc")}}, Answered, "abc"},
		"in pieces":     {"abc", answerFrame{Answer: &Answer{Outcome: Answered}, Size: 3}, Answered, "abc"},
		"piece missing": {"ab", answerFrame{Answer: &Answer{Outcome: Answered}, Size: 3}, Failed, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &pendingCall{body: []byte(test.received)}
			answer := p.whole(&test.frame)
			assert.Equal(t, answer.Outcome, test.outcome)
			assert.Equal(t, string(answer.Body), test.body)
		})
	}
}

func TestPieceLongerThanItsBody(t *testing.T) {
	l := &Link{calls: map[uint64]*pendingCall{1: {}}}
	tests := map[string]pieceFrame{
		"more data than announced": {Number: 1, Size: 2, Data: []byte("abc")},
		"too large":                {Number: 1, Size: maxFrameSize + 1, Data: []byte("abc")},
		"negative size":            {Number: 1, Size: -1, Data: nil},
	}
	for name, frame := range tests {
		t.Run(name, func(t *testing.T) {
			encoded, err := cbor.Marshal(&frame)
			assert.NilError(t, err)
			assert.Assert(t, l.receivePiece(encoded) != nil)
		})
	}
}

// updateServer is a testServer with an update.
type updateServer struct {
	testServer
	update   *matcher.Update
	received chan *matcher.Update
}

func (s *updateServer) UpdateSince(uint64) *matcher.Update       { return s.update }
func (s *updateServer) Receive(update *matcher.Update, _ func()) { s.received <- update }

// largeUpdate returns an update of the size that the big configurations of the large deployment have.
func largeUpdate() *matcher.Update {
	update := &matcher.Update{Version: 7}
	for i := range 1500 {
		name := fmt.Sprintf("route-%d-with-a-long-name", i)
		update.Routes = append(update.Routes, matcher.Route{
			Name: name, Host: name + ".example", Prefix: "/" + name + "/",
			WeightedServices: []matcher.WeightedService{{Service: "service", Weight: 1}},
		})
	}
	return update
}

// TestLargeUpdate requests a large configuration over a narrow link. It must arrive whole, and a call beside
// it must not wait for all of it.
func TestLargeUpdate(t *testing.T) {
	server := &updateServer{testServer: testServer{serve: photos, canceled: make(chan string, 8)}, update: largeUpdate()}
	far := startHubWith(t, "far", server, &pacer.Gate{Rate: narrowLink})
	client := &updateServer{testServer: testServer{canceled: make(chan string, 8)}, received: make(chan *matcher.Update, 4)}
	near := startHubWith(t, "near", client, nil)
	link, stop, err := near.DialTemporary(far.Self.Address)
	assert.NilError(t, err)
	defer stop()
	link.fetch(0)
	link.fetch(0) // a second request while the update is being sent
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	price := link.Exchange(&Call{ID: []byte("price"), Idempotent: true, Remaining: time.Second}, nil, time.Second)
	took := time.Since(began)
	assert.Equal(t, price.Outcome, Answered)
	assert.Equal(t, len(client.received), 0, "the update ended before the lookup")
	assert.Assert(t, took < 60*time.Millisecond, "the lookup took %s", took)
	received := <-client.received
	assert.Equal(t, len(received.Routes), len(server.update.Routes))
	assert.DeepEqual(t, received.Routes[1499].Host, server.update.Routes[1499].Host)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(client.received), 0, "the update was sent twice")
}
