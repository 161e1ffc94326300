package gossiper

import (
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	indirectProbes = 3 // peers asked to probe an unresponsive host
	domainProbes   = 3 // hosts probed before a failure domain is reported as lost
)

// detector verifies that an unresponsive host is down before the node suspects it or
// declares it dead. All maps hold start times.
type detector struct {
	verifying map[string]time.Time // hosts of the own failure domain being probed
	suspected map[string]time.Time // suspects that this node will declare dead
	domains   map[string]time.Time // other failure domains being probed
}

func newDetector() detector {
	return detector{
		verifying: make(map[string]time.Time),
		suspected: make(map[string]time.Time),
		domains:   make(map[string]time.Time),
	}
}

// clear ends the verification and the suspicion of a host that responded.
func (d *detector) clear(name string) {
	delete(d.verifying, name)
	delete(d.suspected, name)
}

// reset restarts all timers.
func (d *detector) reset(now time.Time) {
	for name := range d.verifying {
		d.verifying[name] = now
	}
	for name := range d.suspected {
		d.suspected[name] = now
	}
	for domain := range d.domains {
		d.domains[domain] = now
	}
}

// ping pings the peers whose links have been idle for the ping interval. This keeps the
// links open. The pings also carry the version in force and the hash of the domain reports.
func (c *Core) ping() {
	for _, name := range c.linkNames() {
		l := c.links[name]
		interval := c.config.LinkPingInterval
		if name == c.planner.successor {
			interval = c.config.RingPingInterval
		}
		if c.now.Sub(l.lastPing) < interval || c.now.Sub(l.lastReceived) < interval {
			continue
		}
		l.lastPing = c.now
		l.awaitingPong = true
		c.sendPing(name, false)
	}
}

// receivePing answers a ping. Any message, not only a pong, ends the wait for a pong.
func (c *Core) receivePing(l *link, m *messenger.Message) {
	l.awaitingPong = false
	if m.Ping == nil {
		return
	}
	c.updatePeerVersion(l, m.Ping.Version)
	if !m.Ping.Pong {
		c.sendPing(l.name, true)
	}
	if m.Ping.ReportsHash != c.reporter.reportsHash {
		c.sendDomainReports(l.name)
	}
}

func (c *Core) sendPing(to string, pong bool) {
	c.send(to, messenger.Message{Ping: &messenger.Ping{
		Pong:        pong,
		Version:     c.versions.head.Version,
		ReportsHash: c.reporter.reportsHash,
	}})
}

// detect starts to verify peers whose pong is overdue, and ends verifications and
// suspicions whose timeout has passed.
func (c *Core) detect() {
	for _, name := range c.linkNames() {
		l := c.links[name]
		if l.awaitingPong && c.now.Sub(l.lastPing) > c.config.PongTimeout && c.now.Sub(l.lastReceived) > c.config.PongTimeout {
			c.verify(name)
		}
	}
	for _, name := range sortedNames(c.detector.verifying) {
		if c.now.Sub(c.detector.verifying[name]) > c.config.VerifyTimeout {
			c.finishVerification(name)
		}
	}
	for _, name := range sortedNames(c.detector.suspected) {
		c.finishSuspicion(name)
	}
	for _, domain := range sortedNames(c.detector.domains) {
		c.finishDomainCheck(domain)
	}
}

// verify probes a host of the own failure domain directly and through peers. For a host
// that is already suspected it starts the timeout to declare it dead, and for a host of
// another failure domain it verifies that domain.
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
		if _, started := c.detector.suspected[name]; !started {
			c.detector.suspected[name] = c.now
		}
		return
	}
	c.detector.verifying[name] = c.now
	c.emit(Probe{Host: m.record.Host})
	sent := 0
	names := c.linkNames()
	offset := 0
	if len(names) > 0 {
		offset = c.rng.IntN(len(names))
	}
	for i := range names {
		peer := names[(i+offset)%len(names)]
		if peer == name || sent == indirectProbes {
			continue
		}
		sent++
		c.send(peer, messenger.Message{Probe: &messenger.ProbeRequest{Host: m.record.Host}})
	}
}

func (c *Core) sameDomain(m *member) bool {
	return m.record.Host.FailureDomain == c.self.record.Host.FailureDomain
}

// finishVerification suspects a host that no probe reached. A node without a working
// link suspects nobody, because it may itself be the one that is cut off.
func (c *Core) finishVerification(name string) {
	delete(c.detector.verifying, name)
	m := c.table.get(name)
	if m == nil || !m.alive() {
		return
	}
	if !c.connected() {
		return
	}
	c.declare(m, messenger.Suspect)
	c.detector.suspected[name] = c.now
}

// verifyDomain probes hosts in the failure domain of an unresponsive host. Only nodes of
// its own failure domain suspect the host itself.
func (c *Core) verifyDomain(m *member) {
	c.planner.avoid(m.record.Host.Name, c.now)
	domain := m.record.Host.FailureDomain
	if _, running := c.detector.domains[domain]; running || c.domainLost(domain) {
		return
	}
	c.detector.domains[domain] = c.now
	keys := c.table.ring(domain).keys
	start := c.rng.IntN(len(keys))
	for i := range min(domainProbes, len(keys)) {
		c.emit(Probe{Host: c.table.members[keys[(start+i)%len(keys)]].record.Host})
	}
}

