package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// noJitter is the random value with which Score adds no jitter.
func noJitter() float64 { return 0.5 }

const serviceTime = 60 * time.Millisecond

func TestPick(t *testing.T) {
	free := Candidate{SameDomain: true, Slots: 6, Busy: 2, Mean: serviceTime}
	tests := map[string]struct {
		other      Candidate
		freePicked bool // whether free is picked, not other
	}{
		"other failure domain":              {Candidate{Slots: 6, Busy: 2, Mean: serviceTime}, true},
		"other failure domain, much faster": {Candidate{Slots: 6, Busy: 2, Mean: serviceTime / 8}, false},
		"full":                              {Candidate{SameDomain: true, Slots: 6, Busy: 6, Mean: serviceTime, ReportedWait: serviceTime}, true},
		"faster":                            {Candidate{SameDomain: true, Slots: 6, Busy: 2, Mean: serviceTime / 2}, false},
		"fewer calls":                       {Candidate{SameDomain: true, Slots: 6, Mean: serviceTime}, false},
		"failing":                           {Candidate{SameDomain: true, Slots: 6, Mean: serviceTime, Failing: 0.5}, true},
		"cold":                              {Candidate{SameDomain: true, Slots: 6, Mean: serviceTime, ColdRemaining: time.Second}, true},
		"many open calls of this node":      {Candidate{SameDomain: true, Slots: 6, Mean: serviceTime, Open: 7}, true},
		"busy link, large response":         {Candidate{SameDomain: true, Slots: 6, Mean: serviceTime, SendDelay: serviceTime}, true},
		"suspect node":                      {Candidate{SameDomain: true, Slots: 6, Mean: serviceTime, Suspect: true}, true},
		"old report of other nodes' calls":  {Candidate{SameDomain: true, Slots: 6, Busy: 12, ReportedWait: serviceTime, Mean: serviceTime / 2, ReportAge: 3 * time.Second}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			picked := Pick([]Candidate{test.other, free}, noJitter)
			assert.Equal(t, picked == 1, test.freePicked)
		})
	}
	assert.Equal(t, Pick(nil, noJitter), -1)
}

// TestBurstIsSpreadBetweenReports sends a burst that ends before the next report. The calls must not
// all go to the target with the best report.
func TestBurstIsSpreadBetweenReports(t *testing.T) {
	candidates := make([]Candidate, 5)
	for i := range candidates {
		candidates[i] = Candidate{SameDomain: true, Slots: 6, Mean: serviceTime, Busy: i}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 30 {
		candidates[Pick(candidates, random.Float64)].Open++
	}
	for i := range candidates {
		assert.Assert(t, candidates[i].Open >= 3 && candidates[i].Open <= 9,
			"target %d: %d calls open", i, candidates[i].Open)
	}
}

// TestFullCandidate checks that a report of a full target counts only while it is recent.
func TestFullCandidate(t *testing.T) {
	full := Candidate{Slots: 6, Busy: 20, Mean: serviceTime, ReportedWait: 200 * time.Millisecond}
	assert.Assert(t, full.WouldRefuse(50*time.Millisecond))
	assert.Assert(t, full.ReportedFull())
	full.ReportAge = 2 * time.Second
	assert.Assert(t, !full.WouldRefuse(50*time.Millisecond))
	assert.Assert(t, !full.ReportedFull())
}
