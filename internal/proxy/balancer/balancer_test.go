package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func half() float64 { return 0.5 }

const mean = 60 * time.Millisecond

func TestPick(t *testing.T) {
	free := Candidate{SameDomain: true, Slots: 6, Busy: 2, Mean: mean}
	tests := map[string]struct {
		other Candidate
		first bool // whether the free one is taken
	}{
		"near before far":               {Candidate{Slots: 6, Busy: 2, Mean: mean}, true},
		"far and much faster":           {Candidate{Slots: 6, Busy: 2, Mean: mean / 8}, false},
		"full":                          {Candidate{SameDomain: true, Slots: 6, Busy: 6, Mean: mean, ReportedWait: mean}, true},
		"faster":                        {Candidate{SameDomain: true, Slots: 6, Busy: 2, Mean: mean / 2}, false},
		"emptier":                       {Candidate{SameDomain: true, Slots: 6, Mean: mean}, false},
		"failing":                       {Candidate{SameDomain: true, Slots: 6, Mean: mean, Failing: 0.5}, true},
		"cold":                          {Candidate{SameDomain: true, Slots: 6, Mean: mean, Cold: time.Second}, true},
		"has many of this node's":       {Candidate{SameDomain: true, Slots: 6, Mean: mean, Open: 7}, true},
		"beside a silent node":          {Candidate{SameDomain: true, Slots: 6, Mean: mean, Suspect: true}, true},
		"an old report of others' work": {Candidate{SameDomain: true, Slots: 6, Busy: 12, ReportedWait: mean, Mean: mean / 2, ReportAge: 3 * time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			picked := Pick([]Candidate{test.other, free}, half)
			assert.Equal(t, picked == 1, test.first)
		})
	}
	assert.Equal(t, Pick(nil, half), -1)
}

// TestBurst replays a burst that is shorter than the reports' age: no report comes, and the
// calls must not all go to the target that looked best.
func TestBurst(t *testing.T) {
	candidates := make([]Candidate, 5)
	for i := range candidates {
		candidates[i] = Candidate{SameDomain: true, Slots: 6, Mean: mean, Busy: i}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 30 {
		candidates[Pick(candidates, random.Float64)].Open++
	}
	for i := range candidates {
		assert.Assert(t, candidates[i].Open >= 3 && candidates[i].Open <= 9, "%d: %d", i, candidates[i].Open)
	}
}

func TestHopeless(t *testing.T) {
	full := Candidate{Slots: 6, Busy: 20, Mean: mean, ReportedWait: 200 * time.Millisecond}
	assert.Assert(t, full.WouldRefuse(50*time.Millisecond))
	assert.Assert(t, full.ReportedFull())
	full.ReportAge = 2 * time.Second
	assert.Assert(t, !full.WouldRefuse(50*time.Millisecond))
	assert.Assert(t, !full.ReportedFull())
}
