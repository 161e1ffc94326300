package throttler

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/platform"
)

// TestLimits checks that the grants of an issuer, the late returns and the local shares together stay within
// the bound, and that the issuer's rate is not below the cap at the bounds of the deployments.
func TestLimits(t *testing.T) {
	tests := map[string]struct {
		bounds        Bounds
		rate, burst   float64
		coversTheRate bool
	}{
		"usual account":     {replayBounds, 20, 20, true},
		"slow account":      {replayBounds, 0.2, 0, true},
		"fast account":      {replayBounds, 5000, 0, true},
		"burst only":        {replayBounds, 1, 500, true},
		"no tolerance":      {Bounds{Window: 5 * time.Second}, 20, 10, false},
		"neither tolerance": {Bounds{Window: 5 * time.Second}, 20, 0, false},
		"short window":      {Bounds{Window: time.Second, Over: 0.1, Slack: 20}, 10, 5, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := test.bounds.Limits(test.rate, test.burst)
			sum := l.Depth + l.Rate*(test.bounds.Window+grantLag).Seconds() + l.Late + localSlack*test.bounds.Slack
			assert.Assert(t, sum <= test.bounds.Max(test.rate, test.burst)+1e-9)
			assert.Assert(t, l.Depth >= 1 && l.Rate >= 0)
			assert.Assert(t, !test.coversTheRate || l.Rate >= test.rate, "rate %f", l.Rate)
		})
	}
}

var capped = &matcher.Account{Name: "a", Rate: 20, Burst: 10}

// newIssuer returns an issuer that has held the account's shard for long enough to fill its bucket.
func newIssuer(now time.Duration) *Issuer {
	i := &Issuer{Bounds: replayBounds}
	i.Take(ShardOf(capped.Name), now-time.Minute)
	return i
}

// TestIssuer guards against credit beyond the limits of an account.
func TestIssuer(t *testing.T) {
	limits := replayBounds.Limits(capped.Rate, capped.Burst)
	depth := int(limits.Depth)
	shard := ShardOf(capped.Name)
	tests := map[string]struct {
		run  func(i *Issuer) carrier.AccountCredit // at 1 h
		want int
	}{
		"full bucket": {func(i *Issuer) carrier.AccountCredit { return i.Grant(capped, 100, 0, time.Hour) }, depth},
		"empty after a change of the issuer": {func(i *Issuer) carrier.AccountCredit {
			i.Take(shard, time.Hour)
			return i.Grant(capped, 100, 0, time.Hour)
		}, 0},
		"shard not held": {func(i *Issuer) carrier.AccountCredit {
			i.Drop(shard)
			return i.Grant(capped, 100, 0, time.Hour)
		}, 0},
		"ahead only from the upper half": {func(i *Issuer) carrier.AccountCredit { return i.Grant(capped, 1, 100, time.Hour) }, 1 + int(limits.Depth-1-limits.Depth/2)},
		"negative":                       {func(i *Issuer) carrier.AccountCredit { return i.Grant(capped, -5, -5, time.Hour) }, 0},
		"lowered cap cuts the tokens": {func(i *Issuer) carrier.AccountCredit {
			i.Grant(capped, 0, 0, time.Hour-time.Second)
			i.SetAccounts(&matcher.Table{Accounts: []matcher.Account{{Name: "a", Rate: 1}}}, time.Hour)
			return i.Grant(&matcher.Account{Name: "a", Rate: 1}, 100, 0, time.Hour)
		}, int(replayBounds.Limits(1, 0).Depth)},
		"removed and added again": {func(i *Issuer) carrier.AccountCredit {
			i.Grant(capped, 100, 0, time.Hour-time.Millisecond)
			i.SetAccounts(&matcher.Table{}, time.Hour)
			return i.Grant(capped, 100, 0, time.Hour)
		}, 0},
		"removed for longer than a window": {func(i *Issuer) carrier.AccountCredit {
			i.Grant(capped, 100, 0, time.Hour-replayBounds.Window-grantLag-time.Millisecond)
			i.SetAccounts(&matcher.Table{}, time.Hour)
			assert.Equal(t, len(i.buckets), 0)
			return i.Grant(capped, 100, 0, time.Hour)
		}, depth},
		"lowered cap in the request": {func(i *Issuer) carrier.AccountCredit {
			i.Grant(capped, 0, 0, time.Hour-time.Second)
			return i.Grant(&matcher.Account{Name: "a", Rate: 1}, 100, 0, time.Hour)
		}, int(replayBounds.Limits(1, 0).Depth)},
		"returned in time": {func(i *Issuer) carrier.AccountCredit {
			g := i.Grant(capped, 100, 0, time.Hour-returnAge)
			i.Return(&carrier.ReturnedCredit{Account: "a", Epoch: g.Epoch, Time: g.Time, Count: 5}, time.Hour)
			return i.Grant(capped, 100, 0, time.Hour)
		}, 5 + int(limits.Rate*returnAge.Seconds())},
		"returned late": {func(i *Issuer) carrier.AccountCredit {
			g := i.Grant(capped, 100, 0, time.Hour-time.Second)
			i.Grant(capped, 100, 0, time.Hour)
			i.Return(&carrier.ReturnedCredit{Account: "a", Epoch: g.Epoch, Time: g.Time, Count: 5}, time.Hour)
			return i.Grant(capped, 100, 0, time.Hour)
		}, int(limits.Late / 2)},
		"returned to a later issuer": {func(i *Issuer) carrier.AccountCredit {
			g := i.Grant(capped, 100, 0, time.Hour-time.Millisecond)
			i.Take(shard, time.Hour)
			i.Grant(capped, 1, 0, time.Hour)
			i.Return(&carrier.ReturnedCredit{Account: "a", Epoch: g.Epoch, Time: g.Time, Count: 5}, time.Hour)
			return i.Grant(capped, 100, 0, time.Hour)
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			grant := test.run(newIssuer(time.Hour))
			assert.Equal(t, grant.Count, test.want)
			assert.Assert(t, grant.Count > 0 || !grant.Issued || grant.Asked == 0 || grant.Wait > 0)
		})
	}
}

