package gossiper

import (
	"maps"
	"sort"
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/mesh/messenger"
)

const readersPerDomain = 2 // reader leases per failure domain

// HasChanges reports whether TakeChanges would visit any member.
func (c *Core) HasChanges() bool { return len(c.changed) > 0 }

// Head returns the version in force.
func (c *Core) Head() approver.Head { return c.versions.head }

// NewestVersion returns the newest version announced to this node, whether it has it or not.
func (c *Core) NewestVersion() uint64 { return c.versions.newest }

// Ready reports whether the node may carry traffic. It becomes ready once its membership
// table is synchronized and it holds the newest version announced so far, and stays ready.
func (c *Core) Ready() bool {
	v := &c.versions
	if !v.ready {
		v.ready = c.syncer.joined && v.head.Version > 0 && v.head.Version >= v.newest
	}
	return v.ready
}

// TakeChanges calls visit for each host that changed since the last call. The record is nil
// if the host must not receive calls.
func (c *Core) TakeChanges(visit func(name string, record *messenger.Record)) {
	for key := range c.changed {
		m := c.table.members[key]
		if m == nil {
			continue
		}
		if c.usable(key) {
			visit(m.record.Host.Name, &m.record)
		} else {
			visit(m.record.Host.Name, nil)
		}
	}
	clear(c.changed)
}

// HasControlAddress reports whether a present member has the control address.
func (c *Core) HasControlAddress(control string) bool {
	for _, m := range c.table.members {
		if m.present() && m.record.Host.Control == control {
			return true
		}
	}
	return false
}

// LinkCount returns the number of open links.
func (c *Core) LinkCount() int { return len(c.links) }

// ReaderSlot returns the number of the reader lease that this node may take in its failure
// domain. It returns false if readersPerDomain or more usable hosts outrank this one, or if
// the membership table is not synchronized yet.
func (c *Core) ReaderSlot() (int, bool) {
	if !c.syncer.joined {
		return 0, false
	}
	rank := 0
	for _, key := range c.ownRing().keys {
		if key != c.self.key && c.usable(key) && outranks(key, c.self.key) {
			rank++
		}
	}
	return rank, rank < readersPerDomain
}

// LinkState is the state of one link in a dump.
type LinkState struct {
	Name         string    `json:"name"`
	Inbound      bool      `json:"inbound"`
	Lazy         bool      `json:"lazy"`
	LastReceived time.Time `json:"heard"`
	Version      uint64    `json:"version"`
	Unsent       int       `json:"waiting"` // changes not yet sent
}

// State is the state of a Core in a dump.
type State struct {
	Host          messenger.Host     `json:"machine"`
	Stamp         messenger.Stamp    `json:"stamp"`
	Targets       []messenger.Target `json:"targets"`
	Ready         bool               `json:"ready"`
	Joined        bool               `json:"joined"`
	Head          approver.Head      `json:"head"`
	NewestVersion uint64             `json:"told"`
	Parent        string             `json:"parent"`
	Successor     string             `json:"nearest"`
	IsLeader      bool               `json:"leads"`
	Links         []LinkState        `json:"links"`
	Members       []MemberState      `json:"members"`
	Refused       map[uint64]string  `json:"refused"`
}

// MemberState is the state of one host in a dump.
type MemberState struct {
	Name          string          `json:"name"`
	FailureDomain string          `json:"zone"`
	Stamp         messenger.Stamp `json:"stamp"`
	Health        string          `json:"health"`
	HealthSince   time.Time       `json:"since"`
}

// Dump returns a copy of the state for inspection.
func (c *Core) Dump() State {
	state := State{
		Host:          c.self.record.Host,
		Stamp:         c.self.record.Stamp,
		Targets:       c.self.record.Targets,
		Ready:         c.Ready(),
		Joined:        c.syncer.joined,
		Head:          c.versions.head,
		NewestVersion: c.versions.newest,
		Parent:        c.planner.parent,
		Successor:     c.planner.successor,
		IsLeader:      c.isLeader(),
		Refused:       maps.Clone(c.versions.refused),
	}
	for _, name := range c.linkNames() {
		l := c.links[name]
		state.Links = append(state.Links, LinkState{
			Name: name, Inbound: l.inbound, Lazy: l.lazy, LastReceived: l.lastReceived, Version: l.version, Unsent: len(l.unsent),
		})
	}
	for _, m := range c.table.members {
		state.Members = append(state.Members, MemberState{
			Name:          m.record.Host.Name,
			FailureDomain: m.record.Host.FailureDomain,
			Stamp:         m.record.Stamp,
			Health:        m.record.Stamp.Health.String(),
			HealthSince:   m.healthSince,
		})
	}
	sortMembers(state.Members)
	return state
}

func sortMembers(members []MemberState) {
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
}
