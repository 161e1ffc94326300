package deliverer

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
)

// TestWithdraw withdraws calls at each point of their way to the target. It guards against calls that are refused and
// run, and against running calls that are cut.
func TestWithdraw(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		release := make(chan struct{})
		s := startTarget(t, func(conn net.Conn, request *http.Request) bool {
			<-release
			_, _ = io.WriteString(conn, okResponse(request.Header.Get("Clementinerock-Request-Id"), "yes"))
			return true
		})
		d := newDeliverer(s, 1)
		answers := make(map[string]chan *carrier.Answer)
		serve := func(id string, confirm func() bool) carrier.Delivery {
			answers[id] = make(chan *carrier.Answer, 1)
			call := newCall(id, idempotent)
			call.Remaining, call.SoftDeadline, call.LatencyObjective = 5*time.Second, 4*time.Second, 4*time.Second
			call.Confirm = confirm
			return d.Serve(call, func(a *carrier.Answer) { answers[id] <- a })
		}
		running := serve("running", nil)
		for s.running.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		queued := serve("queued", nil)
		confirming, confirmed := make(chan struct{}), make(chan struct{})
		last := serve("confirming", func() bool { close(confirming); <-confirmed; return true })

		running.Withdraw()
		queued.Withdraw()
		assert.Equal(t, (<-answers["queued"]).Outcome, carrier.Refused)
		assert.Equal(t, len(answers["running"]), 0)
		close(release)
		assert.Equal(t, (<-answers["running"]).Outcome, carrier.Answered)

		<-confirming // it has the slot, and its request is not sent yet
		last.Withdraw()
		close(confirmed)
		assert.Equal(t, (<-answers["confirming"]).Outcome, carrier.Refused)
		assert.Equal(t, s.arrived.Load(), int64(1))
		assert.Equal(t, d.Busy(), 0)
	}
}
