package carrier

import (
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/proxy/pacer"
	"clementinerock/internal/proxy/reserver"
)

const (
	// peerClient is the client of the reserver that all calls of other nodes count for, so that they leave
	// memory for the clients of this node.
	peerClient = "nodes"

	noMemoryRetryAfter = time.Second // delay after which a call refused for lack of memory may be retried
	noMemoryReason     = "no memory for the body"
)

var errUnexpectedPiece = merry.Sentinel("piece exceeds its body")

// incomingBody is a body of a call of the peer that is being received in pieces.
type incomingBody struct {
	data    []byte        // nil until its memory is reserved
	filled  int           // number of bytes received
	dropped chan struct{} // closed when the peer has canceled the call or the link has ended
}

// sendLarge sends a call with a large body: it offers the body, and once the peer has reserved memory for
// it, sends it in pieces as the uplink grants them, then the rest of the call. Other frames go between the
// pieces. It returns true with the result of the call if that has ended.
func (l *Link) sendLarge(number uint64, p *pendingCall, call *Call, shutdown *ShutdownWatch, gone <-chan struct{}, timeout <-chan time.Time) (*Answer, bool) {
	began := time.Now()
	if l.send(kindBodyOffer, &offerFrame{Number: number, Size: p.size}) != nil {
		return l.abandon(number, p), true
	}
	if answer, accepted := l.await(number, p, p.accepted, shutdown, gone, timeout); !accepted {
		return answer, true
	}
	deadline := began.Add(call.Remaining)
	unwanted, stop := l.unwanted(call.Shutdown.Watch(), gone, deadline)
	defer stop()
	err := l.sendBody(unwanted, call.Body, call.BodyRest, call.Priority, deadline, func(piece []byte) error {
		select {
		case <-unwanted:
			return errNotWanted
		default:
		}
		if !l.waitsFor(number) {
			return errNotWanted
		}
		_, err := l.write(kindBodyPiece, &pieceFrame{Number: number, Size: p.size, Data: piece})
		return err
	})
	switch {
	case errors.Is(err, errNotWanted):
		answer := l.removeCall(number, p, "gave up while the body was sent")
		go l.sendOrClose(kindCancel, &numberFrame{Number: number}) // the client must not wait for a slow link
		select {
		case <-gone:
			p.neverRuns = true // only the body was sent
			return nil, true
		default:
			return answer, true
		}
	case err != nil:
		return l.abandon(number, p), true
	}
	l.mu.Lock()
	p.unsent = false
	l.mu.Unlock()
	rest := *call
	rest.Body, rest.BodyRest = nil, nil
	elapsed := time.Since(began)
	rest.Remaining -= elapsed // the peer counts both from the arrival of this frame
	rest.SoftDeadline -= elapsed
	if l.send(kindCallAfterBody, &callFrame{Number: number, Call: &rest}) != nil {
		return l.abandon(number, p), true
	}
	return nil, false
}

// unwanted returns a channel that is closed when gone is closed, the link ends, the deadline passes or the shutdown
// leaves no time to run the call. The returned function releases it.
func (l *Link) unwanted(shutdown *ShutdownWatch, gone <-chan struct{}, deadline time.Time) (unwanted <-chan struct{}, stop func()) {
	closed, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		defer close(closed)
		for {
			select {
			case <-gone:
				return
			case <-l.done:
				return
			case <-timer.C:
				return
			case <-stopped:
				return
			case <-shutdown.Begun:
				shutdown.Start(l.state.Load().Mean)
			case <-shutdown.Withdraw:
				return
			}
		}
	}()
	return closed, func() { close(stopped) }
}

