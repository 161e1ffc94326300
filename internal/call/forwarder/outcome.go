// Package forwarder carries calls: from a caller through its node and the node
// beside a target to the target, and the answer back.
package forwarder

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is what the mesh can say about a call. It is sent to the caller in
// HeaderOutcome.
type Outcome string

// Outcomes of a call.
const (
	Answered Outcome = "answered" // the target's own answer, whole
	Refused  Outcome = "refused"  // proved not run
	Unknown  Outcome = "unknown"  // it may have run
)

// Headers that the mesh reads and writes.
const (
	HeaderOutcome  = "Mesh-Outcome"
	HeaderReason   = "Mesh-Reason"
	HeaderCall     = "Mesh-Call"        // identifies a call through all levels
	HeaderAttempt  = "Mesh-Attempt"     // identifies one delivery; between nodes only
	HeaderService  = "Mesh-Service"     // between nodes only
	HeaderTarget   = "Mesh-Target"      // address of the target; between nodes only
	HeaderClass    = "Mesh-Class"       // between nodes only
	HeaderCaller   = "Mesh-Caller"      // IP address of the caller; between nodes only
	HeaderNoWait   = "Mesh-No-Wait"     // refuse at once if no slot is open; between nodes only
	HeaderOnce     = "Mesh-Once"        // set if the call must not be repeated; between nodes only
	HeaderDeadline = "Mesh-Deadline-Ms" // time left
	HeaderDepth    = "Mesh-Depth"       // levels of calls above this one
	HeaderLoad     = "Mesh-Load"        // load of the target after the call; between nodes only
	HeaderPace     = "Mesh-Pace-Us"     // median time in a slot of the target; between nodes only
	HeaderNotRun   = "Mesh-Not-Run"     // a target sets it to "true" on a call that it shed
	HeaderVoid     = "Mesh-Void"        // asks for an attempt to be forbidden; between nodes only
)

// Reason says why a call was refused or its outcome is unknown.
type Reason string

// Reasons.
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
)

// Result is the outcome of one attempt.
type Result struct {
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

func refused(reason Reason) Result { return Result{Outcome: Refused, Reason: reason} }

func unknown(reason Reason) Result { return Result{Outcome: Unknown, Reason: reason} }

// write turns a result other than an answer into a response.
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

// readResult returns what a peer's response says.
func readResult(response *fasthttp.Response) Result {
	switch outcome := Outcome(response.Header.Peek(HeaderOutcome)); outcome {
	case Answered:
		return Result{Outcome: Answered}
	case Refused, Unknown:
		return Result{Outcome: outcome, Reason: Reason(response.Header.Peek(HeaderReason))}
	}
	return unknown(ReasonPeer)
}

// timeLeft reads a deadline header.
func timeLeft(header []byte, longest time.Duration) time.Duration {
	if len(header) == 0 {
		return longest
	}
	ms, err := strconv.ParseInt(string(header), 10, 64)
	if err != nil || ms < 0 {
		return longest
	}
	return min(time.Duration(ms)*time.Millisecond, longest)
}

func setTimeLeft(request *fasthttp.Request, deadline time.Time) {
	left := max(time.Until(deadline), 0)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}
