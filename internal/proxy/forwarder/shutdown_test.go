package forwarder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
)

// withdrawableTarget holds each call until it is withdrawn, and then refuses it.
type withdrawableTarget struct {
	fakeTarget

	running bool // calls have started, so that to withdraw them has no effect
	served  int
}

type withdrawableDelivery struct {
	target *withdrawableTarget
	answer func(*carrier.Answer)
}

func (t *withdrawableTarget) Serve(_ *carrier.Call, answer func(*carrier.Answer)) carrier.Delivery {
	t.served++
	return &withdrawableDelivery{target: t, answer: answer}
}

func (d *withdrawableDelivery) Cancel() {}

func (d *withdrawableDelivery) Withdraw() {
	if !d.target.running {
		d.answer(answerWith(carrier.Refused))
	}
}

// TestShutdown guards against requests that have no result when the process ends, that are refused although a target
// runs them, or that are sent to another target although it can't run them in time.
func TestShutdown(t *testing.T) {
	tests := map[string]struct {
		idempotent, running bool
		early               bool // the shutdown begins before the request arrives, and leaves it no time
		verdict             Verdict
		served              int
	}{
		"queued":              {false, false, false, Refused, 1},
		"queued, idempotent":  {true, false, false, Refused, 1},
		"running":             {false, true, false, Failed, 1},
		"running, idempotent": {true, true, false, Failed, 1},
		"late":                {false, false, true, Refused, 0},
		"late, idempotent":    {true, false, true, Refused, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target := &withdrawableTarget{running: test.running}
			f := newForwarder(nil)
			f.Local, f.Shutdown = target, new(carrier.Shutdown)
			request := newRequest("r", test.idempotent)
			request.Remaining, request.Route.Timeout = 10*time.Second, 10*time.Second
			begin := func() { f.Shutdown.Begin(time.Now().Add(150 * time.Millisecond)) }
			if test.early {
				f.Shutdown.Begin(time.Now())
				time.Sleep(time.Millisecond)
			} else {
				time.AfterFunc(50*time.Millisecond, begin)
				time.AfterFunc(400*time.Millisecond, f.Shutdown.Finish)
			}
			began := time.Now()
			result := f.Forward(request)
			assert.Equal(t, result.Verdict, test.verdict)
			assert.Equal(t, target.served, test.served)
			assert.Assert(t, time.Since(began) < 5*time.Second)
		})
	}
}
