package evaluator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Verdict is the result of a comparison.
type Verdict int

// Verdicts on a new version.
const (
	Undecided Verdict = iota
	Good
	Bad
)

// Decision is a verdict with the evidence that led to it.
type Decision struct {
	Verdict    Verdict
	Reason     string
	AtEnd      bool    // whether the verdict had to be given because the time is over
	Score      float64 // highest score of a fault, see badScore
	Test       string  // test that has this score
	Class      int     // class of routes that has it; Classes for all routes together
	Answers    int     // answers of the new version
	BadAnswers int     // bad ones among these
	Targets    int     // targets of the new version that have answered

	suspect bool // whether a score is above suspectFailures or suspectSlowness
}

// A score is the logarithm of a likelihood ratio: how much more likely the answers since some moment are if the new
// version has a fault than if it has none. The moment with the highest score counts (CUSUM, Page 1954), so that a
// fault that begins late is found as soon as one that was there from the start. If the new version is no worse than
// the tolerances below allow, the answers after a given moment ever reach a score s with a probability of at most
// exp(-s) (Wald 1945).
const (
	badScore       = 8.0 // score of a bad version: at most 3.4e-4 for each moment, class and test
	promotingScore = 9.0 // the same once all requests go to the new version and earlier answers are compared
	goodScore      = 2.0 // highest score of a version that counts as good early

	// Scores above which a version does not count as good when the time is over. Slower hosts of the new version
	// look like a slower version, so more is required there.
	suspectFailures = 1.8
	suspectSlowness = 5.0

	// Factor of a decision of a single node: it does not see the answers of all targets, and many nodes decide.
	ownFactor = 1.25

	// maxGain is the most that the score of one target may grow with one report, so that a short stall of a
	// target, which delays many answers at once, proves little.
	maxGain = 5.0

	// droppedShare is the share of the targets whose scores are ignored, those with the highest ones: a few
	// targets may be faulty whatever their version. One target is ignored at least if there are several.
	droppedShare = 0.15

	// A fault may begin at one of the last maxMoments moments, which are momentInterval apart.
	momentInterval = 500 * time.Millisecond
	maxMoments     = 32
)

// Tolerances and faults between which the tests distinguish.
const (
	failureTolerance = 0.03 // additional share of bad answers that counts as noise
	failureFault     = 0.25 // additional share of bad answers beyond the tolerance that a fault has
	maxReference     = 0.35 // highest share of bad answers of the old version with which others are compared

	slowTolerance = 0.75 // as a base 2 logarithm: 1.7 times slower counts as noise, such as slower hosts
	slowFault     = 2.25 // 4.8 times slower is a fault; halfway between, 2.8 times, the score stays as it is
	minVariance   = 0.75 // least variance of the logarithms, for differences between hosts
	maxVariance   = 3.0
)

const (
	maxReportAge      = time.Second // age of the last report of a target from which on it counts as not serving
	minReferenceTimes = 10          // number of service times of the old version from which on others are compared
	minGoodAnswers    = 100         // number of answers of a version that counts as good early
	minClassAnswers   = 20          // the same for a class of routes that has minClassShare of the old version's answers
	minClassShare     = 0.05
	recentHalfLife    = 2.0  // seconds; half-life of the recent answers of the old version
	cumulativeZ       = 2.0  // standard errors of the bound of the old version's share of bad answers
	recentZ           = 1.0  // the same for the recent answers
	minRecent         = 10.0 // weight of recent answers from which on their share is used
	logUnits          = float64(logScale)
)

// sums holds counts of one class of routes.
type sums struct{ good, bad, timed, logSum, logSquares float64 }

func (s *sums) add(c *Count) {
	s.good += float64(c.Good)
	s.bad += float64(c.Bad)
	s.timed += float64(c.Timed)
	s.logSum += float64(c.LogSum) / logUnits
	s.logSquares += float64(c.LogSquares) / (logUnits * logUnits)
}

