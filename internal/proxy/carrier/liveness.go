package carrier

import "time"

const (
	quietLimit   = 250 * time.Millisecond  // of silence with open calls before a ping; longer than most calls take
	suspectAfter = 300 * time.Millisecond  // without an answer to a ping; a lost packet is sent again within it
	pingTimeout  = 1000 * time.Millisecond // in which a ping is answered
)

// Heard returns how long ago the peer last sent anything.
func (l *Link) Heard(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.heard.Load())
}

// Suspect reports whether the peer has not answered a ping for a while. It may be gone, or
// the link may have fallen silent.
func (l *Link) Suspect() bool {
	return l.suspect.Load() && l.heard.Load() < l.asked.Load()
}

// Check judges the link at a moment. It pings a peer that was idle for long, or quiet while
// calls wait; suspects one that does not answer, and gives up the calls there that may be
// repeated elsewhere; and at last closes the link.
func (l *Link) Check(now time.Time, idle time.Duration) {
	asked := l.asked.Load()
	if asked == 0 {
		l.ping(now, idle)
		return
	}
	if l.heard.Load() >= asked {
		l.asked.Store(0)
		l.suspect.Store(false)
		return
	}
	silent := time.Duration(now.UnixNano() - asked)
	if silent > pingTimeout {
		l.Close()
		return
	}
	if silent > suspectAfter && !l.suspect.Swap(true) {
		l.abandon()
	}
}

func (l *Link) ping(now time.Time, idle time.Duration) {
	limit := idle
	if l.open.Load() > 0 {
		limit = quietLimit
	}
	if l.Heard(now) < limit {
		return
	}
	l.asked.Store(now.UnixNano())
	go l.reply(kindPing, &stateFrame{State: l.server.State()})
}

// postpone starts the wait for the answer to a ping anew, since this process itself did not
// run for a while and may not have read the answer yet.
func (l *Link) postpone(now time.Time) {
	if asked := l.asked.Load(); asked != 0 {
		l.asked.CompareAndSwap(asked, now.UnixNano())
	}
}

// abandon ends the calls that may be repeated. Their outcome is unknown.
func (l *Link) abandon() {
	var numbers []uint64
	l.mu.Lock()
	for number, p := range l.calls {
		if p.idempotent {
			numbers = append(numbers, number)
			delete(l.calls, number)
			p.answers <- &Answer{Outcome: Unknown, Reason: "peer silent"}
		}
	}
	l.mu.Unlock()
	l.open.Add(-int64(len(numbers)))
	go func() {
		for _, number := range numbers {
			l.reply(kindCancel, &numberFrame{Number: number})
		}
	}()
}
