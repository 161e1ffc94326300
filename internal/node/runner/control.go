package runner

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/call/router"
	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/mesh/gossiper"
	"clementinerock/internal/mesh/linker"
	"clementinerock/internal/mesh/messenger"
)

const (
	tickInterval        = 100 * time.Millisecond
	eventQueueSize      = 4096
	snapshotInterval    = 250 * time.Millisecond // minimum time between snapshots for membership changes
	gaugeInterval       = 5 * time.Second
	announcementTimeout = 15 * time.Second // a target without an announcement for longer is removed
)

// event is an input of the control loop.
type event interface{}

type (
	linkUp struct {
		host    messenger.Host
		inbound bool
	}
	linkDown struct {
		name    string
		planned bool
	}
	dialFailed struct{ name string }
	probed     struct {
		name  string
		alive bool
	}
	received struct {
		from    string
		message messenger.Message
	}
	versionRead struct {
		head  approver.Head
		index indexer.Index
	}
	targetAnnounced struct{ target messenger.Target }
	targetWithdrawn struct{ address string }
	leaving         struct{ done chan<- struct{} }
	loopCall        struct {
		run  func(*control)
		done chan<- struct{}
	}
)

// localTarget is a target on this host with the time of its last announcement.
type localTarget struct {
	target      messenger.Target
	announcedAt time.Time
}

// control is the state of the control loop, which one goroutine owns.
type control struct {
	node        *Node
	core        *gossiper.Core
	links       *linker.Linker
	log         *zap.Logger
	targets     map[string]localTarget // by address
	draining    bool
	catalog     catalog
	publishedAt time.Time
	ready       bool
	gaugedAt    time.Time
}

// newControl returns the initial state. Its links must be set before run.
func newControl(n *Node, host messenger.Host, config gossiper.Config, seed uint64, now time.Time) *control {
	rng := rand.New(rand.NewPCG(seed, uint64(messenger.KeyOf(host.Name))))
	return &control{
		node:    n,
		core:    gossiper.New(host, config, rng, now),
		log:     n.log,
		targets: make(map[string]localTarget),
		catalog: newCatalog(host),
	}
}

// run handles events until stop is closed.
func (c *control) run(events <-chan event, stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case e := <-events:
			c.perform(c.handle(time.Now(), e))
		case now := <-ticker.C:
			c.expireTargets(now)
			c.perform(c.core.Tick(now))
			c.refreshSnapshot(now)
			c.updateGauges(now)
		}
	}
}

// updateGauges updates the node's gauges once per gaugeInterval.
func (c *control) updateGauges(now time.Time) {
	if now.Sub(c.gaugedAt) < gaugeInterval {
		return
	}
	c.gaugedAt = now
	metrics := c.node.metrics
	metrics.Gauge("version_in_force", float64(c.core.Head().Version))
	metrics.Gauge("version_told", float64(c.core.NewestVersion()))
	metrics.Gauge("links", float64(c.core.LinkCount()))
	metrics.Gauge("calls_open", float64(c.node.front.OpenCalls()))
	sent, received := c.links.Traffic()
	metrics.Gauge("control_bytes_sent", float64(sent))
	metrics.Gauge("control_bytes_received", float64(received))
}

// handle processes an event and returns the effects to perform.
func (c *control) handle(now time.Time, e event) []gossiper.Effect {
	switch e := e.(type) {
	case linkUp:
		return c.core.LinkUp(now, e.host, e.inbound)
	case linkDown:
		return c.core.LinkDown(now, e.name, e.planned)
	case dialFailed:
		return c.core.DialFailed(now, e.name)
	case probed:
		return c.core.Probed(now, e.name, e.alive)
	case received:
		return c.core.Receive(now, e.from, &e.message)
	case versionRead:
		return c.core.VersionRead(now, e.head, e.index)
	case targetAnnounced:
		return c.announce(now, e.target)
	case targetWithdrawn:
		return c.withdraw(now, e.address)
	case leaving:
		effects := c.leave(now)
		c.perform(effects)
		close(e.done)
		return nil
	case loopCall:
		e.run(c)
		close(e.done)
		return nil
	}
	panic("unknown event")
}

