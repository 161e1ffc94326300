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
	keptVersions      = 8                // newest versions kept as bases of differences for peers
	partBytes         = 32 << 10         // payload size at which a part ends
	maxPushBytes      = 2 << 10          // largest difference sent without a request
	fetchTimeout      = 2 * time.Second  // time without a part until the fetch moves to another peer
	refusedRetryDelay = 30 * time.Second // delay before a refused version is fetched again
)

// storedVersion is a complete version with its contents.
type storedVersion struct {
	head  approver.Head
	index indexer.Index
}

// versions holds the version in force, the ones before it and the running fetch.
type versions struct {
	head           approver.Head     // version in force
	stored         []storedVersion   // complete versions, oldest first; the last one is in force
	newest         uint64            // number of the newest version that exists, as far as received
	newestAt       time.Time         // when newest last rose
	fetch          *fetch            // nil if none is running
	ready          bool              // set once by Core.Ready
	refused        map[uint64]string // reason by version
	refusedRetryAt time.Time         // earliest fetch of a refused version
	serveLimit     tokenBucket       // limits the parts served to peers
	cache          diffCache
}

// fetch is the transfer of a version from one peer, part by part.
type fetch struct {
	peer     string
	head     approver.Head // version being fetched; zero until the first part arrives
	baseRoot indexer.Hash  // root of the version that the difference applies to
	delta    indexer.Delta // difference received so far
	activeAt time.Time     // last request, part or busy reply
}

// diffCache keeps the last difference computed, as several peers request the same one in a
// row.
type diffCache struct {
	from  indexer.Hash
	to    indexer.Hash
	delta indexer.Delta
}

func newVersions(config Config, now time.Time) versions {
	return versions{
		refused:    make(map[uint64]string),
		serveLimit: tokenBucket{tokens: config.ServeBurstBytes, rate: config.ServeBytesPerSecond, burst: config.ServeBurstBytes, filledAt: now},
	}
}

func (v *versions) current() indexer.Index {
	if len(v.stored) == 0 {
		return indexer.Index{}
	}
	return v.stored[len(v.stored)-1].index
}

func (v *versions) byVersion(version uint64) (storedVersion, bool) {
	if version == 0 {
		version = v.head.Version
	}
	for i := len(v.stored) - 1; i >= 0; i-- {
		if v.stored[i].head.Version == version {
			return v.stored[i], true
		}
	}
	return storedVersion{}, false
}

func (v *versions) byRoot(root indexer.Hash) (indexer.Index, bool) {
	if root.IsZero() {
		return indexer.Index{}, true
	}
	for i := len(v.stored) - 1; i >= 0; i-- {
		if v.stored[i].index.Root() == root {
			return v.stored[i].index, true
		}
	}
	return indexer.Index{}, false
}

// VersionRead handles a complete version that was read from the store.
func (c *Core) VersionRead(now time.Time, head approver.Head, index indexer.Index) []Effect {
	c.advanceClock(now)
	c.raiseNewest(head.Version)
	c.adopt(head, index, "")
	return c.takeEffects()
}

// VersionAnnounced handles the number of a version that exists, whose contents this node may lack.
func (c *Core) VersionAnnounced(now time.Time, version uint64) []Effect {
	c.advanceClock(now)
	c.raiseNewest(version)
	return c.takeEffects()
}

// raiseNewest updates the number of the newest version that exists.
func (c *Core) raiseNewest(version uint64) {
	if version > c.versions.newest {
		c.versions.newest = version
		c.versions.newestAt = c.now
		c.reporter.stale = true
	}
}

// adopt checks a complete version and puts it in force. It ignores a version that is not
// newer than the one in force, and refuses one that fails its check.
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
	c.raiseNewest(head.Version)
	before := v.head.Version
	base := v.current()
	v.head = head
	v.stored = append(v.stored, storedVersion{head: head, index: index})
	if len(v.stored) > keptVersions {
		v.stored = append([]storedVersion(nil), v.stored[1:]...)
	}
	mustIncrease(before, v.head.Version)
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

// mustIncrease panics if the new version in force is not newer than the one before it.
func mustIncrease(before, after uint64) {
	if after <= before {
		panic(fmt.Sprintf("version in force fell from %d to %d", before, after))
	}
}

// checkVersion returns the contracts of a version, or an error if the index is not the one
// that the head names or a contract is invalid.
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

// refuse records a version that failed its check. It is reported to the owner once.
func (c *Core) refuse(head approver.Head, err error) {
	v := &c.versions
	v.fetch = nil
	v.refusedRetryAt = c.now.Add(refusedRetryDelay)
	if v.refused[head.Version] == "" {
		c.emit(Refuse{Head: head, Reason: err.Error()})
	}
	v.refused[head.Version] = err.Error()
	c.reporter.stale = true
}

