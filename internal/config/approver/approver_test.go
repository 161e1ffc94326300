package approver

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"clementinerock/internal/check/seeder"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/store/keeper"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults("")
	os.Exit(m.Run())
}

func answers(service, contact string) parser.Questionnaire {
	return parser.Questionnaire{
		Service: service, Owner: "owner", Contact: contact, Zones: []string{"suva"}, Slots: 6,
		Operations: []parser.Operation{{
			Name: "show", Method: "GET", Path: "/" + service, Effect: parser.EffectLookup,
			Work: parser.WorkShort, Wait: parser.Duration{Duration: time.Second},
		}},
	}
}

func submit(t *testing.T, a *Approver, service, contact string) Proposal {
	t.Helper()
	p, err := a.Submit(context.Background(), []parser.Questionnaire{answers(service, contact)}, nil, "op", "")
	assert.NilError(t, err)
	return p
}

func TestSecondApprovalIsSuperseded(t *testing.T) {
	ctx := context.Background()
	a := &Approver{Store: &keeper.MemoryStore{}}
	first := submit(t, a, "slotboard", "day")
	second := submit(t, a, "pickupdesk", "night")
	won, err := a.Approve(ctx, first.ID, "ana")
	assert.NilError(t, err)
	assert.Equal(t, won.Verdict, Approved)
	lost, err := a.Approve(ctx, second.ID, "ben")
	assert.NilError(t, err)
	assert.Equal(t, lost.Verdict, Superseded)
	assert.Equal(t, lost.Head.Operation, first.ID)
	assert.Assert(t, strings.Contains(strings.Join(lost.Difference, "\n"), "service slotboard is added"))
	again, err := a.Approve(ctx, first.ID, "ana")
	assert.NilError(t, err)
	assert.DeepEqual(t, again, won)
}

func TestUndoCreatesNewVersion(t *testing.T) {
	ctx := context.Background()
	a := &Approver{Store: &keeper.MemoryStore{}}
	for _, contact := range []string{"first", "second"} {
		_, err := a.Approve(ctx, submit(t, a, "slotboard", contact).ID, "ana")
		assert.NilError(t, err)
	}
	undo, err := a.Undo(ctx, 1, "ana")
	assert.NilError(t, err)
	result, err := a.Approve(ctx, undo.ID, "ana")
	assert.NilError(t, err)
	assert.Equal(t, result.Head.Version, uint64(3))
	earlier, err := a.HeadAt(ctx, 1)
	assert.NilError(t, err)
	assert.Equal(t, result.Head.Root, earlier.Root)
}

func TestRejectedProposalCannotBeApproved(t *testing.T) {
	ctx := context.Background()
	a := &Approver{Store: &keeper.MemoryStore{}}
	p := submit(t, a, "slotboard", "day")
	assert.NilError(t, a.Reject(ctx, p.ID))
	_, err := a.Approve(ctx, p.ID, "ana")
	assert.ErrorContains(t, err, "was rejected")
}

func TestFaultySubmissionStoresNothing(t *testing.T) {
	cases := map[string]struct {
		change func(*parser.Questionnaire)
		want   string
	}{
		"unknown need": {func(q *parser.Questionnaire) { q.Needs = []string{"nowhere"} }, "needs service nowhere, which has no contract"},
		"path taken":   {func(q *parser.Questionnaire) { q.Operations[0].Path = "/slotboard" }, "already claimed by service"},
		"cycle":        {func(q *parser.Questionnaire) { q.Needs = []string{"slotboard"} }, "dependency cycle"},
		"too large":    {func(q *parser.Questionnaire) { q.Contact = strings.Repeat("x", keeper.MaxValueBytes) }, "value larger than 1 MiB"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			store := &keeper.MemoryStore{}
			a := &Approver{Store: store}
			base := answers("slotboard", "day")
			changed := answers("pickupdesk", "day")
			test.change(&changed)
			if name == "cycle" {
				base.Needs = []string{"pickupdesk"}
			}
			_, err := a.Submit(context.Background(), []parser.Questionnaire{base, changed}, nil, "op", "")
			assert.ErrorContains(t, err, test.want)
			entries, err := store.List(context.Background(), "")
			assert.NilError(t, err)
			assert.Equal(t, len(entries), 0)
		})
	}
}

