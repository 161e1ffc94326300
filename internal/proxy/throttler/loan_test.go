package throttler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/matcher"
)

// loanIssuer is an issuer of a loanModel.
type loanIssuer struct {
	Issuer
	id   Process
	term uint64
	held bool
}

// loanModel is a few nodes and issuers of one shard, between which messages take any time and states may be lost.
type loanModel struct {
	now     time.Duration
	issuers []*loanIssuer
	entries []*Entry
	pending []func(t *rapid.T) // messages that were sent
}

func newLoanModel() *loanModel {
	m := &loanModel{now: time.Hour}
	for i := range 2 {
		m.issuers = append(m.issuers, &loanIssuer{Issuer: Issuer{Bounds: replayBounds}, id: Process{Node: fmt.Sprint("issuer", i)}})
	}
	for range 3 {
		e := &Entry{Rand: func() float64 { return 0.5 }}
		e.Share = Share{Bounds: replayBounds, Rand: e.Rand, Nodes: func() int { return 3 }}
		e.Start(m.now)
		m.entries = append(m.entries, e)
	}
	return m
}

// lender returns the process of a node.
func lender(n int) Process { return Process{Node: fmt.Sprint("n", n)} }

// request sends a request for the part of a node.
func (m *loanModel) request(i *loanIssuer, n int) {
	sent, term, held := m.now, i.term, i.held
	if !held {
		return
	}
	m.pending = append(m.pending, func(*rapid.T) {
		m.entries[n].SetIssuer(0, i.id)
		if !m.entries[n].Lend(0, i.id, term, m.now) {
			return
		}
		m.pending = append(m.pending, func(*rapid.T) {
			if term == i.term {
				i.Borrow(lender(n), 1, sent+loanTime, m.now)
			}
		})
	})
}

// announce sends the state of an issuer to a node.
func (m *loanModel) announce(i *loanIssuer, n int) {
	term, held := i.term, i.held
	m.pending = append(m.pending, func(*rapid.T) {
		e := m.entries[n]
		e.EndLoans(func(_ int, to Process, lent uint64) bool { return to == i.id && term > lent }, m.now)
		if !held && e.Issuer(0) == i.id {
			e.SetIssuer(0, Process{})
		}
	})
}

// change makes an issuer take or lose the shard. Nothing excludes that both hold it.
func (i *loanIssuer) change(now time.Duration) {
	i.term++
	i.held = !i.held
	i.ReturnAll(now)
	if i.held {
		i.Take(0, now)
		return
	}
	i.Drop(0)
}

// uses returns the number of places at which the part of a node can be used now.
func (m *loanModel) uses(n int) int {
	uses := 0
	for _, i := range m.issuers {
		i.endLoans(m.now)
		if i.held && i.Borrows(lender(n), 1) {
			uses++
		}
	}
	if e := m.entries[n]; e.Issuer(0) == (Process{}) && m.now >= e.lent[0].until {
		uses++
	}
	return uses
}

// TestRandomLoans guards against a part of the rates that is used twice: by two issuers, or by an issuer and the node
// that has lent it, whatever they believe of each other.
func TestRandomLoans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLoanModel()
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			i := m.issuers[rapid.IntRange(0, len(m.issuers)-1).Draw(t, "issuer")]
			n := rapid.IntRange(0, len(m.entries)-1).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				i.change(m.now)
			case 1:
				m.announce(i, n)
			case 2:
				m.entries[n].SetIssuer(0, Process{}) // its link is lost
			case 3, 4, 5:
				m.request(i, n)
			case 6:
				m.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "milliseconds")) * time.Millisecond
			default:
				if len(m.pending) > 0 {
					k := rapid.IntRange(0, len(m.pending)-1).Draw(t, "message")
					deliver := m.pending[k]
					m.pending = append(m.pending[:k:k], m.pending[k+1:]...)
					deliver(t)
				}
			}
			for n := range m.entries {
				uses := m.uses(n)
				assert.Assert(t, uses <= 1, "the part of node %d is used at %d places", n, uses)
			}
		}
	})
}

