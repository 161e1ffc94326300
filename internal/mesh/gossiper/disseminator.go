package gossiper

import (
	"slices"
	"sort"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	offerDelay       = 500 * time.Millisecond // delay that batches offers on a lazy link
	graftDelay       = time.Second            // delay before an offered record is requested
	maxFlushItems    = 64                     // changes or offers per message
	maxGraftsPerTick = 128                    // offered records requested per tick

	// Estimated sizes on the wire, for the byte limits.
	recordBytes   = 110 // without its targets
	targetBytes   = 50
	rumorBytes    = 36
	keyStampBytes = 22
	messageBytes  = 60 // packet overhead
)

// tokenBucket limits bytes per second, beyond a burst.
type tokenBucket struct {
	tokens   float64
	rate     float64
	burst    float64
	filledAt time.Time
}

func (b *tokenBucket) refill(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}

// take spends n tokens and returns true if any tokens are left. The balance may become
// negative; take then returns false until it is positive again.
func (b *tokenBucket) take(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// disseminator disseminates membership changes by epidemic broadcast trees (Plumtree). Records
// are pushed on eager links and only offered on lazy ones. A link becomes lazy when a message
// on it brings only known changes, and eager when a record that was offered on it is requested.
type disseminator struct {
	sendLimit tokenBucket             // limits the changes and offers sent on all links together
	changed   time.Time               // last membership change
	missing   map[messenger.Key]offer // offered records that have not arrived
}

// offer is a record that a peer offered and this node lacks.
type offer struct {
	peer  string
	stamp messenger.Stamp
	due   time.Time // when the record is requested if it has not arrived
}

func newDisseminator(config Config, now time.Time) disseminator {
	return disseminator{
		sendLimit: tokenBucket{tokens: config.GossipBurstBytes, rate: config.GossipBytesPerSecond, burst: config.GossipBurstBytes, filledAt: now},
		missing:   make(map[messenger.Key]offer),
	}
}

// disseminate queues a change on every link except the one that it came from.
func (c *Core) disseminate(key messenger.Key, diff change, source string) {
	for name, l := range c.links {
		if name == source {
			delete(l.unsent, key)
			continue
		}
		queued := l.unsent[key]
		queued.content = queued.content || diff.content
		queued.health = queued.health || diff.health
		l.unsent[key] = queued
	}
}

// flush sends queued changes within the byte limit.
func (c *Core) flush() {
	c.disseminator.sendLimit.refill(c.now)
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

// flushLink sends queued changes on an eager link.
func (c *Core) flushLink(l *link) {
	message := messenger.Message{}
	size := messageBytes
	for _, key := range c.unsentKeys(l) {
		if len(message.Records)+len(message.Rumors) >= maxFlushItems || c.disseminator.sendLimit.tokens < float64(size) {
			break
		}
		m := c.table.members[key]
		diff := l.unsent[key]
		delete(l.unsent, key)
		if m == nil {
			continue
		}
		size += appendChange(&message, m, diff)
	}
	if len(message.Records)+len(message.Rumors) == 0 {
		return
	}
	c.disseminator.sendLimit.tokens -= float64(size)
	c.send(l.name, message)
}

// unsentKeys returns the keys of a link's queued changes in order, the node's own key first.
func (c *Core) unsentKeys(l *link) []messenger.Key {
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

// appendChange adds the record of a changed member to the message, or only its health if
// nothing else changed or the member is gone, and returns the estimated size.
func appendChange(message *messenger.Message, m *member, diff change) int {
	if diff.content && m.present() {
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

// offer sends the stamps of queued changes on a lazy link.
func (c *Core) offer(l *link) {
	if len(l.unsent) == 0 || c.now.Sub(l.lastOffer) < offerDelay {
		return
	}
	l.lastOffer = c.now
	var message messenger.Message
	for _, key := range c.unsentKeys(l) {
		if len(message.Have) >= maxFlushItems || c.disseminator.sendLimit.tokens <= 0 {
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
	c.disseminator.sendLimit.tokens -= float64(messageBytes + keyStampBytes*len(message.Have))
	c.send(l.name, message)
}

// receiveMembership handles the fields of a message that concern the dissemination of
// membership changes.
func (c *Core) receiveMembership(l *link, m *messenger.Message) {
	if m.Prune && !c.planner.treePeers[l.name] {
		l.lazy = true
	}
	anyNew := c.mergeChanges(l, m)
	if !anyNew && !m.IsAnswer && len(m.Records)+len(m.Rumors) > 0 {
		c.prune(l)
	}
	c.receiveHave(l, m)
	c.receiveWant(l, m)
}

// prune makes the link lazy on both sides, unless it belongs to the spanning tree.
func (c *Core) prune(l *link) {
	if l.lazy || c.planner.treePeers[l.name] {
		return
	}
	l.lazy = true
	c.send(l.name, messenger.Message{Prune: true})
}

// mergeChanges merges records and rumors and reports whether any of them was new.
func (c *Core) mergeChanges(l *link, m *messenger.Message) bool {
	anyNew := false
	for i := range m.Records {
		record := &m.Records[i]
		if record.Host.Name == c.self.record.Host.Name {
			anyNew = c.refute(record.Stamp) || anyNew
			continue
		}
		diff := c.table.mergeRecord(record, c.now)
		anyNew = c.handleMerged(l, messenger.KeyOf(record.Host.Name), diff, m.IsAnswer) || anyNew
	}
	for _, rumor := range m.Rumors {
		if rumor.Name == c.self.record.Host.Name {
			anyNew = c.refute(messenger.Stamp{Incarnation: rumor.Incarnation, Health: rumor.Health}) || anyNew
			continue
		}
		diff := change{health: c.table.mergeRumor(rumor, c.now)}
		anyNew = c.handleMerged(l, messenger.KeyOf(rumor.Name), diff, m.IsAnswer) || anyNew
	}
	return anyNew
}

// handleMerged handles the outcome of merging one record or rumor and reports whether it was
// new. Records that answer a request of this node are not disseminated until it has joined.
func (c *Core) handleMerged(l *link, key messenger.Key, diff change, answer bool) bool {
	if !diff.any() {
		if l.unsent[key] != (change{}) && !answer {
			delete(l.unsent, key)
		}
		return false
	}
	delete(c.disseminator.missing, key)
	if answer && !c.syncer.joined {
		c.changed[key] = true
		c.planner.stale = true
		return true
	}
	c.markChanged(key, diff, l.name)
	return true
}

// refute republishes this node's record with a higher stamp if a peer sent a newer incarnation
// of it, or a health other than alive for its incarnation, and reports whether it did.
func (c *Core) refute(stamp messenger.Stamp) bool {
	own := c.self.record.Stamp
	unhealthy := stamp.Incarnation == own.Incarnation && stamp.Health != messenger.Alive
	if stamp.Incarnation > own.Incarnation || unhealthy {
		c.republish(stamp.Incarnation)
		return true
	}
	return false
}

// receiveHave stores the offers of records that this node lacks, and drops queued changes
// that the peer has already.
func (c *Core) receiveHave(l *link, m *messenger.Message) {
	for _, keyStamp := range m.Have {
		mine, known := c.table.members[keyStamp.Key]
		if known && !newer(keyStamp.Stamp, mine.record.Stamp) {
			delete(l.unsent, keyStamp.Key)
			continue
		}
		if _, waiting := c.disseminator.missing[keyStamp.Key]; !waiting {
			c.disseminator.missing[keyStamp.Key] = offer{peer: l.name, stamp: keyStamp.Stamp, due: c.now.Add(graftDelay)}
		}
	}
}

// graft requests the offered records that did not arrive by themselves from the peers that
// offered them, and makes the links to these peers eager.
func (c *Core) graft() {
	wants := make(map[string][]messenger.Key)
	var due []messenger.Key
	for key, offered := range c.disseminator.missing {
		if !c.now.Before(offered.due) {
			due = append(due, key)
		}
	}
	slices.Sort(due)
	for _, key := range due[:min(len(due), maxGraftsPerTick)] {
		offered := c.disseminator.missing[key]
		delete(c.disseminator.missing, key)
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

// receiveWant sends the requested records. The request makes the link eager unless it is
// part of an exchange of tables.
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
