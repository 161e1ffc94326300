package carrier

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/reserver"
)

// errNotWanted reports that the caller does not wait for an answer any more.
var errNotWanted = merry.Sentinel("answer no longer wanted")

// answerInPieces sends an answer with a large body: the body in pieces as the uplink grants them,
// then the rest. Other frames go between the pieces, so that they wait for one piece only. A cancel
// request of the peer ends the sending.
func (l *Link) answerInPieces(call *Call, number uint64, answer *Answer, deadline time.Time) {
	canceled := make(chan struct{})
	l.mu.Lock()
	served := l.serving[number]
	if served != nil {
		served.cancel = func() { close(canceled) }
	}
	l.mu.Unlock()
	if served == nil {
		return
	}
	size := answer.BodySize()
	err := l.sendBody(canceled, answer.Body, answer.BodyRest, call.Priority, deadline, func(piece []byte) error {
		select {
		case <-canceled:
			return errNotWanted
		default:
		}
		_, err := l.write(kindPiece, &pieceFrame{Number: number, Size: size, Data: piece})
		return err
	})
	if l.endServing(number) == nil || errors.Is(err, errNotWanted) {
		return
	}
	if err != nil {
		l.Close()
		return
	}
	rest := *answer
	rest.Body, rest.BodyRest = nil, nil
	l.sendOrClose(kindAnswer, &answerFrame{Number: number, Answer: &rest, Size: size})
}

// servedCall is a call of the peer without an answer. Its entry in Link.serving exists from its arrival until
// the answer has been sent or the call is canceled, whichever is first.
type servedCall struct {
	cancel   func() // cancels the call, or the sending of its answer; called at most once; nil for no effect
	withdraw func() // refuses the call unless it has started; nil for no effect
	size     int    // of the body of the request in bytes
}

// endServing removes a call of the peer and returns it, or nil if it has been removed before: then the
// peer waits for no answer.
func (l *Link) endServing(number uint64) *servedCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	served := l.serving[number]
	delete(l.serving, number)
	return served
}

// cancelServed cancels a call of the peer, unless it has an answer or was canceled before.
func (l *Link) cancelServed(number uint64) {
	if served := l.endServing(number); served != nil && served.cancel != nil {
		served.cancel()
	}
}

// Held returns the numbers of calls of this node and of the peer without an answer, and the bytes of
// their requests' bodies.
func (l *Link) Held() (sent, served Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.calls {
		sent.Add(p.size)
	}
	for _, s := range l.serving {
		served.Add(s.size)
	}
	return sent, served
}

// Holding is a number of calls that a process holds, with the bytes of their requests' bodies.
type Holding struct {
	Calls int `json:"calls"`
	Bytes int `json:"bytes"`
}

// Add counts one more call with a body of the given size in bytes.
func (h *Holding) Add(size int) {
	h.Calls++
	h.Bytes += size
}

// receivePiece stores a piece of the body of an answer.
func (l *Link) receivePiece(body []byte) error {
	var frame pieceFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.mu.Lock()
	p, ok := l.calls[frame.Number]
	l.mu.Unlock()
	if !ok || p.noMemory {
		return nil // the call was given up
	}
	if frame.Size < 0 || frame.Size > maxFrameSize || len(p.body)+len(frame.Data) > frame.Size {
		return merry.Errorf("piece of %d bytes exceeds its body of %d bytes", len(frame.Data), frame.Size)
	}
	if p.body == nil {
		data := l.memory.TryAllocate(reserver.Owner{Class: reserver.Answer}, frame.Size)
		if data == nil {
			p.noMemory = true
			return nil
		}
		p.body = data[:0]
	}
	p.body = append(p.body, frame.Data...)
	return nil
}

// updatePriority and updateTime order the pieces of updates: before all answers, and one update after the
// other.
const (
	updatePriority = -1
	updateTime     = time.Second
)

// sendUpdate sends an update, in pieces if it is large. While it does, further requests of the peer are
// ignored.
//
// It is designed for large configurations: many nodes request one at once, and a whole one would keep the
// answers and pings of a host with a narrow link waiting until other nodes suspect it.
func (l *Link) sendUpdate(update *matcher.Update) error {
	encoded, err := cbor.Marshal(&updateFrame{Update: update})
	if err != nil {
		return merry.Prepend(err, "encode update")
	}
	if len(encoded) <= l.uplink.Piece() {
		return l.send(kindUpdate, cbor.RawMessage(encoded))
	}
	if l.updateSending.Swap(true) {
		return nil
	}
	go func() {
		defer l.updateSending.Store(false)
		err := l.uplink.Send(encoded, updatePriority, time.Now().Add(updateTime), func(piece []byte) error {
			_, err := l.write(kindUpdatePiece, &updatePieceFrame{Size: len(encoded), Data: piece})
			return err
		})
		if err != nil {
			l.Close()
		}
	}()
	return nil
}

// receiveUpdatePiece stores a piece of an update and handles the update when it is complete.
func (l *Link) receiveUpdatePiece(body []byte) error {
	var frame updatePieceFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frame.Size > maxFrameSize || len(l.updateReceived)+len(frame.Data) > frame.Size {
		return merry.Errorf("piece of %d bytes exceeds its update of %d bytes", len(frame.Data), frame.Size)
	}
	l.hub.recordFetchProgress()
	l.updateReceived = append(l.updateReceived, frame.Data...)
	if len(l.updateReceived) < frame.Size {
		return nil
	}
	encoded := l.updateReceived
	l.updateReceived = nil
	return l.receiveUpdate(encoded)
}
