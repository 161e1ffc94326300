package gossiper

import (
	"maps"
	"sort"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	maxLaggards   = 8                      // laggards listed in one report
	reportDelay   = 100 * time.Millisecond // minimum time between reports to the parent or peers
	zoneDelay     = 500 * time.Millisecond // before and between incomplete reports of a zone
	zoneRepeat    = 30 * time.Second       // a zone's report is repeated
	lateReport    = 2 * time.Second        // age of a version from which laggards are listed
	reasonNone    = "no report"
	reasonHost    = "unreachable"
	reasonFetch   = "still fetching"
	reasonRefused = "refused: "
)

// reporter counts, along the tree of a failure domain, the hosts that have the newest version
// in force, and disseminates the counts of all failure domains.
type reporter struct {
	children map[string]bool
	reports  map[string]messenger.Report // by linked peer, child or not yet
	stale    bool
	sent     messenger.Report
	sentTo   string
	sentAt   time.Time
	counted  time.Time
	zones    map[string]messenger.ZoneReport
	sum      uint32               // hash of the zone reports, for repair
	lostAt   map[string]time.Time // when a zone was lost or found again
	zoneAt   time.Time
	fresh    map[string]bool // zone reports to be passed on
	from     map[string]string
	passedAt time.Time
}

func newReporter() reporter {
	return reporter{
		children: make(map[string]bool),
		reports:  make(map[string]messenger.Report),
		zones:    make(map[string]messenger.ZoneReport),
		fresh:    make(map[string]bool),
		from:     make(map[string]string),
		lostAt:   make(map[string]time.Time),
		stale:    true,
	}
}

// setChildren replaces the children of this node in the tree of its failure domain.
func (r *reporter) setChildren(names []string) {
	children := make(map[string]bool, len(names))
	for _, name := range names {
		children[name] = true
	}
	if !maps.Equal(children, r.children) {
		r.stale = true
	}
	r.children = children
}

// lost drops the report of a peer whose link closed.
func (r *reporter) lost(name string) {
	delete(r.reports, name)
	if r.children[name] {
		r.stale = true
	}
	if r.sentTo == name {
		r.sentTo = ""
	}
}

// receiveReport handles the fields of a message that concern reports of convergence.
func (c *Core) receiveReport(l *link, m *messenger.Message) {
	r := &c.reporter
	if m.Report != nil {
		r.reports[l.name] = *m.Report
		r.stale = true
		c.hear(m.Report.Version)
	}
	for _, zone := range m.Zones {
		if known := r.zones[zone.Zone]; zone.Newer(&known) {
			c.setZone(zone, l.name)
		}
	}
}

// setZone stores the newest report of a failure domain and marks it to be forwarded. A report
// that marks this node's own failure domain as lost is refuted by its leader's next report.
func (c *Core) setZone(report messenger.ZoneReport, source string) {
	r := &c.reporter
	old, known := r.zones[report.Zone]
	if known {
		r.sum ^= reportSum(old)
	}
	r.sum ^= reportSum(report)
	r.zones[report.Zone] = report
	r.fresh[report.Zone] = true
	r.from[report.Zone] = source
	if old.Lost != report.Lost {
		c.planner.stale = true
		r.lostAt[report.Zone] = c.now
		for _, key := range c.table.ring(report.Zone).keys {
			c.changed[key] = true
		}
	}
}

// reportSum returns the hash of one report. Peers compare the XOR of all of them.
func reportSum(report messenger.ZoneReport) uint32 {
	stamp := messenger.Stamp{Incarnation: report.Sequence}
	if report.Lost {
		stamp.Health = messenger.Suspect
	}
	return fold(messenger.Holding{Key: messenger.KeyOf(report.Zone), Stamp: stamp}.Sum())
}

// sendReports sends all reports to a peer whose hash of them differs.
func (c *Core) sendReports(to string) {
	var zones []messenger.ZoneReport
	for _, zone := range sortedNames(c.reporter.zones) {
		zones = append(zones, c.reporter.zones[zone])
	}
	if len(zones) > 0 {
		c.send(to, messenger.Message{Zones: zones})
	}
}

// report sends the count of this node's subtree to its parent. The leader of a failure domain
// instead makes the report of the whole failure domain.
func (c *Core) report() {
	if c.leads() {
		c.reportZone()
	} else {
		c.reportUp()
	}
	c.passZones()
}

// reportUp sends the count to the parent if it changed or the parent did, and at intervals.
func (c *Core) reportUp() {
	r := &c.reporter
	parent := c.planner.parent
	if parent == "" || c.links[parent] == nil {
		return
	}
	moved := r.sentTo != parent
	repeat := c.now.Sub(r.sentAt) > zoneRepeat
	late := c.late() && c.now.Sub(r.counted) > lateReport
	if (!r.stale && !moved && !repeat && !late) || c.now.Sub(r.counted) < reportDelay {
		return
	}
	report := c.subtree()
	r.stale = false
	r.counted = c.now
	if equalReport(report, r.sent) && !moved && !repeat {
		return
	}
	r.sent = report
	r.sentAt = c.now
	r.sentTo = parent
	c.send(parent, messenger.Message{Report: &report})
}

// equalReport reports whether two reports have the same contents.
func equalReport(a, b messenger.Report) bool {
	if a.Version != b.Version || a.InForce != b.InForce || len(a.Laggards) != len(b.Laggards) {
		return false
	}
	for i := range a.Laggards {
		if a.Laggards[i] != b.Laggards[i] {
			return false
		}
	}
	return true
}

