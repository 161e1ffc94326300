package deliverer

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/tracker"
)

// suspend returns a clock for a deliverer and a function that lets time pass as a suspended host does:
// the monotonic clock of the process stands still.
func suspend(d *Deliverer) func(time.Duration) {
	var now atomic.Int64
	now.Store(int64(time.Hour))
	d.Clock = func() time.Duration { return time.Duration(now.Load()) }
	return func(length time.Duration) { now.Add(int64(length)) }
}

// TestDrainEndsDuringSuspension suspends the host after it has acknowledged a drain. When it wakes up, the
// time in which the target may still get calls has passed.
func TestDrainEndsDuringSuspension(t *testing.T) {
	s := startTarget(t, respondWith(okResponse("r", "yes"), true))
	d := newDeliverer(s, 1)
	pass := suspend(d)
	d.DrainGrace = time.Minute
	d.Update(report(s, 1, tracker.Draining, 2), time.Now())
	assert.Equal(t, serveAndWait(d, newCall("r", false)).Outcome, carrier.Answered)
	pass(2 * time.Minute)
	assert.Equal(t, serveAndWait(d, newCall("r", false)).Outcome, carrier.Refused)
	assert.Equal(t, s.arrived.Load(), int64(1))
}

// TestDeadlinePassesDuringSuspension suspends the host while a call is queued. When the call gets its slot,
// no one waits for it any more, and it must not run.
func TestDeadlinePassesDuringSuspension(t *testing.T) {
	release := make(chan struct{})
	s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
		<-release
		return respondWith(okResponse(request.Header.Get("Clementinerock-Request-Id"), ""), true)(conn, request)
	})
	d := newDeliverer(s, 1)
	pass := suspend(d)
	answers := make(chan *carrier.Answer, 2)
	d.Serve(newCall("first", false), func(a *carrier.Answer) { answers <- a })
	d.Serve(newCall("second", false), func(a *carrier.Answer) { answers <- a })
	for s.arrived.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	pass(3 * time.Second)
	close(release)
	outcomes := map[carrier.Outcome]int{(<-answers).Outcome: 1}
	outcomes[(<-answers).Outcome]++
	assert.Equal(t, outcomes[carrier.Refused], 1)
	assert.Equal(t, s.arrived.Load(), int64(1))
}
