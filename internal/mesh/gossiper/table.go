package gossiper

import (
	"cmp"
	"slices"
	"time"

	"clementinerock/internal/mesh/messenger"
)

const bucketCount = 256

type member struct {
	record      messenger.Record
	key         messenger.Key
	healthSince time.Time // last change of health
}

func (m *member) keyStamp() messenger.KeyStamp {
	return messenger.KeyStamp{Key: m.key, Stamp: m.record.Stamp}
}

func (m *member) present() bool { return m.record.Stamp.Health <= messenger.Suspect }

func (m *member) alive() bool { return m.record.Stamp.Health == messenger.Alive }

// newer reports whether a says something that b doesn't.
func newer(a, b messenger.Stamp) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence || a.Health > b.Health
}

// table holds the membership as last heard. Departed members are kept as
// tombstones outside the digest, so that old statements can't revive them.
type table struct {
	members  map[messenger.Key]*member
	rings    map[string]*ring // by zone
	buckets  [bucketCount]uint64
	root     uint64
	interned map[string]string // shared copies of zone and region names
}

func newTable() *table {
	return &table{
		members:  make(map[messenger.Key]*member),
		rings:    make(map[string]*ring),
		interned: make(map[string]string),
	}
}

func (t *table) get(name string) *member { return t.members[messenger.KeyOf(name)] }

func (t *table) intern(name string) string {
	if known, ok := t.interned[name]; ok {
		return known
	}
	t.interned[name] = name
	return name
}

func bucketOf(key messenger.Key) int { return int(key >> 56) }

// toggleDigest adds a present member to the digest or takes it out again.
func (t *table) toggleDigest(m *member) {
	if !m.present() {
		return
	}
	sum := m.keyStamp().Sum()
	t.buckets[bucketOf(m.key)] ^= sum
	t.root ^= sum
}

// change is what a merge did to a member.
type change struct {
	content bool // the record itself changed
	health  bool // its health changed
}

func (c change) any() bool { return c.content || c.health }

// mergeRecord takes in a record and reports what changed.
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
	var done change
	if record.Stamp.Incarnation > stamp.Incarnation {
		done = change{content: true, health: record.Stamp.Health != stamp.Health}
		t.replace(m, record)
		t.updateRing(m, stamp.Health, now)
		return done
	}
	if record.Stamp.Sequence > stamp.Sequence {
		health := stamp.Health
		t.replace(m, record)
		m.record.Stamp.Health = max(health, record.Stamp.Health)
		done.content = true
	}
	if record.Stamp.Health > stamp.Health {
		m.record.Stamp.Health = record.Stamp.Health
		done.health = true
	}
	t.updateRing(m, stamp.Health, now)
	return done
}

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

// mergeRumor takes in a change of health and reports whether it is news.
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

// updateRing keeps the ring in step with a member's health.
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

// removeTombstones drops tombstones older than retention.
func (t *table) removeTombstones(now time.Time, retention time.Duration) {
	for key, m := range t.members {
		if !m.present() && now.Sub(m.healthSince) > retention {
			delete(t.members, key)
		}
	}
}

func (t *table) ring(zone string) *ring {
	r := t.rings[zone]
	if r == nil {
		r = &ring{}
		t.rings[zone] = r
	}
	return r
}

// digest returns the buckets folded to 32 bits.
func (t *table) digest() []uint32 {
	folded := make([]uint32, bucketCount)
	for i, sum := range t.buckets {
		folded[i] = fold(sum)
	}
	return folded
}

func fold(sum uint64) uint32 { return uint32(sum) ^ uint32(sum>>32) }

// visitBuckets calls visit for each present member of the given buckets, by key.
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
