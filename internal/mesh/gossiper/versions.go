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
	pageBytes         = 32 << 10         // payload size at which a page of a difference ends
	maxPushBytes      = 2 << 10          // largest difference sent without a request
	fetchTimeout      = 2 * time.Second  // time without an answer before another peer is asked
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
	newest         uint64            // newest version announced to this node
	newestAt       time.Time         // when newest last rose
	fetch          *fetch            // nil if none is running
	ready          bool              // set once by Core.Ready
	refused        map[uint64]string // reason by version
	refusedRetryAt time.Time         // earliest fetch of a refused version
	serveLimit     tokenBucket       // limits the pages served to peers
	cache          diffCache
}

// fetch is the transfer of a version from one peer, page by page.
type fetch struct {
	peer         string
	head         approver.Head // version being fetched; zero until the first page arrives
	baseRoot     indexer.Hash  // root of the version that the difference applies to
	delta        indexer.Delta // difference received so far
	lastActivity time.Time     // last request, page or busy reply
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

// current returns the contents of the version in force, empty if there is none.
func (v *versions) current() indexer.Index {
	if len(v.stored) == 0 {
		return indexer.Index{}
	}
	return v.stored[len(v.stored)-1].index
}

// byVersion returns a stored version by its number; 0 means the version in force.
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

// byRoot returns the contents of a stored version by their root; the zero root means empty
// contents.
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
	c.activate(head, index, "")
	return c.takeEffects()
}

// VersionAnnounced handles the number of a version that exists. This node may lack its
// contents.
func (c *Core) VersionAnnounced(now time.Time, version uint64) []Effect {
	c.advanceClock(now)
	c.raiseNewest(version)
	return c.takeEffects()
}

// raiseNewest records that a version exists, if it is newer than all announced before.
func (c *Core) raiseNewest(version uint64) {
	if version > c.versions.newest {
		c.versions.newest = version
		c.versions.newestAt = c.now
		c.reporter.stale = true
	}
}