// TestLoanFillsBucket guards against a bucket that is filled by parts that are not lent, or were only lent for a part of
// the time, such as while the issuer was paused.
func TestLoanFillsBucket(t *testing.T) {
	const nodes = 10
	account := &matcher.Account{Name: "a", Rate: 50, Burst: 100}
	shard := ShardOf("a")
	rate := replayBounds.Limits(account.Rate, account.Burst).Rate
	tests := map[string]struct {
		lend    func(i *Issuer, now time.Duration)
		seconds float64 // for which all parts together would fill the bucket as much
	}{
		"none":     {func(*Issuer, time.Duration) {}, 0},
		"half":     {func(i *Issuer, now time.Duration) { borrowFrom(i, 5, now+time.Second, now) }, 0.5},
		"all":      {func(i *Issuer, now time.Duration) { borrowFrom(i, nodes, now+time.Second, now) }, 1},
		"ended":    {func(i *Issuer, now time.Duration) { borrowFrom(i, nodes, now+300*time.Millisecond, now) }, 0.3},
		"returned": {func(i *Issuer, now time.Duration) { borrowFrom(i, nodes, now+time.Second, now); i.ReturnAll(now) }, 0},
		"restarted": {func(i *Issuer, now time.Duration) {
			borrowFrom(i, nodes, now+time.Second, now)
			i.Borrow(Process{Node: "0", Started: 1}, 1<<shard, now+time.Second, now)
		}, 1},
		"late reply": {func(i *Issuer, now time.Duration) { borrowFrom(i, nodes, now, now) }, 0},
		"other shard": {func(i *Issuer, now time.Duration) {
			i.Borrow(Process{Node: "0"}, allShards&^(1<<shard), now+time.Second, now)
		}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := &Issuer{Bounds: replayBounds}
			i.SetNodes(nodes, time.Hour)
			i.Take(shard, time.Hour)
			assert.Equal(t, i.Grant(account, 1, 0, time.Hour).Count, 0)
			test.lend(i, time.Hour)
			got := float64(i.Grant(account, 1<<10, 0, time.Hour+time.Second).Count)
			assert.Assert(t, got <= test.seconds*rate && got > test.seconds*rate-1.01, "%.0f of %.1f", got, test.seconds*rate)
		})
	}
}

// borrowFrom borrows the parts of a number of nodes.
func borrowFrom(i *Issuer, nodes int, until, now time.Duration) {
	for n := range nodes {
		i.Borrow(Process{Node: fmt.Sprint(n)}, allShards, until, now)
	}
}

// TestRestartedNode guards against a node that admits by a part that its earlier process has lent.
func TestRestartedNode(t *testing.T) {
	e := &Entry{Rand: func() float64 { return 0.5 }, Cap: func(string) float64 { return 1000 }}
	e.Share = Share{Rand: func() float64 { return 0 }, Nodes: func() int { return 1 }} // none without bounds
	e.Start(time.Hour)
	admits := func(at time.Duration) bool {
		w := &Waiter{Account: "a", Deadline: at}
		e.Request(w, at)
		e.Expire(w, at)
		return w.Verdict == Admitted
	}
	for at := time.Hour; at < time.Hour+loanTime; at += 50 * time.Millisecond {
		assert.Assert(t, !admits(at), "%s after the start", at-time.Hour)
	}
	admits(time.Hour + loanTime + loanMargin)
	assert.Assert(t, admits(time.Hour+loanTime+2*loanMargin))
}

// TestReturnedParts guards against an issuer that uses borrowed parts on after it has announced that it issues no more,
// also if it issues again at once: their lenders use them again.
func TestReturnedParts(t *testing.T) {
	now := time.Hour
	throttler := &Throttler{Clock: func() time.Duration { return now }, Known: func() int { return 2 }, Remotes: func() []Remote {
		return []Remote{{Peer: carrier.Peer{Node: "other"}}}
	}}
	throttler.issuer.Bounds = replayBounds
	throttler.keeper = &Keeper{Clock: throttler.Clock, validUntil: 2 * time.Hour}
	throttler.keeper.held[0] = true
	throttler.issuer.Take(0, now)
	other := carrier.Peer{Node: "other"}
	term := throttler.Issuing().Changes
	throttler.refresh(now)
	throttler.ReceiveParts(&other, &carrier.PartReply{Time: now, Term: term, Shards: 1, Nodes: 2})
	assert.Assert(t, throttler.issuer.Borrows(id(&other), 1))

	throttler.Doubt()
	throttler.keeper.validUntil = 2 * time.Hour // it was settled at once, by the same records
	issuing := throttler.Issuing()
	assert.Equal(t, issuing.Shards, uint64(1))
	assert.Assert(t, issuing.Changes >= term+2, "the states before and after can't be told apart")
	assert.Assert(t, !throttler.issuer.Borrows(id(&other), 1))
	throttler.ReceiveParts(&other, &carrier.PartReply{Time: now, Term: term, Shards: 1, Nodes: 2})
	assert.Assert(t, !throttler.issuer.Borrows(id(&other), 1), "the reply is of an earlier term")
}

// TestPartsAfterRestart guards against an issuer that grants nothing for a while after it has taken its shards, since it
// asks for the parts of the other nodes only later.
func TestPartsAfterRestart(t *testing.T) {
	r := newReplay(t, 12, 30)
	r.run(seconds(5))
	n := r.holder()
	r.kill(n)
	r.after(300*time.Millisecond, func() { r.startProcess(n) })
	r.run(seconds(5.3))
	for !n.throttler.keeper.Holds(ShardOf(busiest)) {
		r.run(r.now + time.Millisecond)
		assert.Assert(t, r.now < seconds(10), "the shard is not taken again")
	}
	r.run(r.now + 25*time.Millisecond) // some round trips
	assert.Equal(t, n.throttler.issuer.shards[ShardOf(busiest)].lent, len(r.nodes))
}
