package throttler

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/node/expirer"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/matcher"
)

const (
	keepInterval    = 100 * time.Millisecond // interval between two checks of the shards to hold
	refreshInterval = 20 * time.Millisecond  // minimum interval between two reads of the other nodes' states

	// settleTime is the time after the start, or after caps came in force, in which other nodes become known
	// and no shards are taken.
	settleTime = 500 * time.Millisecond

	// rankDelay is the time without an issuer after which the candidate of the second rank tries to take a
	// shard. It is multiplied by the number of preferred candidates.
	rankDelay = 3 * time.Second

	// partitionDelay is the further delay of a node that is linked to less than half of the candidates. It
	// may be partitioned, and most nodes could not reach it.
	partitionDelay = 2 * time.Second

	// demotionDelay is the time after which a node that is no candidate any more releases its shards, since
	// other nodes may end their links to it.
	demotionDelay = 10 * time.Second

	logInterval = time.Second // minimum interval between two log lines for an account that is limited
)

// Meter records measurements.
type Meter interface {
	Add(name string, n int64)
	Gauge(name string, value float64)
}

// Remote is another node to which a link is up.
type Remote struct {
	Peer    carrier.Peer
	Issuing carrier.Issuing
	Send    func(*carrier.CreditRequest)
	Suspect bool // whether it does not respond

	RequestParts func(*carrier.PartRequest)

	ReadsStore bool                    // whether its last call to the store succeeded, as far as it says
	RenewLease func(lease uint64) bool // asks it to renew a lease in the store
}

func id(p *carrier.Peer) Process { return Process{Node: p.Node, Started: p.Started} }

// Throttler limits the requests of client accounts that enter at this node, and issues credit for the
// accounts of the shards that this node holds. Its methods may be called concurrently.
type Throttler struct {
	Log      *zap.Logger
	Meter    Meter
	Bounds   Bounds
	Self     carrier.Peer
	Store    Store
	Clock    expirer.Clock
	Table    func() *matcher.Table // returns the active configuration, or nil
	Remotes  func() []Remote
	Announce func()     // announces the state of this node to all linked nodes
	Nodes    func() int // returns the number of nodes, including those that may have ended
	Known    func() int // returns the number of nodes that are known now; nil if there are no others

	// Ended reports whether a process of another node has ended its last link to this one; nil if that is not known.
	Ended func(Process) bool

	keeper    *Keeper
	stopping  atomic.Bool
	wake      chan struct{}
	release   chan struct{} // closed to release the shards
	released  chan struct{} // closed when the shards are released
	stop      chan struct{}
	announced uint64              // Issuing.Changes at the last announcement; for keepOnce
	async     func(action func()) // runs an action that may block

	mu           sync.Mutex
	issuing      carrier.Issuing           // what this node says of itself, see updateIssuing
	asked        map[Process]time.Duration // time of the last request for the parts of a node
	members      recentMax                 // number of nodes
	entry        Entry
	issuer       Issuer
	version      uint64 // of the configuration whose accounts are applied
	remotes      map[Process]Remote
	refreshed    time.Duration
	candidates   []carrier.Peer
	activeSince  time.Duration // time since which caps are in force; 0 if none are
	demotedSince time.Duration // time since which this node is no candidate; 0 if it is one
	missingSince [Shards]time.Duration
	dirty        [Shards]bool          // shards with new requests
	wakeAt       [Shards]time.Duration // time of the next call of Entry.Next; 0 for none
	limits       map[string]*limitLog
}

// limitLog limits the log lines of an account.
type limitLog struct {
	last    time.Duration
	refused int // requests refused since then
}

// Admission is the decision on a request.
type Admission struct {
	Verdict    Verdict
	RetryAfter time.Duration // if limited or unavailable: delay after which the client may retry

	// NotRun returns the credit of an admitted request that did not run and never will.
	NotRun func()
}

// Start runs the throttler until the clean-up function is called.
func (t *Throttler) Start() func() {
	t.prepare()
	go t.run()
	go t.keep()
	go t.borrow()
	return func() { close(t.stop) }
}

