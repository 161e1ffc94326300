// Package gossiper implements the control protocol between nodes: membership, failure
// detection, distribution of versions and convergence reports. It does no I/O and reads no
// clock: each method takes the current time and an event, and returns effects for the
// caller to perform. A Core is not safe for concurrent use; one goroutine owns it.
package gossiper

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/mesh/messenger"
)

// Effect is an action that the owner of a Core must perform.
type Effect interface{ effect() }

// Send sends a message on the link to a peer.
type Send struct {
	To      string
	Message messenger.Message
}

// Dial opens a link to a host. Core.LinkUp or Core.DialFailed receives the result.
type Dial struct{ Host messenger.Host }

// Close closes the link to a peer.
type Close struct{ Name string }

// Probe tests over a separate connection whether a host is reachable. Core.Probed receives
// the result.
type Probe struct{ Host messenger.Host }

// Discover opens links to seed nodes that are not members of the table yet.
type Discover struct{}

// Activate puts in force a complete version that passed all checks.
type Activate struct {
	Head      approver.Head
	Index     indexer.Index
	Contracts []compiler.Contract
}

// Refuse reports a version that failed its checks.
type Refuse struct {
	Head   approver.Head
	Reason string
}

func (Send) effect()     {}
func (Dial) effect()     {}
func (Close) effect()    {}
func (Probe) effect()    {}
func (Discover) effect() {}
func (Activate) effect() {}
func (Refuse) effect()   {}

// Config holds the timing and rate limits of a Core. Zero fields take their defaults.
type Config struct {
	RingPingInterval     time.Duration // ping interval of the link to the ring successor
	LinkPingInterval     time.Duration // ping interval of the other links
	PongTimeout          time.Duration // time without a pong until the peer is verified
	VerifyTimeout        time.Duration // time without a successful probe until a host is suspected
	SuspectTimeout       time.Duration // time until a suspect of the own failure domain is declared dead
	LostDomainRetention  time.Duration // time until the hosts of a lost failure domain are declared dead
	TombstoneRetention   time.Duration // time until a tombstone is removed
	SyncInterval         time.Duration // mean interval of digest exchanges
	GossipBytesPerSecond float64       // rate limit of disseminated changes
	GossipBurstBytes     float64
	ServeBytesPerSecond  float64 // rate limit of answers to Sync requests, and separately of version pages
	ServeBurstBytes      float64
}

// Defaults of a Config.
const (
	DefaultRingPingInterval     = 2500 * time.Millisecond
	DefaultLinkPingInterval     = 15 * time.Second
	DefaultPongTimeout          = 1500 * time.Millisecond
	DefaultVerifyTimeout        = 1500 * time.Millisecond
	DefaultSuspectTimeout       = 4 * time.Second
	DefaultLostDomainRetention  = 2 * time.Hour
	DefaultTombstoneRetention   = 3 * time.Hour
	DefaultSyncInterval         = 15 * time.Second
	DefaultGossipBytesPerSecond = 4 << 10
	DefaultGossipBurstBytes     = 64 << 10
	DefaultServeBytesPerSecond  = 256 << 10
	DefaultServeBurstBytes      = 1 << 20
)

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

func (c Config) withDefaults() Config {
	c.RingPingInterval = orDefault(c.RingPingInterval, DefaultRingPingInterval)
	c.LinkPingInterval = orDefault(c.LinkPingInterval, DefaultLinkPingInterval)
	c.PongTimeout = orDefault(c.PongTimeout, DefaultPongTimeout)
	c.VerifyTimeout = orDefault(c.VerifyTimeout, DefaultVerifyTimeout)
	c.SuspectTimeout = orDefault(c.SuspectTimeout, DefaultSuspectTimeout)
	c.LostDomainRetention = orDefault(c.LostDomainRetention, DefaultLostDomainRetention)
	c.TombstoneRetention = orDefault(c.TombstoneRetention, DefaultTombstoneRetention)
	c.SyncInterval = orDefault(c.SyncInterval, DefaultSyncInterval)
	c.GossipBytesPerSecond = orDefault(c.GossipBytesPerSecond, DefaultGossipBytesPerSecond)
	c.GossipBurstBytes = orDefault(c.GossipBurstBytes, DefaultGossipBurstBytes)
	c.ServeBytesPerSecond = orDefault(c.ServeBytesPerSecond, DefaultServeBytesPerSecond)
	c.ServeBurstBytes = orDefault(c.ServeBurstBytes, DefaultServeBurstBytes)
	return c
}

