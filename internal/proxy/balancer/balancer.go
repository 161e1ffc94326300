// Package balancer chooses the target of a call from the reports of the targets' nodes and from the
// calls that this node has open with them. A report is the state that a node announces about its
// target (carrier.State), not a heartbeat of the target. The package keeps no state and performs no
// I/O.
package balancer

import (
	"math"
	"time"
)

// Candidate is the state of one target as stored at this node. All fields but SameDomain, Suspect
// and Open depend on the last report.
type Candidate struct {
	SameDomain    bool          // whether the target is in this node's failure domain
	Slots         int           // number of calls that the target runs at the same time
	Busy          int           // number of calls that hold or wait for a slot
	Mean          time.Duration // mean service time: the time for which a call holds its slot
	ReportedWait  time.Duration // expected wait of a call of the same priority; 0 while a slot is free
	Failing       float64       // ratio of recent calls that the target shed or failed
	ColdRemaining time.Duration // time for which the target is still slow after its start
	ReportAge     time.Duration // time since the last report arrived
	Suspect       bool          // whether the target's node does not answer pings
	Open          int           // number of calls that this node has open with the target now
	OpenAtReport  int           // number of calls that this node had open when the last report arrived
	Usual         Usual         // load that earlier reports showed
	SendDelay     time.Duration // time to send a large response to this node; 0 for calls without one

	weight float64 // share of the draws of PickEven
}

const (
	initialServiceTime = 50 * time.Millisecond // service time assumed before the first measurement
	coldSlowdown       = 2.0                   // factor on the service time of a cold target

	// reportHalfLife is the half-life of the weight that a report gives to calls of other nodes.
	reportHalfLife = 300 * time.Millisecond

	// refusalMargin is the factor by which an expected wait must exceed the max wait before the
	// candidate is skipped.
	refusalMargin = 1.3

	usualWeight = 0.2 // weight of one report in the usual load

	// fullReportMaxAge is the age up to which a report that no slot is free is trusted, so that
	// no call is sent only to ask for a free slot.
	fullReportMaxAge = 100 * time.Millisecond
)

// Costs that are added to a score, in mean service times of the service unless stated otherwise,
// and the jitter of the score.
const (
	crossDomainCost = 1.2    // call to another failure domain
	failureCost     = 3.0    // shed or failed call, times the ratio of such calls
	suspectCost     = 1000.0 // suspect node; ranks its target behind others
	occupancyCost   = 1.0    // full target compared with an empty one, in its own service times
	staleJitter     = 1.0    // random share of a service time for a report that is old
	jitter          = 0.15   // random share of a score, so that nodes with equal reports differ
)

// ExpectedWait returns the expected wait of a new call at the candidate. Calls that this node has
// opened since the last report count in full. What the report says of other nodes' calls gives way to
// the usual load as the report ages.
func (c *Candidate) ExpectedWait() time.Duration {
	weight := c.reportWeight()
	openSince := max(c.Open-c.OpenAtReport, 0)
	slots := float64(max(c.Slots, 1))
	excess := max(c.expectedBusy()+1-slots, 0)
	if c.ReportedWait > 0 {
		excess = float64(openSince)
	}
	wait := weight*float64(c.ReportedWait) + (1-weight)*float64(c.Usual.Wait)
	return time.Duration(wait + excess/slots*float64(c.serviceTime()))
}

// reportWeight returns the weight of the last report compared with the usual load, in [0, 1].
func (c *Candidate) reportWeight() float64 {
	return math.Exp2(-c.ReportAge.Seconds() / reportHalfLife.Seconds())
}

// expectedBusy returns the expected number of calls that hold or wait for a slot of the candidate.
func (c *Candidate) expectedBusy() float64 {
	weight := c.reportWeight()
	others := weight*float64(max(c.Busy-c.OpenAtReport, 0)) + (1-weight)*max(c.Usual.Busy-float64(c.Open), 0)
	return others + float64(max(c.Open, c.OpenAtReport))
}

