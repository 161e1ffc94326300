package gossiper

import (
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	helpers      = 3 // peers asked to probe a silent machine
	domainProbes = 3 // machines probed before a zone counts as lost
)

// detector verifies silent machines before it accuses them.
type detector struct {
	verifying map[string]time.Time // since when
	accused   map[string]time.Time // suspected by this node, since when
	domains   map[string]time.Time // other zones under verification, since when
}

func newDetector() detector {
	return detector{
		verifying: make(map[string]time.Time),
		accused:   make(map[string]time.Time),
		domains:   make(map[string]time.Time),
	}
}

func (d *detector) clear(name string) {
	delete(d.verifying, name)
	delete(d.accused, name)
}

func (d *detector) reset(now time.Time) {
	for name := range d.verifying {
		d.verifying[name] = now
	}
	for name := range d.accused {
		d.accused[name] = now
	}
	for zone := range d.domains {
		d.domains[zone] = now
	}
}

// ping keeps links alive and tells peers which version is in force here.
func (c *Core) ping() {
	for _, name := range c.linkNames() {
		l := c.links[name]
		interval := c.config.LinkPing
		if name == c.planner.nearest {
			interval = c.config.RingPing
		}
		if c.now.Sub(l.pinged) < interval || c.now.Sub(l.heard) < interval {
			continue
		}
		l.pinged = c.now
		l.awaiting = true
		c.sendPing(name, false)
	}
}

func (c *Core) receivePing(l *link, m *messenger.Message) {
	l.awaiting = false
	if m.Ping == nil {
		return
	}
	c.updatePeerVersion(l, m.Ping.Version)
	if !m.Ping.Pong {
		c.sendPing(l.name, true)
	}
	if m.Ping.Reports != c.reporter.reportsSum {
		c.sendReports(l.name)
	}
}

func (c *Core) sendPing(to string, pong bool) {
	c.send(to, messenger.Message{Ping: &messenger.Ping{
		Pong:    pong,
		Version: c.versions.head.Version,
		Reports: c.reporter.reportsSum,
	}})
}

// detect verifies peers that left a ping unanswered, and accuses those whose
// verification failed.
func (c *Core) detect() {
	for _, name := range c.linkNames() {
		l := c.links[name]
		if l.awaiting && c.now.Sub(l.pinged) > c.config.PongTimeout && c.now.Sub(l.heard) > c.config.PongTimeout {
			c.verify(name)
		}
	}
	for _, name := range sortedNames(c.detector.verifying) {
		if c.now.Sub(c.detector.verifying[name]) > c.config.VerifyTimeout {
			c.concludeVerify(name)
		}
	}
	for _, name := range sortedNames(c.detector.accused) {
		c.concludeSuspicion(name)
	}
	for _, zone := range sortedNames(c.detector.domains) {
		c.concludeDomain(zone)
	}
}

// verify probes a machine directly and through peers.
func (c *Core) verify(name string) {
	m := c.table.get(name)
	if m == nil || !m.present() {
		return
	}
	if !c.sameDomain(m) {
		c.verifyDomain(m)
		return
	}
	if _, running := c.detector.verifying[name]; running {
		return
	}
	if m.record.Stamp.Health == messenger.Suspect {
		if _, mine := c.detector.accused[name]; !mine {
			c.detector.accused[name] = c.now
		}
		return
	}
	c.detector.verifying[name] = c.now
	c.emit(Probe{Host: m.record.Host})
	asked := 0
	names := c.linkNames()
	offset := 0
	if len(names) > 0 {
		offset = c.rng.IntN(len(names))
	}
	for i := range names {
		peer := names[(i+offset)%len(names)]
		if peer == name || asked == helpers {
			continue
		}
		asked++
		c.send(peer, messenger.Message{Probe: &messenger.ProbeRequest{Host: m.record.Host}})
	}
}

func (c *Core) sameDomain(m *member) bool {
	return m.record.Host.FailureDomain == c.self.record.Host.FailureDomain
}

// concludeVerify suspects a machine that nobody reached. A node without any link
// accuses nobody, as it may itself be the one cut off.
func (c *Core) concludeVerify(name string) {
	delete(c.detector.verifying, name)
	m := c.table.get(name)
	if m == nil || !m.alive() {
		return
	}
	if !c.connected() {
		return
	}
	c.accuse(m, messenger.Suspect)
	c.detector.accused[name] = c.now
}

// verifyDomain probes the zone of a machine that does not answer. The machine itself
// is left to its own zone to judge.
func (c *Core) verifyDomain(m *member) {
	c.planner.avoid(m.record.Host.Name, c.now)
	zone := m.record.Host.FailureDomain
	if _, running := c.detector.domains[zone]; running || c.lost(zone) {
		return
	}
	c.detector.domains[zone] = c.now
	keys := c.table.ring(zone).keys
	start := c.rng.IntN(len(keys))
	for i := range min(domainProbes, len(keys)) {
		c.emit(Probe{Host: c.table.members[keys[(start+i)%len(keys)]].record.Host})
	}
}

