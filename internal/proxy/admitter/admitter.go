// Package admitter decides which calls a target runs at once, which wait in a queue for one of its
// slots, and which are refused. It reads no clock and performs no I/O.
//
// A call is either a nested call or, in the terms of this package, a request. The service time of a
// call is the time for which it holds its slot.
package admitter

import (
	"slices"
	"time"

	"clementinerock/internal/proxy/sharer"
)

// Job is one call that needs a slot.
type Job struct {
	Class

	Arrived      time.Time // time of arrival at this node
	Deadline     time.Time // time at which the client stops waiting for the response
	SoftDeadline time.Time // end of the latency objective for this request
	Start        func()    // called when the job gets a slot

	// Refuse is called if the job is refused after it was queued. retryAfter is the delay
	// after which a retry is worthwhile, or 0 if there is no estimate.
	Refuse func(retryAfter time.Duration)

	LatencyObjective time.Duration // latency objective of the route; 0 for none
	SendWait         time.Duration // time until the host's link is free for a large response
	SendTime         time.Duration // time to send a large response; 0 if the response is small

	rank         int
	state        jobState
	expectedWait time.Duration // uncorrected estimate made at arrival
	tag          float64       // place among the jobs of the rank; lower goes first
	overShare    bool          // whether jobs of other accounts may go before this one
	overtook     bool          // whether waiting jobs of the rank go after this one
}

// Class holds the attributes that determine a job's rank and its place among the jobs of the rank.
type Class struct {
	Account     string // client account; jobs without one belong to one account with an empty name
	Priority    int    // 0 is the most urgent; a nested call has the priority of its parent request
	Nested      bool   // whether a target made the call while it runs another request
	ClientRetry bool   // whether the client was refused before and sends the request again
}

// rank returns the position of the class in the queue order; 0 goes first.
//
// Nested calls go first, because the parent request holds a slot elsewhere until the nested call
// ends, and its work is lost if the nested call is refused. They yield only to more urgent requests
// that are underserved, and only once they exceed their share of the slot time. Within a priority,
// client retries go last: most of them miss their soft deadline anyway, and if they went first, the
// other requests would miss theirs too.
func (c Class) rank() int {
	if c.Nested {
		return nestedRank
	}
	rank := 1 + ranksPerPriority*c.Priority
	if c.ClientRetry {
		rank++
	}
	return min(max(rank, 1), numRanks-1)
}

// OverShare reports whether the job's account had used more than its fair share when the job was offered.
func (j *Job) OverShare() bool { return j.overShare }

// Waiting reports whether the job is in the queue.
func (j *Job) Waiting() bool { return j.state == waiting }

// MaxWait returns how long a job queued now may wait for a slot. A request with a latency objective
// waits no longer than that objective, so that its client receives the refusal while it still waits
// for a response.
func (j *Job) MaxWait(now time.Time) time.Duration {
	maxWait := j.Deadline.Sub(now)
	if j.Nested || j.LatencyObjective == 0 {
		return maxWait
	}
	return min(maxWait, j.LatencyObjective)
}

// jobState is the stage of a job in the queue.
type jobState int

const (
	created jobState = iota
	waiting
	running
	ended
)

// Parameters of the estimates.
const (
	initialServiceTime = 50 * time.Millisecond  // service time assumed before the first measurement
	serviceTimeWeight  = 0.1                    // weight of a new sample in the mean service times
	correctionWeight   = 0.05                   // weight of a new sample in the wait corrections
	minCorrection      = 0.5                    // lower bound of a sample of the wait correction
	maxCorrection      = 6.0                    // upper bound of a sample of the wait correction
	usageHalfLife      = 500 * time.Millisecond // half-life of the values in usage
)

