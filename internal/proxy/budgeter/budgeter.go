// Package budgeter bounds how many arrivals beyond the first of each request a service
// gets.
package budgeter

import "time"

const (
	buckets = 10  // parts of the window
	safety  = 0.8 // share of the allowance that a node spends
	modest  = 0.5 // of that, the share for repeats without which a client may still come back
)

// Budget allows repeats up to a share of the requests in a sliding window and a fixed
// number beside. It answers the pattern in which every request of a service fails at
// once: repeats then stop at the allowance, whatever is asked for.
//
// The window is kept in parts; a part counts until it has left the window whole.
type Budget struct {
	Ratio  float64       // repeats per request
	Slack  float64       // repeats in a window, whatever the load
	Window time.Duration // length of the sliding window

	parts [buckets + 1]part
}

type part struct {
	number   int64
	requests int
	repeats  int
}

func (b *Budget) at(now time.Time) *part {
	number := now.UnixNano() / int64(b.Window/buckets)
	p := &b.parts[number%int64(len(b.parts))]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

// AddRequest counts a request for the service.
func (b *Budget) AddRequest(now time.Time) { b.at(now).requests++ }

// AllowRetry spends one repeated arrival if the window allows it. Nested says that it is for a
// call of a running request. It answers the pattern in which all targets of a service shed
// much of their work: a client that is turned away comes back at no cost to the budget,
// while a nested call that fails takes its parent's work with it.
func (b *Budget) AllowRetry(now time.Time, nested bool) bool {
	current := b.at(now)
	requests, repeats := 0, 0
	for i := range b.parts {
		if b.parts[i].number+int64(len(b.parts)) > current.number {
			requests += b.parts[i].requests
			repeats += b.parts[i].repeats
		}
	}
	allowance := safety * (b.Ratio*float64(requests) + b.Slack)
	if !nested {
		allowance *= modest
	}
	if float64(repeats+1) > allowance {
		return false
	}
	current.repeats++
	return true
}