// TestIssuingDuringChange guards against two states with the same number of changes and different shards. A receiver
// could not tell which of them is later.
func TestIssuingDuringChange(t *testing.T) {
	throttler := &Throttler{Clock: func() time.Duration { return time.Hour }}
	throttler.keeper = &Keeper{Clock: throttler.Clock, validUntil: 2 * time.Hour}
	states := make(chan carrier.Issuing, 1<<16)
	var readers, changes sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for range 4000 {
				states <- throttler.Issuing()
			}
		})
	}
	changes.Go(func() {
		for i := range 4000 {
			throttler.keeper.mu.Lock()
			throttler.keeper.held[i%Shards] = !throttler.keeper.held[i%Shards]
			throttler.keeper.mu.Unlock()
		}
	})
	readers.Wait()
	changes.Wait()
	close(states)
	shards := make(map[uint64]uint64)
	for state := range states {
		known, ok := shards[state.Changes]
		assert.Assert(t, !ok || known == state.Shards, "%b and %b after %d changes", known, state.Shards, state.Changes)
		shards[state.Changes] = state.Shards
	}
}

// TestBucket guards against a lump within the burst that is refused, against an account above its cap that gets
// less than the bound allows, and against more than the bound in any window, also if the issuer changes.
func TestBucket(t *testing.T) {
	bounds := Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}
	for _, account := range []*matcher.Account{
		{Name: "a", Rate: 50, Burst: 50}, {Name: "a", Rate: 20, Burst: 100}, {Name: "a", Rate: 2, Burst: 2}, {Name: "a", Rate: 300, Burst: 300},
	} {
		const step = 10 * time.Millisecond
		limits := bounds.Limits(account.Rate, account.Burst)
		bound := limits.Depth + limits.Rate*limits.Span.Seconds()
		// Idle and flooding in turn, with another issuer now and then.
		i := &Issuer{Bounds: bounds}
		i.Take(ShardOf("a"), 0)
		var grants []int
		random := rand.New(rand.NewPCG(1, uint64(account.Rate)))
		flooding, sum := false, 0
		span := int(limits.Span / step)
		for n := range 40_000 {
			now := time.Duration(n) * step
			if random.IntN(400) == 0 {
				flooding = !flooding
			}
			if random.IntN(4000) == 0 {
				i = &Issuer{Bounds: bounds}
				i.Take(ShardOf("a"), now)
			}
			want := 0
			if flooding {
				want = 1000
			}
			grants = append(grants, i.Grant(account, want, 0, now).Count)
			sum += grants[n]
			if n >= span {
				sum -= grants[n-span]
			}
			assert.Assert(t, float64(sum) <= bound+1, "%v: %d in a span, bound %.0f", account, sum, bound)
		}
		lump := &Issuer{Bounds: bounds}
		lump.Take(ShardOf("a"), 0)
		assert.Equal(t, lump.Grant(account, int(account.Burst), 0, time.Minute).Count, int(account.Burst))
		sustained := 0
		for n := range 3000 {
			sustained += lump.Grant(account, 1000, 0, time.Minute+time.Duration(n)*step).Count
		}
		assert.Assert(t, float64(sustained) >= 30*limits.Rate+24*(limits.FastRate-limits.Rate)-2, "%v: %d", account, sustained)
	}
}

