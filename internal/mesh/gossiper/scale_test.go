package gossiper

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/mesh/messenger"
)

// Size of the mesh that the design must support.
const (
	scaleMembers  = 15_000
	scaleServices = 2_000
	scaleDomains  = 10
	scaleRegions  = 4
)

func scaleRecord(i int) messenger.Record {
	domain := i % scaleDomains
	return messenger.Record{
		Host: messenger.Host{
			Name:          fmt.Sprintf("machine-%d.zone-%d", i, domain),
			FailureDomain: fmt.Sprintf("zone-%d", domain),
			Region:        fmt.Sprintf("region-%d", domain*scaleRegions/scaleDomains),
			Control:       fmt.Sprintf("10.%d.%d.%d:7000", domain, i/250, i%250),
			Peer:          fmt.Sprintf("10.%d.%d.%d:7001", domain, i/250, i%250),
		},
		Stamp: messenger.Stamp{Incarnation: 1_700_000_000_000 + uint64(i), Sequence: 1},
		Targets: []messenger.Target{{
			Service: fmt.Sprintf("service-%d", i%scaleServices),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", domain, i/250, i%250),
			Slots:   12, State: messenger.Serving, Since: 1_700_000_000_000,
		}},
	}
}

// scaleCore returns a core whose table holds the whole mesh, with 8 links.
func scaleCore(members int, now time.Time) *Core {
	own := scaleRecord(0)
	core := New(own.Host, Config{}, rand.New(rand.NewPCG(1, 1)), now)
	for i := 1; i < members; i++ {
		record := scaleRecord(i)
		core.table.mergeRecord(&record, now)
	}
	core.syncer.joined = true
	for i := 1; i <= 8; i++ {
		core.LinkUp(now, scaleRecord(i*scaleDomains).Host, i%2 == 0)
	}
	return core
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestTreeIsShallowAndNarrow builds the tree of a ring for several sizes and requires that
// every member reaches the leader through its parents, that children and parents agree, and
// that depth and number of children stay within bounds.
func TestTreeIsShallowAndNarrow(t *testing.T) {
	for _, size := range []int{1, 2, 5, 150, 1500} {
		r := &ring{}
		for i := range size {
			r.insert(messenger.KeyOf(fmt.Sprintf("machine-%d", i)))
		}
		all := func(messenger.Key) bool { return true }
		leader, _ := r.leader(all)
		depths := 0
		parents := make(map[messenger.Key]int)
		for _, key := range r.keys {
			depth := 0
			for at := key; at != leader; depth++ {
				parent, ok := r.parent(at, all)
				assert.Assert(t, ok && depth < 64, "%d nodes: the parents of %x do not lead to the leader", size, key)
				at = parent
			}
			depths = max(depths, depth)
			if parent, ok := r.parent(key, all); ok {
				parents[parent]++
			}
		}
		widest := 0
		for _, key := range r.keys {
			assert.Equal(t, len(r.children(key, all)), parents[key], "a member's children are not the members that have it as parent")
			widest = max(widest, parents[key])
		}
		t.Logf("%d nodes: depth %d, at most %d children", size, depths, widest)
		assert.Assert(t, depths <= 10)
		assert.Assert(t, widest <= maxLinks-8)
	}
}

// BenchmarkState measures the memory of a node's control state, by number of members and by
// number of services with all kept versions.
func BenchmarkState(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	for _, members := range []int{1_500, 5_000, scaleMembers} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				core := scaleCore(members, now)
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
				runtime.KeepAlive(core)
			}
		})
	}
	for _, services := range []int{200, scaleServices} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				core := scaleCore(1, now)
				for version := range uint64(keptVersions) {
					head, index := testVersion(version+1, services)
					core.VersionRead(now, head, index)
				}
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
				runtime.KeepAlive(core)
			}
		})
	}
}

// BenchmarkTick measures the processor time of a tick without any event.
func BenchmarkTick(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	for _, members := range []int{1_500, scaleMembers} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			core := scaleCore(members, now)
			at := now
			for b.Loop() {
				at = at.Add(testTick)
				core.Tick(at)
			}
		})
	}
}

// BenchmarkEvent measures the processor time of one membership change: its message and the
// tick that sends it on.
func BenchmarkEvent(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	core := scaleCore(scaleMembers, now)
	from := core.linkNames()[0]
	at := now
	i := 0
	for b.Loop() {
		i++
		at = at.Add(testTick)
		record := scaleRecord(1 + i%(scaleMembers-1))
		record.Stamp.Incarnation += uint64(i)
		core.Receive(at, from, &messenger.Message{Records: []messenger.Record{record}})
		core.Tick(at)
	}
}

// BenchmarkVersion measures the processor time to check and activate a version that changes
// one service.
func BenchmarkVersion(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	core := scaleCore(1_500, now)
	head, index := testVersion(1, scaleServices)
	core.VersionRead(now, head, index)
	version := uint64(1)
	for b.Loop() {
		version++
		items := index.Items()[:1]
		changed := indexer.Item{Name: items[0].Name, Data: changedContact(items[0].Data, version)}
		index = index.Apply(indexer.Delta{Set: []indexer.Item{changed}})
		head.Version = version
		head.Root = index.Root()
		core.VersionRead(now, head, index)
	}
}

func changedContact(data []byte, version uint64) []byte {
	contract, err := compiler.Decode(data)
	if err != nil {
		panic(err)
	}
	contract.Contact = fmt.Sprintf("contact-%d", version)
	return contract.Encode()
}

// BenchmarkRecord measures the compressed size on the wire of records, single and in
// messages of several, and of rumors.
func BenchmarkRecord(b *testing.B) {
	for _, count := range []int{1, 64, 500} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			message := messenger.Message{IsAnswer: true}
			for i := range count {
				message.Records = append(message.Records, scaleRecord(i*7))
			}
			for b.Loop() {
				frame, err := messenger.EncodeFrame(&message)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(frame))/float64(count), "B/record")
			}
		})
	}
	rumors := messenger.Message{}
	for i := range maxFlushItems {
		rumors.Rumors = append(rumors.Rumors, messenger.Rumor{
			Name: scaleRecord(i).Host.Name, Incarnation: scaleRecord(i).Stamp.Incarnation, Health: messenger.Suspect,
		})
	}
	b.Run("rumors", func(b *testing.B) {
		for b.Loop() {
			frame, err := messenger.EncodeFrame(&rumors)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(frame))/maxFlushItems, "B/rumor")
		}
	})
}
