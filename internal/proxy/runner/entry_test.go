package runner

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/platform"
)

// oddEntries returns values that another writer may have left among the entries of nodes, by key.
func oddEntries(t *testing.T) map[string][]byte {
	t.Helper()
	encode := func(value any) []byte {
		encoded, err := cbor.Marshal(value)
		assert.NilError(t, err)
		return encoded
	}
	peer := func(node, address string, started any) []byte {
		return encode([]any{node, address, "z0", "first", started, 320})
	}
	nested := make([]byte, 1<<20)
	for i := range nested {
		nested[i] = 0x81 // array with one item
	}
	return map[string][]byte{
		"nested":        nested,
		"nested-json":   []byte(strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)),
		"json":          []byte(`{"service":"first","address":"127.0.0.1:99999999","slots":1e300}`),
		"empty":         {},
		"large-number":  peer("large-number", "127.0.0.1:9", uint64(math.MaxUint64)),
		"large-float":   peer("large-float", "127.0.0.1:9", 1e300),
		"port":          peer("port", "127.0.0.1:99999999", 1),
		"negative-port": peer("negative-port", "127.0.0.1:-1", 1),
		"no-port":       peer("no-port", "127.0.0.1", 1),
		"no-address":    peer("no-address", "", 1),
		"name":          peer("name", "host.example:80", 1),
		"long-text":     encode([]any{"long-text", "127.0.0.1:9", strings.Repeat("z", 1<<20), "first", 1, 320}),
		"announced":     {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // array of 2^63-1 items
	}
}

// TestOddEntries guards against an entry of another writer that ends the nodes that read it, or keeps them
// from reading the others: a node that starts later still joins.
func TestOddEntries(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "first", "second")
	for key, value := range oddEntries(t) {
		m.store.Put(platform.PrefixNodes+key, value)
	}
	for _, h := range m.hosts {
		h.waitForOK(t, "/a/x")
		h.restartNode(t)
	}
	for _, h := range m.hosts {
		h.waitForOK(t, "/a/x")
		h.waitForOK(t, "/b/x")
		assert.Equal(t, h.ready(), http.StatusOK)
	}
}

// TestInvalidPeers checks that no node is dialed or listed to others by properties that cannot be used.
func TestInvalidPeers(t *testing.T) {
	node := &Node{Log: zap.NewNop(), peers: make(map[string]*knownPeer)}
	for name, value := range oddEntries(t) {
		var peer carrier.Peer
		if err := cbor.Unmarshal(value, &peer); err == nil {
			assert.Assert(t, !node.addPeer(peer), name)
		}
	}
	assert.Equal(t, len(node.peers), 0)
	assert.Assert(t, node.addPeer(carrier.Peer{Node: "n", Address: "127.0.0.1:9", Started: time.Now().UnixNano()}))
}
