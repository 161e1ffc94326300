package carrier

import (
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
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
