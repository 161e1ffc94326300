package deliverer

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/proxy/bodyreader"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/reserver"
	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
)

// exchange sends a call on a connection and reads the response.
func (d *Deliverer) exchange(v *delivery, c *conn, instance string) *carrier.Answer {
	deadline := v.Arrived.Add(v.call.Remaining)
	if err := c.setDeadline(deadline.Add(responseGrace)); err != nil {
		_ = c.Close() // the next call opens another connection
		return &carrier.Answer{Outcome: carrier.Refused, Reason: "connection lost"}
	}
	d.mu.Lock()
	v.conn = c
	d.addRunning(v.call)
	reason := v.unwantedReason()
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.removeRunning(v.call)
		d.mu.Unlock()
	}()
	if reason != "" {
		_ = c.Close() // nothing was sent
		return &carrier.Answer{Outcome: carrier.Refused, Reason: reason}
	}
	bodyWritten, err := c.write(v.call, instance, time.Until(deadline))
	if err != nil {
		_ = c.Close() // the connection is broken
		return &carrier.Answer{Outcome: carrier.Failed, Reason: "write: " + err.Error()}
	}
	response := &response{Response: fasthttp.AcquireResponse()}
	defer fasthttp.ReleaseResponse(response.Response)
	err = c.read(v.call, response, bodyreader.Reader{
		Source: c.reader,
		Limit:  d.maxBody(),
		Memory: d.Reserver,
		Owner:  reserver.Owner{Class: reserver.Answer, Deadline: deadline.Add(responseGrace)},
	}, d.unidentifiedWait())
	if err == nil && response.endsWithConnection {
		err = c.checkEnd(bodyWritten)
	}
	d.mu.Lock()
	v.conn = nil
	d.mu.Unlock()
	if err != nil {
		_ = c.Close() // further data could not be assigned to a request
		d.Reserver.Discard(response.body.Size())
		return readFailure(err, time.Now(), deadline)
	}
	if c.reusable(response, bodyWritten) {
		d.putIdle(c, time.Now())
	} else {
		_ = c.Close() // the connection cannot carry another request
	}
	return d.toAnswer(response)
}

// maxBody returns the maximum size in bytes of a response's body. A target may send a body that never
// ends on all its connections at once, which must not exhaust the memory of this process.
func (d *Deliverer) maxBody() int {
	if d.Memory == 0 {
		return maxResponseBody
	}
	d.mu.Lock()
	slots := max(d.queue.Slots, 1)
	d.mu.Unlock()
	perSlot := int(responseMemoryShare * float64(d.Memory) / float64(slots))
	return min(max(perSlot, minResponseBody), maxResponseBody)
}

// unidentifiedWait returns the time for which the target's response is awaited after one without an ID.
func (d *Deliverer) unidentifiedWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(ampleTimeFactor*d.queue.Load().Mean, minUnidentifiedWait)
}

// readFailure returns the outcome of a call whose response could not be read.
func readFailure(err error, now, deadline time.Time) *carrier.Answer {
	if !now.Before(deadline) {
		return &carrier.Answer{Outcome: carrier.Expired, Reason: "target did not answer in time"}
	}
	return &carrier.Answer{Outcome: carrier.Failed, Reason: "read: " + err.Error()}
}

// toAnswer converts the target's response into the answer to the call.
func (d *Deliverer) toAnswer(response *response) *carrier.Answer {
	status := response.StatusCode()
	if status == fasthttp.StatusMisdirectedRequest {
		d.handleMisdirected(string(response.Header.Peek(platform.HeaderAnsweringInstance)))
		return &carrier.Answer{Outcome: carrier.Shed, Reason: "other instance"}
	}
	if len(response.Header.Peek(platform.HeaderNotRun)) > 0 {
		return &carrier.Answer{Outcome: carrier.Shed, Reason: "shed by target"}
	}
	return &carrier.Answer{
		Outcome:  carrier.Answered,
		Status:   status,
		Headers:  carrier.CopyHeaders(response.Header.All(), carrier.HopByHop),
		Body:     response.body.First,
		BodyRest: response.body.Rest,
	}
}

// handleMisdirected stops calls because another instance of the target listens on the address. That
// instance gets calls once its first heartbeat is accepted, which may have happened already.
func (d *Deliverer) handleMisdirected(found string) {
	d.mu.Lock()
	d.Log.Info("deliver: another instance of the target responded",
		zap.String("expected", d.target.ID),
		zap.String("found", found))
	run := d.target.Run
	if run.ID != found {
		d.target.State = tracker.Unreported
	}
	d.updateSlots(time.Now())
	d.mu.Unlock()
	d.OnStateChange()
	if run.ID != found {
		d.OnMisdirected(run)
	}
}
