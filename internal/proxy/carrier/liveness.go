package carrier

import (
	"time"

	"go.uber.org/zap"
)

const (
	quietLimit   = 250 * time.Millisecond  // of silence with open calls before a ping; longer than most calls take
	suspectAfter = 300 * time.Millisecond  // without an answer to a ping; a lost packet is sent again within it
	heardLately  = 50 * time.Millisecond   // within which a rumour says nothing new
	pingTimeout  = 1000 * time.Millisecond // in which a ping is answered
)

// SinceLastFrame returns how long ago the peer last sent anything.
func (l *Link) SinceLastFrame(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.heard.Load())
}

// Suspect reports whether the peer has not answered a ping for a while. It may be gone, or
// the link may have fallen silent.
func (l *Link) Suspect() bool {
	return l.suspect.Load() && l.heard.Load() < l.asked.Load()
}

// Check judges the link at a moment. It pings a peer that was idle for long, or quiet while
// calls wait; suspects one that does not answer, and gives up the calls there that may be
// tried elsewhere; and at last closes the link.
func (l *Link) Check(now time.Time, idle time.Duration) {
	asked := l.asked.Load()
	if asked == 0 {
		l.ping(now, idle)
		return
	}
	if l.heard.Load() >= asked {
		l.asked.Store(0)
		l.suspect.Store(false)
		l.silent.Store(false)
		return
	}
	unanswered := time.Duration(now.UnixNano() - asked)
	if unanswered > pingTimeout {
		l.Close()
		return
	}
	if unanswered > suspectAfter && !l.silent.Swap(true) {
		if !l.suspect.Swap(true) {
			l.hub.warn(l.Peer.Node)
		}
		l.abandon()
	}
}

func (l *Link) ping(now time.Time, idle time.Duration) {
	limit := idle
	if l.open.Load() > 0 {
		limit = quietLimit
	}
	if l.SinceLastFrame(now) >= limit {
		l.question(now)
	}
}

// question sends a ping.
func (l *Link) question(now time.Time) {
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

// rumour takes in that another node got no answer from a third one. Until that one is heard
// again it is suspected here too.
func (l *Link) rumour(body []byte) error {
	var frame suspectFrame
	if err := decoding.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.hub.suspect(frame.Node, time.Now())
	return nil
}

// abandon ends the calls that may be tried elsewhere: those that may be repeated, with an
// unknown outcome, and those that this node has not confirmed, as not run.
func (l *Link) abandon() {
	var numbers []uint64
	l.mu.Lock()
	for number, p := range l.calls {
		if p.idempotent || !p.confirmed {
			numbers = append(numbers, number)
			delete(l.calls, number)
			p.answers <- p.lost("peer silent")
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

// warn tells all nodes that one does not answer, so that not each of them has to lose calls
// there to learn of it.
func (h *Hub) warn(node string) {
	h.Log.Info("link: node suspected", zap.String("node", node), zap.Bool("first", true))
	links := h.Links()
	go func() {
		for _, l := range links {
			if l.Peer.Node != node && !l.Suspect() {
				l.reply(kindSuspect, &suspectFrame{Node: node})
			}
		}
	}()
}

// suspect pings a node that another one suspects, and does the same until it answers.
func (h *Hub) suspect(node string, now time.Time) {
	for _, l := range h.Links() {
		if l.Peer.Node != node || l.SinceLastFrame(now) < heardLately || l.Suspect() {
			continue
		}
		l.suspect.Store(true)
		h.Log.Info("link: node suspected", zap.String("node", node), zap.Bool("first", false))
		if l.heard.Load() >= l.asked.Load() {
			l.question(now)
		}
	}
}