// prepare initializes the throttler without starting it.
func (t *Throttler) prepare() {
	t.wake = make(chan struct{}, 1)
	t.release = make(chan struct{})
	t.released = make(chan struct{})
	t.stop = make(chan struct{})
	t.async = func(action func()) { go action() }
	t.limits = make(map[string]*limitLog)
	t.keeper = &Keeper{Log: t.Log, Store: t.Store, Clock: t.Clock, Node: t.Self.Node, Started: t.Self.Started}
	t.keeper.RenewByPeer = t.renewByPeer
	t.keeper.OnTake = func(shard int) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.issuer.Take(shard, t.Clock())
	}
	t.keeper.OnDrop = func(shard int) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.issuer.Drop(shard)
	}
	t.issuer.Bounds = t.Bounds
	t.entry.Rand = rand.Float64
	t.entry.Cap = func(name string) float64 {
		if account := accountOf(t.Table(), name); account != nil {
			return account.Rate
		}
		return 0
	}
	t.entry.Share = Share{Bounds: t.Bounds, Rand: rand.Float64, Nodes: t.Nodes}
	t.entry.Start(t.Clock())
	t.asked = make(map[Process]time.Duration)
}

// Release releases the shards of this node, and takes no further ones. It returns when that is done, but
// waits for the given time at most.
func (t *Throttler) Release(wait time.Duration) {
	if t.stopping.Swap(true) {
		return
	}
	close(t.release)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-t.released:
	case <-timer.C:
	}
}

// Doubt suspends the issuing of credit by this node until its lease and its records have been read again.
// It is to be called when the store may have lost acknowledged writes.
func (t *Throttler) Doubt() {
	t.keeper.Doubt()
	t.Issuing()
}

// Issuing returns what this node announces to the others.
func (t *Throttler) Issuing() carrier.Issuing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateIssuing(t.Clock())
	return t.issuing
}

// updateIssuing notes a change of the shards that this node holds, and returns all borrowed parts at each change. Their
// lenders see by the number of changes that they may use their parts again, so that number must not stay
// the same.
func (t *Throttler) updateIssuing(now time.Duration) {
	held, stopping := t.keeper.Held(), t.stopping.Load()
	if held == t.issuing.Shards && stopping == t.issuing.NoMore {
		return
	}
	t.issuing = carrier.Issuing{Shards: held, NoMore: stopping, Changes: t.issuing.Changes + 1}
	t.issuer.ReturnAll(now)
	clear(t.asked)
}

// Active reports whether a configuration has caps.
func Active(table *matcher.Table) bool {
	if table == nil {
		return false
	}
	for i := range table.Accounts {
		if table.Accounts[i].Rate > 0 {
			return true
		}
	}
	return false
}

// SetCandidates sets the nodes that may hold shards, see Candidates.
func (t *Throttler) SetCandidates(candidates []carrier.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.candidates = candidates
}

// Inspection describes the credit that this node holds for an account.
type Inspection struct {
	Shard      int
	Issuer     string        // node that issues credit for the account; empty if none is known
	Credit     int           // unused credit that has not expired
	Waiting    int           // requests that wait for credit
	Limited    bool          // whether the last reply of the issuer said that the account has reached its cap
	RetryAfter time.Duration // if limited: time until the issuer may have credit again

	refusedUntil, room time.Duration
	now                time.Duration
}

// Refuses reports whether a request that may wait for credit for the given time would be refused at once.
func (i *Inspection) Refuses(wait time.Duration) bool {
	return (i.Credit == 0 || i.Waiting > 0) && i.now < i.refusedUntil && i.room > i.now+wait
}

// Inspect describes the credit of an account. It takes none, asks for none and changes nothing.
func (t *Throttler) Inspect(account string) Inspection {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	inspection := t.entry.inspect(account, now)
	inspection.now = now
	return inspection
}

// Admit decides on a request of an account. It waits for credit for the given time at most, until gone is
// closed.
func (t *Throttler) Admit(account string, wait time.Duration, gone <-chan struct{}) Admission {
	decided := make(chan struct{})
	w, pending := t.begin(account, wait, func() { close(decided) })
	if w == nil {
		return Admission{Verdict: Admitted, NotRun: func() {}}
	}
	if pending {
		t.await(w, wait, decided, gone)
	}
	return t.result(w)
}

