package carrier

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/expirer"
)

const (
	// busyPingInterval is the idle time before a ping while calls are open. It is longer than
	// most calls take.
	busyPingInterval = 250 * time.Millisecond

	// suspectTimeout is the time without an answer to a ping after which the peer is suspect. A
	// lost packet is sent again within it.
	suspectTimeout = 300 * time.Millisecond

	// suspicionIgnoreTime is the time after a frame from a node during which another node's
	// suspicion of it is ignored, since it adds nothing to what that frame shows.
	suspicionIgnoreTime = 50 * time.Millisecond

	// pingTimeout is the time without an answer to a ping after which the link is closed.
	pingTimeout = 1000 * time.Millisecond
)

// SinceLastFrame returns the time since the peer's last frame was received.
func (l *Link) SinceLastFrame(now time.Time) time.Duration {
	return expirer.SinceStart(now) - time.Duration(l.lastFrame.Load())
}

// Suspect reports whether the peer is suspect: a ping of this node or of another one was not
// answered in time, and the peer has sent nothing since this node's ping. The peer may be down, or
// the link may be broken.
func (l *Link) Suspect() bool {
	return l.suspect.Load() && l.lastFrame.Load() < l.pingSent.Load()
}

// Check checks the liveness of the peer. It pings a peer that has sent nothing for a while,
// which is shorter if calls are open. If the peer does not answer, it becomes suspect and its
// calls that may be tried elsewhere fail; if it still does not answer, the link is closed.
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
	unanswered := expirer.SinceStart(now) - time.Duration(pingSent)
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

// pingIfIdle sends a ping if no frame was received for long enough.
func (l *Link) pingIfIdle(now time.Time, pingInterval time.Duration) {
	limit := pingInterval
	if l.openCalls.Load() > 0 {
		limit = busyPingInterval
	}
	if l.SinceLastFrame(now) >= limit {
		l.sendPing(now)
	}
}

// sendPing sends a ping and records its time.
func (l *Link) sendPing(now time.Time) {
	l.pingSent.Store(int64(expirer.SinceStart(now)))
	l.recordPing()
	go l.sendOrClose(kindPing, &stateFrame{State: l.server.State()})
}

// restartPingTimeout restarts the wait for the answer to a ping, since this process was stalled
// and may not have read the answer yet.
func (l *Link) restartPingTimeout(now time.Time) {
	if pingSent := l.pingSent.Load(); pingSent != 0 {
		l.pingSent.CompareAndSwap(pingSent, int64(expirer.SinceStart(now)))
	}
}

// receiveSuspicion handles the announcement that another node got no answer from a third one,
// which becomes suspect here too until it sends a frame.
func (l *Link) receiveSuspicion(body []byte) error {
	var frame suspectFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.hub.suspect(frame.Node, time.Now())
	return nil
}

// failRetryableCalls ends the open calls that may be tried elsewhere: idempotent calls with the
// outcome Unknown, and calls that this node has not confirmed with the outcome Refused.
func (l *Link) failRetryableCalls() {
	var numbers []uint64
	l.mu.Lock()
	for number, p := range l.calls {
		if p.idempotent || !p.confirmed {
			numbers = append(numbers, number)
			delete(l.calls, number)
			p.answers <- p.lostAnswer("peer unresponsive")
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

// announceSuspect announces to all nodes that one does not answer, so that they can avoid it
// before they lose calls there themselves.
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

// suspect marks a node as suspect, since another one got no answer from it, and pings it. The
// mark lasts until the node sends a frame.
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