func (s *sums) scale(factor float64) {
	s.good *= factor
	s.bad *= factor
	s.timed *= factor
	s.logSum *= factor
	s.logSquares *= factor
}

// Tests of a new version.
const (
	failures = iota
	slowness
	tests
)

var (
	testNames     = [tests]string{"failures", "slowness"}
	suspectScores = [tests]float64{suspectFailures, suspectSlowness}
)

// scores holds a score for each test and class, and for all classes together.
type scores [tests][Classes + 1]float32

// target is what is known of one target.
type target struct {
	name     string
	fresh    bool // whether it has the new version
	serving  bool
	observed time.Time // time of the last report
	based    bool      // whether last holds the counts with which the comparison began
	last     [Classes]Count
	sum      scores   // of all answers
	past     []scores // sum at each of the moments
	answers  int
	bad      int
}

// Evaluator compares the versions of one rollout. The zero value has seen nothing. It is not safe for concurrent use.
type Evaluator struct {
	targets    map[string]*target
	cumulative [Classes + 1]sums // answers of the old version
	recent     [Classes + 1]sums // recent ones, weighted by their age
	decayed    time.Time         // time to which the weights apply
	answers    [Classes]int      // answers of the new version by class
	moments    int               // number of moments at which a fault may have begun
	moment     time.Time         // the last one
	latest     time.Time         // time of the last report of any target
}

// Observe adds what the node of a target has counted until now. fresh is true for a target of the new version. Of an
// old target only the answers after the first report count.
func (e *Evaluator) Observe(name string, fresh, serving bool, counts []Count, now time.Time) {
	if e.targets == nil {
		e.targets = make(map[string]*target)
	}
	e.addMoment(now)
	t, ok := e.targets[name]
	if !ok || t.fresh != fresh {
		t = &target{name: name, fresh: fresh}
		e.targets[name] = t
		t.past = make([]scores, e.moments)
	}
	t.serving, t.observed = serving, now
	e.latest = now
	if !fresh && !t.based {
		t.store(counts)
		t.based = len(counts) > 0
		return
	}
	if fresh {
		e.addNew(t, counts)
		return
	}
	e.decay(now)
	for i := range counts {
		if delta, ok := t.delta(&counts[i]); ok {
			for _, class := range []int{int(delta.Class), Classes} {
				e.cumulative[class].add(&delta)
				e.recent[class].add(&delta)
			}
			t.last[delta.Class] = counts[i]
		}
	}
}

// addMoment records the scores if the next moment has come.
func (e *Evaluator) addMoment(now time.Time) {
	if e.moments > 0 && now.Sub(e.moment) < momentInterval {
		return
	}
	e.moment = now
	e.moments = min(e.moments+1, maxMoments)
	for _, t := range e.targets {
		t.past = append(t.past, t.sum)
		t.past = t.past[len(t.past)-e.moments:]
	}
}

// store makes counts the base of later ones.
func (t *target) store(counts []Count) {
	for i := range counts {
		if counts[i].Class < Classes {
			t.last[counts[i].Class] = counts[i]
		}
	}
}

// delta returns what was counted since the last report. Counts that are lower than before come from a process
// that has started since. It reports false if nothing was counted or the report is invalid.
func (t *target) delta(c *Count) (Count, bool) {
	if c.Class >= Classes || min(c.Good, c.Bad, c.Timed) < 0 {
		return Count{}, false
	}
	last := t.last[c.Class]
	if c.Good < last.Good || c.Bad < last.Bad || c.Timed < last.Timed {
		last = Count{}
	}
	delta := Count{
		Class: c.Class, Good: c.Good - last.Good, Bad: c.Bad - last.Bad, Timed: c.Timed - last.Timed,
		LogSum: c.LogSum - last.LogSum, LogSquares: c.LogSquares - last.LogSquares,
	}
	return delta, delta.Good+delta.Bad > 0
}