// concludeDomain reports a zone as lost if nobody in it answered.
func (c *Core) concludeDomain(zone string) {
	if c.now.Sub(c.detector.domains[zone]) <= c.config.VerifyTimeout {
		return
	}
	delete(c.detector.domains, zone)
	if c.linkedTo(zone) || !c.connected() || c.lost(zone) {
		return
	}
	report := c.reporter.domains[zone]
	report.FailureDomain = zone
	report.Lost = true
	c.setDomainReport(report, "")
}

// linkedTo reports whether a link into a zone works.
func (c *Core) linkedTo(zone string) bool {
	for name, l := range c.links {
		if m := c.table.get(name); m != nil && m.record.Host.FailureDomain == zone && !l.awaiting {
			return true
		}
	}
	return false
}

// lost reports whether another zone is known to be out of reach.
func (c *Core) lost(zone string) bool {
	return zone != c.self.record.Host.FailureDomain && c.reporter.domains[zone].Lost
}

// connected reports whether some link brought a message lately.
func (c *Core) connected() bool {
	for _, l := range c.links {
		if c.now.Sub(l.heard) < 2*c.config.LinkPing && !l.awaiting {
			return true
		}
	}
	return c.present() <= 2
}

// present counts the known machines of all zones.
func (c *Core) present() int {
	count := 0
	for _, r := range c.table.rings {
		count += len(r.keys)
	}
	return count
}

// concludeSuspicion declares a suspect dead unless it refuted in time.
func (c *Core) concludeSuspicion(name string) {
	m := c.table.get(name)
	if m == nil || m.record.Stamp.Health != messenger.Suspect {
		delete(c.detector.accused, name)
		return
	}
	if c.now.Sub(c.detector.accused[name]) < c.config.SuspectTimeout {
		return
	}
	if !c.domainConnected() {
		c.detector.accused[name] = c.now
		return
	}
	delete(c.detector.accused, name)
	if c.links[name] != nil {
		delete(c.links, name)
		c.reporter.linkClosed(name)
		c.emit(Close{Name: name})
	}
	c.accuse(m, messenger.Dead)
}

// domainConnected reports whether this node has a link inside its own zone, or no
// other machine of its zone is alive.
func (c *Core) domainConnected() bool {
	for _, key := range c.ownRing().keys {
		m := c.table.members[key]
		if l := c.links[m.record.Host.Name]; l != nil && !l.awaiting {
			return true
		}
	}
	alone := true
	c.ownRing().clockwise(c.self.key, func(key messenger.Key) bool {
		alone = !c.usable(key)
		return alone
	})
	return alone && c.connected()
}

func (c *Core) accuse(m *member, health messenger.Health) {
	rumor := messenger.Rumor{
		Name:        m.record.Host.Name,
		Incarnation: m.record.Stamp.Incarnation,
		Health:      health,
	}
	if c.table.mergeRumor(rumor, c.now) {
		c.touched(m.key, change{health: true}, "")
	}
}

// receiveProbe serves the probe of another node.
func (c *Core) receiveProbe(l *link, m *messenger.Message) {
	if m.Probe != nil {
		name := m.Probe.Host.Name
		if peer := c.links[name]; peer != nil && !peer.awaiting && c.now.Sub(peer.heard) < c.config.RingPing {
			c.send(l.name, messenger.Message{Probed: &messenger.ProbeReply{Name: name, Alive: true}})
		} else {
			c.emit(Probe{Host: m.Probe.Host})
			c.planner.probers(name, l.name)
		}
	}
	if m.Probed != nil && m.Probed.Alive {
		c.detector.clear(m.Probed.Name)
	}
}

// probers remembers who asked for a probe.
func (p *planner) probers(name, asker string) {
	if p.probeRequesters == nil {
		p.probeRequesters = make(map[string][]string)
	}
	p.probeRequesters[name] = append(p.probeRequesters[name], asker)
}

// Probed reports the result of a Probe.
func (c *Core) Probed(now time.Time, name string, alive bool) []Effect {
	c.observe(now)
	if m := c.table.get(name); alive && m != nil {
		delete(c.detector.verifying, name)
		delete(c.detector.domains, m.record.Host.FailureDomain)
	}
	for _, asker := range c.planner.probeRequesters[name] {
		if c.links[asker] != nil && alive {
			c.send(asker, messenger.Message{Probed: &messenger.ProbeReply{Name: name, Alive: true}})
		}
	}
	delete(c.planner.probeRequesters, name)
	return c.drain()
}