// late reports whether the newest version was announced so long ago that hosts without it
// are listed as laggards.
func (c *Core) late() bool { return c.now.Sub(c.versions.toldAt) > lateReport }

// subtree counts the hosts of this node's subtree that have the newest version in force.
func (c *Core) subtree() messenger.Report {
	version := c.versions.told
	report := messenger.Report{Version: version}
	if c.versions.head.Version >= version {
		report.InForce = 1
	} else if c.late() {
		report.Laggards = append(report.Laggards, messenger.Laggard{Name: c.self.record.Machine.Name, Reason: c.ownReason()})
	}
	for _, name := range sortedNames(c.reporter.children) {
		child, known := c.reporter.reports[name]
		if known && child.Version >= version {
			report.InForce += child.InForce
			report.Laggards = append(report.Laggards, child.Laggards...)
			continue
		}
		if c.late() {
			report.Laggards = append(report.Laggards, messenger.Laggard{Name: name, Reason: reasonNone})
		}
	}
	if len(report.Laggards) > maxLaggards {
		report.Laggards = report.Laggards[:maxLaggards]
	}
	return report
}

// ownReason returns why this node does not have the newest version in force.
func (c *Core) ownReason() string {
	if reason, ok := c.versions.refused[c.versions.told]; ok {
		return reasonRefused + reason
	}
	return reasonFetch
}

// reportZone makes the report of the failure domain that this node leads. Incomplete counts
// are reported at a lower rate, and not before the version has had time to arrive.
func (c *Core) reportZone() {
	r := &c.reporter
	repeat := c.now.Sub(r.zoneAt) > zoneRepeat
	late := c.late() && r.sent.InForce < c.zoneAlive() && c.now.Sub(r.zoneAt) > lateReport
	if r.zones[c.self.record.Machine.Zone].Lost {
		repeat = true // refutes it
	}
	if !r.stale && !repeat && !late {
		return
	}
	report := c.subtree()
	complete := report.InForce >= c.zoneAlive()
	if !complete && (c.now.Sub(r.zoneAt) < zoneDelay || c.now.Sub(c.versions.toldAt) < zoneDelay) {
		return
	}
	r.stale = false
	if equalReport(report, r.sent) && !repeat {
		return
	}
	r.sent = report
	r.zoneAt = c.now
	zone := c.self.record.Machine.Zone
	c.setZone(messenger.ZoneReport{
		Zone:     zone,
		Sequence: max(uint64(c.now.UnixMilli()), r.zones[zone].Sequence+1),
		Version:  report.Version,
		InForce:  report.InForce,
		Laggards: report.Laggards,
	}, "")
}

// zoneAlive counts the alive hosts of the own failure domain.
func (c *Core) zoneAlive() int {
	count := 0
	for _, key := range c.zone().keys {
		if c.usable(key) {
			count++
		}
	}
	return count
}

// passZones forwards new reports of failure domains together on the eager links.
func (c *Core) passZones() {
	r := &c.reporter
	if len(r.fresh) == 0 || c.now.Sub(r.passedAt) < reportDelay {
		return
	}
	r.passedAt = c.now
	for _, name := range c.linkNames() {
		if c.links[name].lazy {
			continue
		}
		var zones []messenger.ZoneReport
		for _, zone := range sortedNames(r.fresh) {
			if r.from[zone] != name {
				zones = append(zones, r.zones[zone])
			}
		}
		if len(zones) > 0 {
			c.send(name, messenger.Message{Zones: zones})
		}
	}
	r.fresh = make(map[string]bool)
}

// ZoneStatus is the state of one zone as this node knows it.
type ZoneStatus struct {
	Zone        string              `json:"zone"`
	Version     uint64              `json:"version"`
	InForce     int                 `json:"inForce"`
	Alive       int                 `json:"alive"`
	Unreachable []string            `json:"unreachable"`
	Laggards    []messenger.Laggard `json:"laggards"`
}

// Status is the convergence of the mesh according to the reports that this node received.
type Status struct {
	Version uint64       `json:"version"` // newest version that exists
	InForce int          `json:"inForce"`
	Nodes   int          `json:"nodes"`
	Zones   []ZoneStatus `json:"zones"`
}

// Complete reports whether every host in the table has the version in force.
func (s *Status) Complete() bool { return s.Version > 0 && s.InForce == s.Nodes }

// Status returns the sum of the reports of all failure domains.
func (c *Core) Status() Status {
	status := Status{Version: c.versions.told}
	for zone, r := range c.table.rings {
		if len(r.keys) == 0 {
			continue
		}
		state := ZoneStatus{Zone: zone}
		report := c.reporter.zones[zone]
		state.Version = report.Version
		state.Laggards = report.Laggards
		if report.Version >= status.Version {
			state.InForce = report.InForce
		}
		for _, key := range r.keys {
			m := c.table.members[key]
			if c.usable(key) {
				state.Alive++
			} else {
				state.Unreachable = append(state.Unreachable, m.record.Machine.Name)
			}
		}
		state.InForce = min(state.InForce, state.Alive)
		status.InForce += state.InForce
		status.Nodes += state.Alive + len(state.Unreachable)
		status.Zones = append(status.Zones, state)
	}
	sort.Slice(status.Zones, func(i, j int) bool { return status.Zones[i].Zone < status.Zones[j].Zone })
	return status
}
