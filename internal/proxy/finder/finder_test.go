package finder

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/platform"
)

// TestReader replays a healthy store, a reader that was lost, and a store that is away.
func TestReader(t *testing.T) {
	strong := carrier.Peer{Node: "strong", MilliCPU: 800}
	middle := carrier.Peer{Node: "middle", MilliCPU: 400}
	weak := carrier.Peer{Node: "weak", MilliCPU: 160}
	type hears map[carrier.Peer]bool
	tests := map[string]struct {
		self  carrier.Peer
		peers hears
		alone time.Duration
		want  bool
	}{
		"the strongest reads":                {strong, hears{middle: false, weak: false}, 0, true},
		"others rely on it":                  {weak, hears{strong: true, middle: false}, time.Hour, false},
		"nobody else is there":               {weak, hears{}, 0, true},
		"the reader was just lost":           {weak, hears{middle: false}, 0, false},
		"the next one goes first":            {middle, hears{weak: false}, 0, true},
		"the reader has no store":            {middle, hears{strong: false, weak: false}, standInAfter, true},
		"one after the other":                {weak, hears{strong: false, middle: false}, standInAfter, false},
		"in the end all of them":             {weak, hears{strong: false, middle: false}, 2 * standInAfter, true},
		"a weaker one reads for the others":  {middle, hears{strong: false, weak: true}, time.Hour, false},
		"the strongest goes on trying":       {strong, hears{middle: true}, 0, true},
		"of equals the hash of names counts": {carrier.Peer{Node: "a"}, hears{{Node: "b"}: true, {Node: "c"}: true}, 0, goesBefore(carrier.Peer{Node: "a"}, carrier.Peer{Node: "b"}) && goesBefore(carrier.Peer{Node: "a"}, carrier.Peer{Node: "c"})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, ShouldRead(test.self, test.peers, test.alone), test.want)
		})
	}
}

// scripted is a store of one entry that counts calls and fails as told.
type scripted struct {
	Store // calls that a test does not expect stop it

	item   platform.Item
	fails  []error // of the next commits; after nil the commit is done
	grants int
	gets   int
}

func (s *scripted) Grant(time.Duration) (uint64, time.Duration, error) {
	s.grants++
	return uint64(s.grants), leaseTime, nil
}

func (s *scripted) Get(string) (platform.Item, uint64, error) {
	s.gets++
	if s.item.Revision == 0 {
		return platform.Item{}, 0, platform.ErrMissing
	}
	return s.item, s.item.Revision, nil
}

func (s *scripted) Commit(conditions []platform.Condition, writes []platform.Write, _ []string) (uint64, error) {
	if len(s.fails) > 0 {
		err := s.fails[0]
		s.fails = s.fails[1:]
		if err != nil {
			return 0, err
		}
	}
	if conditions[0].Revision != s.item.Revision {
		return 0, platform.ErrConflict
	}
	s.item = platform.Item{Value: writes[0].Value, Lease: writes[0].Lease, Revision: s.item.Revision + 1}
	return s.item.Revision, nil
}

func entry(t *testing.T, started int64) platform.Item {
	t.Helper()
	value, err := cbor.Marshal(&carrier.Peer{Node: "n", Started: started})
	assert.NilError(t, err)
	return platform.Item{Value: value, Revision: 7, Lease: 99}
}

// TestEnter writes the own entry over what it finds, also when answers are lost.
func TestEnter(t *testing.T) {
	tests := map[string]struct {
		store  scripted
		tries  int
		grants int
		gets   int
		err    error
	}{
		"nothing there":             {scripted{}, 1, 1, 0, nil},
		"an earlier start's entry":  {scripted{item: entry(t, 1)}, 1, 1, 1, nil},
		"a later start's entry":     {scripted{item: entry(t, 9)}, 1, 1, 1, errOvertaken},
		"refused, then done":        {scripted{fails: []error{platform.ErrRefused}}, 2, 1, 0, nil},
		"answer lost, then written": {scripted{fails: []error{platform.ErrUnknown}}, 2, 2, 1, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store := &test.store
			f := &Finder{Log: zap.NewNop(), Store: store, Self: carrier.Peer{Node: "n", Started: 5}}
			var err error
			for range test.tries {
				err = f.enter()
			}
			assert.ErrorIs(t, err, test.err)
			assert.Equal(t, store.grants, test.grants)
			assert.Equal(t, store.gets, test.gets)
			if test.err == nil {
				assert.Equal(t, store.item.Lease, f.lease)
			}
		})
	}
}
