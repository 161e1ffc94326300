package approver

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/config/indexer"
	"clementinerock/internal/store/keeper"
)

// Verdict says how an approval ended.
type Verdict int

// Verdicts of an approval.
const (
	Approved   Verdict = iota + 1 // the proposal is a version
	Superseded                    // another approval came first
)

// Result is the outcome of an approval.
type Result struct {
	Verdict    Verdict
	Head       Head     // the version made, or the one that came first
	Difference []string // if superseded: what the winner changed
}

// Approve commits a proposal as the next version. Approving again after a lost
// answer returns the first outcome.
func (a *Approver) Approve(ctx context.Context, id, author string) (Result, error) {
	proposal, revision, err := a.Proposal(ctx, id)
	if err != nil {
		return Result{}, err
	}
	if proposal.State == StateRejected {
		return Result{}, merry.Errorf("proposal %s was rejected", id)
	}
	head, headRevision, err := a.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	if head.Version > proposal.Base {
		return a.settled(ctx, &proposal, head)
	}
	before, after, err := a.result(ctx, head, &proposal)
	if err != nil {
		return Result{}, err
	}
	if proposal.State == StateOpen {
		if err := a.mark(ctx, &proposal, revision, StateApproving); err != nil {
			return Result{}, err
		}
	}
	if err := a.writeChunks(ctx, before.MissingChunks(after)); err != nil {
		return Result{}, err
	}
	if err := a.recordPast(ctx, head); err != nil {
		return Result{}, err
	}
	next := Head{
		Version:        head.Version + 1,
		Root:           after.Root(),
		Operation:      proposal.ID,
		Author:         author,
		ApprovedUnixMs: a.now().UnixMilli(),
	}
	return a.commit(ctx, &proposal, headRevision, next)
}

// commit swaps the head. A lost answer is resolved by reading, never by writing
// blind again: the swap repeats only while the head's revision is unchanged.
func (a *Approver) commit(ctx context.Context, proposal *Proposal, revision uint64, next Head) (Result, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Result{}, merry.Prepend(err, "encode head")
	}
	for range lostTries {
		_, err = a.Store.Swap(ctx, HeadKey, revision, data)
		if err == nil {
			return Result{Verdict: Approved, Head: next}, nil
		}
		if !errors.Is(err, keeper.ErrConflict) && !errors.Is(err, keeper.ErrResponseLost) {
			return Result{}, merry.Prepend(err, "write head; approve again to learn the outcome")
		}
		head, current, readErr := a.Head(ctx)
		if readErr != nil {
			return Result{}, merry.Prepend(readErr, "outcome unknown; approve again to learn it")
		}
		if current != revision {
			return a.settled(ctx, proposal, head)
		}
	}
	return Result{}, merry.Prepend(err, "write head")
}

// settled says which approval followed the proposal's base version.
func (a *Approver) settled(ctx context.Context, proposal *Proposal, head Head) (Result, error) {
	winner := head
	if head.Version > proposal.Base+1 {
		past, err := a.HeadAt(ctx, proposal.Base+1)
		if err != nil {
			return Result{}, err
		}
		winner = past
	}
	if winner.Operation == proposal.ID {
		return Result{Verdict: Approved, Head: winner}, nil
	}
	lines, err := a.changes(ctx, proposal.Base, winner)
	if err != nil {
		return Result{}, err
	}
	return Result{Verdict: Superseded, Head: winner, Difference: lines}, nil
}

func (a *Approver) changes(ctx context.Context, base uint64, winner Head) ([]string, error) {
	var before indexer.Index
	if base > 0 {
		past, err := a.HeadAt(ctx, base)
		if err != nil {
			return nil, err
		}
		before, err = a.Load(ctx, past.Root, indexer.Index{})
		if err != nil {
			return nil, err
		}
	}
	after, err := a.Load(ctx, winner.Root, before)
	if err != nil {
		return nil, err
	}
	return difference(before, after)
}

// recordPast keeps the head that is about to be replaced, so that every version
// below the head can be looked up.
func (a *Approver) recordPast(ctx context.Context, head Head) error {
	if head.Version == 0 {
		return nil
	}
	data, err := json.Marshal(head)
	if err != nil {
		return merry.Prepend(err, "encode head")
	}
	return merry.Prepend(a.create(ctx, historyKey(head.Version), data), "record past version")
}
