// Package balancer chooses the target of a call from what targets' nodes reported and what
// this node has open with them. It is pure.
package balancer

import (
	"math"
	"time"
)

// Candidate is one target as this node sees it.
type Candidate struct {
	Near     bool // in this node's failure domain
	Slots    int
	Busy     int           // calls in slots or waiting, when reported
	Mean     time.Duration // time in a slot
	Failing  float64       // share of recent calls that the target shed or failed
	Cold     time.Duration // for which the target remains slow
	Age      time.Duration // of the report
	Open     int           // calls that this node has open there
	OpenThen int           // of them, when reported
}

const (
	startMean    = 50 * time.Millisecond  // time in a slot before any was measured
	reportHalf   = 300 * time.Millisecond // in which the others' share of a report loses half its weight
	farShare     = 0.6                    // of a mean time in a slot that a call to another failure domain must gain
	coldFactor   = 2.0                    // by which a cold target is slower
	failurePrice = 3.0                    // mean times in a slot that a failed call costs
	jitter       = 0.15                   // of the score, so that nodes with the same reports differ
)

// Score returns the time until an answer that a call to the candidate is expected to take,
// with what a hop between failure domains and failures cost added. typical is the
// service's mean time in a slot; draw lies in [0, 1).
//
// It answers two load patterns: targets of different speed, where an even share would
// overload the slow ones; and bursts shorter than the reports' age, where the calls that
// this node itself has open since the report count in full.
func Score(c *Candidate, typical time.Duration, draw float64) float64 {
	mean := c.Mean
	if mean == 0 {
		mean = startMean
	}
	if c.Cold > 0 {
		mean = time.Duration(coldFactor * float64(mean))
	}
	others := max(float64(c.Busy-c.OpenThen), 0)
	others *= math.Exp2(-c.Age.Seconds() / reportHalf.Seconds())
	busy := others + float64(c.Open)
	wait := max(busy+1-float64(c.Slots), 0) / float64(max(c.Slots, 1)) * mean.Seconds()
	score := wait + mean.Seconds()
	if !c.Near {
		score += farShare * typical.Seconds()
	}
	score += failurePrice * c.Failing * typical.Seconds()
	// Among free targets the emptier one goes first.
	score += 0.3 * mean.Seconds() * busy / float64(max(c.Slots, 1))
	return score * (1 + jitter*(draw-0.5))
}

// Pick returns the index of the candidate with the lowest score, or -1 if there is none.
func Pick(candidates []Candidate, draw func() float64) int {
	var total time.Duration
	for i := range candidates {
		total += max(candidates[i].Mean, time.Millisecond)
	}
	best, bestScore := -1, math.Inf(1)
	for i := range candidates {
		score := Score(&candidates[i], total/time.Duration(len(candidates)), draw())
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
