package carrier

import (
	"time"

	"go.uber.org/zap"
)

const (
	busyPingInterval    = 250 * time.Millisecond  // of silence with open calls before a ping; longer than most calls take
	suspectTimeout      = 300 * time.Millisecond  // without an answer to a ping; a lost packet is sent again within it
	suspicionIgnoreTime = 50 * time.Millisecond   // within which a rumour says nothing new
	pingTimeout         = 1000 * time.Millisecond // in which a ping is answered
)

// SinceLastFrame returns how long ago the peer last sent anything.
func (l *Link) SinceLastFrame(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.lastFrame.Load())
}

// Suspect reports whether the peer has not answered a ping for a while. It may be gone, or
// the link may have fallen silent.
func (l *Link) Suspect() bool {
	return l.suspect.Load() && l.lastFrame.Load() < l.pingSent.Load()
}

// Check judges the link at a moment. It pings a peer that was idle for long, or quiet while
// calls wait; suspects one that does not answer, and gives up the calls there that may be
// tried elsewhere; and at last closes the link.
func (l *Link) Check(now time.Time, pingInterval time.Duration) {
	pingSent := l.pingSent.Load()
	if pingSent == 0 {
		l.pingIfIdle(now, pingInterval)
		return
	}
	if l.lastFrame.Load() >= pingSent {
		l.pingSent.Store(0)
		l.suspect.Store(false)
		l.pingOverdue.Store(false)
		return
	}
	unanswered := time.Duration(now.UnixNano() - pingSent)
	if unanswered > pingTimeout {
		l.Close()
		return
	}
	if unanswered > suspectTimeout && !l.pingOverdue.Swap(true) {
		if !l.suspect.Swap(true) {
			l.hub.announceSuspect(l.Peer.Node)
		}
		l.failRetryableCalls()
	}
}

func (l *Link) pingIfIdle(now time.Time, pingInterval time.Duration) {
	limit := pingInterval
	if l.openCalls.Load() > 0 {
		limit = busyPingInterval
	}
	if l.SinceLastFrame(now) >= limit {
		l.sendPing(now)
	}
}

// sendPing sends a ping.
func (l *Link) sendPing(now time.Time) {
	l.pingSent.Store(now.UnixNano())
	go l.sendOrClose(kindPing, &stateFrame{State: l.server.State()})
}

// restartPingTimeout starts the wait for the answer to a ping anew, since this process itself did not
// run for a while and may not have read the answer yet.
func (l *Link) restartPingTimeout(now time.Time) {
	if pingSent := l.pingSent.Load(); pingSent != 0 {
		l.pingSent.CompareAndSwap(pingSent, now.UnixNano())
	}
}

// receiveSuspicion takes in that another node got no answer from a third one. Until that one is heard
// again it is suspected here too.
func (l *Link) receiveSuspicion(body []byte) error {
	var frame suspectFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.hub.suspect(frame.Node, time.Now())
	return nil
}

// failRetryableCalls ends the calls that may be tried elsewhere: those that may be repeated, with an
// unknown outcome, and those that this node has not confirmed, as not run.
func (l *Link) failRetryableCalls() {
	var numbers []uint64
	l.mu.Lock()
	for number, p := range l.calls {
		if p.idempotent || !p.confirmed {
			numbers = append(numbers, number)
			delete(l.calls, number)
			p.answers <- p.lostAnswer("peer silent")
		}
	}
	l.mu.Unlock()
	l.openCalls.Add(-int64(len(numbers)))
	go func() {
		for _, number := range numbers {
			l.sendOrClose(kindCancel, &numberFrame{Number: number})
		}
	}()
}

// announceSuspect tells all nodes that one does not answer, so that not each of them has to lose calls
// there to learn of it.
func (h *Hub) announceSuspect(node string) {
	h.Log.Info("link: node suspected", zap.String("node", node), zap.Bool("first", true))
	links := h.Links()
	go func() {
		for _, l := range links {
			if l.Peer.Node != node && !l.Suspect() {
				l.sendOrClose(kindSuspect, &suspectFrame{Node: node})
			}
		}
	}()
}

// suspect pings a node that another one suspects, and does the same until it answers.
func (h *Hub) suspect(node string, now time.Time) {
	for _, l := range h.Links() {
		if l.Peer.Node != node || l.SinceLastFrame(now) < suspicionIgnoreTime || l.Suspect() {
			continue
		}
		l.suspect.Store(true)
		h.Log.Info("link: node suspected", zap.String("node", node), zap.Bool("first", false))
		if l.lastFrame.Load() >= l.pingSent.Load() {
			l.sendPing(now)
		}
	}
}
