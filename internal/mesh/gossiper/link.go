package gossiper

import (
	"time"

	"clementinerock/internal/mesh/messenger"
)

// link is an open connection to a peer.
type link struct {
	name             string
	inbound          bool
	lazy             bool // changes are offered by their stamps instead of sent
	openedAt         time.Time
	lastReceived     time.Time
	lastPing         time.Time
	awaitingPong     bool
	unneededSince    time.Time // zero while this node needs the link
	lastUnneededSent time.Time
	version          uint64                   // newest version that the peer announced or was sent
	unsent           map[messenger.Key]change // changes to disseminate on this link
	offers           map[messenger.Key]bool
	lastOffer        time.Time
	pendingBuckets   []int // digest buckets still to be synchronized
	syncRequested    time.Time
}

// dialWanted dials the planned peers that have no link, no dial in progress and no delay
// before the next attempt.
func (c *Core) dialWanted() {
	p := &c.planner
	for _, name := range sortedNames(p.wanted) {
		if c.links[name] != nil {
			continue
		}
		m := c.table.get(name)
		if m == nil || !m.present() {
			continue
		}
		if started, ok := p.dialing[name]; ok && c.now.Sub(started) < dialTimeout {
			continue
		}
		if c.now.Before(p.retries[name].after) {
			continue
		}
		p.dialing[name] = c.now
		c.emit(Dial{Host: m.record.Host})
	}
}

// announceUnneeded notifies peers that this node has not needed their link for a while. The
// peer closes the link unless it needs it. If this node closed the link alone, a peer that
// needs it would open it again at once.
func (c *Core) announceUnneeded() {
	for _, name := range c.linkNames() {
		l := c.links[name]
		if c.planner.wanted[name] {
			l.unneededSince = time.Time{}
			continue
		}
		if l.unneededSince.IsZero() {
			l.unneededSince = c.now
		}
		if c.now.Sub(l.unneededSince) > unneededDelay && c.now.Sub(l.lastUnneededSent) > unneededInterval {
			l.lastUnneededSent = c.now
			c.send(name, messenger.Message{Unneeded: true})
		}
	}
}

// receiveUnneeded closes a link that neither side needs, unless it is this node's last one.
func (c *Core) receiveUnneeded(l *link, m *messenger.Message) {
	recentlyNeeded := l.unneededSince.IsZero() || c.now.Sub(l.unneededSince) < unneededDelay
	if !m.Unneeded || c.planner.wanted[l.name] || recentlyNeeded || len(c.links) < 2 {
		return
	}
	delete(c.links, l.name)
	c.reporter.linkClosed(l.name)
	c.emit(Close{Name: l.name})
}

// LinkUp handles a newly opened link to a host. An inbound link beyond maxLinks is closed
// with an overload message unless this node planned it.
func (c *Core) LinkUp(now time.Time, host messenger.Host, inbound bool) []Effect {
	c.advanceClock(now)
	name := host.Name
	delete(c.planner.dialing, name)
	delete(c.planner.retries, name)
	if inbound && len(c.links) >= maxLinks && !c.planner.wanted[name] {
		c.send(name, messenger.Message{Overload: true})
		c.emit(Close{Name: name})
		return c.takeEffects()
	}
	c.links[name] = &link{
		name:         name,
		inbound:      inbound,
		openedAt:     c.now,
		lastReceived: c.now,
		lastPing:     c.now,
		unsent:       make(map[messenger.Key]change),
		offers:       make(map[messenger.Key]bool),
	}
	c.detector.clear(name)
	c.sendInitialState(name)
	return c.takeEffects()
}

// sendInitialState sends the node's own record, its version and its digest on a new link. If
// the peer is stored as not alive, the message says so, and the peer can refute that.
func (c *Core) sendInitialState(name string) {
	message := messenger.Message{
		Version:  c.versions.head.Version,
		Records:  []messenger.Record{c.self.record},
		IsAnswer: true,
		Digest:   &messenger.Digest{Root: c.table.root},
	}
	if m := c.table.get(name); m != nil && !m.alive() {
		message.Rumors = []messenger.Rumor{{Name: name, Incarnation: m.record.Stamp.Incarnation, Health: m.record.Stamp.Health}}
	}
	c.send(name, message)
}

// LinkDown handles the end of a link. The peer is verified unless the close is planned, which
// means that the peer closed the link itself.
func (c *Core) LinkDown(now time.Time, name string, planned bool) []Effect {
	c.advanceClock(now)
	if c.links[name] == nil {
		return c.takeEffects()
	}
	delete(c.links, name)
	c.reporter.linkClosed(name)
	if !planned {
		c.verify(name)
	}
	return c.takeEffects()
}

// DialFailed handles a failed dial. It verifies the host and schedules the next attempt after
// an exponential delay with jitter.
func (c *Core) DialFailed(now time.Time, name string) []Effect {
	c.advanceClock(now)
	p := &c.planner
	delete(p.dialing, name)
	last := p.retries[name]
	delay := min(max(2*last.delay, minRedialDelay), maxRedialDelay)
	jitter := time.Duration(c.rng.Int64N(int64(delay)))
	p.retries[name] = retry{after: c.now.Add(delay/2 + jitter), delay: delay}
	if c.links[name] == nil {
		c.verify(name)
	}
	return c.takeEffects()
}