// activate checks a complete version and puts it in force. It ignores a version that is not
// newer than the one in force, and refuses one that fails its check.
func (c *Core) activate(head approver.Head, index indexer.Index, source string) {
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
	checkIncrease(before, v.head.Version)
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

// checkIncrease panics if the new version in force is not newer than the one before it.
func checkIncrease(before, after uint64) {
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
	if errs := compiler.Check(contracts); len(errs) > 0 {
		return nil, errors.Join(errs...)
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
			message.DiffPage = cutPage(v.head, base.Root(), delta, "")
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
		c.receivePage(l, m.DiffPage)
	}
	c.updatePeerVersion(l, m.Version)
	if m.Fetch != nil {
		c.servePage(l, m.Fetch)
	}
	if m.Busy && c.versions.fetch != nil && c.versions.fetch.peer == l.name {
		c.versions.fetch.lastActivity = c.now
	}
}

// updatePeerVersion records which version a peer has, and fetches it if it is newer than the
// one in force and no fetch is running.
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
// A refused version is not requested again before refusedRetryAt.
func (c *Core) startFetch(l *link) {
	v := &c.versions
	if _, refused := v.refused[l.version]; refused && c.now.Before(v.refusedRetryAt) {
		return
	}
	v.fetch = &fetch{peer: l.name, baseRoot: v.current().Root(), lastActivity: c.now}
	c.send(l.name, messenger.Message{Fetch: &messenger.Fetch{BaseRoot: v.fetch.baseRoot}})
}

// retryFetch starts a fetch from a random peer with a newer version if none is running or the
// running one has timed out or lost its link.
func (c *Core) retryFetch() {
	v := &c.versions
	if v.fetch != nil && c.now.Sub(v.fetch.lastActivity) < fetchTimeout && c.links[v.fetch.peer] != nil {
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
	var candidates []*link
	for _, name := range c.linkNames() {
		if l := c.links[name]; l.version > v.head.Version {
			candidates = append(candidates, l)
		}
	}
	if len(candidates) == 0 {
		return
	}
	chosen := candidates[c.rng.IntN(len(candidates))]
	if chosen.name == failed {
		chosen = candidates[c.rng.IntN(len(candidates))]
	}
	c.startFetch(chosen)
}

// servePage answers a fetch with the next page of the difference to the version that the
// peer has, or of the complete contents if that version is not stored here. It sends Busy
// while the byte limit is exceeded.
func (c *Core) servePage(l *link, request *messenger.Fetch) {
	v := &c.versions
	requested, ok := v.byVersion(request.Version)
	if !ok {
		c.send(l.name, messenger.Message{DiffPage: &messenger.DiffPage{Gone: true}})
		return
	}
	baseRoot := request.BaseRoot
	base, known := v.byRoot(baseRoot)
	if !known {
		baseRoot = indexer.Hash{}
		base = indexer.Index{}
	}
	if v.cache.from != baseRoot || v.cache.to != requested.index.Root() {
		v.cache = diffCache{from: baseRoot, to: requested.index.Root(), delta: base.Diff(requested.index)}
	}
	page := cutPage(requested.head, baseRoot, v.cache.delta, request.After)
	if !v.serveLimit.take(c.now, messageBytes+page.Delta.Size()) {
		c.send(l.name, messenger.Message{Busy: true})
		return
	}
	c.send(l.name, messenger.Message{DiffPage: page})
}

// cutPage returns the page of a difference that starts behind the item named after, or at
// the beginning if after is empty. All removed names are in the first page.
func cutPage(head approver.Head, baseRoot indexer.Hash, delta indexer.Delta, after string) *messenger.DiffPage {
	page := &messenger.DiffPage{Head: head, BaseRoot: baseRoot}
	if after == "" {
		page.Delta.Removed = delta.Removed
	}
	start := sort.Search(len(delta.Set), func(i int) bool { return delta.Set[i].Name > after })
	size := 0
	for i := start; i < len(delta.Set); i++ {
		if size >= pageBytes {
			page.After = delta.Set[i-1].Name
			break
		}
		page.Delta.Set = append(page.Delta.Set, delta.Set[i])
		size += len(delta.Set[i].Data)
	}
	return page
}

// receivePush handles a difference that was not requested. It is ignored unless it is
// complete in one page, applies to the version in force and leads to a newer one.
func (c *Core) receivePush(l *link, page *messenger.DiffPage) {
	v := &c.versions
	if page.Gone || page.After != "" || page.BaseRoot != v.current().Root() || page.Head.Version <= v.head.Version {
		return
	}
	l.version = max(l.version, page.Head.Version)
	c.activate(page.Head, v.current().Apply(page.Delta), l.name)
}

// receivePage collects the pages of the running fetch and requests the next one. After the
// last page it checks the version and puts it in force. The fetch ends without a result if
// the peer no longer has the version or starts to send another.
func (c *Core) receivePage(l *link, page *messenger.DiffPage) {
	v := &c.versions
	f := v.fetch
	if f == nil || f.peer != l.name {
		return
	}
	if page.Gone || (f.head.Version != 0 && f.head != page.Head) {
		v.fetch = nil
		return
	}
	f.head = page.Head
	f.baseRoot = page.BaseRoot
	f.lastActivity = c.now
	f.delta.Set = append(f.delta.Set, page.Delta.Set...)
	f.delta.Removed = append(f.delta.Removed, page.Delta.Removed...)
	if page.After != "" {
		c.send(l.name, messenger.Message{Fetch: &messenger.Fetch{Version: f.head.Version, BaseRoot: f.baseRoot, After: page.After}})
		return
	}
	v.fetch = nil
	base, ok := v.byRoot(f.baseRoot)
	if !ok {
		return
	}
	index := base.Apply(f.delta)
	c.activate(f.head, index, l.name)
}
