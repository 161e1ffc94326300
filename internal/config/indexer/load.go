package indexer

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// Load reads the index of root with get, which returns the chunk of a hash.
// Chunks that base already has are not read again. It returns ErrMismatch if a
// chunk is not what its hash says.
func Load(root Hash, base Index, get func(Hash) ([]byte, error)) (Index, error) {
	if root.IsZero() {
		return Index{}, nil
	}
	loader := loader{get: get, have: make(map[Hash][]byte)}
	for _, chunk := range base.Chunks() {
		loader.have[chunk.Hash] = chunk.Data
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
	get   func(Hash) ([]byte, error)
	have  map[Hash][]byte
	items []Item
}

func (l *loader) chunk(hash Hash) ([]byte, error) {
	if data, ok := l.have[hash]; ok {
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

func (l *loader) page(hash Hash, depth int) error {
	if depth > 2*len(hash) {
		return ErrMismatch
	}
	data, err := l.chunk(hash)
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
