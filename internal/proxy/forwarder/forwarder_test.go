package forwarder

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/budgeter"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/matcher"
)

type noMeter struct{}

func (noMeter) Add(string, int64)             {}
func (noMeter) Observe(string, time.Duration) {}

// fakeTarget answers each call with the next answer, and further calls with the last one. A nil
// answer leaves the call open.
type fakeTarget struct {
	answers []*carrier.Answer
	calls   []*carrier.Call
}

func (t *fakeTarget) Serve(call *carrier.Call, answer func(*carrier.Answer)) carrier.Delivery {
	t.calls = append(t.calls, call)
	next := t.answers[0]
	if len(t.answers) > 1 {
		t.answers = t.answers[1:]
	}
	if next != nil {
		copied := *next
		answer(&copied)
	}
	return fakeDelivery{}
}

// fakeDelivery is a call that nothing ends.
type fakeDelivery struct{}

func (fakeDelivery) Cancel()   {}
func (fakeDelivery) Withdraw() {}

func (t *fakeTarget) State() carrier.State { return carrier.State{Serving: true, Slots: 4} }

// ParentPriority treats IDs that begin with "p" as derived from a running request.
func (t *fakeTarget) ParentPriority(derived []byte) (int, bool) {
	return 1, len(derived) > 0 && derived[0] == 'p'
}

func newForwarder(local *fakeTarget) *Forwarder {
	return &Forwarder{
		Log:     zap.NewNop(),
		Meter:   noMeter{},
		Service: "s",
		Local:   local,
		Hub:     &carrier.Hub{Self: carrier.Peer{Node: "n"}},
		Budget: func() budgeter.Budget {
			return budgeter.Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
		},
	}
}

func newRequest(id string, idempotent bool) *Request {
	return &Request{
		ID: []byte(id),
		Route: &matcher.Route{
			Name:             "r",
			Idempotent:       idempotent,
			Timeout:          time.Second,
			SoftDeadline:     200 * time.Millisecond,
			MaxAttempts:      2,
			WeightedServices: []matcher.WeightedService{{Service: "s", Weight: 1}},
		},
		Arrived:   time.Now(),
		Remaining: time.Second,
	}
}

func answerWith(outcome carrier.Outcome) *carrier.Answer {
	return &carrier.Answer{Outcome: outcome, Load: carrier.State{Serving: true}}
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		answers    []*carrier.Answer
		verdict    Verdict
	}{
		"answered":                    {false, []*carrier.Answer{answerWith(carrier.Answered)}, Answered},
		"refused by the only node":    {false, []*carrier.Answer{answerWith(carrier.Refused)}, Refused},
		"no free slot, then answered": {false, []*carrier.Answer{answerWith(carrier.Refused), answerWith(carrier.Answered)}, Answered},
		"shed by the only target":     {false, []*carrier.Answer{answerWith(carrier.Shed)}, Refused},
		"may have run":                {false, []*carrier.Answer{answerWith(carrier.Failed)}, Failed},
		"may have run, idempotent":    {true, []*carrier.Answer{answerWith(carrier.Failed)}, Failed},
		"outcome unknown":             {false, []*carrier.Answer{answerWith(carrier.Unknown)}, Failed},
		"deadline passed":             {false, []*carrier.Answer{answerWith(carrier.Expired)}, Expired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			local := &fakeTarget{answers: test.answers}
			result := newForwarder(local).Forward(newRequest("r", test.idempotent))
			assert.Equal(t, result.Verdict, test.verdict)
			if test.verdict == Refused {
				assert.Assert(t, result.RetryAfter > 0)
			}
		})
	}
}

// TestRetryBudgetFollowsNodeCount guards against a node that retries with the whole retry budget
// because it started before it discovered other nodes: from then on only its share is allowed.
func TestRetryBudgetFollowsNodeCount(t *testing.T) {
	nodes := 1.0
	f := newForwarder(&fakeTarget{})
	f.Budget = func() budgeter.Budget {
		return budgeter.Budget{Ratio: 0.2, Slack: 50 / nodes, Window: 10 * time.Second}
	}
	now := time.Unix(1000, 0)
	p := &progress{service: "s", nested: true}
	assert.Assert(t, f.allowRetry(p, now))
	nodes = 50
	assert.Assert(t, !f.allowRetry(p, now))
}

func TestClientDisconnects(t *testing.T) {
	gone := make(chan struct{})
	request := newRequest("r", true)
	request.Gone = gone
	time.AfterFunc(20*time.Millisecond, func() { close(gone) })
	result := newForwarder(&fakeTarget{answers: []*carrier.Answer{nil}}).Forward(request)
	assert.Equal(t, result.Verdict, Disconnected)
}

func TestNoTarget(t *testing.T) {
	f := newForwarder(&fakeTarget{})
	f.Service = "other"
	result := f.Forward(newRequest("r", true))
	assert.Equal(t, result.Verdict, Refused)
}

// TestRemainingTime checks that a call carries at most the remaining time of its request, and that
// a request without remaining time is not attempted.
func TestRemainingTime(t *testing.T) {
	local := &fakeTarget{answers: []*carrier.Answer{answerWith(carrier.Answered)}}
	request := newRequest("r", true)
	request.Arrived = time.Now().Add(-600 * time.Millisecond)
	assert.Equal(t, newForwarder(local).Forward(request).Verdict, Answered)
	assert.Assert(t, local.calls[0].Remaining <= 400*time.Millisecond)
	late := newRequest("r", true)
	late.Arrived = time.Now().Add(-995 * time.Millisecond)
	assert.Equal(t, newForwarder(local).Forward(late).Verdict, Refused)
	assert.Equal(t, len(local.calls), 1)
}

func TestRequestClass(t *testing.T) {
	tests := map[string]struct {
		id                  string
		remaining           time.Duration
		nested, clientRetry bool
	}{
		"first request":                {"r", 2000 * time.Millisecond, false, false},
		"first request, shorter limit": {"r", 1750 * time.Millisecond, false, false},
		"client retry":                 {"r", 1400 * time.Millisecond, false, true},
		"nested":                       {"p.1", 2000 * time.Millisecond, true, false},
		"nested, less time remaining":  {"p.1", 300 * time.Millisecond, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			local := &fakeTarget{answers: []*carrier.Answer{answerWith(carrier.Answered)}}
			f := newForwarder(local)
			first := newRequest("r", true)
			first.Remaining = 2000 * time.Millisecond
			f.Forward(first)
			request := newRequest(test.id, true)
			request.Remaining = test.remaining
			f.Forward(request)
			assert.Equal(t, local.calls[1].Nested, test.nested)
			assert.Equal(t, local.calls[1].ClientRetry, test.clientRetry)
		})
	}
}
