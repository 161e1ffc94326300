package gossiper

import (
	"slices"
	"sort"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	offerDelay    = 500 * time.Millisecond // gathers offers on lazy links
	graftDelay    = time.Second            // before an offered record is asked for
	flushItems    = 64                     // records per message
	recordBytes   = 110                    // estimate of an encoded record, for pacing
	targetBytes   = 50
	rumorBytes    = 36
	holdingBytes  = 22
	messageBytes  = 60 // packet overhead per message
	graftsPerTick = 128
)

// bucket is a token bucket in bytes.
type bucket struct {
	tokens float64
	rate   float64
	burst  float64
	filled time.Time
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filled).Seconds())
	b.filled = now
}

// take spends n if any tokens are left; it may go into debt once.
func (b *bucket) take(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// spreader floods changes of membership. Eager links get records at once, lazy
// links get offers; a link that brings only known records turns lazy, one that
// offers a missing record turns eager.
type spreader struct {
	pace    bucket
	changed time.Time
	missing map[messenger.Key]offer
}

type offer struct {
	peer  string
	stamp messenger.Stamp
	due   time.Time
}

func newSpreader(config Config, now time.Time) spreader {
	return spreader{
		pace:    bucket{tokens: config.GossipBurstBytes, rate: config.GossipBytesPerSecond, burst: config.GossipBurstBytes, filled: now},
		missing: make(map[messenger.Key]offer),
	}
}

// spread marks a change to be told on every link but the one it came from.
func (c *Core) spread(key messenger.Key, done change, source string) {
	for name, l := range c.links {
		if name == source {
			delete(l.unsent, key)
			continue
		}
		marked := l.unsent[key]
		marked.content = marked.content || done.content
		marked.health = marked.health || done.health
		l.unsent[key] = marked
	}
}

// flush sends the marked changes within the pace.
func (c *Core) flush() {
	c.spreader.pace.refill(c.now)
	for _, name := range c.linkNames() {
		l := c.links[name]
		if l.lazy {
			c.offer(l)
			continue
		}
		if len(l.unsent) > 0 {
			c.flushLink(l)
		}
	}
}

func (c *Core) flushLink(l *link) {
	message := messenger.Message{}
	size := messageBytes
	for _, key := range c.dirtyKeys(l) {
		if len(message.Records)+len(message.Rumors) >= flushItems || c.spreader.pace.tokens < float64(size) {
			break
		}
		m := c.table.members[key]
		done := l.unsent[key]
		delete(l.unsent, key)
		if m == nil {
			continue
		}
		size += appendChange(&message, m, done)
	}
	if len(message.Records)+len(message.Rumors) == 0 {
		return
	}
	c.spreader.pace.tokens -= float64(size)
	c.send(l.name, message)
}

// dirtyKeys returns the marked keys, the node's own first.
func (c *Core) dirtyKeys(l *link) []messenger.Key {
	keys := make([]messenger.Key, 0, len(l.unsent))
	for key := range l.unsent {
		keys = append(keys, key)
	}
	self := c.self.key
	sort.Slice(keys, func(i, j int) bool {
		if (keys[i] == self) != (keys[j] == self) {
			return keys[i] == self
		}
		return keys[i] < keys[j]
	})
	return keys
}

func appendChange(message *messenger.Message, m *member, done change) int {
	if done.content && m.present() {
		message.Records = append(message.Records, m.record)
		return recordBytes + targetBytes*len(m.record.Targets)
	}
	message.Rumors = append(message.Rumors, messenger.Rumor{
		Name:        m.record.Host.Name,
		Incarnation: m.record.Stamp.Incarnation,
		Health:      m.record.Stamp.Health,
	})
	return rumorBytes
}

func (c *Core) offer(l *link) {
	if len(l.unsent) == 0 || c.now.Sub(l.lastOffer) < offerDelay {
		return
	}
	l.lastOffer = c.now
	var message messenger.Message
	for _, key := range c.dirtyKeys(l) {
		if len(message.Have) >= flushItems || c.spreader.pace.tokens <= 0 {
			break
		}
		delete(l.unsent, key)
		if m := c.table.members[key]; m != nil {
			message.Have = append(message.Have, m.keyStamp())
		}
	}
	if len(message.Have) == 0 {
		return
	}
	c.spreader.pace.tokens -= float64(messageBytes + holdingBytes*len(message.Have))
	c.send(l.name, message)
}

func (c *Core) receiveSpread(l *link, m *messenger.Message) {
	if m.Prune && !c.planner.pinned[l.name] {
		l.lazy = true
	}
	news := c.absorb(l, m)
	if !news && !m.IsAnswer && len(m.Records)+len(m.Rumors) > 0 {
		c.prune(l)
	}
	c.receiveHave(l, m)
	c.receiveWant(l, m)
}

// prune turns the link lazy on both sides.
func (c *Core) prune(l *link) {
	if l.lazy || c.planner.pinned[l.name] {
		return
	}
	l.lazy = true
	c.send(l.name, messenger.Message{Prune: true})
}

// absorb merges records and rumors and reports whether any was news.
func (c *Core) absorb(l *link, m *messenger.Message) bool {
	news := false
	for i := range m.Records {
		record := &m.Records[i]
		if record.Host.Name == c.self.record.Host.Name {
			news = c.defend(record.Stamp) || news
			continue
		}
		done := c.table.mergeRecord(record, c.now)
		news = c.absorbed(l, messenger.KeyOf(record.Host.Name), done, m.IsAnswer) || news
	}
	for _, rumor := range m.Rumors {
		if rumor.Name == c.self.record.Host.Name {
			news = c.defend(messenger.Stamp{Incarnation: rumor.Incarnation, Health: rumor.Health}) || news
			continue
		}
		done := change{health: c.table.mergeRumor(rumor, c.now)}
		news = c.absorbed(l, messenger.KeyOf(rumor.Name), done, m.IsAnswer) || news
	}
	return news
}

func (c *Core) absorbed(l *link, key messenger.Key, done change, answer bool) bool {
	if !done.any() {
		if l.unsent[key] != (change{}) && !answer {
			delete(l.unsent, key)
		}
		return false
	}
	delete(c.spreader.missing, key)
	if answer && !c.syncer.joined {
		c.changed[key] = true
		c.planner.stale = true
		return true
	}
	c.markChanged(key, done, l.name)
	return true
}

// defend refutes a statement about this node that it did not make.
func (c *Core) defend(stamp messenger.Stamp) bool {
	own := c.self.record.Stamp
	accused := stamp.Incarnation == own.Incarnation && stamp.Health != messenger.Alive
	if stamp.Incarnation > own.Incarnation || accused {
		c.republish(stamp.Incarnation)
		return true
	}
	return false
}

func (c *Core) receiveHave(l *link, m *messenger.Message) {
	for _, holding := range m.Have {
		mine, known := c.table.members[holding.Key]
		if known && !newer(holding.Stamp, mine.record.Stamp) {
			delete(l.unsent, holding.Key)
			continue
		}
		if _, waiting := c.spreader.missing[holding.Key]; !waiting {
			c.spreader.missing[holding.Key] = offer{peer: l.name, stamp: holding.Stamp, due: c.now.Add(graftDelay)}
		}
	}
}

// graft asks for offered records that did not arrive by themselves.
func (c *Core) graft() {
	wants := make(map[string][]messenger.Key)
	var due []messenger.Key
	for key, offered := range c.spreader.missing {
		if !c.now.Before(offered.due) {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due[:min(len(due), graftsPerTick)] {
		offered := c.spreader.missing[key]
		delete(c.spreader.missing, key)
		mine, known := c.table.members[key]
		if known && !newer(offered.stamp, mine.record.Stamp) {
			continue
		}
		wants[offered.peer] = append(wants[offered.peer], key)
	}
	for _, peer := range sortedNames(wants) {
		l := c.links[peer]
		if l == nil {
			continue
		}
		l.lazy = false
		c.send(peer, messenger.Message{Want: wants[peer]})
	}
}

func (c *Core) receiveWant(l *link, m *messenger.Message) {
	if len(m.Want) == 0 {
		return
	}
	if !m.IsAnswer {
		l.lazy = false
	}
	answer := messenger.Message{IsAnswer: true}
	for _, key := range m.Want {
		if mine, known := c.table.members[key]; known {
			answer.Records = append(answer.Records, mine.record)
			delete(l.unsent, key)
		}
	}
	if len(answer.Records) > 0 {
		c.send(l.name, answer)
	}
}