// Parameters of the admission and of the queue order.
const (
	// maxWaitingPerSlot is the number of waiting jobs per slot at which requests are refused.
	// Nested calls are exempt.
	maxWaitingPerSlot = 8

	// shortWaitShare is the expected wait, as a share of the mean service time, up to which a job
	// is queued even if it will miss its soft deadline.
	shortWaitShare = 0.35

	// firstAttemptShare and clientRetryShare are the maximum expected waits of requests, as a
	// share of their latency objective, for first attempts of basePriority and for client retries.
	firstAttemptShare = 0.15
	clientRetryShare  = 0.2

	// maxLinkShare is the maximum wait for the link of the host, as a share of the latency objective.
	maxLinkShare = 0.5

	// basePriority is the most urgent priority whose maximum expected wait is one
	// firstAttemptShare.
	// Each step towards priority 0 adds one more.
	basePriority = 2

	minRetryAfter    = 30 * time.Millisecond // lower bound of the retry delay sent to a refused client
	numRanks         = 16                    // number of ranks, each with its own queue
	nestedRank       = 0                     // rank of all nested calls
	ranksPerPriority = 2                     // one rank for first attempts and one for client retries

	// maxNestedShare is the share of the slot time above which nested calls yield to more urgent
	// requests that are underserved.
	maxNestedShare = 0.85

	// underservedRatio is the ratio of refused requests, among those that find no free slot, above
	// which requests count as underserved.
	underservedRatio = 0.7

	// maxOvertakenFactor is the number of waiting jobs at which requests are refused even if most of these
	// would go after them, as a multiple of maxWaitingPerSlot.
	maxOvertakenFactor = 2

	// overtakenWeight is the weight of the ratio of overtaken jobs in the expected wait of a job beyond its
	// account's share. Without it, 1.3 to 2.3 times as many jobs are refused after they were queued.
	overtakenWeight = 2

	// maxYieldShare is the share of the time between arrival and deadline for which a nested call
	// may yield.
	maxYieldShare = 0.5
)

// Queue admits as many jobs as there are slots. Other jobs wait, ordered by rank, by the fair shares of their
// accounts and by arrival, if they are likely to be served in time.
//
// It is designed for three load patterns. In an overload, more requests arrive than the slots can
// serve. A queue bounded by the latency objective keeps all slots busy and serves the admitted
// requests within the objective; the others are refused immediately with a delay for their retry.
//
// In the second pattern, nested calls of less urgent requests alone could fill all slots. While more
// urgent requests are underserved, nested calls go first only up to their share of the slot time.
// Their parent requests then hold slots for longer, so that fewer new ones are admitted at the
// targets that run them.
//
// In the third pattern, one client account sends many times its usual requests. Only the jobs that go before a
// new job in the fair order delay it, so that the other accounts are queued while that one is refused. A job
// of an account beyond its share is refused as soon as jobs of others have made it late.
//
// The zero value has no slots and refuses every job.
type Queue struct {
	Slots int // number of jobs that may run at the same time
	InUse int // number of running jobs

	queues         [numRanks][]*Job // waiting jobs by rank, each in order of tag and arrival
	sharers        [numRanks]sharer.Sharer
	waiting        int // number of waiting jobs in all ranks
	usage          usage
	rankMean       [numRanks]time.Duration // mean service time by rank; 0 for no sample
	overallMean    time.Duration           // mean service time of all jobs; 0 for no sample
	waitCorrection [numRanks]float64       // mean ratio of actual to expected wait; 0 for no sample

	// overtakingCorrection is the same for jobs that overtook others, which wait as long as they expect to
	// although those that they overtook wait for longer.
	overtakingCorrection [numRanks]float64

	// overtaken is the mean ratio of refused jobs among those beyond their account's share that were queued.
	overtaken [numRanks]float64
}

// Load is the load of a queue as it is announced to other nodes.
type Load struct {
	Slots   int
	InUse   int
	Waiting int
	Mean    time.Duration                     // mean service time of all jobs
	Waits   [ReportedPriorities]time.Duration // expected wait by priority; 0 while a slot is free
}

// ReportedPriorities is the number of priorities whose expected waits are announced to other nodes,
// which use the last one for all less urgent priorities.
const ReportedPriorities = 4

