package indexer

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// Load reads the index with the given root hash. It calls get to fetch a chunk by its hash,
// except for chunks that base already has. It returns ErrMismatch if the data of a chunk does
// not have the requested hash.
func Load(root Hash, base Index, get func(Hash) ([]byte, error)) (Index, error) {
	if root.IsZero() {
		return Index{}, nil
	}
	loader := loader{get: get, cached: make(map[Hash][]byte)}
	for _, chunk := range base.Chunks() {
		loader.cached[chunk.Hash] = chunk.Data
	}
	if err := loader.page(root, 0); err != nil {
		return Index{}, err
	}
	index := New(loader.items)
	if index.Root() != root {
		return Index{}, ErrMismatch
	}
	return index, nil
}

type loader struct {
	get    func(Hash) ([]byte, error)
	cached map[Hash][]byte // chunks of the base index
	items  []Item
}

// readChunk returns the data of a chunk after checking its hash.
func (l *loader) readChunk(hash Hash) ([]byte, error) {
	if data, ok := l.cached[hash]; ok {
		return data, nil
	}
	data, err := l.get(hash)
	if err != nil {
		return nil, err
	}
	if Sum(data) != hash {
		return nil, merry.Wrap(ErrMismatch, merry.AppendMessage(hash.Short()))
	}
	return data, nil
}

// page reads a page and the pages below it, and collects their items.
func (l *loader) page(hash Hash, depth int) error {
	if depth > 2*len(hash) {
		return ErrMismatch
	}
	data, err := l.readChunk(hash)
	if err != nil {
		return err
	}
	var p page
	if err := cbor.Unmarshal(data, &p); err != nil {
		return merry.Prepend(err, "decode page")
	}
	l.items = append(l.items, p.Leaf...)
	for _, child := range p.Children {
		if err := l.page(child.Hash, depth+1); err != nil {
			return err
		}
	}
	return nil
}