// decay reduces the weights of the recent answers by the time that has passed.
func (e *Evaluator) decay(now time.Time) {
	if !e.decayed.IsZero() {
		factor := math.Exp2(-now.Sub(e.decayed).Seconds() / recentHalfLife)
		for class := range e.recent {
			e.recent[class].scale(factor)
		}
	}
	e.decayed = now
}

// addNew adds the answers of a target of the new version to its scores.
func (e *Evaluator) addNew(t *target, counts []Count) {
	total := Count{Class: Classes}
	slow := 0.0
	for i := range counts {
		delta, ok := t.delta(&counts[i])
		if !ok {
			continue
		}
		t.last[delta.Class] = counts[i]
		t.answers += delta.Good + delta.Bad
		t.bad += delta.Bad
		e.answers[delta.Class] += delta.Good + delta.Bad
		t.add(failures, int(delta.Class), e.failureGain(&delta))
		gain := e.slownessGain(&delta)
		t.add(slowness, int(delta.Class), gain)
		slow += gain
		total.Good += delta.Good
		total.Bad += delta.Bad
	}
	if total.Good+total.Bad > 0 {
		t.add(failures, Classes, e.failureGain(&total))
		t.add(slowness, Classes, slow)
	}
}

func (t *target) add(test, class int, gain float64) {
	t.sum[test][class] += float32(min(gain, maxGain))
}

// failureGain returns the score that the bad ones among some answers give.
func (e *Evaluator) failureGain(delta *Count) float64 {
	usual := e.badShare(int(delta.Class)) + failureTolerance
	fault := usual + failureFault
	return float64(delta.Bad)*math.Log(fault/usual) + float64(delta.Good)*math.Log((1-fault)/(1-usual))
}

// slownessGain returns the score that the service times of some answers of one class give.
func (e *Evaluator) slownessGain(delta *Count) float64 {
	reference := e.reference(int(delta.Class))
	if delta.Timed == 0 || reference.timed < minReferenceTimes {
		return 0
	}
	mean := reference.logSum / reference.timed
	variance := min(max(reference.logSquares/reference.timed-mean*mean, minVariance), maxVariance)
	excess := float64(delta.LogSum)/logUnits - float64(delta.Timed)*(mean+(slowTolerance+slowFault)/2)
	return (slowFault - slowTolerance) / variance * excess
}

// reference returns the service times of the old version with which others are compared: recent ones, so that a
// slow dependency that both versions call is no fault of the new one.
func (e *Evaluator) reference(class int) *sums {
	if e.recent[class].timed >= minRecent {
		return &e.recent[class]
	}
	return &e.cumulative[class]
}

// badShare returns an upper bound of the share of bad answers of the old version.
func (e *Evaluator) badShare(class int) float64 {
	share := upperBound(&e.cumulative[class], cumulativeZ)
	if recent := &e.recent[class]; recent.good+recent.bad >= minRecent {
		share = max(share, upperBound(recent, recentZ))
	}
	return min(share, maxReference)
}

// upperBound returns the upper end of the Wilson interval of the share of bad answers.
func upperBound(s *sums, z float64) float64 {
	n := s.good + s.bad
	if n < 1 {
		return 1
	}
	share := s.bad / n
	return (share + z*z/(2*n) + z*math.Sqrt(share*(1-share)/n+z*z/(4*n*n))) / (1 + z*z/n)
}

// Timing is the progress of a rollout.
type Timing struct {
	Elapsed, Remaining time.Duration
	Reserve            time.Duration // time before the deadline that completing takes
	Partial            bool          // whether this node sees less than half of the targets that it saw before
	Promoting          bool          // whether all requests already go to the new version
	Own                bool          // whether this node decides by itself, not as one of the few that read the store
}

// limit returns the score of a bad version.
func (t *Timing) limit() float64 {
	limit := badScore
	if t.Promoting {
		limit = promotingScore
	}
	if t.Own {
		limit *= ownFactor
	}
	return limit
}