const maxDeadPerMinute = 64 // hosts of one lost failure domain declared dead per minute

// pauseGap is the longest gap between ticks in normal operation. After a longer gap the
// process was paused itself, so elapsed time is no evidence that a peer is unresponsive.
const pauseGap = time.Second

// Core is the state of the control protocol on one node.
type Core struct {
	config Config
	rng    *rand.Rand
	self   *member
	table  *table
	links  map[string]*link

	now      time.Time
	lastTick time.Time
	effects  []Effect

	planner      planner
	disseminator disseminator
	syncer       syncer
	detector     detector
	versions     versions
	reporter     reporter
	changed      map[messenger.Key]bool // members changed since the last TakeChanges
}

// New returns the Core of a host. All random choices come from rng.
func New(host messenger.Host, config Config, rng *rand.Rand, now time.Time) *Core {
	c := &Core{
		config:  config.withDefaults(),
		rng:     rng,
		table:   newTable(),
		links:   make(map[string]*link),
		now:     now,
		changed: make(map[messenger.Key]bool),
	}
	c.lastTick = now
	record := messenger.Record{Host: host, Stamp: messenger.Stamp{Incarnation: uint64(now.UnixMilli())}}
	c.table.mergeRecord(&record, now)
	c.self = c.table.get(host.Name)
	c.planner = newPlanner()
	c.disseminator = newDisseminator(c.config, now)
	c.syncer = newSyncer(c.config, now)
	c.detector = newDetector()
	c.versions = newVersions(c.config, now)
	c.reporter = newReporter()
	return c
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) send(to string, message messenger.Message) {
	c.emit(Send{To: to, Message: message})
}

func (c *Core) takeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// Tick runs all timers. It should be called every 50 to 200 ms.
func (c *Core) Tick(now time.Time) []Effect {
	c.beginTick(now)
	c.discover()
	c.replan()
	c.ping()
	c.detect()
	c.graft()
	c.flush()
	c.synchronize()
	c.retryFetch()
	c.report()
	c.expire()
	c.checkInvariants()
	return c.takeEffects()
}

// beginTick sets the clock, and restarts the peer timers if the process was paused.
func (c *Core) beginTick(now time.Time) {
	if now.Before(c.now) {
		now = c.now
	}
	if now.Sub(c.lastTick) > pauseGap {
		c.resetPeerTimers(now)
	}
	c.now = now
	c.lastTick = now
}

// resetPeerTimers restarts the ping, verification and suspicion timers of all peers.
func (c *Core) resetPeerTimers(now time.Time) {
	for _, l := range c.links {
		l.lastReceived = now
		l.lastPing = now
	}
	c.detector.reset(now)
}

// Receive handles a message from a peer. A message from a peer without a link is dropped.
func (c *Core) Receive(now time.Time, from string, m *messenger.Message) []Effect {
	c.advanceClock(now)
	l := c.links[from]
	if l == nil {
		return c.takeEffects()
	}
	l.lastReceived = c.now
	c.detector.clear(from)
	c.receiveMembership(l, m)
	c.receiveSync(l, m)
	c.receivePing(l, m)
	c.receiveProbe(l, m)
	c.receiveVersion(l, m)
	c.receiveReport(l, m)
	c.receiveUnneeded(l, m)
	if m.Overload {
		c.planner.avoid(from, c.now)
	}
	return c.takeEffects()
}

