// Package budgeter limits the retries that a node sends to a service. A retry here is a further
// attempt at a request that has already reached a target.
package budgeter

import "time"

const (
	bucketsPerWindow = 10  // number of buckets into which a window is divided
	spendableShare   = 0.8 // share of the budget that a node spends at most

	// requestShare and soleRequestShare are the shares of the spendable budget for retries other than those
	// of nested calls, while the service gets nested calls and while it gets none.
	requestShare     = 0.5
	soleRequestShare = 0.95
)

// Budget is a retry budget: it allows retries up to a ratio of the requests in a sliding window, plus
// a fixed number per window. It is designed for the load pattern in which every request of a service
// fails at once: the retries then stop at the budget, however many are requested.
//
// The window is divided into buckets. A bucket counts until all of it has left the window.
type Budget struct {
	Ratio  float64       // allowed retries per request
	Slack  float64       // allowed retries per window, independent of the number of requests
	Window time.Duration // length of the sliding window

	began   time.Time // time of the first count
	buckets [bucketsPerWindow + 1]bucket
}

// bucket holds the counts of one part of a window.
type bucket struct {
	number   int64 // index of the part, counted from 1 at the first count; 0 if the bucket is unused
	requests int
	nested   int // requests that are nested calls
	retries  int
}

// bucketAt returns the bucket of a point in time, cleared if it still holds older counts.
func (b *Budget) bucketAt(now time.Time) *bucket {
	if b.began.IsZero() {
		b.began = now
	}
	number := 1 + int64(max(now.Sub(b.began), 0)/(b.Window/bucketsPerWindow))
	p := &b.buckets[number%int64(len(b.buckets))]
	if p.number != number {
		*p = bucket{number: number}
	}
	return p
}

// AddRequest counts a request for the service. nested says whether it is a nested call.
func (b *Budget) AddRequest(now time.Time, nested bool) {
	current := b.bucketAt(now)
	current.requests++
	if nested {
		current.nested++
	}
}

// AllowRetry reports whether the budget allows a retry now, and counts the retry if so. nested says
// whether it is the retry of a nested call.
//
// Retries of requests other than nested calls get only part of the budget of a service that gets nested
// calls, for the load pattern in which all targets of a service shed much of their work: a refused client
// can send its request again at no cost to the budget, whereas a nested call that fails wastes the work of
// its parent request.
func (b *Budget) AllowRetry(now time.Time, nested bool) bool {
	current := b.bucketAt(now)
	requests, nestedCalls, retries := 0, 0, 0
	for i := range b.buckets {
		if b.buckets[i].number+int64(len(b.buckets)) > current.number {
			requests += b.buckets[i].requests
			nestedCalls += b.buckets[i].nested
			retries += b.buckets[i].retries
		}
	}
	limit := spendableShare * (b.Ratio*float64(requests) + b.Slack)
	switch {
	case nested:
	case nestedCalls > 0:
		limit *= requestShare
	default:
		limit *= soleRequestShare
	}
	if float64(retries+1) > limit {
		return false
	}
	current.retries++
	return true
}
