// Package admitter decides which calls a target takes, which wait beside it and which are
// turned away. It holds no clock and does no input or output.
package admitter

import (
	"time"
)

// Job is one call that asks for a slot.
type Job struct {
	Class

	Arrived      time.Time                // at this node
	Deadline     time.Time                // after which nobody waits for the answer
	SoftDeadline time.Time                // until which an answer earns full credit
	Start        func()                   // called once the job has a slot
	Refuse       func(wait time.Duration) // called if a waiting job is turned away

	LatencyObjective time.Duration // latency within which the route's answers earn full credit

	rank     int
	state    jobState
	expected time.Duration // wait that was expected when it arrived
}

// Class is what sets jobs apart.
type Class struct {
	Priority    int  // 0 goes first; of a nested call, that of the request which it is made for
	Nested      bool // made by a running request, which holds its own slot meanwhile
	ClientRetry bool // turned away before
}

// rank orders classes; lower goes first. A nested call goes before all else, but before more
// urgent requests that starve only while such calls keep to their share: a slot elsewhere is held until
// it ends, and the work done there is lost if it is refused. Of equals in priority, one that was turned away before goes last: its aim is lost mostly,
// and if it went first, it would make the others late in turn.
func (c Class) rank() int {
	if c.Nested {
		return nestedRank
	}
	rank := 1 + ranksPerPriority*c.Priority
	if c.ClientRetry {
		rank++
	}
	return min(max(rank, 1), ranks-1)
}

// Waiting reports whether the job waits for a slot.
func (j *Job) Waiting() bool { return j.state == waiting }

// MaxWait returns how long a job that waits is kept at most. One whose goal has passed
// while it waited is told so, rather than held until nobody wants its answer.
func (j *Job) MaxWait(now time.Time) time.Duration {
	patience := j.Deadline.Sub(now)
	if j.Nested || j.LatencyObjective == 0 {
		return patience
	}
	return min(patience, j.LatencyObjective)
}

type jobState int

const (
	fresh jobState = iota
	waiting
	running
	ended
)

// Settings of a queue.
const (
	startCost        = 50 * time.Millisecond // of a job, before any was measured
	costWeight       = 0.1                   // of a new sample in the mean time in a slot
	lateShare        = 0.35                  // of a mean time in a slot that a job may wait for which the aim is lost anyway
	freshShare       = 0.15                  // of its goal that a job may wait
	returnShare      = 0.2                   // of its goal that a job may wait that was turned away before
	errorWeight      = 0.05                  // of a new sample in the ratio of actual to expected waits
	leastError       = 0.5                   // bounds of a sample of that ratio
	mostError        = 6.0
	maxWaitings      = 8                     // waiting jobs per slot
	minRetry         = 30 * time.Millisecond // least pause that a refused caller is told
	ranks            = 16                    // classes that are kept apart
	nestedRank       = 0
	ranksPerPriority = 2                      // fresh requests and those that return
	nestedShare      = 0.85                   // of the slot time, beyond which nested calls don't go before starved jobs that are more urgent
	starvedShare     = 0.7                    // of the direct jobs, refused, from which on they are starved
	usageHalf        = 500 * time.Millisecond // in which slot time given counts half
	hurryShare       = 0.5                    // of the time that it has, after which a nested call goes first all the same
	leastUrgent      = 2                      // priority from which on a job may wait for freshShare only; more urgent ones for multiples
)

// Queue admits jobs up to the number of slots; others wait in order of their rank and
// arrival if they are likely to be served in time. It answers the load pattern of a
// crest: more arrives than the slots can do. A line that is bounded by the aim keeps all
// slots busy and serves who is let in within the aim; who would come too late is told at
// once when to return. It also answers the one in which nested calls of a less urgent kind of
// request alone could fill the slots: when others starve they go first only within their
// share, so their parents hold slots for longer and fewer new ones are let in where these
// run. The zero value has no slots and refuses everything.
type Queue struct {
	Slots int
	InUse int

	lines   [ranks][]*Job
	waiting int
	usage   usage
	mean    [ranks]time.Duration // time in a slot by rank
	overall time.Duration
	error   [ranks]float64 // actual waits as a multiple of the expected ones
}

