package approver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/store/keeper"
)

// State is the state of a proposal.
type State string

// States of a proposal.
const (
	StateOpen      State = "open"
	StateApproving State = "approving"
	StateRejected  State = "rejected"
)

const proposalIDBytes = 6

// Proposal is a validated change to the configuration that can be approved or rejected.
type Proposal struct {
	ID     string              `json:"id"`
	Base   uint64              `json:"base"` // version that the change is based on
	Author string              `json:"author"`
	Note   string              `json:"note"`
	State  State               `json:"state"`
	Set    []compiler.Contract `json:"set"`
	Remove []string            `json:"remove"`
}

// NewID returns a random proposal ID.
func NewID() string {
	raw := make([]byte, proposalIDBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	return hex.EncodeToString(raw)
}

func (p *Proposal) delta() indexer.Delta {
	delta := indexer.Delta{Removed: p.Remove}
	for i := range p.Set {
		delta.Set = append(delta.Set, indexer.Item{Name: p.Set[i].Service, Data: p.Set[i].Encode()})
	}
	return delta
}

// Submit compiles the questionnaires, validates the result of applying them to the current
// version, and stores them as a proposal. If validation fails, nothing is stored.
func (a *Approver) Submit(ctx context.Context, questionnaires []parser.Questionnaire, remove []string, author, note string) (Proposal, error) {
	proposal := Proposal{ID: NewID(), Author: author, Note: note, State: StateOpen, Remove: remove}
	for i := range questionnaires {
		proposal.Set = append(proposal.Set, compiler.Compile(&questionnaires[i]))
	}
	return a.checkAndStore(ctx, proposal)
}

// Undo stores a proposal that restores the contracts of an earlier version.
func (a *Approver) Undo(ctx context.Context, version uint64, author string) (Proposal, error) {
	earlier, err := a.HeadAt(ctx, version)
	if err != nil {
		return Proposal{}, err
	}
	head, _, err := a.Head(ctx)
	if err != nil {
		return Proposal{}, err
	}
	current, err := a.Load(ctx, head.Root, indexer.Index{})
	if err != nil {
		return Proposal{}, err
	}
	target, err := a.Load(ctx, earlier.Root, current)
	if err != nil {
		return Proposal{}, err
	}
	delta := current.Diff(target)
	proposal := Proposal{ID: NewID(), Author: author, State: StateOpen, Remove: delta.Removed}
	proposal.Note = fmt.Sprintf("back to the answers of version %d", version)
	for _, item := range delta.Set {
		contract, err := compiler.Decode(item.Data)
		if err != nil {
			return Proposal{}, err
		}
		proposal.Set = append(proposal.Set, contract)
	}
	return a.checkAndStore(ctx, proposal)
}

func (a *Approver) checkAndStore(ctx context.Context, proposal Proposal) (Proposal, error) {
	head, _, err := a.Head(ctx)
	if err != nil {
		return proposal, err
	}
	proposal.Base = head.Version
	if _, _, err := a.applyProposal(ctx, head, &proposal); err != nil {
		return proposal, err
	}
	data, err := json.Marshal(proposal)
	if err != nil {
		return proposal, merry.Prepend(err, "encode proposal")
	}
	if err := a.writeOnce(ctx, proposalPrefix+proposal.ID, data); err != nil {
		return proposal, merry.Prepend(err, "store proposal")
	}
	return proposal, nil
}

// applyProposal returns the index of head and that index with the proposal applied, after
// validating the latter as a whole.
func (a *Approver) applyProposal(ctx context.Context, head Head, proposal *Proposal) (before, after indexer.Index, err error) {
	before, err = a.Load(ctx, head.Root, indexer.Index{})
	if err != nil {
		return before, after, merry.Prependf(err, "load version %d", head.Version)
	}
	after = before.Apply(proposal.delta())
	contracts, err := Contracts(after)
	if err != nil {
		return before, after, err
	}
	if errs := compiler.Check(contracts); len(errs) > 0 {
		return before, after, errors.Join(errs...)
	}
	return before, after, nil
}

// Proposal returns a stored proposal and its store revision.
func (a *Approver) Proposal(ctx context.Context, id string) (Proposal, uint64, error) {
	entry, err := a.Store.Get(ctx, proposalPrefix+id)
	if err != nil {
		return Proposal{}, 0, merry.Prependf(err, "read proposal %s", id)
	}
	var proposal Proposal
	if err := json.Unmarshal(entry.Value, &proposal); err != nil {
		return proposal, 0, merry.Prependf(err, "decode proposal %s", id)
	}
	return proposal, entry.Revision, nil
}

// Plan returns one line of text for each change that approving the proposal now would make.
func (a *Approver) Plan(ctx context.Context, id string) ([]string, error) {
	proposal, _, err := a.Proposal(ctx, id)
	if err != nil {
		return nil, err
	}
	head, _, err := a.Head(ctx)
	if err != nil {
		return nil, err
	}
	before, after, err := a.applyProposal(ctx, head, &proposal)
	if err != nil {
		return nil, err
	}
	return describeDifference(before, after)
}

func describeDifference(before, after indexer.Index) ([]string, error) {
	old, err := Contracts(before)
	if err != nil {
		return nil, err
	}
	updated, err := Contracts(after)
	if err != nil {
		return nil, err
	}
	return compiler.Difference(old, updated), nil
}

// Reject marks an open proposal as rejected, which rules out its approval.
func (a *Approver) Reject(ctx context.Context, id string) error {
	proposal, revision, err := a.Proposal(ctx, id)
	if err != nil {
		return err
	}
	if proposal.State == StateRejected {
		return nil
	}
	if proposal.State != StateOpen {
		return merry.Errorf("proposal %s is %s and can't be rejected", id, proposal.State)
	}
	return a.setState(ctx, &proposal, revision, StateRejected)
}

// setState stores a new state of the proposal. If the store's response is lost or the revision
// has changed, it reads the proposal and succeeds if that already has the new state.
func (a *Approver) setState(ctx context.Context, proposal *Proposal, revision uint64, state State) error {
	proposal.State = state
	data, err := json.Marshal(proposal)
	if err != nil {
		return merry.Prepend(err, "encode proposal")
	}
	_, err = a.Store.Swap(ctx, proposalPrefix+proposal.ID, revision, data)
	if !errors.Is(err, keeper.ErrResponseLost) && !errors.Is(err, keeper.ErrConflict) {
		return err
	}
	stored, _, readErr := a.Proposal(ctx, proposal.ID)
	if readErr != nil {
		return readErr
	}
	if stored.State != state {
		return merry.Errorf("proposal %s is now %s", proposal.ID, stored.State)
	}
	return nil
}