// Load returns the current load.
func (q *Queue) Load() Load {
	load := Load{Slots: q.Slots, InUse: q.InUse, Waiting: q.waiting, Mean: q.meanServiceTime()}
	if q.InUse >= q.Slots {
		for i := range load.Waits {
			rank := Class{Priority: i}.rank()
			load.Waits[i] = q.correctedWait(rank, len(q.queues[rank]))
		}
	}
	return load
}

// meanServiceTime returns the mean service time of all jobs.
func (q *Queue) meanServiceTime() time.Duration {
	if q.overallMean == 0 {
		return initialServiceTime
	}
	return q.overallMean
}

// rankServiceTime returns the mean service time of the jobs of a rank.
func (q *Queue) rankServiceTime(rank int) time.Duration {
	if q.rankMean[rank] == 0 {
		return q.meanServiceTime()
	}
	return q.rankMean[rank]
}

// HasFreeSlot reports whether a new job would start at once.
func (q *Queue) HasFreeSlot() bool { return q.InUse < q.Slots && q.waiting == 0 }

// Offer starts a job, queues it, or refuses it. For a refused job it returns the delay after which a
// retry is likely to be admitted.
func (q *Queue) Offer(job *Job, now time.Time) (admitted bool, retryAfter time.Duration) {
	job.rank = job.Class.rank()
	q.usage.decay(now)
	job.tag, job.overShare = q.sharers[job.rank].Offer(job.Account, now)
	ahead := q.ahead(job)
	if q.linkTooBusy(job, ahead, now) {
		return false, max(job.SendWait, minRetryAfter)
	}
	if q.HasFreeSlot() {
		q.sharers[job.rank].Charge(job.Account, job.tag)
		q.start(job)
		return true, 0
	}
	job.overtook = ahead < len(q.queues[job.rank])
	job.expectedWait = q.expectedWait(job.rank, ahead)
	wait := q.correctedWait(job.rank, ahead)
	if job.overShare {
		wait = time.Duration((1 + overtakenWeight*q.overtaken[job.rank]) * float64(wait))
	}
	admitted = q.Slots > 0 && q.shouldQueue(job, ahead, now, wait)
	if !job.Nested {
		q.usage.recordOffer(admitted)
	}
	if !admitted {
		return false, max(wait, minRetryAfter)
	}
	q.sharers[job.rank].Charge(job.Account, job.tag)
	job.state = waiting
	q.queues[job.rank] = slices.Insert(q.queues[job.rank], ahead, job)
	q.waiting++
	if job.overtook {
		q.refuseOvertaken(job.rank, now)
	}
	q.Fill(now)
	return true, 0
}

// ahead returns the number of waiting jobs of a job's rank that go before it. Jobs with equal tags go in order
// of arrival.
func (q *Queue) ahead(job *Job) int {
	queue := q.queues[job.rank]
	n := len(queue)
	for n > 0 && queue[n-1].tag > job.tag {
		n--
	}
	return n
}

// refuseOvertaken refuses the last jobs of a rank that would not be queued any more, because jobs of other
// accounts now go before them.
func (q *Queue) refuseOvertaken(rank int, now time.Time) {
	for len(q.queues[rank]) > 1 {
		last := len(q.queues[rank]) - 1
		job := q.queues[rank][last]
		wait := q.expectedWait(rank, last)
		if job.Nested || !job.overShare || q.shouldQueue(job, last, now, wait) {
			return
		}
		q.recordOvertaken(rank, true)
		q.removeAt(rank, last)
		job.Refuse(max(wait, minRetryAfter))
	}
}

// recordOvertaken records whether a queued job of an account beyond its share was refused because jobs of other
// accounts overtook it.
func (q *Queue) recordOvertaken(rank int, refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	q.overtaken[rank] += correctionWeight * (sample - q.overtaken[rank])
}

// removeAt removes a job that will not start.
func (q *Queue) removeAt(rank, i int) {
	job := q.queues[rank][i]
	q.queues[rank] = slices.Delete(q.queues[rank], i, i+1)
	q.waiting--
	job.state = ended
	q.sharers[rank].Refund(job.Account, job.tag)
}

