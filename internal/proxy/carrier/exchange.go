package carrier

import "time"

// confirmTimeout is the maximum time for which a call holds its slot while its sender is asked to
// confirm it.
const confirmTimeout = 400 * time.Millisecond

// stoppingReason is the reason of a call that ends because this process does.
const stoppingReason = "this node is stopping"

// pendingCall is a call that this node has sent and that has no answer yet.
type pendingCall struct {
	answers    chan *Answer
	accepted   chan struct{} // receives when the peer has reserved memory for the body of the call
	idempotent bool
	unsent     bool   // whether only the body of the call has been sent so far
	confirmed  bool   // whether this node has confirmed the call
	size       int    // of the body of the request in bytes
	body       []byte // pieces of the answer's body received so far
	neverRuns  bool   // whether the client has left and the call certainly has not reached the target
	noMemory   bool   // whether there was no memory for the answer's body

	sent time.Duration // time before the sending by the clock of the hub's Prover
}

// whole returns the answer of a frame with the body that was received in pieces before it. A body
// that lacks a piece counts as lost with its answer.
func (p *pendingCall) whole(frame *answerFrame) *Answer {
	if frame.Size == 0 {
		return frame.Answer
	}
	if p.noMemory {
		return &Answer{Outcome: Failed, Reason: "no memory for the response", Load: frame.Answer.Load}
	}
	if len(p.body) != frame.Size {
		return &Answer{Outcome: Failed, Reason: "body incomplete", Load: frame.Answer.Load}
	}
	frame.Answer.Body = p.body
	return frame.Answer
}

// lostAnswer returns the result of a call whose answer will not arrive. A call that is not
// idempotent reaches the target only after this node has confirmed it, so without that it
// certainly has not run; nor has one of which only the body was sent.
func (p *pendingCall) lostAnswer(reason string) *Answer {
	if !p.unsent && (p.idempotent || p.confirmed) {
		return &Answer{Outcome: Unknown, Reason: reason}
	}
	return &Answer{Outcome: Refused, Reason: reason}
}

// Exchange sends a call and waits for its answer. If gone is closed first, the call is
// canceled and the answer is nil; call.NeverRuns tells whether it can't have reached the target. If the link
// breaks, or the peer has not answered when the timeout ends, the outcome is Refused if the call can't have
// reached the target, else Unknown.
func (l *Link) Exchange(call *Call, gone <-chan struct{}, timeout time.Duration) *Answer {
	p := &pendingCall{
		answers:    make(chan *Answer, replyBuffer),
		accepted:   make(chan struct{}, replyBuffer),
		idempotent: call.Idempotent,
		size:       call.BodySize(),
		sent:       l.proofTime(),
	}
	p.unsent = p.size > l.uplink.Piece()
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return &Answer{Outcome: Refused, Reason: "link closed"}
	}
	l.lastNumber++
	number := l.lastNumber
	l.calls[number] = p
	l.mu.Unlock()
	l.openCalls.Add(1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	shutdown := call.Shutdown.Watch()
	if p.unsent {
		if answer, ended := l.sendLarge(number, p, call, shutdown, gone, timer.C); ended {
			call.NeverRuns = p.neverRuns
			return answer
		}
	} else if err := l.send(kindCall, &callFrame{Number: number, Call: call}); err != nil {
		return l.abandon(number, p)
	}
	answer, _ := l.await(number, p, nil, shutdown, gone, timer.C)
	call.NeverRuns = p.neverRuns
	return answer
}

// abandon ends a call whose link has failed while it was sent.
func (l *Link) abandon(number uint64, p *pendingCall) *Answer {
	l.removeCall(number, p, "")
	l.Close()
	return &Answer{Outcome: Refused, Reason: "link broke"}
}

