// Package indexer stores the contracts of one version as a content-addressed prefix tree. The
// root hash depends only on the contracts.
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
	// MaxLeafBytes is the size above which a leaf page with several contracts is split.
	MaxLeafBytes      = 64 << 10
	fanOut            = 16
	itemOverheadBytes = 8 // estimated encoding overhead of an item
)

// ErrMismatch is returned when data does not have the expected hash.
var ErrMismatch = merry.Sentinel("contents do not match the root hash")

// Hash is a SHA-256 hash, usually that of a page.
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

// Delta is the set of changes that turns one index into another.
type Delta struct {
	Set     []Item   `cbor:"1,keyasint,omitempty"`
	Removed []string `cbor:"2,keyasint,omitempty"`
}

// Size returns the total length in bytes of the names and data in the delta.
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
	entries []entry // sorted by path, then name
}

type entry struct {
	path Hash // hash of the name, which determines the position in the tree
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

// Items returns all contracts, sorted by name.
func (x Index) Items() []Item {
	items := make([]Item, 0, len(x.entries))
	for i := range x.entries {
		items = append(items, Item{Name: x.entries[i].name, Data: x.entries[i].data})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

// Apply returns the index that results from applying delta to x.
func (x Index) Apply(delta Delta) Index {
	changed := make(map[string]*entry, len(delta.Set)+len(delta.Removed))
	for _, name := range delta.Removed {
		changed[name] = nil
	}
	added := make([]entry, 0, len(delta.Set))
	for _, item := range delta.Set {
		added = append(added, entry{path: Sum([]byte(item.Name)), name: item.Name, data: item.Data})
	}
	for i := range added {
		changed[added[i].name] = &added[i]
	}
	entries := make([]entry, 0, len(x.entries)+len(added))
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
		next.root = buildPage(entries, 0, MaxLeafBytes, nil)
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

// Chunk is an encoded page and its hash.
type Chunk struct {
	Hash Hash
	Data []byte
}

// Chunks returns every page of the index.
func (x Index) Chunks() []Chunk { return x.chunks(MaxLeafBytes) }

func (x Index) chunks(leafBytes int) []Chunk {
	var chunks []Chunk
	if len(x.entries) > 0 {
		buildPage(x.entries, 0, leafBytes, func(c Chunk) { chunks = append(chunks, c) })
	}
	return chunks
}

// MissingChunks returns the chunks of target that x does not have.
func (x Index) MissingChunks(target Index) []Chunk {
	existing := make(map[Hash]bool)
	for _, chunk := range x.Chunks() {
		existing[chunk.Hash] = true
	}
	var missing []Chunk
	for _, chunk := range target.Chunks() {
		if !existing[chunk.Hash] {
			missing = append(missing, chunk)
			existing[chunk.Hash] = true
		}
	}
	return missing
}

// page is a node of the tree. It holds either contracts, if it is a leaf, or the hashes of its
// children.
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

// buildPage returns the hash of the page that holds entries and calls emit, if not nil, for that
// page and every page below it. If the entries are larger than leafBytes together, it distributes
// them over child pages by the next hexadecimal digit of their path.
func buildPage(entries []entry, depth, leafBytes int, emit func(Chunk)) Hash {
	var p page
	if len(entries) == 1 || encodedSize(entries) <= leafBytes {
		for i := range entries {
			p.Leaf = append(p.Leaf, Item{Name: entries[i].name, Data: entries[i].data})
		}
	} else {
		p.Children = buildChildren(entries, depth, leafBytes, emit)
	}
	data, err := encMode.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: the page holds only plain data
	}
	hash := Sum(data)
	if emit != nil {
		emit(Chunk{hash, data})
	}
	return hash
}

// encodedSize estimates the encoded size of a leaf page with the given entries.
func encodedSize(entries []entry) int {
	total := 0
	for i := range entries {
		total += len(entries[i].name) + len(entries[i].data) + itemOverheadBytes
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
		hash := buildPage(entries[start:end], depth+1, leafBytes, emit)
		children = append(children, child{Nibble: digit, Hash: hash})
		start = end
	}
	return children
}

// nibble returns the hexadecimal digit of path at position depth.
func nibble(path Hash, depth int) byte {
	b := path[depth/2]
	if depth%2 == 0 {
		return b >> 4
	}
	return b & 0xf
}

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return merry.Errorf("hash has %d hexadecimal digits, want %d", len(text), 2*len(h))
	}
	_, err := hex.Decode(h[:], text)
	return err
}