// linkTooBusy reports whether a large response would be late because other large responses are to be
// sent before it. Such a job is refused even if a slot is free, since running it would use the slot for
// a response that only makes all later ones late as well. The response has to pass the link of another
// node after this one, so its wait here takes only a share of the latency objective.
func (q *Queue) linkTooBusy(job *Job, ahead int, now time.Time) bool {
	if job.SendWait <= job.SendTime {
		return false
	}
	if job.SendWait > time.Duration(maxLinkShare*float64(job.LatencyObjective)) {
		return true
	}
	finish := now.Add(q.correctedWait(job.rank, ahead) + q.rankServiceTime(job.rank) + job.SendWait + job.SendTime)
	return finish.After(job.SoftDeadline)
}

// expectedWait estimates the wait of a new job of a rank from the jobs queued before it. ahead is the number of
// these that are of the same rank.
func (q *Queue) expectedWait(rank, ahead int) time.Duration {
	var work time.Duration
	first := nestedRank
	if q.nestedYieldsTo(rank) {
		first++
	}
	for r := first; r < rank; r++ {
		work += time.Duration(len(q.queues[r])) * q.rankServiceTime(r)
	}
	if first <= rank {
		work += time.Duration(ahead) * q.rankServiceTime(rank)
	}
	slots := max(q.Slots, 1)
	if q.InUse >= slots {
		work += q.meanServiceTime()
	}
	return work / time.Duration(slots)
}

// correctedWait returns the expected wait of a new job of a rank, scaled by the ratio of actual to
// expected waits of earlier jobs of that rank.
func (q *Queue) correctedWait(rank, ahead int) time.Duration {
	wait := q.expectedWait(rank, ahead)
	factor := q.waitCorrection[rank]
	if ahead < len(q.queues[rank]) {
		factor = q.overtakingCorrection[rank]
	}
	if factor > 0 {
		wait = time.Duration(factor * float64(wait))
	}
	return wait
}

// MaxExpectedWait returns the longest expected wait with which a first attempt is still queued. It is
// longer for more urgent priorities: they go before the others, so that only a burst of requests of
// their own priority delays them.
func MaxExpectedWait(objective time.Duration, priority int) time.Duration {
	steps := 1 + max(basePriority-priority, 0)
	return time.Duration(firstAttemptShare * float64(steps) * float64(objective))
}

// shouldQueue reports whether a job with the given expected wait is likely to end in time, without
// displacing other jobs that would. ahead is the number of jobs of its rank that go before it.
func (q *Queue) shouldQueue(job *Job, ahead int, now time.Time, wait time.Duration) bool {
	finish := now.Add(wait + q.rankServiceTime(job.rank))
	if finish.After(job.Deadline) {
		return false
	}
	if job.Nested {
		return true
	}
	behind := len(q.queues[job.rank]) - ahead
	if q.waiting-behind >= maxWaitingPerSlot*q.Slots || q.waiting >= maxOvertakenFactor*maxWaitingPerSlot*q.Slots {
		return false
	}
	if wait <= time.Duration(shortWaitShare*float64(q.meanServiceTime())) {
		return true
	}
	if job.ClientRetry {
		return wait <= time.Duration(clientRetryShare*float64(job.LatencyObjective))
	}
	return wait <= MaxExpectedWait(job.LatencyObjective, job.Priority) && !finish.After(job.SoftDeadline)
}

// Fill starts waiting jobs while there are free slots.
func (q *Queue) Fill(now time.Time) {
	q.usage.decay(now)
	for q.InUse < q.Slots && q.waiting > 0 {
		job := q.dequeue(now)
		if job == nil {
			return
		}
		q.updateCorrection(job, now.Sub(job.Arrived))
		if job.overShare {
			q.recordOvertaken(job.rank, false)
		}
		q.start(job)
	}
}

