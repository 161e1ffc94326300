package gossiper

import (
	"maps"
	"sort"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const (
	maxLaggards          = 8                      // laggards listed in one report
	reportDelay          = 100 * time.Millisecond // minimum interval of reports; batches changes
	domainReportDelay    = 500 * time.Millisecond // delay before and between incomplete domain reports
	reportRepeatInterval = 30 * time.Second       // interval at which unchanged reports are sent again
	laggardDelay         = 2 * time.Second        // age of a version from which laggards are listed
	reasonNoReport       = "no report"
	reasonUnreachable    = "unreachable"
	reasonFetching       = "still fetching"
	reasonRefused        = "refused: "
)

// reporter counts, along the tree of a failure domain, the hosts that have the newest version
// in force, and disseminates the counts of all failure domains.
type reporter struct {
	children         map[string]bool             // children in the tree of the failure domain
	reports          map[string]messenger.Report // by linked peer, which may not be a child yet
	stale            bool                        // a change requires a new count
	sent             messenger.Report            // last report to the parent or as the leader
	sentTo           string                      // parent that received it
	sentAt           time.Time
	countedAt        time.Time                         // last count
	domains          map[string]messenger.DomainReport // newest report by failure domain
	reportsHash      uint32                            // hash of domains, compared with peers
	lostChangedAt    map[string]time.Time              // last change of Lost by failure domain
	domainReportedAt time.Time                         // last domain report made as the leader
	unforwarded      map[string]bool                   // failure domains with a report to forward
	receivedFrom     map[string]string                 // sender by failure domain; empty if made here
	forwardedAt      time.Time                         // last forwarding of domain reports
}

func newReporter() reporter {
	return reporter{
		children:      make(map[string]bool),
		reports:       make(map[string]messenger.Report),
		domains:       make(map[string]messenger.DomainReport),
		unforwarded:   make(map[string]bool),
		receivedFrom:  make(map[string]string),
		lostChangedAt: make(map[string]time.Time),
		stale:         true,
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

// linkClosed drops the report of a peer whose link closed.
func (r *reporter) linkClosed(name string) {
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
		c.raiseNewest(m.Report.Version)
	}
	for _, report := range m.DomainReports {
		if known := r.domains[report.FailureDomain]; report.Newer(&known) {
			c.setDomainReport(report, l.name)
		}
	}
}

// setDomainReport stores the newest report of a failure domain and marks it to be forwarded.
// A report that marks this node's own failure domain as lost is refuted by the next report of
// its leader.
func (c *Core) setDomainReport(report messenger.DomainReport, source string) {
	r := &c.reporter
	old, known := r.domains[report.FailureDomain]
	if known {
		r.reportsHash ^= reportHash(old)
	}
	r.reportsHash ^= reportHash(report)
	r.domains[report.FailureDomain] = report
	r.unforwarded[report.FailureDomain] = true
	r.receivedFrom[report.FailureDomain] = source
	if old.Lost != report.Lost {
		c.planner.stale = true
		r.lostChangedAt[report.FailureDomain] = c.now
		for _, key := range c.table.ring(report.FailureDomain).keys {
			c.changed[key] = true
		}
	}
}

// reportHash returns the hash of one report. Peers compare the XOR of all of them.
func reportHash(report messenger.DomainReport) uint32 {
	stamp := messenger.Stamp{Incarnation: report.Sequence}
	if report.Lost {
		stamp.Health = messenger.Suspect
	}
	return fold(messenger.KeyStamp{Key: messenger.KeyOf(report.FailureDomain), Stamp: stamp}.Sum())
}

// sendDomainReports sends the reports of all failure domains to a peer whose hash of them
// differs.
func (c *Core) sendDomainReports(to string) {
	var domains []messenger.DomainReport
	for _, domain := range sortedNames(c.reporter.domains) {
		domains = append(domains, c.reporter.domains[domain])
	}
	if len(domains) > 0 {
		c.send(to, messenger.Message{DomainReports: domains})
	}
}

// report sends the count of this node's subtree to its parent. The leader of a failure domain
// instead makes the report of the whole failure domain, which is disseminated to all nodes.
func (c *Core) report() {
	if c.isLeader() {
		c.reportDomain()
	} else {
		c.reportToParent()
	}
	c.forwardDomainReports()
}

// reportToParent sends the count to the parent if the count or the parent changed, and at
// intervals.
func (c *Core) reportToParent() {
	r := &c.reporter
	parent := c.planner.parent
	if parent == "" || c.links[parent] == nil {
		return
	}
	parentChanged := r.sentTo != parent
	repeat := c.now.Sub(r.sentAt) > reportRepeatInterval
	overdue := c.overdue() && c.now.Sub(r.countedAt) > laggardDelay
	if (!r.stale && !parentChanged && !repeat && !overdue) || c.now.Sub(r.countedAt) < reportDelay {
		return
	}
	report := c.countSubtree()
	r.stale = false
	r.countedAt = c.now
	if equalReport(report, r.sent) && !parentChanged && !repeat {
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

// overdue reports whether the newest version was announced so long ago that hosts without it
// are listed as laggards.
func (c *Core) overdue() bool { return c.now.Sub(c.versions.newestAt) > laggardDelay }

// countSubtree counts the hosts of this node's subtree that have the newest version in force.
func (c *Core) countSubtree() messenger.Report {
	version := c.versions.newest
	report := messenger.Report{Version: version}
	if c.versions.head.Version >= version {
		report.InForce = 1
	} else if c.overdue() {
		report.Laggards = append(report.Laggards, messenger.Laggard{Name: c.self.record.Host.Name, Reason: c.ownReason()})
	}
	for _, name := range sortedNames(c.reporter.children) {
		child, known := c.reporter.reports[name]
		if known && child.Version >= version {
			report.InForce += child.InForce
			report.Laggards = append(report.Laggards, child.Laggards...)
			continue
		}
		if c.overdue() {
			report.Laggards = append(report.Laggards, messenger.Laggard{Name: name, Reason: reasonNoReport})
		}
	}
	if len(report.Laggards) > maxLaggards {
		report.Laggards = report.Laggards[:maxLaggards]
	}
	return report
}

// ownReason returns why this node does not have the newest version in force.
func (c *Core) ownReason() string {
	if reason, ok := c.versions.refused[c.versions.newest]; ok {
		return reasonRefused + reason
	}
	return reasonFetching
}

// reportDomain makes the report of the failure domain that this node leads. Incomplete counts
// are reported at a lower rate, and not before the version has had time to arrive.
func (c *Core) reportDomain() {
	r := &c.reporter
	repeat := c.now.Sub(r.domainReportedAt) > reportRepeatInterval
	overdue := c.overdue() && r.sent.InForce < c.domainAlive() && c.now.Sub(r.domainReportedAt) > laggardDelay
	if r.domains[c.self.record.Host.FailureDomain].Lost {
		repeat = true // refutes the report that this failure domain is lost
	}
	if !r.stale && !repeat && !overdue {
		return
	}
	report := c.countSubtree()
	complete := report.InForce >= c.domainAlive()
	if !complete && (c.now.Sub(r.domainReportedAt) < domainReportDelay || c.now.Sub(c.versions.newestAt) < domainReportDelay) {
		return
	}
	r.stale = false
	if equalReport(report, r.sent) && !repeat {
		return
	}
	r.sent = report
	r.domainReportedAt = c.now
	domain := c.self.record.Host.FailureDomain
	c.setDomainReport(messenger.DomainReport{
		FailureDomain: domain,
		Sequence:      max(uint64(c.now.UnixMilli()), r.domains[domain].Sequence+1),
		Version:       report.Version,
		InForce:       report.InForce,
		Laggards:      report.Laggards,
	}, "")
}

// domainAlive counts the alive hosts of the own failure domain.
func (c *Core) domainAlive() int {
	count := 0
	for _, key := range c.ownRing().keys {
		if c.usable(key) {
			count++
		}
	}
	return count
}

// forwardDomainReports forwards new reports of failure domains together on the eager links.
func (c *Core) forwardDomainReports() {
	r := &c.reporter
	if len(r.unforwarded) == 0 || c.now.Sub(r.forwardedAt) < reportDelay {
		return
	}
	r.forwardedAt = c.now
	for _, name := range c.linkNames() {
		if c.links[name].lazy {
			continue
		}
		var domains []messenger.DomainReport
		for _, domain := range sortedNames(r.unforwarded) {
			if r.receivedFrom[domain] != name {
				domains = append(domains, r.domains[domain])
			}
		}
		if len(domains) > 0 {
			c.send(name, messenger.Message{DomainReports: domains})
		}
	}
	r.unforwarded = make(map[string]bool)
}

// DomainStatus is the convergence of one failure domain according to the reports that this
// node received.
type DomainStatus struct {
	FailureDomain string              `json:"zone"`
	Version       uint64              `json:"version"`
	InForce       int                 `json:"inForce"`
	Alive         int                 `json:"alive"`
	Unreachable   []string            `json:"unreachable"`
	Laggards      []messenger.Laggard `json:"laggards"`
}

// Status is the convergence of the mesh according to the reports that this node received.
type Status struct {
	Version uint64         `json:"version"` // newest version announced to this node
	InForce int            `json:"inForce"`
	Nodes   int            `json:"nodes"`
	Domains []DomainStatus `json:"zones"`
}

// Complete reports whether every host in the table has the newest version in force.
func (s *Status) Complete() bool { return s.Version > 0 && s.InForce == s.Nodes }

// Status returns the sum of the reports of all failure domains.
func (c *Core) Status() Status {
	status := Status{Version: c.versions.newest}
	for domain, r := range c.table.rings {
		if len(r.keys) == 0 {
			continue
		}
		state := DomainStatus{FailureDomain: domain}
		report := c.reporter.domains[domain]
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
				state.Unreachable = append(state.Unreachable, m.record.Host.Name)
			}
		}
		state.InForce = min(state.InForce, state.Alive)
		status.InForce += state.InForce
		status.Nodes += state.Alive + len(state.Unreachable)
		status.Domains = append(status.Domains, state)
	}
	sort.Slice(status.Domains, func(i, j int) bool { return status.Domains[i].FailureDomain < status.Domains[j].FailureDomain })
	return status
}