// Decide returns the decision on the new version.
func (e *Evaluator) Decide(timing Timing) Decision {
	serving := 0
	for _, t := range e.targets {
		if t.fresh && t.serving && e.latest.Sub(t.observed) < maxReportAge {
			serving++
		}
	}
	d := e.worst(serving)
	switch {
	case d.Score >= timing.limit():
		d.Verdict, d.Reason = Bad, "worse than the old version"
	case timing.Promoting || timing.Own:
		d.Reason = "nothing bad seen"
	case timing.Remaining <= timing.Reserve:
		d.AtEnd = true
		d.decideAtEnd(serving)
	case !timing.Partial && timing.Elapsed >= timing.Remaining && serving > 0 && e.enough(d.Answers) && d.Score < goodScore:
		d.Verdict, d.Reason = Good, "no difference seen"
	default:
		d.Reason = "too few answers"
	}
	return d
}

// decideAtEnd sets the verdict when there is no time left for further answers.
func (d *Decision) decideAtEnd(serving int) {
	switch {
	case serving == 0:
		d.Verdict, d.Reason = Bad, "no target of the version serves"
	case d.suspect:
		d.Verdict, d.Reason = Bad, "probably worse than the old version, no time left"
	default:
		d.Verdict, d.Reason = Good, "nothing bad seen, no time left"
	}
}

// enough reports whether the new version has given enough answers of each class that the old one answers often.
func (e *Evaluator) enough(answers int) bool {
	total := &e.cumulative[Classes]
	for class := range Classes {
		old := &e.cumulative[class]
		if old.good+old.bad >= minClassShare*(total.good+total.bad) && e.answers[class] < minClassAnswers {
			return false
		}
	}
	return answers >= minGoodAnswers
}

// worst returns the highest score of all tests, classes and moments, and the answers of the new version.
func (e *Evaluator) worst(serving int) Decision {
	var d Decision
	var fresh []*target
	for _, t := range e.targets {
		if t.fresh && t.answers > 0 {
			fresh = append(fresh, t)
			d.Answers += t.answers
			d.BadAnswers += t.bad
		}
	}
	d.Targets = len(fresh)
	slices.SortFunc(fresh, func(a, b *target) int { return cmp.Compare(a.name, b.name) }) // so that sums do not vary
	gains := make([]float32, 0, len(fresh))
	for test := range tests {
		for class := range Classes + 1 {
			for moment := range e.moments {
				gains = gains[:0]
				for _, t := range fresh {
					if gain := t.sum[test][class] - t.past[moment][test][class]; gain != 0 {
						gains = append(gains, gain)
					}
				}
				score := combined(gains, serving)
				d.suspect = d.suspect || score >= suspectScores[test]
				if score > d.Score {
					d.Score, d.Test, d.Class = score, testNames[test], class
				}
			}
		}
	}
	return d
}

// combined returns the score of all targets together, without the highest ones. serving is the number of targets of
// the new version that serve.
func combined(gains []float32, serving int) float64 {
	total, positive := float32(0), false
	for _, gain := range gains {
		total += gain
		positive = positive || gain > 0
	}
	if !positive {
		return 0
	}
	if max(len(gains), serving) == 1 {
		return float64(total)
	}
	dropped := max(int(math.Round(droppedShare*float64(len(gains)))), 1)
	slices.SortFunc(gains, func(a, b float32) int { return cmp.Compare(b, a) })
	for _, gain := range gains[:dropped] {
		total -= max(gain, 0)
	}
	return float64(max(total, 0))
}

// String returns the evidence as a short text.
func (d *Decision) String() string {
	return fmt.Sprintf("%s: score %.1f (%s, class %d), %d of %d answers bad, %d targets",
		d.Reason, d.Score, d.Test, d.Class, d.BadAnswers, d.Answers, d.Targets)
}
