package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLatestStart replays a loaded queue whose senders' process ends: jobs that have not started by LatestStart are
// withdrawn. It guards against jobs that start too late to end, and against withdrawing all jobs that could still end.
func TestLatestStart(t *testing.T) {
	const (
		slots = 4
		mean  = 300 * time.Millisecond
		load  = 30 // jobs at the beginning
	)
	random := rand.New(rand.NewPCG(1, 1))
	began := time.Unix(1000, 0)
	end := began.Add(2 * time.Second)
	latest := LatestStart(end, mean)
	assert.Assert(t, latest.After(began) && latest.Before(end))

	queue := Queue{Slots: slots}
	var jobs []*Job
	ended := map[*Job]time.Time{}
	now := began
	for range load {
		job := &Job{Deadline: end.Add(time.Hour), SoftDeadline: end.Add(time.Hour), LatencyObjective: time.Hour}
		job.Start = func() {
			ended[job] = now.Add(time.Duration((0.4 + 1.2*random.Float64()) * float64(mean)))
		}
		admitted, _ := queue.Offer(job, now)
		assert.Assert(t, admitted)
		jobs = append(jobs, job)
	}
	done := map[*Job]bool{}
	for ; now.Before(latest); now = now.Add(time.Millisecond) {
		for _, job := range jobs {
			if finish, started := ended[job]; started && !done[job] && !finish.After(now) {
				done[job] = true
				queue.Done(job, 0, now)
			}
		}
	}
	withdrawn, cut := 0, 0
	for _, job := range jobs {
		if queue.Remove(job) {
			withdrawn++
		} else if ended[job].After(end) {
			cut++
		}
	}
	assert.Assert(t, withdrawn > 0 && withdrawn < load-slots, "%d of %d withdrawn", withdrawn, load)
	assert.Equal(t, cut, 0, "jobs that started run beyond the end")
	assert.Equal(t, LatestStart(end, 0), end.Add(-minFinalTime), "an unknown service time")
}
