package gossiper

import (
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	maxSyncBuckets = 8                // buckets per request
	syncTimeout    = 3 * time.Second  // delay before an unanswered request is sent again
	settleDelay    = 2 * time.Second  // time without changes before a digest difference is repaired
	newLinkAge     = 10 * time.Second // age of a link up to which settleDelay does not apply
	joinTimeout    = 5 * time.Second  // age from which a node without links counts as joined
)

// syncer compares membership tables with peers and repairs differences that gossip left
// (anti-entropy).
type syncer struct {
	joined     bool // a first exchange of tables is complete, or no peer was found
	startedAt  time.Time
	nextSync   time.Time   // next digest exchange
	expiredAt  time.Time   // last removal of old tombstones
	serveLimit tokenBucket // limits the records served to peers
}

func newSyncer(config Config, now time.Time) syncer {
	return syncer{
		startedAt:  now,
		nextSync:   now.Add(config.SyncInterval),
		expiredAt:  now,
		serveLimit: tokenBucket{tokens: config.ServeBurstBytes, rate: config.ServeBytesPerSecond, burst: config.ServeBurstBytes, filledAt: now},
	}
}

// synchronize starts a digest exchange with a random peer at each interval, and repeats
// requests that were not answered in time.
func (c *Core) synchronize() {
	s := &c.syncer
	for _, name := range c.linkNames() {
		l := c.links[name]
		if len(l.pendingBuckets) > 0 && c.now.Sub(l.syncRequested) > syncTimeout {
			c.requestSync(l)
		}
	}
	if !s.joined && len(c.links) == 0 && c.now.Sub(s.startedAt) > joinTimeout {
		s.joined = true
	}
	if c.now.Before(s.nextSync) || len(c.links) == 0 {
		return
	}
	jitter := time.Duration(c.rng.Int64N(int64(c.config.SyncInterval)))
	s.nextSync = c.now.Add(c.config.SyncInterval/2 + jitter)
	names := c.linkNames()
	name := names[c.rng.IntN(len(names))]
	c.send(name, messenger.Message{
		Version: c.versions.head.Version,
		Digest:  &messenger.Digest{Root: c.table.root},
	})
}

// receiveSync handles the fields of a message that concern the comparison of tables.
func (c *Core) receiveSync(l *link, m *messenger.Message) {
	if m.Digest != nil {
		c.receiveDigest(l, m.Digest)
	}
	if m.Sync != nil {
		c.serveSync(l, m.Sync)
	}
	if m.Busy {
		l.syncRequested = c.now
		return
	}
	if m.IsAnswer && len(l.pendingBuckets) > 0 && m.Digest == nil {
		l.pendingBuckets = l.pendingBuckets[min(maxSyncBuckets, len(l.pendingBuckets)):]
		c.requestSync(l)
	}
}

// receiveDigest compares a peer's digest with this node's. If only the roots were compared
// and differ, it sends the buckets; if the buckets differ, it requests their records.
func (c *Core) receiveDigest(l *link, d *messenger.Digest) {
	if d.Root == c.table.root {
		c.syncer.joined = true
		return
	}
	if d.Buckets == nil {
		newLink := c.now.Sub(l.openedAt) < newLinkAge
		if newLink || c.now.Sub(c.disseminator.changed) > settleDelay {
			c.send(l.name, messenger.Message{Digest: &messenger.Digest{Root: c.table.root, Buckets: c.table.digest()}})
		}
		return
	}
	if len(l.pendingBuckets) > 0 || len(d.Buckets) != bucketCount {
		return
	}
	mine := c.table.digest()
	offset := c.rng.IntN(bucketCount)
	for i := range bucketCount {
		b := (i + offset) % bucketCount
		if mine[b] != d.Buckets[b] {
			l.pendingBuckets = append(l.pendingBuckets, b)
		}
	}
	c.requestSync(l)
}

// requestSync requests the records of the next buckets that differ. Without any left, the
// exchange is complete and the node has joined.
func (c *Core) requestSync(l *link) {
	if len(l.pendingBuckets) == 0 {
		c.syncer.joined = true
		return
	}
	request := &messenger.Sync{Buckets: l.pendingBuckets[:min(maxSyncBuckets, len(l.pendingBuckets))]}
	c.table.visitBuckets(request.Buckets, func(m *member) {
		request.KeyStamps = append(request.KeyStamps, m.keyStamp())
	})
	l.syncRequested = c.now
	c.send(l.name, messenger.Message{Sync: request})
}

// serveSync sends the records that the peer lacks or has older, and requests those that it
// has newer. It sends Busy while the byte limit is exceeded.
func (c *Core) serveSync(l *link, request *messenger.Sync) {
	theirs := make(map[messenger.Key]messenger.Stamp, len(request.KeyStamps))
	answer := messenger.Message{IsAnswer: true}
	size := messageBytes
	for _, keyStamp := range request.KeyStamps {
		theirs[keyStamp.Key] = keyStamp.Stamp
		mine, known := c.table.members[keyStamp.Key]
		if !known || newer(keyStamp.Stamp, mine.record.Stamp) {
			answer.Want = append(answer.Want, keyStamp.Key)
		}
		if known && newer(mine.record.Stamp, keyStamp.Stamp) {
			answer.Records = append(answer.Records, mine.record)
		}
	}
	c.table.visitBuckets(request.Buckets, func(m *member) {
		if _, listed := theirs[m.key]; !listed {
			answer.Records = append(answer.Records, m.record)
		}
	})
	size += len(answer.Records)*recordBytes + len(answer.Want)*keyStampBytes
	if !c.syncer.serveLimit.take(c.now, size) {
		c.send(l.name, messenger.Message{Busy: true})
		return
	}
	c.send(l.name, answer)
}