// begin starts to decide on a request. If that is pending, the function decided may be called from then on.
// The waiter is nil if the account has no cap.
func (t *Throttler) begin(account string, wait time.Duration, decided func()) (w *Waiter, pending bool) {
	table := t.Table()
	if table == nil {
		return nil, false
	}
	if a := table.AccountByName(account); a == nil || a.Rate == 0 {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	t.applyTable(table, now)
	t.refresh(now)
	w = &Waiter{Account: account, Deadline: now + wait}
	t.entry.Request(w, now)
	shard := ShardOf(account)
	w.Decided = decided
	t.dirty[shard] = true
	if t.entry.Issuer(shard) == id(&t.Self) {
		t.flushShard(shard, now)
	}
	t.signal()
	return w, w.Verdict == Pending
}

// await waits until a request is decided, its deadline passes or its client disconnects.
func (t *Throttler) await(w *Waiter, wait time.Duration, decided, gone <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-decided:
	case <-timer.C:
		t.mu.Lock()
		t.entry.Expire(w, t.Clock())
		t.mu.Unlock()
	case <-gone:
		t.mu.Lock()
		if !t.entry.Leave(w) {
			t.entry.NotRun(w, t.Clock())
			w.Verdict = Left
		}
		t.mu.Unlock()
	}
}

// checkExpiry withdraws credit that has expired since it was given to a request, because this process was
// suspended.
func (t *Throttler) checkExpiry(w *Waiter) {
	if w.Verdict != Admitted || w.Local {
		return
	}
	now := t.Clock()
	if now < w.credit.expires+runDelay {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry.NotRun(w, now)
	w.Verdict, w.RetryAfter = Unavailable, unavailableRetryAfter
}

// result logs and counts the decision on a request.
func (t *Throttler) result(w *Waiter) Admission {
	t.checkExpiry(w)
	switch {
	case w.Verdict == Limited:
		t.Meter.Add("throttle_limited", 1)
		t.logLimited(w)
	case w.Verdict == Unavailable:
		t.Meter.Add("throttle_unavailable", 1)
		t.logLimited(w)
	case w.Verdict == Admitted && w.Local:
		t.Meter.Add("throttle_local", 1)
	case w.Verdict == Admitted:
		t.Meter.Add("throttle_granted", 1)
	}
	return Admission{Verdict: w.Verdict, RetryAfter: w.RetryAfter, NotRun: func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.entry.NotRun(w, t.Clock())
		t.dirty[ShardOf(w.Account)] = true
		t.signal()
	}}
}

func (t *Throttler) logLimited(w *Waiter) {
	t.mu.Lock()
	now := t.Clock()
	l := t.limits[w.Account]
	if l == nil {
		l = &limitLog{last: now - logInterval}
		t.limits[w.Account] = l
	}
	l.refused++
	refused, log := l.refused, now-l.last >= logInterval
	if log {
		l.last, l.refused = now, 0
	}
	t.mu.Unlock()
	if log {
		t.Log.Info("throttle: requests of an account refused",
			zap.String("account", w.Account),
			zap.String("verdict", w.Verdict.String()),
			zap.Int("refused", refused),
			zap.Duration("retry", w.RetryAfter))
	}
}

// GrantCredit serves a request for credit of another node. See carrier.CreditServer.
func (t *Throttler) GrantCredit(request *carrier.CreditRequest) *carrier.CreditGrant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grant(request)
}

// ReceiveCredit receives the reply of an issuer. See carrier.CreditServer.
func (t *Throttler) ReceiveCredit(grant *carrier.CreditGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.receive(grant)
}

func (t *Throttler) receive(grant *carrier.CreditGrant) {
	t.entry.Receive(grant, t.Clock())
	for i := range grant.Accounts {
		t.dirty[ShardOf(grant.Accounts[i].Account)] = true
	}
	t.signal()
}

// signal makes run call flush.
func (t *Throttler) signal() {
	select {
	case t.wake <- struct{}{}:
	default: // signaled already
	}
}

// grant serves a request for credit. It returns nil if that only returns credit.
func (t *Throttler) grant(request *carrier.CreditRequest) *carrier.CreditGrant {
	t.updateIssuing(t.Clock())
	table := t.Table()
	if table != nil {
		t.applyTable(table, t.Clock())
	}
	for i := range request.Returns {
		if t.keeper.Holds(ShardOf(request.Returns[i].Account)) {
			t.issuer.Return(&request.Returns[i], t.Clock())
		}
	}
	if len(request.Wants) == 0 {
		return nil
	}
	grant := &carrier.CreditGrant{Sent: request.Sent}
	for _, want := range request.Wants {
		granted := carrier.AccountCredit{Account: want.Account}
		if table != nil && t.keeper.Holds(ShardOf(want.Account)) {
			if account := table.AccountByName(want.Account); account != nil {
				granted = t.issuer.Grant(account, want.Want, want.Ahead, t.Clock())
				t.Meter.Add("throttle_issued", int64(granted.Count))
			}
		}
		grant.Accounts = append(grant.Accounts, granted)
	}
	return grant
}

