package gossiper

import (
	"time"

	"clementinerock/internal/mesh/messenger"
)

// link is an open connection to a peer.
type link struct {
	name     string
	inbound  bool
	lazy     bool // gets offers in place of records
	opened   time.Time
	heard    time.Time
	pinged   time.Time
	awaiting bool // a ping is unanswered
	unneeded time.Time
	spared   time.Time
	version  uint64 // newest version that the peer said it holds
	dirty    map[messenger.Key]change
	offers   map[messenger.Key]bool
	offered  time.Time
	pending  []int // buckets still to be synchronized
	asked    time.Time
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

// closeUnneeded offers to close links that this node does not want. The peer
// closes them unless it wants them itself, so that no link is opened again at once.
func (c *Core) closeUnneeded() {
	for _, name := range c.linkNames() {
		l := c.links[name]
		if c.planner.wanted[name] {
			l.unneeded = time.Time{}
			continue
		}
		if l.unneeded.IsZero() {
			l.unneeded = c.now
		}
		if c.now.Sub(l.unneeded) > lingerTime && c.now.Sub(l.spared) > spareInterval {
			l.spared = c.now
			c.send(name, messenger.Message{Spare: true})
		}
	}
}

// receiveSpare closes a link that neither side wants.
func (c *Core) receiveSpare(l *link, m *messenger.Message) {
	lingers := l.unneeded.IsZero() || c.now.Sub(l.unneeded) < lingerTime
	if !m.Spare || c.planner.wanted[l.name] || lingers || len(c.links) < 2 {
		return
	}
	delete(c.links, l.name)
	c.reporter.linkClosed(l.name)
	c.emit(Close{Name: l.name})
}

// LinkUp reports an open link to a peer.
func (c *Core) LinkUp(now time.Time, machine messenger.Host, inbound bool) []Effect {
	c.observe(now)
	name := machine.Name
	delete(c.planner.dialing, name)
	delete(c.planner.retries, name)
	if inbound && len(c.links) >= maxLinks && !c.planner.wanted[name] {
		c.send(name, messenger.Message{Overload: true})
		c.emit(Close{Name: name})
		return c.drain()
	}
	c.links[name] = &link{
		name:    name,
		inbound: inbound,
		opened:  c.now,
		heard:   c.now,
		pinged:  c.now,
		dirty:   make(map[messenger.Key]change),
		offers:  make(map[messenger.Key]bool),
	}
	c.detector.clear(name)
	c.greet(name)
	return c.drain()
}

// greet starts an exchange on a new link.
func (c *Core) greet(name string) {
	message := messenger.Message{
		Version: c.versions.head.Version,
		Records: []messenger.Record{c.self.record},
		Answer:  true,
		Digest:  &messenger.Digest{Root: c.table.root},
	}
	if m := c.table.get(name); m != nil && !m.alive() {
		message.Rumors = []messenger.Rumor{{Name: name, Incarnation: m.record.Stamp.Incarnation, Health: m.record.Stamp.Health}}
	}
	c.send(name, message)
}

// LinkDown reports that a link closed. A planned close by the peer is no
// evidence against it.
func (c *Core) LinkDown(now time.Time, name string, planned bool) []Effect {
	c.observe(now)
	if c.links[name] == nil {
		return c.drain()
	}
	delete(c.links, name)
	c.reporter.linkClosed(name)
	if !planned {
		c.verify(name)
	}
	return c.drain()
}

// DialFailed reports that a link could not be opened.
func (c *Core) DialFailed(now time.Time, name string) []Effect {
	c.observe(now)
	p := &c.planner
	delete(p.dialing, name)
	last := p.retries[name]
	delay := min(max(2*last.delay, minRedialDelay), maxRedialDelay)
	jitter := time.Duration(c.rng.Int64N(int64(delay)))
	p.retries[name] = retry{after: c.now.Add(delay/2 + jitter), delay: delay}
	if c.links[name] == nil {
		c.verify(name)
	}
	return c.drain()
}
