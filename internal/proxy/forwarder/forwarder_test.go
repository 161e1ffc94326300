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

// scripted answers each attempt with the next outcome.
type scripted struct {
	answers []*carrier.Answer
	calls   []*carrier.Call
}

func (s *scripted) Serve(call *carrier.Call, answer func(*carrier.Answer)) func() {
	s.calls = append(s.calls, call)
	next := s.answers[0]
	if len(s.answers) > 1 {
		s.answers = s.answers[1:]
	}
	if next != nil {
		copied := *next
		answer(&copied)
	}
	return func() {}
}

func (s *scripted) State() carrier.State { return carrier.State{Serving: true, Slots: 4} }

func (s *scripted) ParentPriority(derived []byte) (int, bool) {
	return 1, len(derived) > 0 && derived[0] == 'p'
}

func newForwarder(local *scripted) *Forwarder {
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
			LatencyObjective: 200 * time.Millisecond,
			MaxAttempts:      2,
			WeightedServices: []matcher.WeightedService{{Service: "s", Weight: 1}},
		},
		Arrived:   time.Now(),
		Remaining: time.Second,
	}
}

func outcome(o carrier.Outcome) *carrier.Answer {
	return &carrier.Answer{Outcome: o, NodeState: carrier.State{Serving: true}}
}

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		answers    []*carrier.Answer
		verdict    Verdict
	}{
		"answered":                        {false, []*carrier.Answer{outcome(carrier.Answered)}, Answered},
		"refused everywhere":              {false, []*carrier.Answer{outcome(carrier.Refused)}, Refused},
		"no free slot, then answered":     {false, []*carrier.Answer{outcome(carrier.Refused), outcome(carrier.Answered)}, Answered},
		"shed by the only target":         {false, []*carrier.Answer{outcome(carrier.Shed)}, Refused},
		"may have run":                    {false, []*carrier.Answer{outcome(carrier.Failed)}, Failed},
		"may have run, could be repeated": {true, []*carrier.Answer{outcome(carrier.Failed)}, Failed},
		"unknown":                         {false, []*carrier.Answer{outcome(carrier.Unknown)}, Failed},
		"time was up":                     {false, []*carrier.Answer{outcome(carrier.Expired)}, Expired},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			local := &scripted{answers: test.answers}
			result := newForwarder(local).Forward(newRequest("r", test.idempotent))
			assert.Equal(t, result.Verdict, test.verdict)
			if test.verdict == Refused {
				assert.Assert(t, result.RetryAfter > 0)
			}
		})
	}
}

// TestAllowanceFollowsTheFleet spends as a lone node until others are known: what it may
// spend then is its share.
func TestAllowanceFollowsTheFleet(t *testing.T) {
	nodes := 1.0
	f := newForwarder(&scripted{})
	f.Budget = func() budgeter.Budget {
		return budgeter.Budget{Ratio: 0.2, Slack: 50 / nodes, Window: 10 * time.Second}
	}
	now := time.Unix(1000, 0)
	p := &pass{service: "s", nested: true}
	assert.Assert(t, f.mayRepeat(p, now))
	nodes = 50
	assert.Assert(t, !f.mayRepeat(p, now))
}

func TestClientLeaves(t *testing.T) {
	gone := make(chan struct{})
	request := newRequest("r", true)
	request.Gone = gone
	time.AfterFunc(20*time.Millisecond, func() { close(gone) })
	result := newForwarder(&scripted{answers: []*carrier.Answer{nil}}).Forward(request)
	assert.Equal(t, result.Verdict, Left)
}

func TestNoTarget(t *testing.T) {
	f := newForwarder(&scripted{})
	f.Service = "other"
	result := f.Forward(newRequest("r", true))
	assert.Equal(t, result.Verdict, Refused)
}

// TestTimeLeft hands on what is left, never more, and no attempt once nothing is left.
func TestTimeLeft(t *testing.T) {
	local := &scripted{answers: []*carrier.Answer{outcome(carrier.Answered)}}
	request := newRequest("r", true)
	request.Arrived = time.Now().Add(-600 * time.Millisecond)
	assert.Equal(t, newForwarder(local).Forward(request).Verdict, Answered)
	assert.Assert(t, local.calls[0].Remaining <= 400*time.Millisecond)
	late := newRequest("r", true)
	late.Arrived = time.Now().Add(-995 * time.Millisecond)
	assert.Equal(t, newForwarder(local).Forward(late).Verdict, Refused)
	assert.Equal(t, len(local.calls), 1)
}

func TestClassOfARequest(t *testing.T) {
	tests := map[string]struct {
		id               string
		left             time.Duration
		nested, returned bool
	}{
		"fresh":                 {"r", 2000 * time.Millisecond, false, false},
		"fresh, less patient":   {"r", 1750 * time.Millisecond, false, false},
		"returned":              {"r", 1400 * time.Millisecond, false, true},
		"of a running request":  {"p.1", 2000 * time.Millisecond, true, false},
		"nested with less time": {"p.1", 300 * time.Millisecond, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			local := &scripted{answers: []*carrier.Answer{outcome(carrier.Answered)}}
			f := newForwarder(local)
			first := newRequest("r", true)
			first.Remaining = 2000 * time.Millisecond
			f.Forward(first)
			request := newRequest(test.id, true)
			request.Remaining = test.left
			f.Forward(request)
			assert.Equal(t, local.calls[1].Nested, test.nested)
			assert.Equal(t, local.calls[1].ClientRetry, test.returned)
		})
	}
}