// serviceTime returns the expected service time of a call at the candidate.
func (c *Candidate) serviceTime() time.Duration {
	serviceTime := c.Mean
	if serviceTime == 0 {
		serviceTime = initialServiceTime
	}
	if c.ColdRemaining > 0 {
		serviceTime = time.Duration(coldSlowdown * float64(serviceTime))
	}
	return serviceTime
}

// Score returns the expected time to an answer from the candidate in seconds, plus the costs of
// leaving the failure domain, of failures, of a suspect node, of occupancy and of an old report.
// meanServiceTime is the mean service time of the service; random lies in [0, 1).
//
// It is designed for five load patterns. Targets differ in speed, so that equal shares would
// overload the slow ones. Bursts are shorter than the age of the reports, so that calls that this node
// has opened since the report must count in full. Hosts become unresponsive while the last report of
// their node still says that slots are free. Large responses fill the links of hosts whose slots are
// free. Where many callers share many targets, each caller's reports are old; if they then all preferred
// the same fast targets, most of their calls would find these full.
func Score(c *Candidate, meanServiceTime time.Duration, random float64) float64 {
	serviceTime := c.serviceTime().Seconds()
	score := c.ExpectedWait().Seconds() + serviceTime + c.SendDelay.Seconds()
	if !c.SameDomain {
		score += crossDomainCost * meanServiceTime.Seconds()
	}
	score += failureCost * c.Failing * meanServiceTime.Seconds()
	if c.Suspect {
		score += suspectCost * meanServiceTime.Seconds()
	}
	occupancy := c.expectedBusy() / float64(max(c.Slots, 1))
	score += occupancyCost * serviceTime * min(occupancy, 1)
	score += staleJitter * (1 - c.reportWeight()) * random * meanServiceTime.Seconds()
	return score * (1 + jitter*(random-0.5))
}

// WouldRefuse reports whether the candidate is almost certain to refuse a call, so that sending it
// would only cost bandwidth. maxWait is the longest expected wait with which targets queue the call.
func (c *Candidate) WouldRefuse(maxWait time.Duration) bool {
	return c.ReportedWait > 0 && c.ExpectedWait() > time.Duration(refusalMargin*float64(maxWait))
}

// ReportedFull reports whether the candidate's last report is recent and says that no slot is free.
func (c *Candidate) ReportedFull() bool { return c.ReportedWait > 0 && c.ReportAge < fullReportMaxAge }

// Pick returns the index of the candidate with the lowest score, or -1 if there are no candidates.
// random returns values in [0, 1).
func Pick(candidates []Candidate, random func() float64) int {
	mean := meanServiceTime(candidates)
	best, bestScore := -1, math.Inf(1)
	for i := range candidates {
		score := Score(&candidates[i], mean, random())
		if score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// meanServiceTime returns the mean service time of the candidates' service, or 0 if there are none.
func meanServiceTime(candidates []Candidate) time.Duration {
	if len(candidates) == 0 {
		return 0
	}
	var total time.Duration
	for i := range candidates {
		total += max(candidates[i].Mean, time.Millisecond)
	}
	return total / time.Duration(len(candidates))
}

// Rating holds the values by which Pick and PickEven compare a candidate with others.
type Rating struct {
	Score  float64 // mean of the scores that Pick draws, in seconds; the lowest is chosen
	Weight float64 // weight of the candidate in the draws of PickEven
}

// Rate returns the ratings of candidates among one another.
func Rate(candidates []Candidate) []Rating {
	mean := meanServiceTime(candidates)
	ratings := make([]Rating, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		ratings[i] = Rating{Score: Score(c, mean, 0.5), Weight: c.evenWeight(mean)}
	}
	return ratings
}

// Usual is the load that a target's reports usually show.
type Usual struct {
	Busy float64       // mean number of calls that hold or wait for a slot
	Wait time.Duration // mean expected wait of a call; 0 counts while a slot is free
}

// Add adds a report.
func (u *Usual) Add(busy int, wait time.Duration) {
	u.Busy += usualWeight * (float64(busy) - u.Busy)
	u.Wait += time.Duration(usualWeight * float64(wait-u.Wait))
}
