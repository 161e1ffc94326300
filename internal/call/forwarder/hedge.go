package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/call/picker"
)

const (
	usefulShare  = 0.3 // of the hedges that must win; below it only a sample is hedged
	usefulSample = 10
)

// racer is one of several attempts of an idempotent call. It owns its request and
// response until it ends, so that a late answer can reach nobody else.
type racer struct {
	request  *fasthttp.Request
	response *fasthttp.Response
	result   Result
	hedge    bool // not the first attempt
}

func (r *racer) release() {
	fasthttp.ReleaseRequest(r.request)
	fasthttp.ReleaseResponse(r.response)
}

// raceAttempts sends the call to a target and, if no answer came within the usual
// time, to a second one. The first answer wins.
func (c *call) raceAttempts(request *fasthttp.Request, response *fasthttp.Response, target *picker.Target) Result {
	finished := make(chan *racer, 2)
	c.race(request, target, false, finished)
	running := 1
	trial := target.ProbeDue(time.Now())
	hedged := false
	timer := time.NewTimer(c.state.delay.Value())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if second := c.pickHedge(trial); second != nil {
				c.race(request, second, true, finished)
				running++
				hedged = true
			}
		case r := <-finished:
			running--
			result := r.result
			if result.Outcome == Answered || running == 0 {
				if hedged {
					c.state.useful.Observe(r.hedge)
				}
				r.response.CopyTo(response)
				r.release()
				c.abandon(finished, running)
				return result
			}
			r.release()
		}
	}
}

// pickHedge returns the target of a second attempt. Unless hedges are known to win,
// late calls may be long by themselves, and only a sample is hedged. A call to a target
// on trial is hedged in any case.
func (c *call) pickHedge(trial bool) *picker.Target {
	if !trial && c.state.useful.Value() < usefulShare && rand.IntN(usefulSample) > 0 {
		return nil
	}
	if len(c.tried) >= len(c.targets) || !c.state.hedges.Withdraw() {
		return nil
	}
	c.front.Counter.Count("front_hedge")
	return c.pick()
}

func (c *call) race(request *fasthttp.Request, target *picker.Target, hedge bool, finished chan<- *racer) {
	r := &racer{request: fasthttp.AcquireRequest(), response: fasthttp.AcquireResponse(), hedge: hedge}
	request.CopyTo(r.request)
	shadow := *c // the attempt's own number stays as it is now
	go func() {
		r.result = shadow.attempt(r.request, r.response, target)
		finished <- r
	}()
}

// abandon releases attempts that are still running when they end.
func (c *call) abandon(finished <-chan *racer, running int) {
	if running == 0 {
		return
	}
	go func() {
		for range running {
			(<-finished).release()
		}
	}()
}
