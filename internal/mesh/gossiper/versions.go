package gossiper

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/mesh/messenger"
)

const (
	keptVersions = 8                // versions that differences are served from
	partBytes    = 32 << 10         // payload of one part
	pushBytes    = 2 << 10          // largest difference sent without being asked for
	fetchTimeout = 2 * time.Second  // before another peer is asked
	refusedKeep  = 30 * time.Second // before a refused version is fetched again
)

// held is a version that this node has whole.
type held struct {
	head  approver.Head
	index indexer.Index
}

// versions holds the version in force, those before it, and the fetch under way.
type versions struct {
	head    approver.Head
	past    []held // oldest first; the last one is in force
	told    uint64 // newest version heard of
	toldAt  time.Time
	fetch   *fetch
	ready   bool
	refused map[uint64]string // reason by version
	retryAt time.Time
	serve   bucket
	cache   diffCache
}

type fetch struct {
	peer  string
	head  approver.Head
	have  indexer.Hash
	items indexer.Delta
	asked time.Time
}

// diffCache keeps the last difference, which several peers ask for in a row.
type diffCache struct {
	from  indexer.Hash
	to    indexer.Hash
	delta indexer.Delta
}

func newVersions(config Config, now time.Time) versions {
	return versions{
		refused: make(map[uint64]string),
		serve:   bucket{tokens: config.ServeBurstBytes, rate: config.ServeBytesPerSecond, burst: config.ServeBurstBytes, filled: now},
	}
}

func (v *versions) current() indexer.Index {
	if len(v.past) == 0 {
		return indexer.Index{}
	}
	return v.past[len(v.past)-1].index
}

func (v *versions) byVersion(version uint64) (held, bool) {
	if version == 0 {
		version = v.head.Version
	}
	for i := len(v.past) - 1; i >= 0; i-- {
		if v.past[i].head.Version == version {
			return v.past[i], true
		}
	}
	return held{}, false
}

func (v *versions) byRoot(root indexer.Hash) (indexer.Index, bool) {
	if root.IsZero() {
		return indexer.Index{}, true
	}
	for i := len(v.past) - 1; i >= 0; i-- {
		if v.past[i].index.Root() == root {
			return v.past[i].index, true
		}
	}
	return indexer.Index{}, false
}

// VersionRead takes in a version read from the store.
func (c *Core) VersionRead(now time.Time, head approver.Head, index indexer.Index) []Effect {
	c.advanceClock(now)
	c.hear(head.Version)
	c.adopt(head, index, "")
	return c.takeEffects()
}

// VersionAnnounced takes in the number of a version that exists, whole or not.
func (c *Core) VersionAnnounced(now time.Time, version uint64) []Effect {
	c.advanceClock(now)
	c.hear(version)
	return c.takeEffects()
}

func (c *Core) hear(version uint64) {
	if version > c.versions.told {
		c.versions.told = version
		c.versions.toldAt = c.now
		c.reporter.stale = true
	}
}

// adopt checks a whole version and puts it in force. It never goes back.
func (c *Core) adopt(head approver.Head, index indexer.Index, source string) {
	v := &c.versions
	if head.Version <= v.head.Version {
		return
	}
	contracts, err := checkVersion(head, index)
	if err != nil {
		c.refuse(head, err)
		return
	}
	c.hear(head.Version)
	before := v.head.Version
	base := v.current()
	v.head = head
	v.past = append(v.past, held{head: head, index: index})
	if len(v.past) > keptVersions {
		v.past = append([]held(nil), v.past[1:]...)
	}
	mustRise(before, v.head.Version)
	v.fetch = nil
	for version := range v.refused {
		if version <= head.Version {
			delete(v.refused, version)
		}
	}
	c.emit(Activate{Head: head, Index: index, Contracts: contracts})
	c.announceVersion(source, before, base)
	c.reporter.stale = true
}

// mustRise stops the process on a version that does not rise.
func mustRise(before, after uint64) {
	if after <= before {
		panic(fmt.Sprintf("version in force fell from %d to %d", before, after))
	}
}

func checkVersion(head approver.Head, index indexer.Index) ([]compiler.Contract, error) {
	if index.Root() != head.Root {
		return nil, indexer.ErrMismatch
	}
	contracts, err := approver.Contracts(index)
	if err != nil {
		return nil, err
	}
	if faults := compiler.Check(contracts); len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return contracts, nil
}

func (c *Core) refuse(head approver.Head, err error) {
	v := &c.versions
	v.fetch = nil
	v.retryAt = c.now.Add(refusedKeep)
	if v.refused[head.Version] == "" {
		c.emit(Refuse{Head: head, Reason: err.Error()})
	}
	v.refused[head.Version] = err.Error()
	c.reporter.stale = true
}

// announceVersion tells the eager links; the others learn it from pings. Along the
// spanning tree a small difference is sent at once to peers that have its base.
func (c *Core) announceVersion(source string, before uint64, base indexer.Index) {
	v := &c.versions
	delta := base.Diff(v.current())
	for _, name := range c.linkNames() {
		l := c.links[name]
		if name == source || l.lazy || l.version >= v.head.Version {
			continue
		}
		message := messenger.Message{Version: v.head.Version}
		if c.planner.pinned[name] && l.version == before && delta.Size() <= pushBytes {
			message.DiffPage = cutPart(v.head, base.Root(), delta, "")
			l.version = v.head.Version
		}
		c.send(name, message)
	}
}

