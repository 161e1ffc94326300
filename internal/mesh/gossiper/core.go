// Package gossiper decides what a node tells its peers: membership, failure
// detection, distribution of versions and reports of convergence. It is pure:
// events and the time go in, effects come out. One goroutine owns a Core.
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

// Effect is something that the owner of a Core must do.
type Effect interface{ effect() }

// Send delivers a message to a linked peer.
type Send struct {
	To      string
	Message messenger.Message
}

// Dial opens a link to a machine.
type Dial struct{ Host messenger.Host }

// Close ends a link.
type Close struct{ Name string }

// Probe tries a machine out of band; the result goes to Core.Probed.
type Probe struct{ Host messenger.Host }

// Seek asks for a link to peers that are not known yet.
type Seek struct{}

// Activate puts a whole and checked version in force.
type Activate struct {
	Head      approver.Head
	Index     indexer.Index
	Contracts []compiler.Contract
}

// Refuse reports a version that failed its check.
type Refuse struct {
	Head   approver.Head
	Reason string
}

func (Send) effect()     {}
func (Dial) effect()     {}
func (Close) effect()    {}
func (Probe) effect()    {}
func (Seek) effect()     {}
func (Activate) effect() {}
func (Refuse) effect()   {}

// Config holds the timing of a Core. The zero value means the defaults.
type Config struct {
	RingPing       time.Duration // between pings to the next machine of the ring
	LinkPing       time.Duration // between pings on the other links
	PongTimeout    time.Duration // before a silent peer is verified
	VerifyTimeout  time.Duration // before a failed verification raises suspicion
	SuspectTimeout time.Duration // before a suspect of the same zone is declared dead
	SuspectKeep    time.Duration // how long the machines of a lost zone are kept
	TombstoneKeep  time.Duration // how long a departed machine is remembered
	SyncInterval   time.Duration // between digest exchanges
	PaceBytes      float64       // spread bytes per second, beyond PaceBurst
	PaceBurst      float64
	ServeBytes     float64 // bytes per second of state handed out, beyond ServeBurst
	ServeBurst     float64
}

// Default timing of a Core.
const (
	DefaultRingPing       = 2500 * time.Millisecond
	DefaultLinkPing       = 15 * time.Second
	DefaultPongTimeout    = 1500 * time.Millisecond
	DefaultVerifyTimeout  = 1500 * time.Millisecond
	DefaultSuspectTimeout = 4 * time.Second
	DefaultSuspectKeep    = 2 * time.Hour
	DefaultTombstoneKeep  = 3 * time.Hour
	DefaultSyncInterval   = 15 * time.Second
	DefaultPaceBytes      = 4 << 10
	DefaultPaceBurst      = 64 << 10
	DefaultServeBytes     = 256 << 10
	DefaultServeBurst     = 1 << 20
)

func orDefault[T int | float64 | time.Duration](value, standard T) T {
	if value == 0 {
		return standard
	}
	return value
}

func (c Config) withDefaults() Config {
	c.RingPing = orDefault(c.RingPing, DefaultRingPing)
	c.LinkPing = orDefault(c.LinkPing, DefaultLinkPing)
	c.PongTimeout = orDefault(c.PongTimeout, DefaultPongTimeout)
	c.VerifyTimeout = orDefault(c.VerifyTimeout, DefaultVerifyTimeout)
	c.SuspectTimeout = orDefault(c.SuspectTimeout, DefaultSuspectTimeout)
	c.SuspectKeep = orDefault(c.SuspectKeep, DefaultSuspectKeep)
	c.TombstoneKeep = orDefault(c.TombstoneKeep, DefaultTombstoneKeep)
	c.SyncInterval = orDefault(c.SyncInterval, DefaultSyncInterval)
	c.PaceBytes = orDefault(c.PaceBytes, DefaultPaceBytes)
	c.PaceBurst = orDefault(c.PaceBurst, DefaultPaceBurst)
	c.ServeBytes = orDefault(c.ServeBytes, DefaultServeBytes)
	c.ServeBurst = orDefault(c.ServeBurst, DefaultServeBurst)
	return c
}

const buriedAtOnce = 64 // machines of a lost zone declared dead in one minute

// pauseGap is the time between ticks after which the process is taken to have
// been paused, so that its own clock is no evidence against peers.
const pauseGap = time.Second

// Core is the control state of one node.
type Core struct {
	config Config
	rng    *rand.Rand
	self   *member
	table  *table
	links  map[string]*link

	now      time.Time
	lastTick time.Time
	out      []Effect

	planner      planner
	disseminator disseminator
	syncer       syncer
	detector     detector
	versions     versions
	reporter     reporter
	changed      map[messenger.Key]bool // members changed since the owner last asked
}

// New returns the core of the machine. The generator makes its random choices.
func New(machine messenger.Host, config Config, rng *rand.Rand, now time.Time) *Core {
	c := &Core{
		config:  config.withDefaults(),
		rng:     rng,
		table:   newTable(),
		links:   make(map[string]*link),
		now:     now,
		changed: make(map[messenger.Key]bool),
	}
	c.lastTick = now
	record := messenger.Record{Host: machine, Stamp: messenger.Stamp{Incarnation: uint64(now.UnixMilli())}}
	c.table.mergeRecord(&record, now)
	c.self = c.table.get(machine.Name)
	c.planner = newPlanner()
	c.disseminator = newDisseminator(c.config, now)
	c.syncer = newSyncer(c.config, now)
	c.detector = newDetector()
	c.versions = newVersions(c.config, now)
	c.reporter = newReporter()
	return c
}