// TestRetryAfterGrowsWithRefusals guards against refused clients that all return at the time of the next token.
func TestRetryAfterGrowsWithRefusals(t *testing.T) {
	i := newIssuer(time.Hour)
	first := i.Grant(capped, 100, 0, time.Hour)
	assert.Assert(t, first.Wait <= time.Second/time.Duration(capped.Rate)+time.Millisecond)
	assert.Assert(t, first.RetryAfter > 10*first.Wait)
	second := i.Grant(capped, 1000, 0, time.Hour)
	assert.Assert(t, second.RetryAfter <= maxBacklog+100*time.Millisecond)
}

// newEntry returns an entry node that knows the issuer of the account.
func newEntry() *Entry {
	e := &Entry{Rand: func() float64 { return 0.5 }}
	e.Share = Share{Bounds: replayBounds, Rand: func() float64 { return 0 }, Nodes: func() int { return 10 }}
	e.SetIssuer(ShardOf("a"), Process{Node: "issuer"})
	return e
}

// grantOf returns the reply to a frame in which the issuer grants a number of credits.
func grantOf(request *carrier.CreditRequest, count int, wait, retryAfter time.Duration) *carrier.CreditGrant {
	asked := 0
	for _, want := range request.Wants {
		asked += want.Want + want.Ahead
	}
	return &carrier.CreditGrant{Sent: request.Sent, Accounts: []carrier.AccountCredit{{
		Account: "a", Issued: true, Epoch: 7, Asked: asked, Count: count, Wait: wait, RetryAfter: retryAfter,
	}}}
}