// announceVersion sends the number of the version in force on the eager links; the other
// peers receive it with pings. On links of the spanning tree, a peer that has the previous
// version is sent the difference itself if it is small.
func (c *Core) announceVersion(source string, before uint64, base indexer.Index) {
	v := &c.versions
	delta := base.Diff(v.current())
	for _, name := range c.linkNames() {
		l := c.links[name]
		if name == source || l.lazy || l.version >= v.head.Version {
			continue
		}
		message := messenger.Message{Version: v.head.Version}
		if c.planner.treePeers[name] && l.version == before && delta.Size() <= maxPushBytes {
			message.DiffPage = cutPart(v.head, base.Root(), delta, "")
			l.version = v.head.Version
		}
		c.send(name, message)
	}
}

// receiveVersion handles the fields of a message that concern versions.
func (c *Core) receiveVersion(l *link, m *messenger.Message) {
	if m.DiffPage != nil && c.versions.fetch == nil {
		c.receivePush(l, m.DiffPage)
	} else if m.DiffPage != nil {
		c.receivePart(l, m.DiffPage)
	}
	c.updatePeerVersion(l, m.Version)
	if m.Fetch != nil {
		c.servePart(l, m.Fetch)
	}
	if m.Busy && c.versions.fetch != nil && c.versions.fetch.peer == l.name {
		c.versions.fetch.activeAt = c.now
	}
}

// updatePeerVersion records which version a peer has, and fetches it if it is newer than the one
// in force and no fetch is running.
func (c *Core) updatePeerVersion(l *link, version uint64) {
	if version == 0 {
		return
	}
	l.version = max(l.version, version)
	c.raiseNewest(version)
	if version > c.versions.head.Version && c.versions.fetch == nil {
		c.startFetch(l)
	}
}

// startFetch requests the newest version of a peer as a difference to the version in force.
// A version that was refused lately is not requested again.
func (c *Core) startFetch(l *link) {
	v := &c.versions
	if _, refused := v.refused[l.version]; refused && c.now.Before(v.refusedRetryAt) {
		return
	}
	v.fetch = &fetch{peer: l.name, baseRoot: v.current().Root(), activeAt: c.now}
	c.send(l.name, messenger.Message{Fetch: &messenger.Fetch{BaseRoot: v.fetch.baseRoot}})
}

// retryFetch starts a fetch from a random peer with a newer version if none is running or the
// running one has timed out or lost its link.
func (c *Core) retryFetch() {
	v := &c.versions
	if v.fetch != nil && c.now.Sub(v.fetch.activeAt) < fetchTimeout && c.links[v.fetch.peer] != nil {
		return
	}
	failed := ""
	if v.fetch != nil {
		failed = v.fetch.peer
		v.fetch = nil
	}
	if v.newest <= v.head.Version {
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

// servePart answers a fetch with the next part of the difference to the version that the
// peer has, or of the complete contents if that version is no longer kept. It sends Busy
// while the byte limit is exceeded.
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
	if !v.serveLimit.take(c.now, messageBytes+part.Delta.Size()) {
		c.send(l.name, messenger.Message{Busy: true})
		return
	}
	c.send(l.name, messenger.Message{DiffPage: part})
}

// cutPart returns the part of a difference that starts behind the item named after, or at
// the beginning if after is empty. Removed names are all in the first part.
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

// receivePush handles a difference that was not requested. It is ignored unless it fits into
// one part and applies to the version in force.
func (c *Core) receivePush(l *link, part *messenger.DiffPage) {
	v := &c.versions
	if part.Gone || part.After != "" || part.BaseRoot != v.current().Root() || part.Head.Version <= v.head.Version {
		return
	}
	l.version = max(l.version, part.Head.Version)
	c.adopt(part.Head, v.current().Apply(part.Delta), l.name)
}

// receivePart collects the parts of the running fetch, requests the next one and, after the
// last, checks the version and puts it in force. The fetch ends without a result if the peer
// no longer has the version or starts to send another.
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
	f.baseRoot = part.BaseRoot
	f.activeAt = c.now
	f.delta.Set = append(f.delta.Set, part.Delta.Set...)
	f.delta.Removed = append(f.delta.Removed, part.Delta.Removed...)
	if part.After != "" {
		c.send(l.name, messenger.Message{Fetch: &messenger.Fetch{Version: f.head.Version, BaseRoot: f.baseRoot, After: part.After}})
		return
	}
	v.fetch = nil
	base, ok := v.byRoot(f.baseRoot)
	if !ok {
		return
	}
	index := base.Apply(f.delta)
	c.adopt(f.head, index, l.name)
}
