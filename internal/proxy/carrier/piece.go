package carrier

import (
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"clementinerock/internal/proxy/matcher"
)

// errNotWanted reports that the caller does not wait for an answer any more.
var errNotWanted = merry.Sentinel("answer no longer wanted")

// answerInPieces sends an answer with a large body: the body in pieces as the uplink grants them,
// then the rest. Other frames go between the pieces, so that they wait for one piece only. A cancel
// request of the peer ends the sending.
func (l *Link) answerInPieces(call *Call, number uint64, answer *Answer, deadline time.Time) {
	canceled := make(chan struct{})
	l.mu.Lock()
	_, open := l.serving[number]
	if open {
		l.serving[number] = sync.OnceFunc(func() { close(canceled) })
	}
	l.mu.Unlock()
	if !open {
		return
	}
	size := len(answer.Body)
	err := l.uplink.Send(answer.Body, call.Priority, deadline, func(piece []byte) error {
		select {
		case <-canceled:
			return errNotWanted
		default:
		}
		_, err := l.write(kindPiece, &pieceFrame{Number: number, Size: size, Data: piece})
		return err
	})
	if !l.endServing(number) || errors.Is(err, errNotWanted) {
		return
	}
	if err != nil {
		l.Close()
		return
	}
	rest := *answer
	rest.Body = nil
	l.sendOrClose(kindAnswer, &answerFrame{Number: number, Answer: &rest, Size: size})
}

// endServing ends the record of a call of the peer. It reports whether the peer may still get an
// answer to it.
func (l *Link) endServing(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.serving, number)
	return !l.closed
}

// receivePiece stores a piece of the body of an answer.
func (l *Link) receivePiece(body []byte) error {
	var frame pieceFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.calls[frame.Number]
	if !ok {
		return nil // the call was given up
	}
	if frame.Size < 0 || frame.Size > maxFrameSize || len(p.body)+len(frame.Data) > frame.Size {
		return merry.Errorf("piece of %d bytes exceeds its body of %d bytes", len(frame.Data), frame.Size)
	}
	if p.body == nil {
		p.body = make([]byte, 0, frame.Size)
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
