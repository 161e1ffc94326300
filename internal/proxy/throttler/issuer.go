package throttler

import (
	"math/rand/v2"
	"time"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/matcher"
)

const (
	// maxBacklog is the time in which the requests that were refused lately could be granted, at most. It
	// limits the retry delays.
	maxBacklog = 2 * time.Second

	// maxWant is the maximum number of credits in one request for an account.
	maxWant = 1 << 12
)

// Issuer grants credit for the accounts of the shards that this node holds.
type Issuer struct {
	Bounds Bounds

	nodes     int // number of nodes, of which each has an equal part of the rates; 0 if there are no others
	shards    [Shards]heldShard
	buckets   map[string]*bucket // by account; only those of held shards
	loans     map[Process]loan   // parts that nodes have lent, by lender
	expiresAt time.Duration      // earliest end of a loan
}

// loan is a part of the rates that a node has lent to the issuer.
type loan struct {
	shards uint64        // bit set of the shards to whose accounts it belongs
	until  time.Duration // end of the loan
}

// heldShard is the state of a shard at its issuer.
type heldShard struct {
	held  bool
	since time.Duration // time at which it was taken, with empty buckets
	epoch uint64        // random; tells the periods apart in which nodes held the shard
	lent  int           // number of nodes whose part is lent
}

// bucket holds the tokens of one account.
type bucket struct {
	limits  Limits
	tokens  float64
	backlog float64 // refused requests that are expected to return, drained like tokens are added
	late    float64 // credits that may still be returned late
	updated time.Duration
	part    float64       // part of the rates that nodes have lent
	above   time.Duration // last time at which there were more than limits.Shallow tokens, or the limits changed
}

// Take records that this node holds a shard from now on. Its buckets are empty.
func (i *Issuer) Take(shard int, now time.Duration) {
	i.Drop(shard)
	i.shards[shard] = heldShard{held: true, since: now, epoch: rand.Uint64()}
}

// Drop records that this node holds a shard no more.
func (i *Issuer) Drop(shard int) {
	i.dropBuckets(shard)
	i.shards[shard] = heldShard{}
	for lender, l := range i.loans {
		l.shards &^= 1 << shard
		i.loans[lender] = l
	}
}

func (i *Issuer) dropBuckets(shard int) {
	for account := range i.buckets {
		if ShardOf(account) == shard {
			delete(i.buckets, account)
		}
	}
}

// SetAccounts applies the limits of a new configuration at once. The bucket of an account that is not limited any more
// is kept for a window, since a later configuration may limit the account again and a new bucket is full.
func (i *Issuer) SetAccounts(table *matcher.Table, now time.Duration) {
	i.endLoans(now)
	for name, b := range i.buckets {
		account := table.AccountByName(name)
		if account == nil || account.Rate == 0 {
			if now-b.updated > i.Bounds.Window+grantLag {
				delete(i.buckets, name)
			}
			continue
		}
		b.setLimits(i.Bounds.Limits(account.Rate, account.Burst), now)
	}
}

// Grant grants credit for an account whose shard this node holds: want for requests that wait, and ahead
// for requests that are expected if enough is left. The caller has checked the lease.
func (i *Issuer) Grant(account *matcher.Account, want, ahead int, now time.Duration) carrier.AccountCredit {
	want, ahead = min(max(want, 0), maxWant), min(max(ahead, 0), maxWant)
	shard := &i.shards[ShardOf(account.Name)]
	grant := carrier.AccountCredit{Account: account.Name}
	if !shard.held || account.Rate == 0 {
		return grant
	}
	i.endLoans(now)
	grant.Issued, grant.Epoch, grant.Time, grant.Asked = true, shard.epoch, now, want+ahead
	b := i.bucket(account, shard.since)
	b.setLimits(i.Bounds.Limits(account.Rate, account.Burst), now)
	grant.Count = min(want, int(b.tokens))
	b.tokens -= float64(grant.Count)
	if grant.Count < want {
		b.refuse(want - grant.Count)
		grant.Wait, grant.RetryAfter = b.waits()
		return grant
	}
	more := min(ahead, max(int(b.tokens-b.limits.Depth/2), 0))
	b.tokens -= float64(more)
	grant.Count += more
	return grant
}

