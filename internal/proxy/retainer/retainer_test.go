package retainer

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
	"clementinerock/platform/standin"
)

const address = "127.0.0.1:80"

var (
	runA = tracker.Run{ID: "a", Born: 1}
	runB = tracker.Run{ID: "b", Born: 2}
)

// process is a retainer of one process of the node.
type process struct {
	*Retainer
	loaded []tracker.Departure
}

// startProcess starts a retainer that uses the store at an address.
func startProcess(t *testing.T, storeAddress string) *process {
	t.Helper()
	client, closeClient := platform.NewStore(storeAddress)
	p := &process{}
	p.Retainer = &Retainer{Log: zap.NewNop(), Store: client, Address: address}
	p.OnLoad = func(departed []tracker.Departure) { p.loaded = departed }
	stop := p.Start()
	t.Cleanup(func() {
		stop()
		closeClient()
	})
	return p
}

// wait waits for a channel to be closed.
func wait(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(5 * time.Second):
		t.Fatal("not stored or loaded in time")
	}
}

func startStore(t *testing.T) (*standin.Store, string) {
	t.Helper()
	store := &standin.Store{}
	storeAddress, stop, err := store.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(stop)
	return store, storeAddress
}

// TestDeparturesOutliveProcess checks that a later process loads the departures, whatever happens to the
// calls that store them.
func TestDeparturesOutliveProcess(t *testing.T) {
	tests := map[string]standin.Faults{
		"no fault":                      {},
		"response lost":                 {LoseResponses: 1},
		"responses lost":                {LoseResponses: 3},
		"response lost, executed later": {LoseResponses: 1, LostWriteDelay: 300 * time.Millisecond},
		"slow store":                    {Delay: 240 * time.Millisecond},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			store, storeAddress := startStore(t)
			first := startProcess(t, storeAddress)
			wait(t, first.Loaded())
			assert.Equal(t, len(first.loaded), 0)
			store.SetFaults(faults)
			first.Save([]tracker.Departure{{Run: runA}})
			departed := []tracker.Departure{{Run: runA}, {Run: runB, Over: true}}
			wait(t, first.Save(departed))
			store.SetFaults(standin.Faults{})
			time.Sleep(faults.LostWriteDelay)
			second := startProcess(t, storeAddress)
			wait(t, second.Loaded())
			assert.DeepEqual(t, second.loaded, departed)
		})
	}
}

// TestSaveIsRepeated checks that a departure is not reported as stored while the store is unavailable,
// and is stored when it is available again.
func TestSaveIsRepeated(t *testing.T) {
	store, storeAddress := startStore(t)
	p := startProcess(t, storeAddress)
	wait(t, p.Loaded())
	store.SetFaults(standin.Faults{Refuse: true})
	departed := []tracker.Departure{{Run: runA}}
	stored := p.Save(departed)
	assert.Equal(t, p.Save(departed), stored)
	select {
	case <-stored:
		t.Fatal("stored although the store refuses all calls")
	case <-time.After(300 * time.Millisecond):
	}
	store.SetFaults(standin.Faults{})
	wait(t, stored)
	writes := store.Counts().Writes
	wait(t, p.Save(departed))
	assert.Equal(t, store.Counts().Writes, writes, "a stored departure is not written again")
}

// TestInvalidRecord checks that a record of another writer neither stops the process nor remains.
func TestInvalidRecord(t *testing.T) {
	tests := map[string][]byte{
		"no CBOR":      []byte("{}"),
		"empty":        {},
		"other type":   {0xa1, 0x61, 'x', 0x01},
		"large number": {0x81, 0xa2, 0x62, 'I', 'D', 0x61, 'a', 0x64, 'B', 'o', 'r', 'n', 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"deeply nested": func() []byte {
			value := make([]byte, 10_000)
			for i := range value {
				value[i] = 0x81
			}
			return value
		}(),
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			store, storeAddress := startStore(t)
			store.Put(platform.PrefixDepartures+address, value)
			first := startProcess(t, storeAddress)
			wait(t, first.Loaded())
			assert.Equal(t, len(first.loaded), 0)
			departed := []tracker.Departure{{Run: runA}}
			wait(t, first.Save(departed))
			second := startProcess(t, storeAddress)
			wait(t, second.Loaded())
			assert.DeepEqual(t, second.loaded, departed)
		})
	}
}