// advanceClock sets the clock to now if that is later.
func (c *Core) advanceClock(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// AnnounceTargets replaces the targets of this host and disseminates its record.
func (c *Core) AnnounceTargets(now time.Time, targets []messenger.Target) []Effect {
	c.advanceClock(now)
	c.self.record.Targets = append([]messenger.Target(nil), targets...)
	c.republish(0)
	return c.takeEffects()
}

// Leave notifies the linked peers that this node shuts down gracefully.
func (c *Core) Leave(now time.Time) []Effect {
	c.advanceClock(now)
	rumor := messenger.Rumor{
		Name:        c.self.record.Host.Name,
		Incarnation: c.self.record.Stamp.Incarnation,
		Health:      messenger.Left,
	}
	for _, name := range c.linkNames() {
		c.send(name, messenger.Message{Rumors: []messenger.Rumor{rumor}})
	}
	return c.takeEffects()
}

// republish raises the sequence of the node's own record and disseminates it. If the
// record's incarnation is not above the given one, it is raised above that.
func (c *Core) republish(incarnation uint64) {
	c.table.toggleDigest(c.self)
	stamp := &c.self.record.Stamp
	if incarnation >= stamp.Incarnation {
		stamp.Incarnation = incarnation + 1
		stamp.Sequence = 0
	}
	stamp.Sequence++
	stamp.Health = messenger.Alive
	c.table.toggleDigest(c.self)
	c.markChanged(c.self.key, change{content: true}, "")
}

// markChanged queues a member's change for the owner and for dissemination on all links
// but the source's. After a change of health the links are also planned again.
func (c *Core) markChanged(key messenger.Key, diff change, source string) {
	c.changed[key] = true
	c.disseminator.changed = c.now
	c.disseminate(key, diff, source)
	if diff.health {
		c.planner.stale = true
	}
}

// expire removes old tombstones and hosts of long-lost failure domains, once a minute.
func (c *Core) expire() {
	if c.now.Sub(c.syncer.expiredAt) < time.Minute {
		return
	}
	c.syncer.expiredAt = c.now
	c.table.removeTombstones(c.now, c.config.TombstoneRetention)
	if !c.isLeader() {
		return
	}
	c.declareLostDead()
}

// declareLostDead declares the hosts of a failure domain dead once it has been lost for the
// retention time. Only the leader of the first failure domain by name that is not lost does this, for
// maxDeadPerMinute hosts of each lost domain at a time.
func (c *Core) declareLostDead() {
	domains := sortedNames(c.table.rings)
	for _, domain := range domains {
		if len(c.table.rings[domain].keys) > 0 && !c.domainLost(domain) {
			if domain != c.self.record.Host.FailureDomain {
				return
			}
			break
		}
	}
	for _, domain := range domains {
		if !c.domainLost(domain) || c.now.Sub(c.reporter.lostChangedAt[domain]) < c.config.LostDomainRetention {
			continue
		}
		keys := slices.Clone(c.table.rings[domain].keys)
		for _, key := range keys[:min(len(keys), maxDeadPerMinute)] {
			c.declare(c.table.members[key], messenger.Dead)
		}
	}
}

func (c *Core) linkNames() []string {
	names := make([]string, 0, len(c.links))
	for name := range c.links {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// usable reports whether a member is alive and its failure domain is not lost.
func (c *Core) usable(key messenger.Key) bool {
	m := c.table.members[key]
	return m != nil && m.alive() && !c.domainLost(m.record.Host.FailureDomain)
}

// ownRing returns the ring of this node's failure domain.
func (c *Core) ownRing() *ring { return c.table.ring(c.self.record.Host.FailureDomain) }

// isLeader reports whether this node leads its failure domain.
func (c *Core) isLeader() bool {
	leader, ok := c.ownRing().leader(c.usable)
	return ok && leader == c.self.key
}
