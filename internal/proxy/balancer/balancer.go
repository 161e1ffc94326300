// Package balancer chooses the target of a call from what targets' nodes reported and what
// this node has open with them. It is pure.
package balancer

import (
	"math"
	"time"
)

// Candidate is one target as this node sees it.
type Candidate struct {
	SameDomain   bool // in this node's failure domain
	Slots        int
	Busy         int           // calls in slots or waiting, when reported
	Mean         time.Duration // time in a slot
	ReportedWait time.Duration // that a call of the same priority was expected to wait, when reported
	Failing      float64       // share of recent calls that the target shed or failed
	Cold         time.Duration // for which the target remains slow
	ReportAge    time.Duration // of the report
	Suspect      bool          // its node does not answer
	Open         int           // calls that this node has open there
	OpenAtReport int           // of them, when reported
}

const (
	startMean     = 50 * time.Millisecond  // time in a slot before any was measured
	reportHalf    = 300 * time.Millisecond // in which the others' share of a report loses half its weight
	farShare      = 1.2                    // of a mean time in a slot that a call to another failure domain must gain
	coldFactor    = 2.0                    // by which a cold target is slower
	failurePrice  = 3.0                    // mean times in a slot that a failed call costs
	occupiedShare = 0.3                    // of a mean time in a slot by which a full target ranks behind an empty one
	suspectPrice  = 1000.0                 // mean times in a slot that a target beside a silent node ranks behind others
	jitter        = 0.15                   // of the score, so that nodes with the same reports differ
)

// ExpectedWait returns how long a call is likely to wait at the candidate. The calls that this
// node has sent since the report are added to it; what others had there loses weight with
// the report's age.
func (c *Candidate) ExpectedWait() time.Duration {
	fade := math.Exp2(-c.ReportAge.Seconds() / reportHalf.Seconds())
	since := max(c.Open-c.OpenAtReport, 0)
	others := fade * float64(max(c.Busy-c.OpenAtReport, 0))
	then := others + float64(c.OpenAtReport)
	slots := float64(max(c.Slots, 1))
	beyond := max(then+float64(since)+1-slots, 0)
	if c.ReportedWait > 0 {
		beyond = float64(since)
	}
	return time.Duration(fade*float64(c.ReportedWait) + beyond/slots*float64(c.mean()))
}

func (c *Candidate) mean() time.Duration {
	mean := c.Mean
	if mean == 0 {
		mean = startMean
	}
	if c.Cold > 0 {
		mean = time.Duration(coldFactor * float64(mean))
	}
	return mean
}

// Score returns the time until an answer that a call to the candidate is expected to take,
// with what a hop between failure domains and failures cost added. typical is the
// service's mean time in a slot; draw lies in [0, 1).
//
// It answers three load patterns: targets of different speed, where an even share would
// overload the slow ones; bursts shorter than the reports' age, where the calls that this
// node itself has open since the report count in full; and hosts that fall silent, whose
// last report says that they are free.
func Score(c *Candidate, typical time.Duration, draw float64) float64 {
	mean := c.mean().Seconds()
	score := c.ExpectedWait().Seconds() + mean
	if !c.SameDomain {
		score += farShare * typical.Seconds()
	}
	score += failurePrice * c.Failing * typical.Seconds()
	if c.Suspect {
		score += suspectPrice * typical.Seconds()
	}
	occupied := float64(max(c.Busy, c.Open)) / float64(max(c.Slots, 1))
	score += occupiedShare * mean * min(occupied, 1)
	return score * (1 + jitter*(draw-0.5))
}

// hopelessFactor is how far beyond the longest wait that a target lets in a candidate's
// expected wait must be to be left out.
const hopelessFactor = 1.3

// WouldRefuse reports whether the candidate is so far beyond the longest wait that it lets in
// that asking it would only move bytes.
func (c *Candidate) WouldRefuse(longest time.Duration) bool {
	return c.ReportedWait > 0 && c.ExpectedWait() > time.Duration(hopelessFactor*float64(longest))
}

// freshReport is the age up to which a report that a target is full is believed without
// asking.
const freshReport = 100 * time.Millisecond

// ReportedFull reports whether the candidate has just said that it has no free slot.
func (c *Candidate) ReportedFull() bool { return c.ReportedWait > 0 && c.ReportAge < freshReport }

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