// Load is what other nodes are told of a queue.
type Load struct {
	Slots   int
	InUse   int
	Waiting int
	Mean    time.Duration                     // time in a slot
	Waits   [ReportedPriorities]time.Duration // that a new job is expected to wait, by priority
}

// ReportedPriorities is the number of priorities whose waits are reported; lower ones count as the
// last.
const ReportedPriorities = 4

// Load returns the present load.
func (q *Queue) Load() Load {
	load := Load{Slots: q.Slots, InUse: q.InUse, Waiting: q.waiting, Mean: q.meanTime()}
	if q.InUse >= q.Slots {
		for i := range load.Waits {
			load.Waits[i] = q.corrected(Class{Priority: i}.rank())
		}
	}
	return load
}

func (q *Queue) meanTime() time.Duration {
	if q.overall == 0 {
		return startCost
	}
	return q.overall
}

func (q *Queue) cost(rank int) time.Duration {
	if q.mean[rank] == 0 {
		return q.meanTime()
	}
	return q.mean[rank]
}

// HasFreeSlot reports whether a job would get a slot at once.
func (q *Queue) HasFreeSlot() bool { return q.InUse < q.Slots && q.waiting == 0 }

// Offer starts a job, lets it wait, or refuses it with the pause after which it is likely
// to be taken.
func (q *Queue) Offer(job *Job, now time.Time) (admitted bool, retry time.Duration) {
	job.rank = job.Class.rank()
	q.usage.fade(now)
	if q.HasFreeSlot() {
		q.start(job)
		return true, 0
	}
	job.expected = q.expected(job.rank)
	wait := q.corrected(job.rank)
	admitted = q.Slots > 0 && q.worthwhile(job, now, wait)
	if !job.Nested {
		q.usage.offered(admitted)
	}
	if !admitted {
		return false, max(wait, minRetry)
	}
	job.state = waiting
	q.lines[job.rank] = append(q.lines[job.rank], job)
	q.waiting++
	q.Fill(now)
	return true, 0
}

// expected returns how long a new job of a rank is likely to wait.
func (q *Queue) expected(rank int) time.Duration {
	var work time.Duration
	first := nestedRank
	if q.yields(rank) {
		first++
	}
	for r := first; r <= rank; r++ {
		work += time.Duration(len(q.lines[r])) * q.cost(r)
	}
	slots := max(q.Slots, 1)
	if q.InUse >= slots {
		work += q.meanTime()
	}
	return work / time.Duration(slots)
}

// corrected returns the expected wait, corrected by how far earlier ones were off.
func (q *Queue) corrected(rank int) time.Duration {
	wait := q.expected(rank)
	if factor := q.error[rank]; factor > 0 {
		wait = time.Duration(factor * float64(wait))
	}
	return wait
}

// MaxExpectedWait returns how long a job with a goal may be expected to wait to be let in. A more
// urgent one may wait longer: it goes before others, so a burst of its own kind is all that
// it waits for.
func MaxExpectedWait(goal time.Duration, priority int) time.Duration {
	steps := 1 + max(leastUrgent-priority, 0)
	return time.Duration(freshShare * float64(steps) * float64(goal))
}

// worthwhile reports whether a job that waits so long is still likely to be of use, and
// does not crowd out others that are.
func (q *Queue) worthwhile(job *Job, now time.Time, wait time.Duration) bool {
	end := now.Add(wait + q.cost(job.rank))
	if end.After(job.Deadline) {
		return false
	}
	if job.Nested {
		return true
	}
	if q.waiting >= maxWaitings*q.Slots {
		return false
	}
	if wait <= time.Duration(lateShare*float64(q.meanTime())) {
		return true
	}
	if job.ClientRetry {
		return wait <= time.Duration(returnShare*float64(job.LatencyObjective))
	}
	return wait <= MaxExpectedWait(job.LatencyObjective, job.Priority) && !end.After(job.SoftDeadline)
}