// Return takes back credit of requests that did not run. Old credit is taken back from a small allowance
// only: if it were granted again, more than the bound might run in one window.
func (i *Issuer) Return(r *carrier.ReturnedCredit, now time.Duration) {
	shard := &i.shards[ShardOf(r.Account)]
	b := i.buckets[r.Account]
	if !shard.held || r.Epoch != shard.epoch || b == nil || r.Count <= 0 || r.Count > maxWant {
		return
	}
	i.endLoans(now)
	b.refill(now)
	count := float64(r.Count)
	if age := now - r.Time; age < 0 || age > returnAge {
		count = min(count, b.late)
		b.late -= count
	}
	b.tokens = min(b.tokens+count, b.limits.Depth)
	b.noteLevel(now)
}

// bucket returns the bucket of an account. A new one has been filled since the shard was taken.
func (i *Issuer) bucket(account *matcher.Account, since time.Duration) *bucket {
	b, ok := i.buckets[account.Name]
	if !ok {
		if i.buckets == nil {
			i.buckets = make(map[string]*bucket)
		}
		b = &bucket{limits: i.Bounds.Limits(account.Rate, account.Burst), updated: since, above: since}
		b.part = i.part(ShardOf(account.Name))
		i.buckets[account.Name] = b
	}
	return b
}

// setLimits fills the bucket until now and applies limits. Lower ones remove tokens at once.
func (b *bucket) setLimits(limits Limits, now time.Duration) {
	b.limits.Rate = min(b.limits.Rate, limits.Rate) // the time of the change is not known exactly
	b.refill(now)
	if b.limits != limits {
		b.above = now
	}
	b.limits = limits
	b.tokens = min(b.tokens, limits.Depth)
	b.late = min(b.late, limits.Late/2)
}

// refill adds the tokens until now: at the fast rate up to the shallow depth if the bucket has held no more
// for the whole span, else at the usual rate. In each span, either no grant comes from tokens above the
// shallow depth or none from the fast rate.
func (b *bucket) refill(now time.Duration) {
	elapsed := max(now-b.updated, 0).Seconds() * b.part
	added, slow := 0.0, elapsed
	if l := &b.limits; b.updated-b.above >= l.Span && l.FastRate > 0 {
		fast := min(elapsed, max(l.Shallow-b.tokens, 0)/l.FastRate)
		added, slow = fast*l.FastRate, elapsed-fast
	}
	added += slow * b.limits.Rate
	b.updated = max(now, b.updated)
	b.tokens = min(b.tokens+added, b.limits.Depth)
	b.noteLevel(now)
	b.backlog = max(b.backlog-added, 0)
	// Half as depth and half as rate stay within the allowance in each window of maxLateWindow.
	b.late = min(b.late+elapsed*b.limits.Late/2/maxLateWindow.Seconds(), b.limits.Late/2)
}

// noteLevel records that the bucket holds more than the shallow depth, if it does.
func (b *bucket) noteLevel(now time.Duration) {
	if b.tokens > b.limits.Shallow {
		b.above = max(now, b.above)
	}
}

// maxLateWindow is the time in which the allowance for late returns is refilled. It exceeds all windows that
// operators set (5 s), with grantLag.
const maxLateWindow = 10 * time.Second

// refuse counts requests that were not granted.
func (b *bucket) refuse(requests int) {
	b.backlog = min(b.backlog+float64(requests), 1+b.limits.Rate*maxBacklog.Seconds())
}

// waits returns the time until the next token, and the time until the requests that were refused lately
// could have been granted.
func (b *bucket) waits() (next, all time.Duration) {
	if b.limits.Rate <= 0 {
		return maxBacklog, maxBacklog
	}
	next = toDuration((1 - b.tokens) / b.limits.Rate)
	return next, max(next, toDuration((b.backlog-b.tokens)/b.limits.Rate))
}
