package approver

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/config/indexer"
	"clementinerock/internal/store/keeper"
)

// Verdict is the outcome of an approval.
type Verdict int

// Verdicts of an approval.
const (
	Approved   Verdict = iota + 1 // the proposal became a version
	Superseded                    // another proposal based on the same version was approved first
)

// Result describes the outcome of an approval.
type Result struct {
	Verdict    Verdict
	Head       Head     // the new version, or the one that superseded the proposal
	Difference []string // changes made by the superseding version, one line each
}

// Approve commits a proposal as the next version. It is idempotent: if the response to an
// earlier approval was lost, approving again returns the outcome of that approval.
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
		return a.resolveOutcome(ctx, &proposal, head)
	}
	before, after, err := a.applyProposal(ctx, head, &proposal)
	if err != nil {
		return Result{}, err
	}
	if proposal.State == StateOpen {
		if err := a.setState(ctx, &proposal, revision, StateApproving); err != nil {
			return Result{}, err
		}
	}
	if err := a.writeChunks(ctx, before.MissingChunks(after)); err != nil {
		return Result{}, err
	}
	if err := a.recordHead(ctx, head); err != nil {
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

// commit replaces the head by compare-and-swap. If the store's response is lost or the head has
// changed, it reads the head to find out which approval took effect. It never writes again
// without this check: the swap is repeated only while the head's revision is unchanged.
func (a *Approver) commit(ctx context.Context, proposal *Proposal, revision uint64, next Head) (Result, error) {
	data, err := json.Marshal(next)
	if err != nil {
		return Result{}, merry.Prepend(err, "encode head")
	}
	for range maxWriteAttempts {
		_, err = a.Store.Swap(ctx, HeadKey, revision, data)
		if err == nil {
			return Result{Verdict: Approved, Head: next}, nil
		}
		if !errors.Is(err, keeper.ErrConflict) && !errors.Is(err, keeper.ErrResponseLost) {
			return Result{}, merry.Prepend(err, "write head; approve again to look up the outcome")
		}
		head, current, readErr := a.Head(ctx)
		if readErr != nil {
			return Result{}, merry.Prepend(readErr, "approval outcome unknown; approve again to look it up")
		}
		if current != revision {
			return a.resolveOutcome(ctx, proposal, head)
		}
	}
	return Result{}, merry.Prepend(err, "write head")
}

// resolveOutcome compares the proposal with the version that followed its base version:
// either the proposal became that version, or that version superseded it.
func (a *Approver) resolveOutcome(ctx context.Context, proposal *Proposal, head Head) (Result, error) {
	winner := head
	if head.Version > proposal.Base+1 {
		earlier, err := a.HeadAt(ctx, proposal.Base+1)
		if err != nil {
			return Result{}, err
		}
		winner = earlier
	}
	if winner.Operation == proposal.ID {
		return Result{Verdict: Approved, Head: winner}, nil
	}
	lines, err := a.describeChanges(ctx, proposal.Base, winner)
	if err != nil {
		return Result{}, err
	}
	return Result{Verdict: Superseded, Head: winner, Difference: lines}, nil
}

// describeChanges returns what the version of winner changed in the version base.
func (a *Approver) describeChanges(ctx context.Context, base uint64, winner Head) ([]string, error) {
	var before indexer.Index
	if base > 0 {
		earlier, err := a.HeadAt(ctx, base)
		if err != nil {
			return nil, err
		}
		before, err = a.Load(ctx, earlier.Root, indexer.Index{})
		if err != nil {
			return nil, err
		}
	}
	after, err := a.Load(ctx, winner.Root, before)
	if err != nil {
		return nil, err
	}
	return describeDifference(before, after)
}

// recordHead stores the head in the history before it is replaced, so that every version
// older than the current one can be read.
func (a *Approver) recordHead(ctx context.Context, head Head) error {
	if head.Version == 0 {
		return nil
	}
	data, err := json.Marshal(head)
	if err != nil {
		return merry.Prepend(err, "encode head")
	}
	return merry.Prepend(a.writeOnce(ctx, historyKey(head.Version), data), "record past version")
}
