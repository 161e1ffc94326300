// Package throttler limits the usage of client accounts over all nodes. The issuer of an account keeps a
// token bucket and grants credit to the entry nodes, which admit one request for each credit. While no
// issuer responds, an entry node admits requests from a small local share.
//
// Issuer, Entry and Share read no clock and perform no I/O. Times are durations on expirer.Clock, since a
// pause of the host counts.
package throttler

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// Shards is the number of parts into which accounts are divided by their name. Each part has one issuer.
const Shards = 8

// ShardOf returns the shard of an account.
func ShardOf(account string) int { return int(xxh3.HashString(account) % Shards) }

const (
	// creditLife is the time for which credit may be used, from the time at which it was requested.
	creditLife = 200 * time.Millisecond

	// returnAge is the time after a grant in which the issuer takes all credit back that is returned. It
	// takes later returns from a small allowance only, see Limits.Late.
	returnAge = 250 * time.Millisecond

	// runDelay is the assumed time from the use of credit until the request reaches its target.
	runDelay = 50 * time.Millisecond

	// grantLag is the time by which a window of requests that run may contain grants and returns from
	// before it.
	grantLag = creditLife + returnAge + runDelay
)

// Shares of the tolerated slack. The rest of the tolerance makes up for grantLag.
const (
	depthSlack = 1.0 / 4 // issuer's bucket, so that jitter does not refuse requests within the cap
	lateSlack  = 1.0 / 8 // late returns of credit

	// localSlack is the share for the local shares of all nodes. It is twice their expected sum in a
	// window, since the sum varies.
	localSlack = 1.0 / 2

	// slotSlack is the expected sum of the local shares in a slot of one window. Any window meets two
	// slots of each node at most.
	slotSlack = localSlack / 4
)

// Bounds is the tolerated usage above the caps. In each window, an account's requests that run are at most
// (rate x Window + burst) x (1 + Over) + Slack.
type Bounds struct {
	Window time.Duration // 0 for no caps
	Over   float64
	Slack  float64
}

// Limits is what the issuer applies for an account. In each Span, the grants are at most Depth + Rate x Span, or
// Shallow + FastRate x Span, which are equal.
type Limits struct {
	Rate  float64 // tokens per second
	Depth float64 // maximum number of tokens
	Late  float64 // maximum number of credits per window that are returned late and granted again

	// FastRate applies while the bucket has held at most Shallow tokens for Span. An account that is always
	// above its cap then gets the burst that the bound allows in each window. With Rate, it got 51 requests a
	// second where the bound allows 68.
	FastRate float64
	Shallow  float64
	Span     time.Duration // window with the lag of grants
}

// Parts of an account's burst that the bucket holds at FastRate. It is deep enough for the jitter of an
// account within its rate.
const (
	burstDepth  = 0.3 // share of the burst
	jitterDepth = 3   // standard deviations of the number of requests in a second
)

// Limits returns the limits for an account's rate per second and burst. The grants of one issuer, of its
// successor with an empty bucket, and the local shares of all nodes together stay within the bound in
// each window.
func (b Bounds) Limits(rate, burst float64) Limits {
	total := (rate*b.Window.Seconds()+burst)*(1+b.Over) + b.Slack
	l := Limits{Late: lateSlack * b.Slack, Span: b.Window + grantLag}
	l.Depth = min(max(burst+depthSlack*b.Slack, 1), total)
	shallow := min(burst, max(burstDepth*burst, jitterDepth*math.Sqrt(rate)))
	l.Shallow = min(max(shallow+depthSlack*b.Slack, 1), l.Depth)
	rest := total - l.Late - localSlack*b.Slack
	l.Rate = max(rest-l.Depth, 0) / l.Span.Seconds()
	l.FastRate = max(rest-l.Shallow, 0) / l.Span.Seconds()
	return l
}

// Max returns the maximum number of requests of an account that may run in a window.
func (b Bounds) Max(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+b.Over) + b.Slack
}

// toDuration converts seconds to a duration of at most a day.
func toDuration(seconds float64) time.Duration {
	const day = 24 * 60 * 60
	if math.IsNaN(seconds) {
		return 0
	}
	return time.Duration(min(max(seconds, 0), day) * float64(time.Second))
}