func TestApproveFailsWhileStoreUnavailable(t *testing.T) {
	store := &keeper.MemoryStore{}
	a := &Approver{Store: store}
	p := submit(t, a, "slotboard", "day")
	store.SetFaults(keeper.Faults{Down: true})
	_, err := a.Approve(context.Background(), p.ID, "ana")
	assert.ErrorIs(t, err, keeper.ErrUnavailable)
	store.SetFaults(keeper.Faults{})
	result, err := a.Approve(context.Background(), p.ID, "ana")
	assert.NilError(t, err)
	assert.Equal(t, result.Head.Version, uint64(1))
}

// TestRandomRaces has several operators approve proposals concurrently on a store that loses
// responses to writes. Each version must come from exactly one proposal.
func TestRandomRaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &keeper.MemoryStore{}
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		rounds := rapid.IntRange(1, 6).Draw(rt, "rounds")
		won := make(map[uint64]string)
		superseded := make(map[string]bool)
		var mu sync.Mutex
		for round := range rounds {
			faults := keeper.Faults{LoseAnswers: rapid.IntRange(0, 6).Draw(rt, "lost")}
			a := &Approver{Store: store}
			var ids []string
			for o := range operators {
				q := answers(fmt.Sprintf("service-%d", o), fmt.Sprintf("round %d", round))
				p, err := a.Submit(context.Background(), []parser.Questionnaire{q}, nil, "op", "")
				assert.NilError(rt, err)
				ids = append(ids, p.ID)
			}
			store.SetFaults(faults)
			var group sync.WaitGroup
			for _, id := range ids {
				group.Go(func() {
					result, err := approveWithRetries(store, id)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err != nil:
						rt.Errorf("proposal %s: %v", id, err)
					case result.Verdict == Superseded:
						superseded[id] = true
					case won[result.Head.Version] != "":
						rt.Errorf("version %d has two winners", result.Head.Version)
					default:
						won[result.Head.Version] = id
					}
				})
			}
			group.Wait()
			store.SetFaults(keeper.Faults{})
		}
		checkHistory(rt, store, won, superseded, rounds)
	})
}

const maxApprovalAttempts = 50

// approveWithRetries approves again after an error, as an operator would.
func approveWithRetries(store *keeper.MemoryStore, id string) (Result, error) {
	a := &Approver{Store: store}
	var err error
	for range maxApprovalAttempts {
		var result Result
		result, err = a.Approve(context.Background(), id, "op")
		if err == nil {
			return result, nil
		}
	}
	return Result{}, err
}

func checkHistory(rt *rapid.T, store *keeper.MemoryStore, won map[uint64]string, superseded map[string]bool, rounds int) {
	a := &Approver{Store: store}
	history, err := a.History(context.Background())
	assert.NilError(rt, err)
	assert.Equal(rt, len(history), rounds)
	for i, head := range history {
		assert.Equal(rt, head.Version, uint64(i+1))
		assert.Equal(rt, won[head.Version], head.Operation)
		assert.Assert(rt, !superseded[head.Operation])
		_, err := a.Load(context.Background(), head.Root, indexer.Index{})
		assert.NilError(rt, err)
	}
}

func TestApproveResolvesLostResponse(t *testing.T) {
	store := &keeper.MemoryStore{}
	a := &Approver{Store: store}
	p := submit(t, a, "slotboard", "day")
	store.SetFaults(keeper.Faults{LoseAnswers: 100})
	result, err := a.Approve(context.Background(), p.ID, "ana")
	if errors.Is(err, keeper.ErrResponseLost) {
		result, err = a.Approve(context.Background(), p.ID, "ana")
	}
	assert.NilError(t, err)
	assert.Equal(t, result.Verdict, Approved)
	assert.Equal(t, result.Head.Version, uint64(1))
}