func (c *Core) emit(effect Effect) { c.out = append(c.out, effect) }

func (c *Core) send(to string, message messenger.Message) {
	c.emit(Send{To: to, Message: message})
}

func (c *Core) drain() []Effect {
	out := c.out
	c.out = nil
	return out
}

// Tick advances the time. It should be called every 50 to 200 ms.
func (c *Core) Tick(now time.Time) []Effect {
	c.advance(now)
	c.seek()
	c.replan()
	c.ping()
	c.detect()
	c.graft()
	c.flush()
	c.synchronize()
	c.retryFetch()
	c.report()
	c.expire()
	c.mustHold()
	return c.drain()
}

func (c *Core) advance(now time.Time) {
	if now.Before(c.now) {
		now = c.now
	}
	if now.Sub(c.lastTick) > pauseGap {
		c.forgive(now)
	}
	c.now = now
	c.lastTick = now
}

// forgive restarts every timer that runs against a peer.
func (c *Core) forgive(now time.Time) {
	for _, l := range c.links {
		l.heard = now
		l.pinged = now
	}
	c.detector.reset(now)
}

// Receive handles a message from a linked peer.
func (c *Core) Receive(now time.Time, from string, m *messenger.Message) []Effect {
	c.observe(now)
	l := c.links[from]
	if l == nil {
		return c.drain()
	}
	l.heard = c.now
	c.detector.clear(from)
	c.receiveMembership(l, m)
	c.receiveSync(l, m)
	c.receivePing(l, m)
	c.receiveProbe(l, m)
	c.receiveVersion(l, m)
	c.receiveReport(l, m)
	c.receiveSpare(l, m)
	if m.Overload {
		c.planner.avoid(from, c.now)
	}
	return c.drain()
}

func (c *Core) observe(now time.Time) {
	if now.After(c.now) {
		c.now = now
	}
}

// Announce replaces the targets beside this node.
func (c *Core) Announce(now time.Time, targets []messenger.Target) []Effect {
	c.observe(now)
	c.self.record.Targets = append([]messenger.Target(nil), targets...)
	c.restate(0)
	return c.drain()
}

// Leave tells the peers that this node stops as planned.
func (c *Core) Leave(now time.Time) []Effect {
	c.observe(now)
	rumor := messenger.Rumor{
		Name:        c.self.record.Host.Name,
		Incarnation: c.self.record.Stamp.Incarnation,
		Health:      messenger.Left,
	}
	for _, name := range c.linkNames() {
		c.send(name, messenger.Message{Rumors: []messenger.Rumor{rumor}})
	}
	return c.drain()
}

// restate raises the stamp of the node's own record above incarnation and
// spreads it.
func (c *Core) restate(incarnation uint64) {
	c.table.toggle(c.self)
	stamp := &c.self.record.Stamp
	if incarnation >= stamp.Incarnation {
		stamp.Incarnation = incarnation + 1
		stamp.Sequence = 0
	}
	stamp.Sequence++
	stamp.Health = messenger.Alive
	c.table.toggle(c.self)
	c.touched(c.self.key, change{content: true}, "")
}

// touched records that a member changed, so that the change is spread and the
// links are planned again.
func (c *Core) touched(key messenger.Key, done change, source string) {
	c.changed[key] = true
	c.disseminator.changed = c.now
	c.disseminate(key, done, source)
	if done.health {
		c.planner.stale = true
	}
}

func (c *Core) expire() {
	if c.now.Sub(c.syncer.expiredAt) < time.Minute {
		return
	}
	c.syncer.expiredAt = c.now
	c.table.forget(c.now, c.config.TombstoneKeep)
	if !c.leads() {
		return
	}
	c.buryLost()
}

// buryLost declares machines of zones dead that have been lost for very long. The
// leader of the first zone that is not lost does so, some at a time.
func (c *Core) buryLost() {
	zones := sortedNames(c.table.rings)
	for _, zone := range zones {
		if len(c.table.rings[zone].keys) > 0 && !c.lost(zone) {
			if zone != c.self.record.Host.FailureDomain {
				return
			}
			break
		}
	}
	for _, zone := range zones {
		if !c.lost(zone) || c.now.Sub(c.reporter.lostChangedAt[zone]) < c.config.SuspectKeep {
			continue
		}
		keys := slices.Clone(c.table.rings[zone].keys)
		for _, key := range keys[:min(len(keys), buriedAtOnce)] {
			c.accuse(c.table.members[key], messenger.Dead)
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

func (c *Core) usable(key messenger.Key) bool {
	m := c.table.members[key]
	return m != nil && m.alive() && !c.lost(m.record.Host.FailureDomain)
}

func (c *Core) ownRing() *ring { return c.table.ring(c.self.record.Host.FailureDomain) }

func (c *Core) leads() bool {
	leader, ok := c.ownRing().leader(c.usable)
	return ok && leader == c.self.key
}