// applyTable applies the accounts of a configuration that has become active.
func (t *Throttler) applyTable(table *matcher.Table, now time.Duration) {
	if table.Version == t.version {
		return
	}
	t.version = table.Version
	t.issuer.SetAccounts(table, now)
	keep := func(name string) bool { return table.AccountByName(name) != nil }
	t.entry.Retain(keep)
	for name := range t.limits {
		if !keep(name) {
			delete(t.limits, name)
		}
	}
}

// refresh reads from the states of the other nodes who issues credit for each shard. If several nodes claim
// a shard, the one that claimed it last counts.
func (t *Throttler) refresh(now time.Duration) {
	if now-t.refreshed < refreshInterval && t.remotes != nil {
		return
	}
	t.refreshed = now
	t.updateIssuing(now)
	own := t.issuing.Shards
	remotes := make(map[Process]Remote, len(t.remotes))
	for _, r := range t.Remotes() {
		remotes[id(&r.Peer)] = r
	}
	claims := func(r Remote, bit uint64) bool { return !r.Suspect && r.Issuing.Shards&bit != 0 }
	for shard := range Shards {
		bit := uint64(1) << shard
		current := t.entry.Issuer(shard)
		if !claims(remotes[current], bit) {
			current = Process{}
		}
		for name, r := range remotes {
			if claims(r, bit) && (current == (Process{}) || !claims(t.remotes[name], bit)) {
				current = name
			}
		}
		if own&bit != 0 {
			current = id(&t.Self)
		}
		if current != t.entry.Issuer(shard) {
			t.entry.SetIssuer(shard, current)
			t.dirty[shard] = true
		}
	}
	t.remotes = remotes
	t.refreshLoans(now)
}

func accountOf(table *matcher.Table, name string) *matcher.Account {
	if table == nil {
		return nil
	}
	return table.AccountByName(name)
}

// run sends the frames to the issuers.
func (t *Throttler) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-t.wake:
		case <-timer.C:
		}
		if next := t.flush(); next > 0 {
			timer.Reset(next)
		}
	}
}

// flush sends what is due to the issuers and returns the time until the next call; 0 for none.
func (t *Throttler) flush() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	t.refresh(now)
	var next time.Duration
	for shard := range Shards {
		if t.dirty[shard] || t.wakeAt[shard] > 0 && t.wakeAt[shard] <= now {
			t.flushShard(shard, now)
		}
		at := t.wakeAt[shard]
		if t.entry.Issuer(shard) == (Process{}) && t.entry.Waiting(shard) {
			at = now + refreshInterval
		}
		if at > 0 && (next == 0 || at-now < next) {
			next = max(at-now, time.Millisecond)
		}
	}
	return next
}

// flushShard sends what is due to the issuer of a shard.
func (t *Throttler) flushShard(shard int, now time.Duration) {
	t.dirty[shard] = false
	issuer := t.entry.Issuer(shard)
	request, wake := t.entry.Next(shard, now)
	t.wakeAt[shard] = wake
	if request == nil {
		return
	}
	if issuer == id(&t.Self) {
		if grant := t.grant(request); grant != nil {
			t.receive(grant)
		}
		return
	}
	t.Meter.Add("throttle_frames", 1)
	send := t.remotes[issuer].Send
	t.async(func() { send(request) }) // may block while the link is congested
}

// shardList returns the numbers of the shards in a bit set.
func shardList(set uint64) []int {
	var list []int
	for shard := range Shards {
		if set&(1<<shard) != 0 {
			list = append(list, shard)
		}
	}
	return list
}

// Dump is the state of the throttler as it is written in JSON.
type Dump struct {
	Holds   []int          `json:"holds"`   // shards whose issuer this node is
	Issuers [Shards]string `json:"issuers"` // node that issues credit for each shard; empty if unknown
}

// Dump returns the current state.
func (t *Throttler) Dump() Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Dump{Holds: shardList(t.keeper.Held())}
	for shard := range Shards {
		d.Issuers[shard] = t.entry.Issuer(shard).Node
	}
	return d
}
