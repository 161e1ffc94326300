package forwarder

import (
	"time"

	"clementinerock/internal/proxy/carrier"
)

// reasonStopping is the reason of a request that is refused because this process ends before a target could run it.
const reasonStopping = "node stopping"

// exchangeLocally passes a call to the target on this host and waits for its answer. It returns nil if the client
// disconnects.
func (f *Forwarder) exchangeLocally(p *progress, call *carrier.Call) *carrier.Answer {
	answers := make(chan *carrier.Answer, 1)
	delivery := f.Local.Serve(call, func(answer *carrier.Answer) { answers <- answer })
	if delivery == nil {
		return <-answers
	}
	shutdown := f.Shutdown.Watch()
	for {
		select {
		case answer := <-answers:
			return answer
		case <-p.Gone:
			delivery.Cancel()
			return nil
		case <-shutdown.Begun:
			shutdown.Start(f.Local.State().Mean)
		case <-shutdown.Withdraw:
			shutdown.Withdraw = nil
			delivery.Withdraw()
		case <-shutdown.Finished:
			delivery.Cancel()
			return &carrier.Answer{Outcome: carrier.Unknown, Reason: reasonStopping}
		}
	}
}

// stopsBefore reports whether this process ends too early for a call that is sent to a destination now.
func (f *Forwarder) stopsBefore(to destination, now time.Time) bool {
	if _, begun := f.Shutdown.End(); !begun {
		return false
	}
	state := f.Local.State()
	if to.link != nil {
		state, _, _, _ = to.link.State()
	}
	return f.Shutdown.TooLate(now, state.Mean)
}

// voidInTime is void, but gives up at the end of this process.
func (f *Forwarder) voidInTime(to destination, call *carrier.Call) bool {
	if call.Idempotent || to.link == nil {
		return false
	}
	voided := make(chan bool, 1)
	go func() { voided <- f.void(to, call) }()
	select {
	case done := <-voided:
		return done
	case <-f.Shutdown.Watch().Finished:
		return false
	}
}
