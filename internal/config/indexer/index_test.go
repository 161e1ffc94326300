package indexer

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"clementinerock/internal/check/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults("")
	os.Exit(m.Run())
}

func randomItems(rt *rapid.T, label string) []Item {
	names := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 0, 40, rapid.ID[string]).Draw(rt, label)
	var items []Item
	for _, name := range names {
		size := rapid.IntRange(1, 9000).Draw(rt, "size")
		items = append(items, Item{Name: name, Data: bytes.Repeat([]byte(name[:1]), size)})
	}
	return items
}

func TestRandomIndex(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from := New(randomItems(rt, "from"))
		to := New(randomItems(rt, "to"))
		shuffled := to.Items()
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.Equal(rt, New(shuffled).Root(), to.Root(), "the root hash depends on the order of items")
		assert.Equal(rt, from.Apply(from.Diff(to)).Root(), to.Root(), "applying the difference does not give the target index")

		stored := make(map[Hash][]byte)
		for _, chunk := range append(from.Chunks(), from.MissingChunks(to)...) {
			stored[chunk.Hash] = chunk.Data
		}
		get := func(hash Hash) ([]byte, error) {
			if data, ok := stored[hash]; ok {
				return data, nil
			}
			return nil, errors.New("no such chunk")
		}
		loaded, err := Load(to.Root(), Index{}, get)
		assert.NilError(rt, err)
		assert.Equal(rt, loaded.Root(), to.Root())
	})
}

func TestLoadRejectsCorruptChunk(t *testing.T) {
	index := New([]Item{{Name: "a", Data: []byte("contract")}})
	_, err := Load(index.Root(), Index{}, func(Hash) ([]byte, error) { return []byte("other"), nil })
	assert.ErrorIs(t, err, ErrMismatch)
}

// BenchmarkLayout measures the store reads and writes caused by changing one of 2,000 services,
// for several leaf sizes. The largest leaf size keeps all contracts in one page and serves as the
// baseline.
func BenchmarkLayout(b *testing.B) {
	const services, contractBytes = 2000, 250
	rng := rand.New(rand.NewPCG(1, 2))
	var items []Item
	for i := range services {
		data := make([]byte, contractBytes)
		for j := range data {
			data[j] = byte(rng.Uint32())
		}
		items = append(items, Item{Name: fmt.Sprintf("service-%d", i), Data: data})
	}
	from := New(items)
	changed := bytes.Clone(items[7].Data)
	changed[0]++
	to := from.Apply(Delta{Set: []Item{{Name: items[7].Name, Data: changed}}})
	for _, leafBytes := range []int{1 << 10, 4 << 10, 16 << 10, 64 << 10, 1 << 30} {
		b.Run(fmt.Sprintf("leaf=%d", leafBytes), func(b *testing.B) {
			for b.Loop() {
				to.chunks(leafBytes)
			}
			existing := make(map[Hash]bool)
			for _, chunk := range from.chunks(leafBytes) {
				existing[chunk.Hash] = true
			}
			chunks := to.chunks(leafBytes)
			writes, written := 0, 0
			for _, chunk := range chunks {
				if !existing[chunk.Hash] {
					writes++
					written += len(chunk.Data)
				}
			}
			b.ReportMetric(float64(len(chunks)), "reads/load")
			b.ReportMetric(float64(writes), "writes/change")
			b.ReportMetric(float64(written), "B/change")
		})
	}
	b.Run("difference", func(b *testing.B) {
		for b.Loop() {
			from.Diff(to)
		}
		b.ReportMetric(float64(from.Diff(to).Size()), "B/change")
	})
}