// finishDomainCheck reports a failure domain as lost if no host in it answered.
func (c *Core) finishDomainCheck(domain string) {
	if c.now.Sub(c.detector.domains[domain]) <= c.config.VerifyTimeout {
		return
	}
	delete(c.detector.domains, domain)
	if c.hasLinkInto(domain) || !c.connected() || c.domainLost(domain) {
		return
	}
	report := c.reporter.domains[domain]
	report.FailureDomain = domain
	report.Lost = true
	c.setDomainReport(report, "")
}

// hasLinkInto reports whether this node has a link into a failure domain on which no
// ping is unanswered.
func (c *Core) hasLinkInto(domain string) bool {
	for name, l := range c.links {
		if m := c.table.get(name); m != nil && m.record.Host.FailureDomain == domain && !l.awaitingPong {
			return true
		}
	}
	return false
}

// domainLost reports whether another failure domain is reported as unreachable.
func (c *Core) domainLost(domain string) bool {
	return domain != c.self.record.Host.FailureDomain && c.reporter.domains[domain].Lost
}

// connected reports whether a link without an unanswered ping received a message within
// two ping intervals. A mesh of at most two hosts always counts as connected, because its
// only link is the one in doubt.
func (c *Core) connected() bool {
	for _, l := range c.links {
		if c.now.Sub(l.lastReceived) < 2*c.config.LinkPingInterval && !l.awaitingPong {
			return true
		}
	}
	return c.memberCount() <= 2
}

// memberCount returns the number of present members of all failure domains.
func (c *Core) memberCount() int {
	count := 0
	for _, r := range c.table.rings {
		count += len(r.keys)
	}
	return count
}

// finishSuspicion declares a suspect dead if it did not refute the suspicion within the
// suspect timeout. The timeout restarts while this node is cut off from its own failure
// domain.
func (c *Core) finishSuspicion(name string) {
	m := c.table.get(name)
	if m == nil || m.record.Stamp.Health != messenger.Suspect {
		delete(c.detector.suspected, name)
		return
	}
	if c.now.Sub(c.detector.suspected[name]) < c.config.SuspectTimeout {
		return
	}
	if !c.domainConnected() {
		c.detector.suspected[name] = c.now
		return
	}
	delete(c.detector.suspected, name)
	if c.links[name] != nil {
		delete(c.links, name)
		c.reporter.linkClosed(name)
		c.emit(Close{Name: name})
	}
	c.declare(m, messenger.Dead)
}

// domainConnected reports whether this node has a working link inside its own failure
// domain, or is connected and no other host of the domain is usable.
func (c *Core) domainConnected() bool {
	for _, key := range c.ownRing().keys {
		m := c.table.members[key]
		if l := c.links[m.record.Host.Name]; l != nil && !l.awaitingPong {
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

// declare sets the health of another host and disseminates the change.
func (c *Core) declare(m *member, health messenger.Health) {
	rumor := messenger.Rumor{
		Name:        m.record.Host.Name,
		Incarnation: m.record.Stamp.Incarnation,
		Health:      health,
	}
	if c.table.mergeRumor(rumor, c.now) {
		c.markChanged(m.key, change{health: true}, "")
	}
}

// receiveProbe handles a probe request from a peer, and the reply to a request of this
// node. A host that this node received a message from within the ring ping interval is
// reported alive without a probe.
func (c *Core) receiveProbe(l *link, m *messenger.Message) {
	if m.Probe != nil {
		name := m.Probe.Host.Name
		if peer := c.links[name]; peer != nil && !peer.awaitingPong && c.now.Sub(peer.lastReceived) < c.config.RingPingInterval {
			c.send(l.name, messenger.Message{Probed: &messenger.ProbeReply{Name: name, Alive: true}})
		} else {
			c.emit(Probe{Host: m.Probe.Host})
			c.planner.addProbeRequester(name, l.name)
		}
	}
	if m.Probed != nil && m.Probed.Alive {
		c.detector.clear(m.Probed.Name)
	}
}

// addProbeRequester records a peer to send the result of a probe to.
func (p *planner) addProbeRequester(name, requester string) {
	if p.probeRequesters == nil {
		p.probeRequesters = make(map[string][]string)
	}
	p.probeRequesters[name] = append(p.probeRequesters[name], requester)
}

// Probed handles the result of a Probe effect. Only a success is sent on to the peers that
// requested the probe.
func (c *Core) Probed(now time.Time, name string, alive bool) []Effect {
	c.advanceClock(now)
	if m := c.table.get(name); alive && m != nil {
		delete(c.detector.verifying, name)
		delete(c.detector.domains, m.record.Host.FailureDomain)
	}
	for _, requester := range c.planner.probeRequesters[name] {
		if c.links[requester] != nil && alive {
			c.send(requester, messenger.Message{Probed: &messenger.ProbeReply{Name: name, Alive: true}})
		}
	}
	delete(c.planner.probeRequesters, name)
	return c.takeEffects()
}
