package gossiper

import (
	"time"

	"clementinerock/internal/mesh/messenger"
)

// link is an open connection to a peer.
type link struct {
	name             string
	inbound          bool
	lazy             bool // gets offers in place of records
	openedAt         time.Time
	lastReceived     time.Time
	lastPing         time.Time
	awaitingPong     bool // a ping is unanswered
	unneededSince    time.Time
	lastUnneededSent time.Time
	version          uint64 // newest version that the peer said it holds
	unsent           map[messenger.Key]change
	offers           map[messenger.Key]bool
	lastOffer        time.Time
	pendingBuckets   []int // buckets still to be synchronized
	syncRequested    time.Time
}

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

// announceUnneeded offers to close links that this node does not want. The peer
// closes them unless it wants them itself, so that no link is opened again at once.
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

// receiveUnneeded closes a link that neither side wants.
func (c *Core) receiveUnneeded(l *link, m *messenger.Message) {
	lingers := l.unneededSince.IsZero() || c.now.Sub(l.unneededSince) < unneededDelay
	if !m.Unneeded || c.planner.wanted[l.name] || lingers || len(c.links) < 2 {
		return
	}
	delete(c.links, l.name)
	c.reporter.linkClosed(l.name)
	c.emit(Close{Name: l.name})
}

// LinkUp reports an open link to a peer.
func (c *Core) LinkUp(now time.Time, machine messenger.Host, inbound bool) []Effect {
	c.advanceClock(now)
	name := machine.Name
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

// sendInitialState starts an exchange on a new link.
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

// LinkDown reports that a link closed. A planned close by the peer is no
// evidence against it.
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

// DialFailed reports that a link could not be opened.
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
