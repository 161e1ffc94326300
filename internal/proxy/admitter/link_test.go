package admitter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDownloadsOnABusyLink replays downloads that each occupy the link of the host for 60 ms, arriving
// one and a half times as fast as that. The slots stay nearly free. Without a limit each later download would wait
// longer for the link, and after a second all of them would be late.
func TestDownloadsOnABusyLink(t *testing.T) {
	const (
		sendTime = 60 * time.Millisecond
		interval = 40 * time.Millisecond
		goal     = 500 * time.Millisecond
	)
	q := &Queue{Slots: 6}
	start := time.Unix(1000, 0)
	var free time.Time // end of the last admitted response on the link
	late, admitted, refused := 0, 0, 0
	for at := time.Duration(0); at < 10*time.Second; at += interval {
		now := start.Add(at)
		job := &Job{
			Arrived: now, Deadline: now.Add(2 * goal), SoftDeadline: now.Add(goal), LatencyObjective: goal,
			SendWait: max(free.Sub(now), 0), SendTime: sendTime,
			Start: func() {}, Refuse: func(time.Duration) {},
		}
		ok, retryAfter := q.Offer(job, now)
		if !ok {
			refused++
			assert.Assert(t, retryAfter >= job.SendWait/2, "client told to return after %s", retryAfter)
			continue
		}
		admitted++
		q.Done(job, serviceTime, now)
		free = now.Add(max(free.Sub(now), 0) + sendTime)
		// The response also passes the link of the client's node, where it meets others.
		if free.Add(serviceTime + 2*sendTime).After(job.SoftDeadline) {
			late++
		}
	}
	assert.Equal(t, late, 0)
	assert.Assert(t, refused > 0)
	served := time.Duration(admitted) * sendTime
	assert.Assert(t, served > 9500*time.Millisecond, "the link was used for %s of 10 s", served)
}

// TestSmallResponsesIgnoreTheLink checks that a busy link does not refuse small responses.
func TestSmallResponsesIgnoreTheLink(t *testing.T) {
	q := &Queue{Slots: 1}
	now := time.Unix(1000, 0)
	job := &Job{Arrived: now, Deadline: now.Add(timeout), SoftDeadline: now.Add(objective), Start: func() {}}
	ok, _ := q.Offer(job, now)
	assert.Assert(t, ok)
}