// TestEntry checks the decisions of an entry node and the frames that it sends.
func TestEntry(t *testing.T) {
	const now = time.Hour
	shard := ShardOf("a")
	add := func(e *Entry, at time.Duration) *Waiter {
		w := &Waiter{Account: "a", Deadline: at + 150*time.Millisecond}
		e.Request(w, at)
		return w
	}
	t.Run("waiting requests share a frame", func(t *testing.T) {
		e := newEntry()
		first, second := add(e, now), add(e, now)
		request, _ := e.Next(shard, now)
		assert.Equal(t, request.Wants[0].Want, 2)
		again, wake := e.Next(shard, now+time.Millisecond)
		assert.Assert(t, again == nil && wake > now)
		third := add(e, now+time.Millisecond)
		again, wake = e.Next(shard, now+time.Millisecond)
		assert.Assert(t, again == nil)
		assert.Equal(t, wake, now+frameInterval)
		e.Receive(grantOf(request, 2, 0, 0), now+2*time.Millisecond)
		assert.Assert(t, first.Verdict == Admitted && second.Verdict == Admitted && third.Verdict == Pending)
		again, _ = e.Next(shard, now+frameInterval)
		assert.Equal(t, again.Wants[0].Want, 1)
	})
	t.Run("refused without a message while the bucket is empty", func(t *testing.T) {
		e := newEntry()
		first := add(e, now)
		request, _ := e.Next(shard, now)
		e.Receive(grantOf(request, 0, 50*time.Millisecond, 400*time.Millisecond), now)
		assert.Equal(t, first.Verdict, Limited)
		assert.Assert(t, first.RetryAfter >= 400*time.Millisecond)
		second := add(e, now+20*time.Millisecond)
		assert.Equal(t, second.Verdict, Limited)
		request, _ = e.Next(shard, now+frameInterval)
		assert.Assert(t, request == nil)
		third := add(e, now+400*time.Millisecond)
		assert.Equal(t, third.Verdict, Pending)
		request, _ = e.Next(shard, now+400*time.Millisecond)
		assert.Equal(t, request.Wants[0].Want, 1)
	})
	t.Run("waits for the next credit", func(t *testing.T) {
		e := newEntry()
		w := add(e, now)
		request, _ := e.Next(shard, now)
		e.Receive(grantOf(request, 0, 40*time.Millisecond, 40*time.Millisecond), now)
		assert.Equal(t, w.Verdict, Pending)
		request, wake := e.Next(shard, now)
		assert.Assert(t, request == nil && wake == now+40*time.Millisecond)
		request, _ = e.Next(shard, wake)
		assert.Equal(t, request.Wants[0].Want, 1)
	})
	t.Run("expired credit is not used", func(t *testing.T) {
		e := newEntry()
		w := add(e, now)
		request, _ := e.Next(shard, now)
		e.Receive(grantOf(request, 1, 0, 0), now+creditLife)
		assert.Equal(t, w.Verdict, Pending)
		request, _ = e.Next(shard, now+creditLife)
		assert.Equal(t, len(request.Returns), 1)
	})
	t.Run("lost reply is requested again", func(t *testing.T) {
		e := newEntry()
		add(e, now)
		e.Next(shard, now)
		request, wake := e.Next(shard, now+frameInterval)
		assert.Assert(t, request == nil && wake == now+replyTimeout)
		request, _ = e.Next(shard, wake)
		assert.Equal(t, request.Wants[0].Want, 1)
	})
	t.Run("new issuer is asked at once", func(t *testing.T) {
		e := newEntry()
		add(e, now)
		e.Next(shard, now)
		e.SetIssuer(shard, Process{Node: "other"})
		request, _ := e.Next(shard, now+time.Millisecond)
		assert.Equal(t, request.Wants[0].Want, 1)
	})
	t.Run("no issuer", func(t *testing.T) {
		e := newEntry()
		e.SetIssuer(shard, Process{})
		w := add(e, now)
		request, _ := e.Next(shard, now)
		assert.Assert(t, request == nil)
		e.Expire(w, now+150*time.Millisecond)
		assert.Equal(t, w.Verdict, Unavailable)
		assert.Assert(t, w.RetryAfter > 0)
	})
	t.Run("credit of a request that did not run", func(t *testing.T) {
		e := newEntry()
		w := add(e, now)
		request, _ := e.Next(shard, now)
		e.Receive(grantOf(request, 1, 0, 0), now)
		e.NotRun(w, now+time.Millisecond)
		assert.Equal(t, add(e, now+2*time.Millisecond).Verdict, Admitted)
	})
	t.Run("credit is requested ahead at a steady rate only", func(t *testing.T) {
		e := newEntry()
		at := now
		var request *carrier.CreditRequest
		for range 300 {
			at += 10 * time.Millisecond
			add(e, at)
			if next, _ := e.Next(shard, at); next != nil {
				request = next
				e.Receive(grantOf(next, next.Wants[0].Want+next.Wants[0].Ahead, 0, 0), at)
			}
		}
		assert.Assert(t, request.Wants[0].Ahead > 1)
		for range 100 {
			at += 10 * time.Millisecond
			request, _ = e.Next(shard, at)
		}
		assert.Assert(t, request == nil)
	})
}

