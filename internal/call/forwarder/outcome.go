// Package forwarder forwards calls from a client through the node that it connects to and
// the node on the target's host to the target, and returns the answer.
package forwarder

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is what is known about the execution of a call. It is sent to the client in HeaderOutcome.
type Outcome string

// Outcomes of a call.
const (
	Answered Outcome = "answered" // the complete answer of the target
	Refused  Outcome = "refused"  // it is proved that the call did not run
	Unknown  Outcome = "unknown"  // the call may have run
)

// Headers that nodes read and write.
const (
	HeaderOutcome  = "Mesh-Outcome"
	HeaderReason   = "Mesh-Reason"
	HeaderCall     = "Mesh-Call"        // ID of a call, shared by its nested calls
	HeaderAttempt  = "Mesh-Attempt"     // ID of one attempt; between nodes only
	HeaderService  = "Mesh-Service"     // between nodes only
	HeaderTarget   = "Mesh-Target"      // address of the target; between nodes only
	HeaderClass    = "Mesh-Class"       // between nodes only
	HeaderCaller   = "Mesh-Caller"      // IP address of the client; between nodes only
	HeaderNoWait   = "Mesh-No-Wait"     // refuse at once if no slot is free; between nodes only
	HeaderOnce     = "Mesh-Once"        // set if the call must not run twice; between nodes only
	HeaderDeadline = "Mesh-Deadline-Ms" // time until the deadline in milliseconds
	HeaderDepth    = "Mesh-Depth"       // number of calls that this one is nested in
	HeaderLoad     = "Mesh-Load"        // load of the target when it responded; between nodes only
	HeaderPace     = "Mesh-Pace-Us"     // median time in a slot in microseconds; between nodes only
	HeaderNotRun   = "Mesh-Not-Run"     // set to "true" by a target that shed the call
	HeaderVoid     = "Mesh-Void"        // ID of an attempt to void; between nodes only
)

// Reason is why a call was refused or its outcome is unknown.
type Reason string

// Reasons of refused calls and unknown outcomes.
const (
	ReasonNone        Reason = ""
	ReasonNoRoute     Reason = "no-route"
	ReasonNotReady    Reason = "node-not-ready"
	ReasonNoTarget    Reason = "no-target"
	ReasonBusy        Reason = "busy"
	ReasonNoSlot      Reason = "no-slot"
	ReasonDraining    Reason = "draining"
	ReasonDeadline    Reason = "deadline"
	ReasonUnreachable Reason = "unreachable"
	ReasonLost        Reason = "connection-lost"
	ReasonShed        Reason = "shed-by-target"
	ReasonDuplicate   Reason = "duplicate"
	ReasonPeer        Reason = "bad-peer-answer"
	ReasonBadAnswer   Reason = "bad-answer"
)

// Result is the outcome of one attempt.
type Result struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

func refused(reason Reason) Result { return Result{Outcome: Refused, Reason: reason} }

func unknown(reason Reason) Result { return Result{Outcome: Unknown, Reason: reason} }

// write fills the response for a result other than Answered.
func (r Result) write(response *fasthttp.Response) {
	response.Reset()
	response.Header.Set(HeaderOutcome, string(r.Outcome))
	response.Header.Set(HeaderReason, string(r.Reason))
	switch {
	case r.Reason == ReasonNoRoute:
		response.SetStatusCode(fasthttp.StatusNotFound)
	case r.Outcome == Refused:
		response.SetStatusCode(fasthttp.StatusServiceUnavailable)
		seconds := int(r.RetryAfter/time.Second) + 1
		response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	default:
		response.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
	response.SetBodyString(string(r.Outcome) + ": " + string(r.Reason) + "\n")
}

// readResult returns the result that a response of another node reports.
func readResult(response *fasthttp.Response) Result {
	switch outcome := Outcome(response.Header.Peek(HeaderOutcome)); outcome {
	case Answered:
		return Result{Outcome: Answered}
	case Refused, Unknown:
		return Result{Outcome: outcome, Reason: Reason(response.Header.Peek(HeaderReason))}
	}
	return unknown(ReasonPeer)
}

// remainingTime returns the value of a deadline header, at most maxRemaining. A missing or invalid
// header counts as maxRemaining.
func remainingTime(header []byte, maxRemaining time.Duration) time.Duration {
	if len(header) == 0 {
		return maxRemaining
	}
	ms, err := strconv.ParseInt(string(header), 10, 64)
	if err != nil || ms < 0 {
		return maxRemaining
	}
	return min(time.Duration(ms)*time.Millisecond, maxRemaining)
}

// setRemainingTime sets the deadline header to the time until the deadline.
func setRemainingTime(request *fasthttp.Request, deadline time.Time) {
	remaining := max(time.Until(deadline), 0)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
}
