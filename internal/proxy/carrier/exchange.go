package carrier

import "time"

// pending is a call of this node that waits for its answer.
type pending struct {
	answers    chan *Answer
	idempotent bool
}

// Exchange sends a call and waits for its answer. If gone is closed first, the call is
// given up and the answer is nil. The outcome is Refused if the peer can't have read the
// call, and Unknown if the link broke or the peer stayed silent until the limit.
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
		l.forget(number)
		l.Close()
		return &Answer{Outcome: Refused, Reason: "link broke"}
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer := <-p.answers:
		return answer
	case <-l.done:
		return &Answer{Outcome: Unknown, Reason: "link broke"}
	case <-gone:
		l.forget(number)
		l.reply(kindCancel, &numberFrame{Number: number})
		return nil
	case <-timer.C:
		l.forget(number)
		return &Answer{Outcome: Unknown, Reason: "peer silent"}
	}
}

func (l *Link) forget(number uint64) {
	l.mu.Lock()
	_, ok := l.calls[number]
	delete(l.calls, number)
	l.mu.Unlock()
	if ok {
		l.open.Add(-1)
	}
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
