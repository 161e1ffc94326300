package carrier

import "time"

// confirmTimeout is how long a slot is held for a call whose sender does not say whether it
// is still wanted.
const confirmTimeout = 400 * time.Millisecond

// pending is a call of this node that waits for its answer.
type pending struct {
	answers    chan *Answer
	idempotent bool
	confirmed  bool // this node has said that it is wanted
}

// lost returns the outcome of a call whose answer will not come. One that must not be
// repeated does not reach the target before this node confirms it.
func (p *pending) lost(reason string) *Answer {
	if p.idempotent || p.confirmed {
		return &Answer{Outcome: Unknown, Reason: reason}
	}
	return &Answer{Outcome: Refused, Reason: reason}
}

// Exchange sends a call and waits for its answer. If gone is closed first, the call is
// given up and the answer is nil. The outcome is Refused if the call can't have reached the
// target, and Unknown if the link broke or the peer stayed silent until the limit.
func (l *Link) Exchange(call *Call, gone <-chan struct{}, limit time.Duration) *Answer {
	p := &pending{answers: make(chan *Answer, answerBacklog), idempotent: call.Idempotent}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return &Answer{Outcome: Refused, Reason: "link closed"}
	}
	l.next++
	number := l.next
	l.calls[number] = p
	l.mu.Unlock()
	l.open.Add(1)
	if err := l.send(kindCall, &callFrame{Number: number, Call: call}); err != nil {
		l.forget(number, p, "")
		l.Close()
		return &Answer{Outcome: Refused, Reason: "link broke"}
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer := <-p.answers:
		return answer
	case <-l.done:
		return l.forget(number, p, "link broke")
	case <-gone:
		l.forget(number, p, "")
		l.reply(kindCancel, &numberFrame{Number: number})
		return nil
	case <-timer.C:
		return l.forget(number, p, "peer silent")
	}
}

// forget stops waiting for a call, which is not confirmed from then on, and returns its
// outcome.
func (l *Link) forget(number uint64, p *pending, reason string) *Answer {
	l.mu.Lock()
	_, ok := l.calls[number]
	delete(l.calls, number)
	outcome := p.lost(reason)
	l.mu.Unlock()
	if ok {
		l.open.Add(-1)
	}
	select {
	case answer := <-p.answers:
		return answer // it came at the last moment
	default:
		return outcome
	}
}

// ask asks the peer whether a call of its is still wanted.
func (l *Link) ask(number uint64) bool {
	wanted := make(chan bool, answerBacklog)
	l.mu.Lock()
	l.asking[number] = wanted
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.asking, number)
		l.mu.Unlock()
	}()
	l.reply(kindReady, &numberFrame{Number: number})
	timer := time.NewTimer(confirmTimeout)
	defer timer.Stop()
	select {
	case answer := <-wanted:
		return answer
	case <-l.done:
	case <-timer.C:
	}
	return false
}

// confirm answers the peer's question whether a call is still wanted, or takes in the peer's
// answer.
func (l *Link) confirm(frameKind kind, body []byte) error {
	if frameKind == kindReady {
		var frame numberFrame
		if err := decoding.Unmarshal(body, &frame); err != nil {
			return err
		}
		l.mu.Lock()
		p, wanted := l.calls[frame.Number]
		if wanted {
			p.confirmed = true
		}
		l.mu.Unlock()
		l.reply(kindWanted, &wantedFrame{Number: frame.Number, Wanted: wanted})
		return nil
	}
	var frame wantedFrame
	if err := decoding.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.mu.Lock()
	waiting, ok := l.asking[frame.Number]
	delete(l.asking, frame.Number)
	l.mu.Unlock()
	if ok {
		waiting <- frame.Wanted
	}
	return nil
}

// Void asks the peer to forbid an attempt. It reports true only if the peer says that the
// attempt never reached its target.
func (l *Link) Void(id []byte, attempt uint64) bool {
	waiting := make(chan bool, answerBacklog)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	l.next++
	number := l.next
	l.voids[number] = waiting
	l.mu.Unlock()
	if err := l.send(kindVoid, &voidFrame{Number: number, ID: id, Attempt: attempt}); err != nil {
		l.Close()
		return false
	}
	timer := time.NewTimer(voidTimeout)
	defer timer.Stop()
	select {
	case voided := <-waiting:
		return voided
	case <-l.done:
	case <-timer.C:
	}
	return false
}
