// Package approver turns proposals into versions. A version is committed by a single
// compare-and-swap of the head in the platform's store.
package approver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/store/keeper"
)

// HeadKey is the store key under which the head of the current version is kept.
const HeadKey = "head"

const (
	historyPrefix    = "history/"
	chunkPrefix      = "chunks/"
	proposalPrefix   = "proposals/"
	maxWriteAttempts = 5 // attempts at a write whose response is lost
)

// Store is the part of the platform's store that the approver uses.
type Store interface {
	Get(ctx context.Context, key string) (keeper.Entry, error)
	List(ctx context.Context, prefix string) ([]keeper.Entry, error)
	Swap(ctx context.Context, key string, revision uint64, value []byte) (keeper.Entry, error)
}

// Head identifies an approved version: its number, the root hash of its index and who approved
// it. Version numbers only increase.
type Head struct {
	Version        uint64       `cbor:"1,keyasint" json:"version"`
	Root           indexer.Hash `cbor:"2,keyasint" json:"root"`
	Operation      string       `cbor:"3,keyasint,omitempty" json:"operation"` // ID of its proposal
	Author         string       `cbor:"4,keyasint,omitempty" json:"author"`
	ApprovedUnixMs int64        `cbor:"5,keyasint,omitempty" json:"approvedUnixMs"`
}

// DecodeHead reads a head from its stored form.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(data, &head); err != nil {
		return head, merry.Prepend(err, "decode head")
	}
	return head, nil
}

// Approver reads and writes versions and proposals.
type Approver struct {
	Store Store
	Now   func() time.Time // defaults to time.Now
}

func (a *Approver) now() time.Time {
	if a.Now != nil {
		return a.Now()
	}
	return time.Now()
}

// Head returns the head of the current version and its store revision. Before the first
// approval both are zero.
func (a *Approver) Head(ctx context.Context) (Head, uint64, error) {
	entry, err := a.Store.Get(ctx, HeadKey)
	if errors.Is(err, keeper.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, merry.Prepend(err, "read head")
	}
	head, err := DecodeHead(entry.Value)
	return head, entry.Revision, err
}

// HeadAt returns the head of a version older than the current one.
func (a *Approver) HeadAt(ctx context.Context, version uint64) (Head, error) {
	entry, err := a.Store.Get(ctx, historyKey(version))
	if err != nil {
		return Head{}, merry.Prependf(err, "read version %d", version)
	}
	return DecodeHead(entry.Value)
}

// Load reads the index with the given root hash. Chunks that base already has are not read
// from the store.
func (a *Approver) Load(ctx context.Context, root indexer.Hash, base indexer.Index) (indexer.Index, error) {
	return indexer.Load(root, base, func(hash indexer.Hash) ([]byte, error) {
		entry, err := a.Store.Get(ctx, chunkPrefix+hash.String())
		return entry.Value, err
	})
}

// Contracts decodes every contract of an index.
func Contracts(index indexer.Index) ([]compiler.Contract, error) {
	items := index.Items()
	contracts := make([]compiler.Contract, 0, len(items))
	for _, item := range items {
		contract, err := compiler.Decode(item.Data)
		if err != nil {
			return nil, merry.Prepend(err, item.Name)
		}
		if contract.Service != item.Name {
			return nil, compiler.ValidationError{Service: item.Name, Problem: "its contract names service " + contract.Service}
		}
		contracts = append(contracts, contract)
	}
	return contracts, nil
}

func (a *Approver) writeChunks(ctx context.Context, chunks []indexer.Chunk) error {
	for _, chunk := range chunks {
		if err := a.writeOnce(ctx, chunkPrefix+chunk.Hash.String(), chunk.Data); err != nil {
			return merry.Prepend(err, "write chunk")
		}
	}
	return nil
}

// writeOnce writes a key whose value never changes. A revision conflict means that the value is
// already stored, so it counts as success.
func (a *Approver) writeOnce(ctx context.Context, key string, value []byte) error {
	var err error
	for range maxWriteAttempts {
		_, err = a.Store.Swap(ctx, key, 0, value)
		if err == nil || errors.Is(err, keeper.ErrConflict) {
			return nil
		}
		if !errors.Is(err, keeper.ErrResponseLost) {
			return err
		}
	}
	return err
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }

// History returns every approved version, oldest first.
func (a *Approver) History(ctx context.Context) ([]Head, error) {
	entries, err := a.Store.List(ctx, historyPrefix)
	if err != nil {
		return nil, merry.Prepend(err, "read history")
	}
	var heads []Head
	for _, entry := range entries {
		head, err := DecodeHead(entry.Value)
		if err != nil {
			return nil, err
		}
		heads = append(heads, head)
	}
	head, _, err := a.Head(ctx)
	if err != nil || head.Version == 0 {
		return heads, err
	}
	if len(heads) == 0 || heads[len(heads)-1].Version < head.Version {
		heads = append(heads, head)
	}
	return heads, nil
}