// TestShare guards against local shares whose sum over all nodes exceeds their part of the tolerance, also if
// processes restart often or no request used them for long.
func TestShare(t *testing.T) {
	const nodes, seconds, runs = 73, 60, 20
	random := rand.New(rand.NewPCG(1, 2))
	for name, restartAfter := range map[string]time.Duration{"steady": time.Hour, "restarts": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			var highest, total, windows float64
			for range runs {
				perSecond := make([]float64, seconds)
				for range nodes {
					var share *Share
					started := time.Duration(0)
					for at := time.Hour; at < time.Hour+seconds*time.Second; at += 100 * time.Millisecond {
						if share == nil || at-started >= restartAfter {
							started = at
							share = &Share{Bounds: replayBounds, Rand: random.Float64, Nodes: func() int { return nodes }}
							share.Start(at)
						}
						if share.Take("a", at) {
							perSecond[(at-time.Hour)/time.Second]++
						}
					}
				}
				for i := range seconds - 5 {
					sum := 0.0
					for _, n := range perSecond[i : i+5] {
						sum += n
					}
					highest, total, windows = max(highest, sum), total+sum, windows+1
				}
			}
			t.Logf("in a window: mean %.1f, highest %.0f", total/windows, highest)
			assert.Assert(t, total/windows <= localSlack/2*replayBounds.Slack)
			assert.Assert(t, highest <= 1.5*localSlack*replayBounds.Slack)
		})
	}
}

// TestRank checks that shards are spread over the candidates by their CPU, that all nodes agree, and that only
// the shards of a lost candidate move.
func TestRank(t *testing.T) {
	var peers []carrier.Peer
	for i := range 300 {
		peers = append(peers, carrier.Peer{Node: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("z", i%3), MilliCPU: 160 + i})
	}
	candidates := Candidates(peers)
	assert.Equal(t, len(candidates), 3*candidatesPerDomain)
	preferred := func(shard int, candidates []carrier.Peer) (holder string) {
		for _, c := range candidates {
			if Rank(shard, c, candidates) == 0 {
				assert.Equal(t, holder, "", "two preferred candidates")
				holder = c.Node
			}
		}
		return holder
	}
	holders := make(map[string]int)
	for shard := range Shards {
		before := preferred(shard, candidates)
		holders[before]++
		for i, c := range candidates {
			rest := append(append([]carrier.Peer{}, candidates[:i]...), candidates[i+1:]...)
			if c.Node != before {
				assert.Equal(t, preferred(shard, rest), before)
			}
		}
	}
	assert.Assert(t, len(holders) >= 3)
	strong := 0
	for shard := range 3000 {
		if preferred(shard, []carrier.Peer{{Node: "weak", MilliCPU: 200}, {Node: "strong", MilliCPU: 800}}) == "strong" {
			strong++
		}
	}
	assert.Assert(t, strong > 2200 && strong < 2600, "%d", strong)
}

// keeperStore is a store for tests of the keeper, with faults.
type keeperStore struct {
	replayStore
	lost      bool // the next commit takes effect, but its response is lost
	never     bool // no commit takes effect or gets a response
	unread    bool // no read gets a response
	unrenewed bool // no renewal gets a response
}

func (s *keeperStore) view() nodeStore {
	return nodeStore{replayStore: &s.replayStore, node: &replayNode{}}
}

func (s *keeperStore) Get(key string) (platform.Item, uint64, error) {
	if s.unread {
		return platform.Item{}, 0, platform.ErrOutcomeUnknown
	}
	return s.view().Get(key)
}

func (s *keeperStore) RangeCurrent(prefix string) ([]platform.Item, error) {
	return s.view().RangeCurrent(prefix)
}

