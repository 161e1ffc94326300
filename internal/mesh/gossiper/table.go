package gossiper

import (
	"cmp"
	"slices"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const bucketCount = 256

// member is a host in the table, present or kept as a tombstone.
type member struct {
	record      messenger.Record
	key         messenger.Key
	healthSince time.Time
}

func (m *member) keyStamp() messenger.KeyStamp {
	return messenger.KeyStamp{Key: m.key, Stamp: m.record.Stamp}
}

// present reports whether the member is neither dead nor left.
func (m *member) present() bool { return m.record.Stamp.Health <= messenger.Suspect }

func (m *member) alive() bool { return m.record.Stamp.Health == messenger.Alive }

// newer reports whether a has a change that b lacks. Within one incarnation sequence and
// health rise independently, so that each of two stamps can be newer than the other.
func newer(a, b messenger.Stamp) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence || a.Health > b.Health
}

// table holds the members and their last received state. Dead and departed members are kept
// as tombstones outside the digest, so that outdated records cannot make them members again.
type table struct {
	members  map[messenger.Key]*member
	rings    map[string]*ring    // by failure domain
	buckets  [bucketCount]uint64 // XOR of the hashes of the present members, by key prefix
	root     uint64              // XOR of all buckets
	interned map[string]string   // shared copies of failure domain and region names
}

func newTable() *table {
	return &table{
		members:  make(map[messenger.Key]*member),
		rings:    make(map[string]*ring),
		interned: make(map[string]string),
	}
}

func (t *table) get(name string) *member { return t.members[messenger.KeyOf(name)] }

// intern returns the table's shared copy of a name.
func (t *table) intern(name string) string {
	if shared, ok := t.interned[name]; ok {
		return shared
	}
	t.interned[name] = name
	return name
}

func bucketOf(key messenger.Key) int { return int(key >> 56) }

// toggleDigest adds a present member to the digest, or removes it if it was added before.
func (t *table) toggleDigest(m *member) {
	if !m.present() {
		return
	}
	sum := m.keyStamp().Sum()
	t.buckets[bucketOf(m.key)] ^= sum
	t.root ^= sum
}

// change describes what a merge changed in a member.
type change struct {
	content bool // the record apart from its health
	health  bool
}

func (c change) any() bool { return c.content || c.health }

// mergeRecord merges a received record and returns what changed. A record of a newer
// incarnation replaces the member; within an incarnation the higher sequence supplies the
// record, and health only rises.
func (t *table) mergeRecord(record *messenger.Record, now time.Time) change {
	key := messenger.KeyOf(record.Host.Name)
	m := t.members[key]
	if m == nil {
		if record.Stamp.Health > messenger.Suspect {
			return change{}
		}
		m = &member{key: key, healthSince: now, record: *record}
		m.record.Host.FailureDomain = t.intern(record.Host.FailureDomain)
		m.record.Host.Region = t.intern(record.Host.Region)
		t.members[key] = m
		t.toggleDigest(m)
		t.ring(m.record.Host.FailureDomain).insert(key)
		return change{content: true, health: true}
	}
	stamp := m.record.Stamp
	if !newer(record.Stamp, stamp) {
		return change{}
	}
	t.toggleDigest(m)
	defer t.toggleDigest(m)
	var diff change
	if record.Stamp.Incarnation > stamp.Incarnation {
		diff = change{content: true, health: record.Stamp.Health != stamp.Health}
		t.replace(m, record)
		t.updateRing(m, stamp.Health, now)
		return diff
	}
	if record.Stamp.Sequence > stamp.Sequence {
		health := stamp.Health
		t.replace(m, record)
		m.record.Stamp.Health = max(health, record.Stamp.Health)
		diff.content = true
	}
	if record.Stamp.Health > stamp.Health {
		m.record.Stamp.Health = record.Stamp.Health
		diff.health = true
	}
	t.updateRing(m, stamp.Health, now)
	return diff
}

// replace sets the member's record and moves it to the ring of its failure domain.
func (t *table) replace(m *member, record *messenger.Record) {
	if m.record.Host.FailureDomain != record.Host.FailureDomain {
		t.ring(m.record.Host.FailureDomain).remove(m.key)
		if m.present() {
			t.ring(record.Host.FailureDomain).insert(m.key)
		}
	}
	m.record = *record
	m.record.Host.FailureDomain = t.intern(record.Host.FailureDomain)
	m.record.Host.Region = t.intern(record.Host.Region)
}

// mergeRumor applies a change of health and reports whether the member changed.
func (t *table) mergeRumor(rumor messenger.Rumor, now time.Time) bool {
	m := t.get(rumor.Name)
	if m == nil || m.record.Stamp.Incarnation != rumor.Incarnation || m.record.Stamp.Health >= rumor.Health {
		return false
	}
	t.toggleDigest(m)
	before := m.record.Stamp.Health
	m.record.Stamp.Health = rumor.Health
	t.toggleDigest(m)
	t.updateRing(m, before, now)
	return true
}

// updateRing adds the member to its ring, or removes it and drops its targets, after a change
// of its health.
func (t *table) updateRing(m *member, before messenger.Health, now time.Time) {
	if m.record.Stamp.Health == before {
		return
	}
	m.healthSince = now
	if m.present() {
		t.ring(m.record.Host.FailureDomain).insert(m.key)
		return
	}
	m.record.Targets = nil
	t.ring(m.record.Host.FailureDomain).remove(m.key)
}

// removeTombstones removes tombstones older than the retention time.
func (t *table) removeTombstones(now time.Time, retention time.Duration) {
	for key, m := range t.members {
		if !m.present() && now.Sub(m.healthSince) > retention {
			delete(t.members, key)
		}
	}
}

// ring returns the ring of a failure domain, and creates it if there is none.
func (t *table) ring(domain string) *ring {
	r := t.rings[domain]
	if r == nil {
		r = &ring{}
		t.rings[domain] = r
	}
	return r
}

// digest returns the hashes of the buckets, folded to 32 bits each.
func (t *table) digest() []uint32 {
	folded := make([]uint32, bucketCount)
	for i, sum := range t.buckets {
		folded[i] = fold(sum)
	}
	return folded
}

func fold(sum uint64) uint32 { return uint32(sum) ^ uint32(sum>>32) }

// visitBuckets calls visit for each present member of the given buckets, in key order.
func (t *table) visitBuckets(buckets []int, visit func(*member)) {
	wanted := make(map[int]bool, len(buckets))
	for _, b := range buckets {
		wanted[b] = true
	}
	var found []*member
	for key, m := range t.members {
		if m.present() && wanted[bucketOf(key)] {
			found = append(found, m)
		}
	}
	slices.SortFunc(found, func(a, b *member) int { return cmp.Compare(a.key, b.key) })
	for _, m := range found {
		visit(m)
	}
}