// sendBody passes the pieces of a body to send as the uplink grants them, until stop is closed.
func (l *Link) sendBody(stop <-chan struct{}, body []byte, rest [][]byte, priority int, deadline time.Time, send func(piece []byte) error) error {
	for _, part := range append([][]byte{body}, rest...) {
		err := l.uplink.SendUntil(stop, part, priority, deadline, send)
		if errors.Is(err, pacer.ErrStopped) {
			return errNotWanted
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// waitsFor reports whether this node still waits for the answer to its call.
func (l *Link) waitsFor(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.calls[number]
	return ok
}

// handleBody handles the frames that precede a call with a large body.
func (l *Link) handleBody(frameKind kind, body []byte) error {
	switch frameKind {
	case kindBodyOffer:
		var frame offerFrame
		if err := decMode.Unmarshal(body, &frame); err != nil {
			return err
		}
		if frame.Size <= 0 || frame.Size > maxFrameSize {
			return merry.Errorf("offer of a body of %d bytes", frame.Size)
		}
		return l.receiveOffer(&frame)
	case kindBodyAccept:
		var frame numberFrame
		if err := decMode.Unmarshal(body, &frame); err != nil {
			return err
		}
		l.mu.Lock()
		p := l.calls[frame.Number]
		l.mu.Unlock()
		if p != nil {
			select {
			case p.accepted <- struct{}{}:
			default: // it was accepted before
			}
		}
		return nil
	}
	return l.receiveBodyPiece(body)
}

// receiveOffer reserves memory for the body of a call of the peer. It does so beside the reading of further
// frames, since it may have to wait.
func (l *Link) receiveOffer(frame *offerFrame) error {
	in := &incomingBody{dropped: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errClosed
	}
	if l.bodies[frame.Number] != nil {
		return merry.Errorf("second body of call %d", frame.Number)
	}
	l.bodies[frame.Number] = in
	go l.reserveBody(frame.Number, frame.Size, in)
	return nil
}

// reserveBody reserves memory for the body of a call and accepts it, or refuses the call.
func (l *Link) reserveBody(number uint64, size int, in *incomingBody) {
	owner := reserver.Owner{Client: peerClient, Class: reserver.SizeClass(size), Gone: in.dropped}
	data, err := l.memory.Allocate(owner, size)
	l.mu.Lock()
	wanted := l.bodies[number] == in
	if wanted && err == nil {
		in.data = data
	}
	l.mu.Unlock()
	switch {
	case !wanted:
		l.memory.Discard(len(data))
	case err != nil:
		l.dropBody(number)
		l.refuseCall(number)
	default:
		l.sendOrClose(kindBodyAccept, &numberFrame{Number: number})
	}
}

// refuseCall refuses a call of the peer for lack of memory. It has not run.
func (l *Link) refuseCall(number uint64) {
	l.sendOrClose(kindAnswer, &answerFrame{Number: number, Answer: &Answer{
		Outcome:    Refused,
		Reason:     noMemoryReason,
		RetryAfter: noMemoryRetryAfter,
		Load:       l.server.State(),
	}})
}

// takeBody removes the body of a call of the peer that is being received, and returns it or nil.
func (l *Link) takeBody(number uint64) *incomingBody {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.bodies[number]
	delete(l.bodies, number)
	return in
}

// dropBody ends the receipt of the body of a call.
func (l *Link) dropBody(number uint64) {
	if in := l.takeBody(number); in != nil {
		close(in.dropped)
		l.memory.Discard(len(in.data))
	}
}

// receiveBodyPiece stores a piece of the body of a call.
func (l *Link) receiveBodyPiece(body []byte) error {
	var frame pieceFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.bodies[frame.Number]
	if in == nil {
		return nil // the call was canceled
	}
	if len(frame.Data) > len(in.data)-in.filled {
		return errUnexpectedPiece
	}
	in.filled += copy(in.data[in.filled:], frame.Data)
	return nil
}

// serveCallAfterBody passes a call whose body was received in pieces to the server.
func (l *Link) serveCallAfterBody(body []byte) error {
	var frame callFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	in := l.takeBody(frame.Number)
	if in == nil {
		return nil // the call was canceled while it was being sent
	}
	if frame.Call == nil || in.data == nil || in.filled != len(in.data) {
		return errIncomplete
	}
	frame.Call.Body = in.data
	return l.serve(&frame)
}