// await waits for the end of a call and returns its result, nil if the client disconnects. It also returns if
// the peer accepts the body of the call.
func (l *Link) await(number uint64, p *pendingCall, accepted <-chan struct{}, shutdown *ShutdownWatch, gone <-chan struct{}, timeout <-chan time.Time) (answer *Answer, isAccepted bool) {
	for {
		select {
		case answer := <-p.answers:
			return answer, false
		case <-accepted:
			return nil, true
		case <-l.done:
			return l.removeCall(number, p, "link broke"), false
		case <-gone:
			p.neverRuns = l.removeCall(number, p, "").Outcome == Refused
			l.sendOrClose(kindCancel, &numberFrame{Number: number})
			return nil, false
		case <-timeout:
			l.sendOrClose(kindCancel, &numberFrame{Number: number})
			return l.removeCall(number, p, "peer unresponsive"), false
		case <-shutdown.Begun:
			shutdown.Start(l.state.Load().Mean)
		case <-shutdown.Withdraw:
			shutdown.Withdraw = nil
			if answer := l.withdraw(number, p); answer != nil {
				return answer, false
			}
		case <-shutdown.Finished:
			answer := l.removeCall(number, p, stoppingReason)
			go l.sendOrClose(kindCancel, &numberFrame{Number: number}) // the client must not wait for a slow link
			return answer, false
		}
	}
}

// withdraw ends a call that has certainly not run, and returns its result. Otherwise it asks the peer to refuse the
// call unless it has started, and returns nil.
func (l *Link) withdraw(number uint64, p *pendingCall) *Answer {
	l.mu.Lock()
	_, open := l.calls[number]
	certain := open && p.lostAnswer("").Outcome == Refused
	if certain {
		delete(l.calls, number) // it is not confirmed after that
	}
	l.mu.Unlock()
	if !open {
		return nil // its answer has just arrived
	}
	if !certain {
		go l.sendOrClose(kindWithdraw, &numberFrame{Number: number})
		return nil
	}
	l.openCalls.Add(-1)
	go l.sendOrClose(kindCancel, &numberFrame{Number: number})
	return &Answer{Outcome: Refused, Reason: stoppingReason}
}

// removeCall stops waiting for a call and returns its result. The call is not confirmed after
// that.
func (l *Link) removeCall(number uint64, p *pendingCall, reason string) *Answer {
	l.mu.Lock()
	_, ok := l.calls[number]
	delete(l.calls, number)
	result := p.lostAnswer(reason)
	l.mu.Unlock()
	if ok {
		l.openCalls.Add(-1)
	}
	select {
	case answer := <-p.answers:
		return answer // it arrived while the call was removed
	default:
		return result
	}
}

// requestConfirmation asks the peer whether it still waits for the answer to its call. Without
// a reply the call counts as not confirmed.
func (l *Link) requestConfirmation(number uint64) bool {
	confirmed := make(chan bool, replyBuffer)
	l.mu.Lock()
	l.confirmations[number] = confirmed
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.confirmations, number)
		l.mu.Unlock()
	}()
	l.sendOrClose(kindConfirmRequest, &numberFrame{Number: number})
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case answer := <-confirmed:
		return answer
	case <-l.done:
	case <-timer.C:
	}
	return false
}

// handleConfirm handles both frames of a confirmation: it replies to the peer's request, or passes
// on the peer's reply.
func (l *Link) handleConfirm(frameKind kind, body []byte) error {
	if frameKind == kindConfirmRequest {
		var frame numberFrame
		if err := decMode.Unmarshal(body, &frame); err != nil {
			return err
		}
		l.mu.Lock()
		p, open := l.calls[frame.Number]
		if open {
			p.confirmed = true
		}
		l.mu.Unlock()
		l.sendOrClose(kindConfirmReply, &confirmFrame{Number: frame.Number, Confirmed: open})
		return nil
	}
	var frame confirmFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.mu.Lock()
	result, ok := l.confirmations[frame.Number]
	delete(l.confirmations, frame.Number)
	l.mu.Unlock()
	if ok {
		result <- frame.Confirmed
	}
	return nil
}

// Void asks the peer to prevent an attempt from running. It reports true only if the peer
// replies that the attempt never reached its target.
func (l *Link) Void(id []byte, attempt uint64) bool {
	result := make(chan bool, replyBuffer)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.lastNumber++
	number := l.lastNumber
	l.voids[number] = result
	l.mu.Unlock()
	if err := l.send(kindVoid, &voidFrame{Number: number, ID: id, Attempt: attempt}); err != nil {
		l.Close()
		return false
	}
	timer := time.NewTimer(voidTimeout)
	defer timer.Stop()
	select {
	case voided := <-result:
		return voided
	case <-l.done:
	case <-timer.C:
	}
	return false
}