func (c *control) perform(effects []gossiper.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case gossiper.Send:
			if err := c.links.Send(effect.To, &effect.Message); err != nil {
				c.log.Error("control: could not send message",
					zap.String("to", effect.To), zap.String("error", err.Error()))
			}
		case gossiper.Dial:
			c.links.Dial(effect.Host)
		case gossiper.Close:
			c.links.Close(effect.Name)
		case gossiper.Probe:
			c.links.Probe(effect.Host)
		case gossiper.Discover:
			c.node.discover()
		case gossiper.Activate:
			c.activate(effect)
		case gossiper.Refuse:
			c.log.Error("control: version refused",
				zap.Uint64("version", effect.Head.Version), zap.String("reason", effect.Reason))
			c.node.metrics.Count("versions_refused")
		}
	}
}

// activate puts a version in force. One atomic replacement of the snapshot switches new calls to its
// routes.
func (c *control) activate(version gossiper.Activate) {
	c.node.current.Store(&activeVersion{head: version.Head, index: version.Index})
	c.node.table.Store(router.New(version.Contracts))
	c.log.Info("control: version in force",
		zap.Uint64("version", version.Head.Version), zap.String("root", version.Head.Root.Short()))
	c.node.metrics.Count("versions_activated")
	c.publishSnapshot(time.Now())
}

// refreshSnapshot publishes a snapshot if the node became ready or membership changed, and updates
// the reader slot.
func (c *control) refreshSnapshot(now time.Time) {
	if ready := c.core.Ready(); ready != c.ready {
		c.log.Info("control: node is ready", zap.Uint64("version", c.core.Head().Version))
		c.ready = ready
		c.publishSnapshot(now)
		return
	}
	if c.core.HasChanges() && now.Sub(c.publishedAt) >= snapshotInterval {
		c.publishSnapshot(now)
	}
	slot, eligible := c.core.ReaderSlot()
	c.node.slot.Store(&readerSlot{slot: slot, eligible: eligible})
}

// announce adds or updates a target of this host and disseminates the change, if there is one.
func (c *control) announce(now time.Time, target messenger.Target) []gossiper.Effect {
	existing, ok := c.targets[target.Address]
	target.Since = now.UnixMilli()
	if ok && existing.target.State == target.State {
		target.Since = existing.target.Since
	}
	c.targets[target.Address] = localTarget{target: target, announcedAt: now}
	if ok && existing.target == target {
		return nil
	}
	c.log.Info("control: target announced", zap.String("service", target.Service),
		zap.String("address", target.Address), zap.String("state", string(target.State)))
	return c.publishTargets(now)
}

// withdraw removes a target of this host.
func (c *control) withdraw(now time.Time, address string) []gossiper.Effect {
	if _, ok := c.targets[address]; !ok {
		return nil
	}
	delete(c.targets, address)
	c.log.Info("control: target removed", zap.String("address", address))
	return c.publishTargets(now)
}

// expireTargets removes the targets whose announcements have stopped.
func (c *control) expireTargets(now time.Time) {
	for address, t := range c.targets {
		if now.Sub(t.announcedAt) > announcementTimeout {
			c.perform(c.withdraw(now, address))
		}
	}
}

// publishTargets passes this host's targets to Back and disseminates them.
func (c *control) publishTargets(now time.Time) []gossiper.Effect {
	var targets []messenger.Target
	for _, address := range sortedAddresses(c.targets) {
		target := c.targets[address].target
		if c.draining {
			target.State = messenger.Draining
		}
		targets = append(targets, target)
	}
	c.node.back.SetTargets(targets)
	return c.core.AnnounceTargets(now, targets)
}

// leave marks every target as draining: Back refuses new calls for them and other nodes stop sending
// calls. Calls in flight continue.
func (c *control) leave(now time.Time) []gossiper.Effect {
	c.draining = true
	effects := c.publishTargets(now)
	effects = append(effects, c.core.Tick(now)...)
	c.publishSnapshot(now)
	return effects
}
