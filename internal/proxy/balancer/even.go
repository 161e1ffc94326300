package balancer

import (
	"math"
	"time"
)

const (
	// drawsPerChoice is the number of random draws of which PickEven takes the best score. With more, callers
	// with the same reports choose the same targets again (docs/design/even-load.md).
	drawsPerChoice = 3

	freeSlotsPower = 2    // exponent of the free slots in a weight
	speedPower     = 3    // exponent of the speed in a weight; with 1, more requests run at slow targets while fast ones have room
	minFreeShare   = 0.01 // share of the slots that counts as free at a full target
	domainWeight   = 0.5  // factor on the weight of a target in another failure domain
	failurePower   = 8    // exponent of the ratio of successful calls in a weight
	suspectWeight  = 1e-6 // factor on the weight of a suspect node
)

// PickEven returns the index of a candidate, or -1 if there are none. It draws candidates at random, weighted
// by their expected free slots and their speed, and returns the one of them with the lowest score. random
// returns values in [0, 1).
//
// It is designed for many callers that choose with reports of the same age. The lowest score is then nearly
// the same for all of them until the next report, so that they fill one target after the other while others
// are idle. Random draws in proportion to the free slots spread the calls of one report interval as the
// slots are, without a further message.
func PickEven(candidates []Candidate, random func() float64) int {
	if len(candidates) == 0 {
		return -1
	}
	mean := meanServiceTime(candidates)
	sum := 0.0
	for i := range candidates {
		candidates[i].weight = candidates[i].evenWeight(mean)
		sum += candidates[i].weight
	}
	best, bestScore := -1, math.Inf(1)
	for range drawsPerChoice {
		i := draw(candidates, random()*sum)
		if score := Score(&candidates[i], mean, random()); score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// draw returns the index of the candidate at a point of the line on which each takes its weight.
func draw(candidates []Candidate, point float64) int {
	for i := range candidates {
		if point -= candidates[i].weight; point < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// evenWeight returns the weight with which PickEven draws the candidate.
func (c *Candidate) evenWeight(meanServiceTime time.Duration) float64 {
	slots := float64(max(c.Slots, 1))
	free := max(slots-c.expectedBusy(), minFreeShare*slots)
	speed := float64(meanServiceTime) / float64(c.serviceTime()+c.SendDelay)
	weight := math.Pow(free, freeSlotsPower) * math.Pow(speed, speedPower)
	weight *= math.Pow(1-min(max(c.Failing, 0), 1), failurePower)
	if !c.SameDomain {
		weight *= domainWeight
	}
	if c.Suspect {
		weight *= suspectWeight
	}
	return weight
}