func (s *keeperStore) Commit(c []platform.Condition, w []platform.Write, d []string) (uint64, error) {
	if s.never {
		return 0, platform.ErrOutcomeUnknown
	}
	revision, err := s.view().Commit(c, w, d)
	if s.lost && err == nil {
		s.lost = false
		return 0, platform.ErrOutcomeUnknown
	}
	return revision, err
}

func (s *keeperStore) GrantLease(ttl time.Duration) (uint64, time.Duration, error) {
	return s.view().GrantLease(ttl)
}

func (s *keeperStore) RenewLease(lease uint64) error {
	if s.unrenewed {
		return platform.ErrOutcomeUnknown
	}
	return s.view().RenewLease(lease)
}
func (s *keeperStore) RevokeLease(lease uint64) error { return s.view().RevokeLease(lease) }

// keeperCase is a store with the processes of nodes that want all shards.
type keeperCase struct {
	t     *testing.T
	store *keeperStore
	clock *replay
	takes int // number of shards taken
}

func newKeeperCase(t *testing.T) *keeperCase {
	c := &keeperCase{t: t, store: &keeperStore{}, clock: &replay{now: time.Hour}}
	c.store.replayStore = replayStore{r: c.clock, items: make(map[string]platform.Item), leases: make(map[uint64]time.Duration)}
	return c
}

func (c *keeperCase) keeper(node string, started int64) *Keeper {
	return &Keeper{
		Log: zap.NewNop(), Store: c.store, Clock: func() time.Duration { return c.clock.now }, Node: node, Started: started,
		OnTake: func(int) { c.takes++ }, OnDrop: func(int) {},
	}
}

// steps lets keepers run for a time.
func (c *keeperCase) steps(lasts time.Duration, keepers ...*Keeper) {
	var wanted [Shards]bool
	for i := range wanted {
		wanted[i] = true
	}
	for end := c.clock.now + lasts; c.clock.now < end; c.clock.now += keepInterval {
		for _, k := range keepers {
			k.Step(wanted)
		}
		for shard := range Shards {
			holders := 0
			for _, k := range keepers {
				if k.Holds(shard) {
					holders++
				}
			}
			assert.Assert(c.t, holders <= 1, "shard %d has %d issuers", shard, holders)
		}
	}
}

const allShards = 1<<Shards - 1