// Fill gives free slots to waiting jobs.
func (q *Queue) Fill(now time.Time) {
	q.usage.fade(now)
	for q.InUse < q.Slots && q.waiting > 0 {
		job := q.pop(now)
		if job == nil {
			return
		}
		q.correct(job, now.Sub(job.Arrived))
		q.start(job)
	}
}

// correct learns how far a wait was from what was expected. Jobs of a higher rank that come
// later push in, so waits of lower ranks are longer than the line that they joined.
func (q *Queue) correct(job *Job, waited time.Duration) {
	if job.expected <= 0 {
		return
	}
	sample := min(max(float64(waited)/float64(job.expected), leastError), mostError)
	factor := &q.error[job.rank]
	if *factor == 0 {
		*factor = 1
	}
	*factor += errorWeight * (sample - *factor)
}

func (q *Queue) start(job *Job) {
	job.state = running
	q.InUse++
	q.usage.add(job.rank, q.cost(job.rank))
	job.Start()
}

// pop takes the next job out of its line and refuses those that would end too late.
func (q *Queue) pop(now time.Time) *Job {
	for q.waiting > 0 {
		r := q.next(now)
		job := q.lines[r][0]
		q.lines[r][0] = nil
		q.lines[r] = q.lines[r][1:]
		q.waiting--
		if now.Before(job.Deadline) {
			return job
		}
		job.state = ended
		job.Refuse(minRetry)
	}
	return nil
}

// next returns the rank whose line is served next. Some line holds a job.
func (q *Queue) next(now time.Time) int {
	first := 0
	for len(q.lines[first]) == 0 {
		first++
	}
	if first != nestedRank {
		return first
	}
	nested := q.lines[nestedRank][0]
	if now.Sub(nested.Arrived) > time.Duration(hurryShare*float64(nested.Deadline.Sub(nested.Arrived))) {
		return first
	}
	for r := nestedRank + 1; r < ranks && q.yields(r); r++ {
		if len(q.lines[r]) > 0 {
			return r
		}
	}
	return first
}

// yields reports whether the nested call that waits for longest goes after the jobs of a
// rank: it is made for a less urgent request, such calls have had their share, and most direct
// jobs are refused.
func (q *Queue) yields(rank int) bool {
	if rank == nestedRank || len(q.lines[nestedRank]) == 0 || !q.usage.starved() || !q.usage.beyondShare() {
		return false
	}
	return (rank-1)/ranksPerPriority < q.lines[nestedRank][0].Priority
}

// Done ends a running job that held its slot for so long. A sample of 0 teaches nothing.
func (q *Queue) Done(job *Job, held time.Duration, now time.Time) {
	if job.state != running {
		return
	}
	job.state = ended
	q.InUse--
	if held > 0 {
		q.learn(&q.mean[job.rank], held)
		q.learn(&q.overall, held)
	}
	q.Fill(now)
}

func (q *Queue) learn(mean *time.Duration, held time.Duration) {
	if *mean == 0 {
		*mean = held
		return
	}
	*mean += time.Duration(costWeight * float64(held-*mean))
}

// Remove takes a waiting job out and reports whether it was waiting.
func (q *Queue) Remove(job *Job) bool {
	if job.state != waiting {
		return false
	}
	line := q.lines[job.rank]
	for i, other := range line {
		if other == job {
			q.lines[job.rank] = append(line[:i:i], line[i+1:]...)
			q.waiting--
			job.state = ended
			return true
		}
	}
	return false
}

// Flush refuses all waiting jobs.
func (q *Queue) Flush() {
	for r := range q.lines {
		for _, job := range q.lines[r] {
			job.state = ended
			job.Refuse(0)
		}
		q.lines[r] = nil
	}
	q.waiting = 0
}
