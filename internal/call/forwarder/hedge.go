package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/call/picker"
)

const (
	// minHedgeWinRatio is the ratio of hedges that finish first below which only one call in
	// hedgeSample is hedged.
	minHedgeWinRatio = 0.3
	hedgeSample      = 10
)

// concurrentAttempt is one of several attempts of an idempotent call. It owns its request and
// response until it ends, so that a late answer is not written into a reused response.
type concurrentAttempt struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	result   Result
	isHedge  bool // whether this is a hedge, not the first attempt
}

func (r *concurrentAttempt) release() {
	fasthttp.ReleaseRequest(r.request)
	fasthttp.ReleaseResponse(r.response)
}

// attemptWithHedge sends the call to a target and, if no answer arrives within the hedge delay, to a
// second one (a hedge). It returns the first answer.
func (c *call) attemptWithHedge(request *fasthttp.Request, response *fasthttp.Response, target *picker.Target) Result {
	finished := make(chan *concurrentAttempt, 2)
	c.startAttempt(request, target, false, finished)
	running := 1
	probe := target.ProbeDue(time.Now())
	hedged := false
	timer := time.NewTimer(c.state.hedgeDelay.Value())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second := c.pickHedge(probe); second != nil {
				c.startAttempt(request, second, true, finished)
				running++
				hedged = true
			}
		case r := <-finished:
			running--
			result := r.result
			if result.Outcome == Answered || running == 0 {
				if hedged {
					c.state.hedgeWins.Observe(r.isHedge)
				}
				r.response.CopyTo(response)
				r.release()
				c.releaseWhenDone(finished, running)
				return result
			}
			r.release()
		}
	}
}

// pickHedge returns the target of a hedge, or nil. If hedges rarely finish first, late calls are
// late because their work is long, and only a sample of them is hedged. A call that probes a slow
// target is always hedged, within the budget.
func (c *call) pickHedge(probe bool) *picker.Target {
	if !probe && c.state.hedgeWins.Value() < minHedgeWinRatio && rand.IntN(hedgeSample) > 0 {
		return nil
	}
	if len(c.tried) >= len(c.targets) || !c.state.hedges.Withdraw() {
		return nil
	}
	c.front.Counter.Count("front_hedge")
	return c.pick()
}

// startAttempt runs an attempt in a goroutine, which sends it to finished when it ends.
func (c *call) startAttempt(request *fasthttp.Request, target *picker.Target, isHedge bool, finished chan<- *concurrentAttempt) {
	r := &concurrentAttempt{request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse(), isHedge: isHedge}
	request.CopyTo(r.request)
	callCopy := *c // keeps the number of this attempt when c starts another one
	go func() {
		r.result = callCopy.attempt(r.request, r.response, target)
		finished <- r
	}()
}

// releaseWhenDone releases the attempts that are still running as soon as they end.
func (c *call) releaseWhenDone(finished <-chan *concurrentAttempt, running int) {
	if running == 0 {
		return
	}
	go func() {
		for range running {
			(<-finished).release()
		}
	}()
}
