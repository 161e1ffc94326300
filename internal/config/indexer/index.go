// Package indexer keeps the contracts of one version as a content-addressed
// prefix tree. Its root hash depends only on the contracts.
package indexer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxLeafBytes is the size beyond which a leaf page is split.
	MaxLeafBytes = 64 << 10
	fanOut       = 16
	itemBytes    = 8 // encoding of an item beyond its name and data
)

// ErrMismatch is returned when contents don't have the announced root.
var ErrMismatch = merry.Sentinel("contents do not match the root hash")

// Hash is the SHA-256 of a page.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first eight hexadecimal digits.
func (h Hash) Short() string { return hex.EncodeToString(h[:4]) }

// IsZero reports whether the hash is unset.
func (h Hash) IsZero() bool { return h == Hash{} }

// Sum returns the hash of data.
func Sum(data []byte) Hash { return sha256.Sum256(data) }

// Item is the encoded contract of one service.
type Item struct {
	Name string `cbor:"1,keyasint"`
	Data []byte `cbor:"2,keyasint"`
}

// Delta is what turns one index into another.
type Delta struct {
	Set     []Item   `cbor:"1,keyasint,omitempty"`
	Removed []string `cbor:"2,keyasint,omitempty"`
}

// Size returns the size of the delta's payload.
func (d Delta) Size() int {
	total := 0
	for _, item := range d.Set {
		total += len(item.Name) + len(item.Data)
	}
	for _, name := range d.Removed {
		total += len(name)
	}
	return total
}

// Index is an immutable set of contracts. The zero value is empty.
type Index struct {
	root    Hash
	entries []entry // by path, then name
}

type entry struct {
	path Hash // hash of the name; gives the place in the tree
	name string
	data []byte
}

func (e *entry) before(other *entry) bool {
	if c := bytes.Compare(e.path[:], other.path[:]); c != 0 {
		return c < 0
	}
	return e.name < other.name
}

// New returns the index of the given items.
func New(items []Item) Index {
	return Index{}.Apply(Delta{Set: items})
}

// Root returns the root hash; an empty index has the zero hash.
func (x Index) Root() Hash { return x.root }

// Len returns the number of contracts.
func (x Index) Len() int { return len(x.entries) }

// Items returns all contracts, by name.
func (x Index) Items() []Item {
	items := make([]Item, 0, len(x.entries))
	for i := range x.entries {
		items = append(items, Item{Name: x.entries[i].name, Data: x.entries[i].data})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

// Apply returns the index after a delta.
func (x Index) Apply(delta Delta) Index {
	changed := make(map[string]*entry, len(delta.Set)+len(delta.Removed))
	for _, name := range delta.Removed {
		changed[name] = nil
	}
	fresh := make([]entry, 0, len(delta.Set))
	for _, item := range delta.Set {
		fresh = append(fresh, entry{path: Sum([]byte(item.Name)), name: item.Name, data: item.Data})
	}
	for i := range fresh {
		changed[fresh[i].name] = &fresh[i]
	}
	entries := make([]entry, 0, len(x.entries)+len(fresh))
	for i := range x.entries {
		if _, ok := changed[x.entries[i].name]; !ok {
			entries = append(entries, x.entries[i])
		}
	}
	for _, e := range changed {
		if e != nil {
			entries = append(entries, *e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].before(&entries[j]) })
	next := Index{entries: entries}
	if len(entries) > 0 {
		next.root = build(entries, 0, MaxLeafBytes, nil)
	}
	return next
}

// Diff returns the delta that turns x into target.
func (x Index) Diff(target Index) Delta {
	var delta Delta
	i, j := 0, 0
	for i < len(x.entries) || j < len(target.entries) {
		switch {
		case j == len(target.entries) || (i < len(x.entries) && x.entries[i].before(&target.entries[j])):
			delta.Removed = append(delta.Removed, x.entries[i].name)
			i++
		case i == len(x.entries) || target.entries[j].before(&x.entries[i]):
			delta.Set = append(delta.Set, Item{Name: target.entries[j].name, Data: target.entries[j].data})
			j++
		default:
			if !bytes.Equal(x.entries[i].data, target.entries[j].data) {
				delta.Set = append(delta.Set, Item{Name: target.entries[j].name, Data: target.entries[j].data})
			}
			i++
			j++
		}
	}
	sort.Slice(delta.Set, func(a, b int) bool { return delta.Set[a].Name < delta.Set[b].Name })
	sort.Strings(delta.Removed)
	return delta
}

// Chunk is a page under its hash.
type Chunk struct {
	Hash Hash
	Data []byte
}

// Chunks returns every page of the index.
func (x Index) Chunks() []Chunk { return x.chunks(MaxLeafBytes) }

func (x Index) chunks(leafBytes int) []Chunk {
	var chunks []Chunk
	if len(x.entries) > 0 {
		build(x.entries, 0, leafBytes, func(c Chunk) { chunks = append(chunks, c) })
	}
	return chunks
}

// MissingChunks returns the chunks of target that x does not have.
func (x Index) MissingChunks(target Index) []Chunk {
	have := make(map[Hash]bool)
	for _, chunk := range x.Chunks() {
		have[chunk.Hash] = true
	}
	var fresh []Chunk
	for _, chunk := range target.Chunks() {
		if !have[chunk.Hash] {
			fresh = append(fresh, chunk)
			have[chunk.Hash] = true
		}
	}
	return fresh
}

// page is a node of the tree: either a leaf with its contracts, or the hashes of
// its children.
type page struct {
	Leaf     []Item  `cbor:"1,keyasint,omitempty"`
	Children []child `cbor:"2,keyasint,omitempty"`
}

type child struct {
	_      struct{} `cbor:",toarray"`
	Nibble byte
	Hash   Hash
}

var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// build returns the hash of the page over entries. A page splits by the next digit
// of the path when its contracts are larger than leafBytes.
func build(entries []entry, depth, leafBytes int, emit func(Chunk)) Hash {
	var p page
	if len(entries) == 1 || size(entries) <= leafBytes {
		for i := range entries {
			p.Leaf = append(p.Leaf, Item{Name: entries[i].name, Data: entries[i].data})
		}
	} else {
		p.Children = buildChildren(entries, depth, leafBytes, emit)
	}
	data, err := encMode.Marshal(p)
	if err != nil {
		panic(err) // plain data always encodes
	}
	hash := Sum(data)
	if emit != nil {
		emit(Chunk{hash, data})
	}
	return hash
}

func size(entries []entry) int {
	total := 0
	for i := range entries {
		total += len(entries[i].name) + len(entries[i].data) + itemBytes
	}
	return total
}

func buildChildren(entries []entry, depth, leafBytes int, emit func(Chunk)) []child {
	children := make([]child, 0, fanOut)
	for start := 0; start < len(entries); {
		digit := nibble(entries[start].path, depth)
		end := start + 1
		for end < len(entries) && nibble(entries[end].path, depth) == digit {
			end++
		}
		hash := build(entries[start:end], depth+1, leafBytes, emit)
		children = append(children, child{Nibble: digit, Hash: hash})
		start = end
	}
	return children
}

func nibble(path Hash, depth int) byte {
	b := path[depth/2]
	if depth%2 == 0 {
		return b >> 4
	}
	return b & 0xf
}

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return merry.Errorf("hash has %d digits, not %d", len(text), 2*len(h))
	}
	_, err := hex.Decode(h[:], text)
	return err
}