// updateCorrection updates the wait correction of a job's rank. Jobs of a more urgent rank that arrive
// later overtake those that already wait, so that less urgent jobs wait for longer than the queue at
// their arrival suggests.
func (q *Queue) updateCorrection(job *Job, waited time.Duration) {
	if job.expectedWait <= 0 {
		return
	}
	sample := min(max(float64(waited)/float64(job.expectedWait), minCorrection), maxCorrection)
	factor := &q.waitCorrection[job.rank]
	if job.overtook {
		factor = &q.overtakingCorrection[job.rank]
	}
	if *factor == 0 {
		*factor = 1
	}
	*factor += correctionWeight * (sample - *factor)
}

func (q *Queue) start(job *Job) {
	job.state = running
	q.InUse++
	q.usage.addJob(job.rank, q.rankServiceTime(job.rank))
	q.sharers[job.rank].Start(job.Account, job.tag)
	job.Start()
}

// dequeue removes and returns the next job. It refuses jobs whose deadline has passed, and returns nil
// if no other job waits.
func (q *Queue) dequeue(now time.Time) *Job {
	for q.waiting > 0 {
		r := q.nextRank(now)
		job := q.queues[r][0]
		q.queues[r][0] = nil
		q.queues[r] = q.queues[r][1:]
		q.waiting--
		if now.Before(job.Deadline) {
			return job
		}
		job.state = ended
		q.sharers[r].Refund(job.Account, job.tag)
		job.Refuse(minRetryAfter)
	}
	return nil
}

// nextRank returns the rank of the job to start next. At least one job must be waiting.
func (q *Queue) nextRank(now time.Time) int {
	first := 0
	for len(q.queues[first]) == 0 {
		first++
	}
	if first != nestedRank {
		return first
	}
	nested := q.queues[nestedRank][0]
	if now.Sub(nested.Arrived) > time.Duration(maxYieldShare*float64(nested.Deadline.Sub(nested.Arrived))) {
		return first
	}
	for r := nestedRank + 1; r < numRanks && q.nestedYieldsTo(r); r++ {
		if len(q.queues[r]) > 0 {
			return r
		}
	}
	return first
}

// nestedYieldsTo reports whether the nested call that has waited longest goes after the jobs of a
// rank. It does if its parent request is less urgent than they are, nested calls exceed their share of
// the slot time, and requests are underserved.
func (q *Queue) nestedYieldsTo(rank int) bool {
	if rank == nestedRank || len(q.queues[nestedRank]) == 0 ||
		!q.usage.requestsUnderserved() || !q.usage.nestedOverShare() {
		return false
	}
	return (rank-1)/ranksPerPriority < q.queues[nestedRank][0].Priority
}

// Done releases the slot of a running job. held is the job's service time; 0 leaves the mean service
// times unchanged.
func (q *Queue) Done(job *Job, held time.Duration, now time.Time) {
	if job.state != running {
		return
	}
	job.state = ended
	q.InUse--
	if held > 0 {
		q.updateMean(&q.rankMean[job.rank], held)
		q.updateMean(&q.overallMean, held)
	}
	q.Fill(now)
}

// updateMean adds a sample to a moving average of service times.
func (q *Queue) updateMean(mean *time.Duration, held time.Duration) {
	if *mean == 0 {
		*mean = held
		return
	}
	*mean += time.Duration(serviceTimeWeight * float64(held-*mean))
}

// Remove removes a job from the queue and reports whether it was waiting there.
func (q *Queue) Remove(job *Job) bool {
	if job.state != waiting {
		return false
	}
	i := slices.Index(q.queues[job.rank], job)
	if i < 0 {
		return false
	}
	q.removeAt(job.rank, i)
	return true
}

// Flush refuses all waiting jobs, without an estimate of when to retry.
func (q *Queue) Flush() {
	for r := range q.queues {
		for _, job := range q.queues[r] {
			job.state = ended
			q.sharers[r].Refund(job.Account, job.tag)
			job.Refuse(0)
		}
		q.queues[r] = nil
	}
	q.waiting = 0
}
