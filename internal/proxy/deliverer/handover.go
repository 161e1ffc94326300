package deliverer

import (
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
)

// exchange sends the call on a connection and reads the answer.
func (d *Deliverer) exchange(v *delivery, c *conn, instance string) *carrier.Answer {
	end := v.Arrived.Add(v.call.Remaining)
	if err := c.SetDeadline(end.Add(answerGrace)); err != nil {
		_ = c.Close() // another connection serves the next call
		return &carrier.Answer{Outcome: carrier.Refused, Reason: "connection lost"}
	}
	d.mu.Lock()
	v.conn = c
	d.mark(v.call)
	gaveUp := v.gaveUp
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.unmark(v.call)
		d.mu.Unlock()
	}()
	if gaveUp {
		_ = c.Close() // the client left before anything was sent
		return &carrier.Answer{Outcome: carrier.Refused, Reason: "given up"}
	}
	finished, err := c.write(v.call, instance, time.Until(end))
	if err != nil {
		_ = c.Close() // a broken connection
		return &carrier.Answer{Outcome: carrier.Failed, Reason: "write: " + err.Error()}
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err = c.read(v.call, response)
	d.mu.Lock()
	v.conn = nil
	d.mu.Unlock()
	if err != nil {
		_ = c.Close() // what follows on it belongs to no request
		return failure(err, time.Now(), end)
	}
	if c.reusable(response, finished) {
		d.put(c, time.Now())
	} else {
		_ = c.Close() // not to be used again
	}
	return d.result(response)
}

func failure(err error, now, end time.Time) *carrier.Answer {
	if !now.Before(end) {
		return &carrier.Answer{Outcome: carrier.Expired, Reason: "target did not answer in time"}
	}
	return &carrier.Answer{Outcome: carrier.Failed, Reason: "read: " + err.Error()}
}

// result turns the target's response into an answer.
func (d *Deliverer) result(response *fasthttp.Response) *carrier.Answer {
	status := response.StatusCode()
	if status == fasthttp.StatusMisdirectedRequest {
		d.misdirected(string(response.Header.Peek(platform.HeaderAnswering)))
		return &carrier.Answer{Outcome: carrier.Shed, Reason: "other instance"}
	}
	if len(response.Header.Peek(platform.HeaderNotRun)) > 0 {
		return &carrier.Answer{Outcome: carrier.Shed, Reason: "shed by target"}
	}
	return &carrier.Answer{
		Outcome: carrier.Answered,
		Status:  status,
		Headers: carrier.CopyHeaders(response.Header.All(), carrier.HopByHop),
		Body:    append([]byte(nil), response.Body()...),
	}
}

// misdirected takes in that another start of the target has the address. It gets calls
// once its first heartbeat is here.
func (d *Deliverer) misdirected(found string) {
	d.mu.Lock()
	d.Log.Info("deliver: another instance answers", zap.String("expected", d.target.ID), zap.String("found", found))
	if d.target.ID != found {
		d.target.State = tracker.Unreported
	}
	d.resize(time.Now())
	d.mu.Unlock()
	d.Changed()
}