// TestKeeper guards against two issuers of a shard, and against a shard that no one can take.
func TestKeeper(t *testing.T) {
	t.Run("one of two nodes", func(t *testing.T) {
		c := newKeeperCase(t)
		a, b := c.keeper("a", 1), c.keeper("b", 1)
		c.steps(30*time.Second, a, b)
		assert.Equal(t, a.Held()|b.Held(), uint64(allShards))
		before := c.store.calls
		c.steps(25*time.Second, a)
		assert.Assert(t, c.store.calls-before <= 12+3*Shards, "%d calls", c.store.calls-before)
	})
	t.Run("lease expires", func(t *testing.T) {
		c := newKeeperCase(t)
		a, b := c.keeper("a", 1), c.keeper("b", 1)
		c.steps(time.Second, a)
		c.steps(leaseTTL-time.Second, b)
		assert.Equal(t, b.Held(), uint64(0))
		c.steps(3*time.Second, b, a)
		assert.Equal(t, b.Held()|a.Held(), uint64(allShards))
	})
	t.Run("store rejects the holder and serves its peers", func(t *testing.T) {
		c := newKeeperCase(t)
		a, b := c.keeper("a", 1), c.keeper("b", 1)
		a.RenewByPeer = func(lease uint64) bool { return c.store.view().RenewLease(lease) == nil }
		c.steps(time.Second, a)
		c.store.unrenewed, c.store.unread = true, true
		c.steps(4*leaseTTL, a, b)
		assert.Equal(t, a.Held(), uint64(allShards))
		a.RenewByPeer = func(uint64) bool { return false }
		c.steps(leaseTTL, a, b)
		assert.Equal(t, a.Held(), uint64(0))
	})
	t.Run("renewal by a peer after a suspension", func(t *testing.T) {
		c := newKeeperCase(t)
		a, b := c.keeper("a", 1), c.keeper("b", 1)
		a.RenewByPeer = func(lease uint64) bool { return c.store.view().RenewLease(lease) == nil }
		b.RenewByPeer = a.RenewByPeer
		c.steps(time.Second, a)
		c.steps(leaseTTL+2*time.Second, b)
		c.store.unrenewed = true
		c.steps(5*time.Second, a, b)
		assert.Equal(t, b.Held(), uint64(allShards))
	})
	t.Run("process suspended", func(t *testing.T) {
		c := newKeeperCase(t)
		a, b := c.keeper("a", 1), c.keeper("b", 1)
		c.steps(time.Second, a)
		c.steps(leaseTTL+2*time.Second, b)
		assert.Equal(t, a.Held(), uint64(0), "the lease counts from the time of the renewal")
		assert.Assert(t, !a.Holds(0))
		assert.Equal(t, b.Held(), uint64(allShards))
		c.steps(5*time.Second, a, b)
		assert.Equal(t, b.Held(), uint64(allShards))
	})
	t.Run("later process of the node takes over at once", func(t *testing.T) {
		c := newKeeperCase(t)
		c.steps(time.Second, c.keeper("a", 1))
		next := c.keeper("a", 2)
		next.Step([Shards]bool{})
		assert.Equal(t, next.Held(), uint64(allShards))
	})
	t.Run("store fails while the shards of an earlier process are taken", func(t *testing.T) {
		c := newKeeperCase(t)
		c.steps(time.Second, c.keeper("a", 1))
		next := c.keeper("a", 2)
		c.store.unread = true
		next.Step([Shards]bool{})
		calls := c.store.calls
		next.Step([Shards]bool{})
		assert.Equal(t, c.store.calls, calls, "no pause after the failure")
		c.store.unread = false
		c.clock.now += attemptInterval * 2
		next.Step([Shards]bool{})
		assert.Equal(t, next.Held(), uint64(allShards))
	})
	t.Run("lease lost but not the records", func(t *testing.T) {
		c := newKeeperCase(t)
		a := c.keeper("a", 1)
		c.steps(time.Second, a)
		const restored = 999 // of the records in the copy of the store
		clear(c.store.leases)
		c.store.leases[restored] = c.clock.now + leaseTTL
		for name, item := range c.store.items {
			item.Lease = restored
			c.store.items[name] = item
		}
		a.Doubt()
		a.Step([Shards]bool{})
		a.Step([Shards]bool{})
		assert.Equal(t, a.Held(), uint64(allShards))
	})
	t.Run("released", func(t *testing.T) {
		c := newKeeperCase(t)
		a, b := c.keeper("a", 1), c.keeper("b", 1)
		c.steps(time.Second, a)
		a.Release("test")
		assert.Equal(t, a.Held(), uint64(0))
		c.steps(keepInterval, b)
		assert.Equal(t, b.Held(), uint64(allShards))
	})
	t.Run("response to the write lost", func(t *testing.T) {
		c := newKeeperCase(t)
		c.store.lost = true
		a := c.keeper("a", 1)
		c.steps(2*time.Second, a)
		assert.Equal(t, a.Held(), uint64(allShards))
	})
	t.Run("write executed after the node gave up", func(t *testing.T) {
		c := newKeeperCase(t)
		c.store.never = true
		a := c.keeper("a", 1)
		c.steps(time.Second, a)
		late, err := cbor.Marshal(&shardRecord{Node: "a", Started: 1})
		assert.NilError(t, err)
		for lease := range c.store.leases {
			c.store.items[key(0)] = platform.Item{Key: key(0), Value: late, Lease: lease, Revision: 99}
		}
		c.store.never = false
		c.steps(leaseTTL, a)
		assert.Equal(t, a.Held(), uint64(allShards))
	})
	t.Run("store away", func(t *testing.T) {
		c := newKeeperCase(t)
		a := c.keeper("a", 1)
		c.steps(10*time.Second, a)
		c.store.away = true
		c.steps(4500*time.Millisecond, a)
		assert.Equal(t, a.Held(), uint64(allShards))
		c.store.away = false
		c.steps(5*time.Second, a)
		assert.Equal(t, c.takes, Shards, "no bucket was emptied")
		c.store.away = true
		c.steps(leaseTTL, a)
		assert.Equal(t, a.Held(), uint64(0))
	})
	t.Run("record removed", func(t *testing.T) {
		c := newKeeperCase(t)
		a := c.keeper("a", 1)
		c.steps(time.Second, a)
		delete(c.store.items, key(3))
		c.steps(renewalsPerCheck*renewInterval*2, a)
		assert.Equal(t, a.Held(), uint64(allShards))
		assert.Equal(t, c.takes, Shards+1)
	})
	t.Run("doubted", func(t *testing.T) {
		c := newKeeperCase(t)
		a := c.keeper("a", 1)
		c.steps(time.Second, a)
		a.Doubt()
		assert.Equal(t, a.Held(), uint64(0))
		c.store.unread = true
		c.steps(3*time.Second, a)
		assert.Equal(t, a.Held(), uint64(0), "the records have not been read")
		c.store.unread = false
		c.store.items[key(3)] = platform.Item{Key: key(3), Value: nil, Lease: 0, Revision: 99} // restored, of another process
		c.steps(3*time.Second, a)
		assert.Equal(t, a.Held(), uint64(allShards&^(1<<3)))
	})
}

