package throttler

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/platform"
)

// replay runs the throttlers of many nodes in virtual time, without a network.
type replay struct {
	now      time.Duration
	events   eventQueue
	order    int
	random   *rand.Rand
	table    *matcher.Table
	nodes    []*replayNode
	store    replayStore
	accounts map[string]*replayAccount
	meter    replayMeter
	frames   int
}

// replayNode is a node of a replay.
type replayNode struct {
	throttler   *Throttler
	peer        carrier.Peer
	down        bool // the process has ended
	suspended   bool
	partitioned bool // from all other nodes and the store
	era         int  // of the store, as far as the node knows
	flushAt     time.Duration
	process     int
	// Links carry the last state that was announced.
	issuing carrier.Issuing
	held    []func() // events that arrived while the process was suspended
}

// replayAccount holds what happened to the requests of an account.
type replayAccount struct {
	rate   func(now time.Duration) float64 // requests per second that clients send
	runs   []time.Duration
	caps   []capChange
	sent   int
	lost   []time.Duration // requests that were refused finally
	reason map[Verdict]int
}

// capChange is a cap that is in force from a time on.
type capChange struct {
	at          time.Duration
	rate, burst float64
}

type event struct {
	at     time.Duration
	order  int
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (r *replay) after(delay time.Duration, action func()) {
	r.order++
	heap.Push(&r.events, event{at: r.now + delay, order: r.order, action: action})
}

func (r *replay) run(until time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= until {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.action()
	}
	r.now = until
}

// replayMeter counts measurements.
type replayMeter map[string]int64

func (m replayMeter) Add(name string, n int64) { m[name] += n }
func (m replayMeter) Gauge(string, float64)    {}
func (r *replay) latency() time.Duration {
	return time.Millisecond + time.Duration(r.random.Int64N(int64(3*time.Millisecond)))
}

// noteEra makes the node doubt what it holds in the store if the era is later than the one it knows.
func (n *replayNode) noteEra(era int) bool {
	if era <= n.era {
		return false
	}
	n.era = era
	n.throttler.Doubt()
	return true
}
func (n *replayNode) on(action func()) { n.perform(n.process, action) }
func (n *replayNode) reachable(m *replayNode) bool {
	return n == m || !n.down && !m.down && !n.partitioned && !m.partitioned
}

// perform runs an action of a process, unless the process has ended. While it is suspended, the action waits.
func (n *replayNode) perform(process int, action func()) {
	switch {
	case n.down || n.process != process:
	case n.suspended:
		n.held = append(n.held, func() { n.perform(process, action) })
	default:
		action()
	}
}

// replayStore is the store of a replay.
type replayStore struct {
	r        *replay
	away     bool
	era      int // number of restorations
	copied   *storeCopy
	revision uint64
	items    map[string]platform.Item
	leases   map[uint64]time.Duration // end by lease
	calls    int
}

// nodeStore is the store as a node sees it.
type nodeStore struct {
	*replayStore
	node *replayNode
}

// storeCopy is an older copy of the store.
type storeCopy struct {
	items  map[string]platform.Item
	leases map[uint64]time.Duration
}

func (s *replayStore) copy() {
	s.copied = &storeCopy{items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// eraBits is the position of the era in the numbers of revisions and leases, as in those of platform.Store.
const eraBits = 40

// restore restores the last copy. Its numbers belong to the new era, and leases run on from then.
func (s *replayStore) restore() {
	s.era++
	tag := func(number uint64) uint64 { return uint64(s.era)<<eraBits | number&(1<<eraBits-1) }
	s.items, s.leases, s.revision = make(map[string]platform.Item), make(map[uint64]time.Duration), tag(s.revision)
	for key, item := range s.copied.items {
		item.Revision, item.Lease = tag(item.Revision), tag(item.Lease)
		s.items[key] = item
	}
	for lease := range s.copied.leases {
		s.leases[tag(lease)] = s.r.now + leaseTTL
	}
}

// earlier reports whether a revision or lease is of an earlier era.
func (s *replayStore) earlier(number uint64) bool { return number != 0 && int(number>>eraBits) < s.era }

// call expires leases and returns an error if the node does not reach the store.
func (s nodeStore) call() error {
	s.calls++
	if s.away || s.node.partitioned {
		return platform.ErrOutcomeUnknown
	}
	if s.node.throttler != nil && s.node.noteEra(s.era) {
		s.r.announce(s.node)
		for _, m := range s.r.nodes {
			s.r.after(s.r.latency(), func() {
				if s.node.reachable(m) {
					m.on(func() {
						if m.noteEra(s.era) {
							s.r.announce(m)
						}
					})
				}
			})
		}
	}
	for lease, end := range s.leases {
		if s.r.now >= end {
			s.remove(lease)
		}
	}
	return nil
}

func (s *replayStore) remove(lease uint64) {
	delete(s.leases, lease)
	for key, item := range s.items {
		if item.Lease == lease {
			delete(s.items, key)
		}
	}
}

func (s nodeStore) Get(key string) (platform.Item, uint64, error) {
	if err := s.call(); err != nil {
		return platform.Item{}, 0, err
	}
	item, ok := s.items[key]
	if !ok {
		return item, s.revision, platform.ErrNotFound
	}
	return item, s.revision, nil
}

func (s nodeStore) RangeCurrent(string) ([]platform.Item, error) {
	if err := s.call(); err != nil {
		return nil, err
	}
	var items []platform.Item
	for _, item := range s.items {
		items = append(items, item)
	}
	return items, nil
}

func (s nodeStore) Commit(conditions []platform.Condition, writes []platform.Write, _ []string) (uint64, error) {
	if err := s.call(); err != nil {
		return 0, err
	}
	for _, c := range conditions {
		if s.items[c.Key].Revision != c.Revision || s.earlier(c.Revision) {
			return 0, platform.ErrConflict
		}
	}
	s.revision++
	for _, w := range writes {
		if _, ok := s.leases[w.Lease]; !ok || s.earlier(w.Lease) {
			return 0, platform.ErrNotFound
		}
		s.items[w.Key] = platform.Item{Key: w.Key, Value: w.Value, Lease: w.Lease, Revision: s.revision}
	}
	return s.revision, nil
}

func (s nodeStore) GrantLease(ttl time.Duration) (uint64, time.Duration, error) {
	if err := s.call(); err != nil {
		return 0, 0, err
	}
	s.revision++
	s.leases[s.revision] = s.r.now + ttl
	return s.revision, ttl, nil
}

func (s nodeStore) RenewLease(lease uint64) error {
	if err := s.call(); err != nil {
		return err
	}
	if _, ok := s.leases[lease]; !ok || s.earlier(lease) {
		return platform.ErrNotFound
	}
	s.leases[lease] = s.r.now + leaseTTL
	return nil
}

func (s nodeStore) RevokeLease(lease uint64) error {
	if err := s.call(); err != nil {
		return err
	}
	s.remove(lease)
	return nil
}

// replayBounds are the bounds of the deployments.
var replayBounds = Bounds{Window: 5 * time.Second, Over: 0.1, Slack: 20}

// start is the time at which a replay starts. It is not 0, since a clock may start anywhere.
const start = time.Hour

// clientRetries is the number of times that a client repeats a refused request.
const clientRetries = 2

// newReplay returns a replay with nodes and accounts whose usual rates differ by a factor of 100. The caps are
// 1.6 times the usual rate.
func newReplay(t *testing.T, nodes, accounts int) *replay {
	t.Helper()
	seed := rand.Uint64()
	t.Logf("seed %d (the order of maps and the parts' own random numbers differ between runs)", seed)
	r := &replay{
		now:      start,
		random:   rand.New(rand.NewPCG(seed, 0)),
		table:    &matcher.Table{Version: 1},
		accounts: make(map[string]*replayAccount),
		meter:    make(replayMeter),
	}
	r.store = replayStore{r: r, items: make(map[string]platform.Item), leases: make(map[uint64]time.Duration)}
	for i := range accounts {
		name := fmt.Sprintf("account-%03d", i)
		usual := 0.5 * math.Pow(100, float64(i)/float64(accounts-1))
		account := matcher.Account{Name: name, Rate: 1.6 * usual, Burst: 1.6 * usual}
		r.table.Accounts = append(r.table.Accounts, account)
		r.accounts[name] = &replayAccount{
			rate:   func(time.Duration) float64 { return usual },
			caps:   []capChange{{at: start, rate: account.Rate, burst: account.Burst}},
			reason: make(map[Verdict]int),
		}
		r.scheduleRequest(name)
	}
	for i := range nodes {
		n := &replayNode{peer: carrier.Peer{
			Node: fmt.Sprint("n", i), Address: fmt.Sprint("a", i), FailureDomain: fmt.Sprint("z", i%3), MilliCPU: 160 + 160*(i%5),
		}}
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		r.startProcess(n)
	}
	return r
}

// startProcess starts a process of a node.
func (r *replay) startProcess(n *replayNode) {
	n.process++
	n.down, n.suspended, n.held, n.issuing, n.flushAt = false, false, nil, carrier.Issuing{}, 0
	n.era = r.store.era
	n.peer.Started = int64(n.process)
	peers := make([]carrier.Peer, len(r.nodes))
	for i, m := range r.nodes {
		peers[i] = m.peer
	}
	t := &Throttler{
		Log: zap.NewNop(), Meter: r.meter, Bounds: replayBounds, Self: n.peer,
		Store: nodeStore{replayStore: &r.store, node: n},
		Clock: func() time.Duration { return r.now },
		Table: func() *matcher.Table { return r.table },
		Nodes: func() int { return len(r.nodes) },
		Known: func() int { return len(r.nodes) },
	}
	t.Ended = func(p Process) bool { return r.hasEnded(n, p) }
	t.Remotes = func() []Remote { return r.remotes(n) }
	t.Announce = func() { r.announce(n) }
	n.throttler = t
	t.prepare()
	t.async = func(action func()) { action() }
	t.SetCandidates(Candidates(peers))
	process := n.process
	var keep func()
	keep = func() {
		n.perform(process, func() {
			t.keepOnce()
			r.flush(n)
			r.after(keepInterval, keep)
		})
	}
	r.after(time.Duration(r.random.Int64N(int64(keepInterval))), keep)
	var borrow func()
	borrow = func() {
		n.perform(process, func() {
			t.borrowOnce()
			r.after(borrowTick, borrow)
		})
	}
	r.after(time.Duration(r.random.Int64N(int64(borrowTick))), borrow)
}

// hasEnded reports whether a process has ended while node n was linked to it.
func (r *replay) hasEnded(n *replayNode, p Process) bool {
	for _, m := range r.nodes {
		if m.peer.Node == p.Node {
			return (m.down || int64(m.process) != p.Started) && !n.partitioned && !m.partitioned
		}
	}
	return false
}

// announce makes the state of a node known to the others after the latency of a link.
func (r *replay) announce(n *replayNode) {
	issuing := n.throttler.Issuing()
	process := n.process
	r.after(r.latency(), func() {
		if n.process == process && issuing.Changes >= n.issuing.Changes {
			n.issuing = issuing
		}
	})
}

func (r *replay) remotes(n *replayNode) []Remote {
	var remotes []Remote
	for _, m := range r.nodes {
		if m == n || !n.reachable(m) {
			continue
		}
		remotes = append(remotes, Remote{Peer: m.peer, Issuing: m.issuing, Send: func(request *carrier.CreditRequest) {
			r.frames++
			r.after(r.latency(), func() { r.deliver(n, m, request) })
		}, RequestParts: func(request *carrier.PartRequest) {
			r.frames++
			r.after(r.latency(), func() { r.deliverParts(n, m, request) })
		}})
	}
	return remotes
}

// deliverParts passes a request for parts of node n to node m, and the reply back.
func (r *replay) deliverParts(n, m *replayNode, request *carrier.PartRequest) {
	if !n.reachable(m) {
		return
	}
	peer, process := n.peer, n.process
	m.on(func() {
		if n.process == process && request.Term >= n.issuing.Changes {
			n.issuing = carrier.Issuing{Shards: request.Shards, Changes: request.Term}
		}
		reply := m.throttler.LendParts(&peer, request)
		lender := m.peer
		r.flush(m)
		r.after(r.latency(), func() {
			if n.reachable(m) && n.process == process {
				n.on(func() { n.throttler.ReceiveParts(&lender, reply) })
			}
		})
	})
}

// deliver passes a frame of node n to node m, and the reply back.
func (r *replay) deliver(n, m *replayNode, request *carrier.CreditRequest) {
	if !n.reachable(m) {
		return
	}
	m.on(func() {
		grant := m.throttler.GrantCredit(request)
		if grant == nil {
			return
		}
		r.after(r.latency(), func() {
			if n.reachable(m) {
				n.on(func() {
					n.throttler.ReceiveCredit(grant)
					r.flush(n)
				})
			}
		})
	})
}

// flush sends what is due, and again when more is.
func (r *replay) flush(n *replayNode) {
	next := n.throttler.flush()
	if next == 0 || n.flushAt > r.now && n.flushAt <= r.now+next {
		return
	}
	n.flushAt = r.now + next
	r.after(next, func() { n.on(func() { r.flush(n) }) })
}

// scheduleRequest sends the requests of an account at random times.
func (r *replay) scheduleRequest(name string) {
	a := r.accounts[name]
	const maxRate = 1000.0
	rate := min(max(a.rate(r.now), 0.01), maxRate)
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.now > start+time.Second { // clients start when the nodes are ready
			a.sent++
			r.request(name, r.now, clientRetries)
		}
		r.scheduleRequest(name)
	})
}

// request sends a request of an account to a random node that responds.
func (r *replay) request(name string, first time.Duration, retries int) {
	n := r.nodes[r.random.IntN(len(r.nodes))]
	for n.down || n.suspended {
		n = r.nodes[r.random.IntN(len(r.nodes))]
	}
	process := n.process
	var w *Waiter
	finish := func() {
		n.perform(process, func() { r.finish(n, w, first, retries) })
	}
	const wait = 150 * time.Millisecond
	var pending bool
	w, pending = n.throttler.begin(name, wait, func() { r.after(0, finish) })
	if !pending {
		finish()
		return
	}
	r.flush(n)
	r.after(wait, func() {
		n.perform(process, func() {
			if w.Verdict == Pending {
				n.throttler.entry.Expire(w, r.now)
				finish()
			}
		})
	})
}

// finish handles the decision on a request. A tenth of the admitted ones does not run.
func (r *replay) finish(n *replayNode, w *Waiter, first time.Duration, retries int) {
	a := r.accounts[w.Account]
	admission := n.throttler.result(w)
	if admission.Verdict == Admitted {
		if r.random.Float64() < 0.1 {
			process := n.process
			r.after(time.Duration(r.random.Int64N(int64(600*time.Millisecond))), func() {
				n.perform(process, func() {
					admission.NotRun()
					r.flush(n)
				})
			})
			return
		}
		a.runs = append(a.runs, r.now+time.Duration(r.random.Int64N(int64(runDelay))))
		return
	}
	if retries > 0 {
		r.after(admission.RetryAfter, func() { r.request(w.Account, first, retries-1) })
		return
	}
	a.lost = append(a.lost, first)
	a.reason[admission.Verdict]++
}

// setCap activates a configuration with another cap for an account on all nodes.
func (r *replay) setCap(name string, rate, burst float64) {
	table := &matcher.Table{Version: r.table.Version + 1, Accounts: slices.Clone(r.table.Accounts)}
	account := table.AccountByName(name)
	account.Rate, account.Burst = rate, burst
	r.table = table
	r.accounts[name].caps = append(r.accounts[name].caps, capChange{at: r.now, rate: rate, burst: burst})
}

// busiest is the account with the highest rate.
const busiest = "account-029"

// holder returns the node that issues credit for the busiest account, or nil.
func (r *replay) holder() *replayNode {
	for _, n := range r.nodes {
		if !n.down && n.throttler.keeper.Holds(ShardOf(busiest)) {
			return n
		}
	}
	return nil
}

func (r *replay) kill(n *replayNode) { n.down = true }

// flood makes the clients of the busiest account send many times its usual requests.
func (r *replay) flood() {
	a := r.accounts[busiest]
	usual := a.rate(0)
	a.rate = func(time.Duration) float64 { return 7.5 * usual }
}

// restoreAt restores the store at a time from a copy of the given age.
func (r *replay) restoreAt(at, age time.Duration) {
	r.after(at-age-r.now, func() { r.store.copy() })
	r.after(at-r.now, func() { r.store.restore() })
}

func (r *replay) resume(n *replayNode) {
	n.suspended = false
	held := n.held
	n.held = nil
	for _, action := range held {
		action()
	}
}

// checkBound fails the test if more requests of an account than allowed ran in a window. The bound of a
// changed cap holds for the windows that start a quarter of a second after it is in force or later.
// It returns the highest ratio of the requests to the bound.
func (r *replay) checkBound(t *testing.T) (highest float64) {
	t.Helper()
	for name, a := range r.accounts {
		sort.Slice(a.runs, func(i, j int) bool { return a.runs[i] < a.runs[j] })
		end := 0
		for i, begin := range a.runs {
			for end < len(a.runs) && a.runs[end] < begin+replayBounds.Window {
				end++
			}
			bound := 0.0
			for c, change := range a.caps {
				last := c == len(a.caps)-1
				inForce := change.at <= begin+replayBounds.Window && (last || a.caps[c+1].at+250*time.Millisecond > begin)
				if inForce {
					bound = max(bound, replayBounds.Max(change.rate, change.burst))
				}
			}
			highest = max(highest, float64(end-i)/bound)
			if float64(end-i) > bound {
				t.Errorf("%s: %d requests ran within a window at %s, bound %.1f", name, end-i, begin-start, bound)
				break
			}
		}
	}
	return highest
}

// loss returns the share of requests lost of the accounts with a cap, except the named ones, that were sent
// outside of the given time.
func (r *replay) loss(from, to time.Duration, except ...string) float64 {
	sent, lost := 0, 0
	for name, a := range r.accounts {
		if slices.Contains(except, name) {
			continue
		}
		sent += a.sent
		for _, at := range a.lost {
			if at < from || at >= to {
				lost++
			}
		}
	}
	return float64(lost) / float64(sent)
}

// checkServed fails the test if fewer requests of an account have run than its rate allows. A tenth of the
// requests does not run although it was admitted.
func (r *replay) checkServed(t *testing.T, name string, from, to time.Duration) {
	t.Helper()
	ran := 0
	for _, at := range r.accounts[name].runs {
		if at >= from && at < to {
			ran++
		}
	}
	allowed := r.table.AccountByName(name).Rate * (to - from).Seconds()
	t.Logf("%s: %d requests ran, %.0f allowed", name, ran, allowed)
	assert.Assert(t, float64(ran) >= 0.85*allowed-3, name)
}

func pad(i int) string { return strings.Repeat("0", 3-len(strconv.Itoa(i))) + strconv.Itoa(i) }

// seconds converts seconds after the start to a time of the replay.
func seconds(s float64) time.Duration { return start + time.Duration(s*float64(time.Second)) }

// TestReplay guards against more requests of an account than its bound in any window, and against requests
// within the caps that are refused, while accounts send too much and nodes, links and the store fail.
func TestReplay(t *testing.T) {
	tests := map[string]struct {
		inject  func(r *replay)
		maxLoss float64       // of accounts within their caps, outside of the time after the fault
		fault   float64       // time of the fault in seconds
		recover time.Duration // time after the fault in which requests may be lost
		without []string      // accounts that are not within their caps
		served  bool          // whether these get what their caps allow while they send too much
	}{
		"calm": {inject: func(*replay) {}, maxLoss: 0.002},
		"flood": {
			inject: func(r *replay) {
				for _, i := range []int{5, 20, 29} {
					a := r.accounts["account-"+pad(i)]
					usual := a.rate(0)
					a.rate = func(now time.Duration) float64 {
						if now >= seconds(8) && now < seconds(14.5) {
							return 7.5 * usual
						}
						return usual
					}
				}
			},
			maxLoss: 0.002, without: []string{"account-005", "account-020", busiest}, served: true,
		},
		"cap lowered": {
			inject:  func(r *replay) { r.after(10*time.Second, func() { r.setCap(busiest, 8, 4) }) },
			maxLoss: 0.002, without: []string{busiest},
		},
		"issuer killed": {
			inject: func(r *replay) { r.after(10*time.Second, func() { r.kill(r.holder()) }) },
			fault:  10, recover: 10 * time.Second, maxLoss: 0.005,
		},
		"issuer restarted": {
			inject: func(r *replay) {
				r.after(10*time.Second, func() {
					n := r.holder()
					r.kill(n)
					r.after(300*time.Millisecond, func() { r.startProcess(n) })
				})
			},
			fault: 10, recover: 1500 * time.Millisecond, maxLoss: 0.005,
		},
		"issuer restarted repeatedly under a flood": {
			inject: func(r *replay) {
				a := r.accounts[busiest]
				usual := a.rate(0)
				a.rate = func(time.Duration) float64 { return 7.5 * usual }
				for i := range 8 {
					r.after(10*time.Second+time.Duration(i)*1100*time.Millisecond, func() {
						if n := r.holder(); n != nil {
							r.kill(n)
							r.after(200*time.Millisecond, func() { r.startProcess(n) })
						}
					})
				}
			},
			fault: 10, recover: 11 * time.Second, maxLoss: 0.005, without: []string{busiest},
		},
		"issuer stopped gracefully": {
			inject: func(r *replay) {
				r.after(10*time.Second, func() {
					n := r.holder()
					n.throttler.stopping.Store(true)
					n.throttler.keeper.Release("stopping")
					r.announce(n)
					r.after(2*time.Second, func() { r.kill(n) })
				})
			},
			fault: 10, recover: time.Second, maxLoss: 0.005,
		},
		"issuer suspended": {
			inject: func(r *replay) {
				r.after(10*time.Second, func() {
					n := r.holder()
					n.suspended = true
					r.after(9500*time.Millisecond, func() { r.resume(n) })
				})
			},
			fault: 10, recover: 11 * time.Second, maxLoss: 0.005,
		},
		"issuer partitioned": {
			inject: func(r *replay) {
				r.after(10*time.Second, func() {
					n := r.holder()
					n.partitioned = true
					r.after(12*time.Second, func() { n.partitioned = false })
				})
			},
			fault: 10, recover: 13 * time.Second, maxLoss: 0.005,
		},
		"half of the nodes killed under a flood": {
			inject: func(r *replay) {
				a := r.accounts[busiest]
				usual := a.rate(0)
				a.rate = func(time.Duration) float64 { return 7.5 * usual }
				r.after(10*time.Second, func() {
					for i := 0; i < len(r.nodes); i += 2 {
						r.kill(r.nodes[i])
					}
				})
				r.after(14*time.Second, func() {
					for i := 0; i < len(r.nodes); i += 2 {
						r.startProcess(r.nodes[i])
					}
				})
			},
			fault: 10, recover: 11 * time.Second, maxLoss: 0.005, without: []string{busiest},
		},
		"half of the nodes partitioned one by one under a flood": {
			inject: func(r *replay) {
				a := r.accounts[busiest]
				usual := a.rate(0)
				a.rate = func(time.Duration) float64 { return 7.5 * usual }
				for i := 0; i < len(r.nodes); i += 2 {
					r.after(10*time.Second+time.Duration(i)*50*time.Millisecond, func() { r.nodes[i].partitioned = true })
					r.after(20*time.Second, func() { r.nodes[i].partitioned = false })
				}
			},
			fault: 10, recover: 12 * time.Second, maxLoss: 0.005, without: []string{busiest},
		},
		"store restored under a flood": {
			inject: func(r *replay) {
				r.flood()
				for i := range 3 {
					r.restoreAt(seconds(8+6*float64(i)), 3*time.Second)
				}
			},
			fault: 8, recover: 18 * time.Second, maxLoss: 0.005, without: []string{busiest}, served: true,
		},
		"store restored from before the issuer, which some nodes learn late": {
			inject: func(r *replay) {
				r.flood()
				var first, second *replayNode
				r.after(3*time.Second, func() { first = r.holder(); r.kill(first) })
				r.after(10*time.Second, func() { r.startProcess(first) })
				r.after(3500*time.Millisecond, func() { r.store.copy() }) // with the first issuer's record
				r.after(14*time.Second, func() {
					second = r.holder()
					second.partitioned = true // so that it issues on in the earlier era
					r.store.restore()
				})
				r.after(16*time.Second, func() { second.partitioned = false })
			},
			fault: 3, recover: 20 * time.Second, maxLoss: 0.005, without: []string{busiest},
		},
		"issuer paused under a flood": {
			inject: func(r *replay) {
				r.flood()
				for i := range 3 {
					r.after(8*time.Second+time.Duration(i)*5*time.Second, func() {
						n := r.holder()
						n.suspended = true
						r.after(time.Duration(1+i)*time.Second, func() { r.resume(n) })
					})
				}
			},
			fault: 8, recover: 18 * time.Second, maxLoss: 0.005, without: []string{busiest},
		},
		"all nodes restarted under a flood": {
			inject: func(r *replay) {
				r.flood()
				for i, n := range r.nodes {
					r.after(10*time.Second+time.Duration(i)*20*time.Millisecond, func() { r.kill(n) })
					r.after(10400*time.Millisecond+time.Duration(i)*20*time.Millisecond, func() { r.startProcess(n) })
				}
			},
			fault: 10, recover: 5 * time.Second, maxLoss: 0.005, without: []string{busiest},
		},
		"lease lost under a flood": {
			inject: func(r *replay) {
				r.flood()
				for i := range 3 {
					r.after(8*time.Second+time.Duration(i)*5*time.Second, func() { clear(r.store.leases) })
				}
			},
			fault: 8, recover: 18 * time.Second, maxLoss: 0.005, without: []string{busiest},
		},
		"store away": {
			inject: func(r *replay) {
				r.after(10*time.Second, func() { r.store.away = true })
				r.after(14500*time.Millisecond, func() { r.store.away = false })
			},
			maxLoss: 0.002,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(t, 36, 30)
			test.inject(r)
			r.run(seconds(26))
			highest := r.checkBound(t)
			from := seconds(test.fault)
			loss := r.loss(from, from+test.recover, test.without...)
			reasons := make(map[string]int)
			for _, a := range r.accounts {
				for verdict, count := range a.reason {
					reasons[verdict.String()] += count
				}
			}
			t.Logf("usage up to %.2f of the bound, loss %.5f, all lost %v, frames %d, calls to the store %d, counts %v", highest, loss, reasons, r.frames, r.store.calls, r.meter)
			assert.Assert(t, loss <= test.maxLoss, "loss %.4f", loss)
			for _, name := range test.without {
				if test.served {
					r.checkServed(t, name, seconds(9.5), seconds(14.5))
				}
			}
		})
	}
}