func (c *Core) receiveVersion(l *link, m *messenger.Message) {
	if m.DiffPage != nil && c.versions.fetch == nil {
		c.receivePush(l, m.DiffPage)
	} else if m.DiffPage != nil {
		c.receivePart(l, m.DiffPage)
	}
	c.learnVersion(l, m.Version)
	if m.Fetch != nil {
		c.servePart(l, m.Fetch)
	}
	if m.Busy && c.versions.fetch != nil && c.versions.fetch.peer == l.name {
		c.versions.fetch.asked = c.now
	}
}

func (c *Core) learnVersion(l *link, version uint64) {
	if version == 0 {
		return
	}
	l.version = max(l.version, version)
	c.hear(version)
	if version > c.versions.head.Version && c.versions.fetch == nil {
		c.startFetch(l)
	}
}

func (c *Core) startFetch(l *link) {
	v := &c.versions
	if _, refused := v.refused[l.version]; refused && c.now.Before(v.retryAt) {
		return
	}
	v.fetch = &fetch{peer: l.name, have: v.current().Root(), asked: c.now}
	c.send(l.name, messenger.Message{Fetch: &messenger.Fetch{BaseRoot: v.fetch.have}})
}

// pursue fetches from another peer when the first one does not answer.
func (c *Core) pursue() {
	v := &c.versions
	if v.fetch != nil && c.now.Sub(v.fetch.asked) < fetchTimeout && c.links[v.fetch.peer] != nil {
		return
	}
	failed := ""
	if v.fetch != nil {
		failed = v.fetch.peer
		v.fetch = nil
	}
	if v.told <= v.head.Version {
		return
	}
	var holders []*link
	for _, name := range c.linkNames() {
		if l := c.links[name]; l.version > v.head.Version {
			holders = append(holders, l)
		}
	}
	if len(holders) == 0 {
		return
	}
	chosen := holders[c.rng.IntN(len(holders))]
	if chosen.name == failed {
		chosen = holders[c.rng.IntN(len(holders))]
	}
	c.startFetch(chosen)
}

func (c *Core) servePart(l *link, request *messenger.Fetch) {
	v := &c.versions
	target, ok := v.byVersion(request.Version)
	if !ok {
		c.send(l.name, messenger.Message{DiffPage: &messenger.DiffPage{Gone: true}})
		return
	}
	have := request.BaseRoot
	base, known := v.byRoot(have)
	if !known {
		have = indexer.Hash{}
		base = indexer.Index{}
	}
	if v.cache.from != have || v.cache.to != target.index.Root() {
		v.cache = diffCache{from: have, to: target.index.Root(), delta: base.Diff(target.index)}
	}
	part := cutPart(target.head, have, v.cache.delta, request.After)
	if !v.serve.take(c.now, messageBytes+part.Delta.Size()) {
		c.send(l.name, messenger.Message{Busy: true})
		return
	}
	c.send(l.name, messenger.Message{DiffPage: part})
}

// cutPart returns the page of a difference that starts after a name.
func cutPart(head approver.Head, have indexer.Hash, delta indexer.Delta, after string) *messenger.DiffPage {
	part := &messenger.DiffPage{Head: head, BaseRoot: have}
	if after == "" {
		part.Delta.Removed = delta.Removed
	}
	start := sort.Search(len(delta.Set), func(i int) bool { return delta.Set[i].Name > after })
	size := 0
	for i := start; i < len(delta.Set); i++ {
		if size >= partBytes {
			part.After = delta.Set[i-1].Name
			break
		}
		part.Delta.Set = append(part.Delta.Set, delta.Set[i])
		size += len(delta.Set[i].Data)
	}
	return part
}

// receivePush takes in a whole difference that was not asked for, if it applies to the
// version in force.
func (c *Core) receivePush(l *link, part *messenger.DiffPage) {
	v := &c.versions
	if part.Gone || part.After != "" || part.BaseRoot != v.current().Root() || part.Head.Version <= v.head.Version {
		return
	}
	l.version = max(l.version, part.Head.Version)
	c.adopt(part.Head, v.current().Apply(part.Delta), l.name)
}

func (c *Core) receivePart(l *link, part *messenger.DiffPage) {
	v := &c.versions
	f := v.fetch
	if f == nil || f.peer != l.name {
		return
	}
	if part.Gone || (f.head.Version != 0 && f.head != part.Head) {
		v.fetch = nil
		return
	}
	f.head = part.Head
	f.have = part.BaseRoot
	f.asked = c.now
	f.items.Set = append(f.items.Set, part.Delta.Set...)
	f.items.Removed = append(f.items.Removed, part.Delta.Removed...)
	if part.After != "" {
		c.send(l.name, messenger.Message{Fetch: &messenger.Fetch{Version: f.head.Version, BaseRoot: f.have, After: part.After}})
		return
	}
	v.fetch = nil
	base, ok := v.byRoot(f.have)
	if !ok {
		return
	}
	index := base.Apply(f.items)
	c.adopt(f.head, index, l.name)
}
