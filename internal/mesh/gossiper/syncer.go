package gossiper

import (
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	syncBuckets  = 8                // buckets per request
	syncTimeout  = 3 * time.Second  // before a request is taken to be lost
	settleDelay  = 2 * time.Second  // quiet time before a difference counts
	freshLink    = 10 * time.Second // a new link exchanges at once
	joinDeadline = 5 * time.Second  // a node that found nobody to ask joins by itself
)

// syncer compares tables with peers and repairs what spreading missed.
type syncer struct {
	joined  bool
	started time.Time
	due     time.Time
	expired time.Time
	serve   bucket
}

func newSyncer(config Config, now time.Time) syncer {
	return syncer{
		started: now,
		due:     now.Add(config.SyncInterval),
		expired: now,
		serve:   bucket{tokens: config.ServeBurstBytes, rate: config.ServeBytesPerSecond, burst: config.ServeBurstBytes, filled: now},
	}
}

// synchronize starts a digest exchange with a random peer at each interval and
// resumes exchanges whose answer was lost.
func (c *Core) synchronize() {
	s := &c.syncer
	for _, name := range c.linkNames() {
		l := c.links[name]
		if len(l.pendingBuckets) > 0 && c.now.Sub(l.syncRequested) > syncTimeout {
			c.requestSync(l)
		}
	}
	if !s.joined && len(c.links) == 0 && c.now.Sub(s.started) > joinDeadline {
		s.joined = true
	}
	if c.now.Before(s.due) || len(c.links) == 0 {
		return
	}
	jitter := time.Duration(c.rng.Int64N(int64(c.config.SyncInterval)))
	s.due = c.now.Add(c.config.SyncInterval/2 + jitter)
	names := c.linkNames()
	name := names[c.rng.IntN(len(names))]
	c.send(name, messenger.Message{
		Version: c.versions.head.Version,
		Digest:  &messenger.Digest{Root: c.table.root},
	})
}

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
		l.pendingBuckets = l.pendingBuckets[min(syncBuckets, len(l.pendingBuckets)):]
		c.requestSync(l)
	}
}

func (c *Core) receiveDigest(l *link, d *messenger.Digest) {
	if d.Root == c.table.root {
		c.syncer.joined = true
		return
	}
	if d.Buckets == nil {
		fresh := c.now.Sub(l.openedAt) < freshLink
		if fresh || c.now.Sub(c.spreader.changed) > settleDelay {
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

func (c *Core) requestSync(l *link) {
	if len(l.pendingBuckets) == 0 {
		c.syncer.joined = true
		return
	}
	request := &messenger.Sync{Buckets: l.pendingBuckets[:min(syncBuckets, len(l.pendingBuckets))]}
	c.table.visitBuckets(request.Buckets, func(m *member) {
		request.KeyStamps = append(request.KeyStamps, m.keyStamp())
	})
	l.syncRequested = c.now
	c.send(l.name, messenger.Message{Sync: request})
}

// serveSync answers with what the asker lacks and asks for what it has newer.
func (c *Core) serveSync(l *link, request *messenger.Sync) {
	theirs := make(map[messenger.Key]messenger.Stamp, len(request.KeyStamps))
	answer := messenger.Message{IsAnswer: true}
	size := messageBytes
	for _, holding := range request.KeyStamps {
		theirs[holding.Key] = holding.Stamp
		mine, known := c.table.members[holding.Key]
		if !known || newer(holding.Stamp, mine.record.Stamp) {
			answer.Want = append(answer.Want, holding.Key)
		}
		if known && newer(mine.record.Stamp, holding.Stamp) {
			answer.Records = append(answer.Records, mine.record)
		}
	}
	c.table.visitBuckets(request.Buckets, func(m *member) {
		if _, listed := theirs[m.key]; !listed {
			answer.Records = append(answer.Records, m.record)
		}
	})
	size += len(answer.Records)*recordBytes + len(answer.Want)*holdingBytes
	if !c.syncer.serve.take(c.now, size) {
		c.send(l.name, messenger.Message{Busy: true})
		return
	}
	c.send(l.name, answer)
}