// TestPartWithoutIssuer guards against accounts that get nothing while their issuer is lost, and against more than
// the rate by the issuer's side and the nodes that do not reach it together.
func TestPartWithoutIssuer(t *testing.T) {
	const nodes, cut, lasts = 10, 4, 5 * time.Second
	account := &matcher.Account{Name: "a", Rate: 50, Burst: 10}
	shard := ShardOf("a")
	issuer := &Issuer{Bounds: replayBounds}
	issuer.Take(shard, time.Hour)
	issuer.Grant(account, 1<<10, 0, time.Hour) // empties the bucket
	issuer.SetNodes(nodes, time.Hour)
	for lender := range nodes - cut {
		issuer.Borrow(Process{Node: fmt.Sprint(lender)}, allShards, time.Hour+2*lasts, time.Hour)
	}
	entries := make([]*Entry, cut)
	for i := range entries {
		entries[i] = &Entry{Rand: rand.Float64, Cap: func(string) float64 { return account.Rate }}
		entries[i].Share = Share{Bounds: replayBounds, Rand: func() float64 { return 0 }, Nodes: func() int { return nodes }}
	}
	granted, local := 0, 0
	for now := time.Hour; now < time.Hour+lasts; now += 10 * time.Millisecond {
		granted += issuer.Grant(account, 1<<10, 0, now).Count
		for _, e := range entries {
			w := &Waiter{Account: "a", Deadline: now}
			e.Request(w, now)
			e.Expire(w, now)
			if w.Verdict == Admitted {
				assert.Assert(t, w.Local)
				local++
			}
		}
	}
	each := account.Rate / nodes * lasts.Seconds()
	assert.Assert(t, float64(local) > cut*(each-1.5) && float64(local) <= cut*each, "%d", local)
	slow := replayBounds.Limits(account.Rate, account.Burst).Rate * lasts.Seconds() * (nodes - cut) / nodes
	assert.Assert(t, float64(granted) <= slow+1, "%d of %.0f", granted, slow)
	for _, e := range entries {
		e.SetIssuer(shard, Process{Node: "n"})
		w := &Waiter{Account: "a", Deadline: time.Hour + 2*lasts}
		e.Request(w, time.Hour+2*lasts)
		e.Expire(w, time.Hour+2*lasts)
		assert.Equal(t, w.Verdict, Unavailable, "an issuer is known")
	}
}
