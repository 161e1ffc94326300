package throttler

import (
	"math"
	"time"

	"clementinerock/internal/proxy/carrier"
)

// Verdict is the decision on a request.
type Verdict int

// Decisions on a request.
const (
	Pending     Verdict = iota
	Admitted            // the request may run
	Limited             // the account has reached its cap
	Unavailable         // no issuer responded in time, and the local share is used up
	Left                // the client disconnected while the request waited
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"pending", "admitted", "limited", "unavailable", "left"}[v]
}

const (
	frameInterval = 5 * time.Millisecond // minimum time between two frames to an issuer

	// returnDelay is the time for which unused credit may wait for a frame that is sent anyway.
	returnDelay = 50 * time.Millisecond

	// replyTimeout is the time after which a request for credit without a reply is repeated.
	replyTimeout = 100 * time.Millisecond

	// maxBlock and minBlock limit the time for which requests are refused without a message after the
	// issuer has had no credit left.
	maxBlock = 250 * time.Millisecond
	minBlock = 10 * time.Millisecond

	// emptyTime is the time after such a reply in which a request whose wait ends counts as one beyond the
	// cap. It covers the longest wait, in which others may get the credit that becomes available.
	emptyTime = maxBlock + 150*time.Millisecond

	// aheadTime is the time for which credit is requested ahead, at the rate at which the account's
	// requests arrive here.
	aheadTime = 100 * time.Millisecond

	// rateTime is the time over which that rate is averaged.
	rateTime = time.Second

	// minSpread is the minimum time over which the retries of refused clients are spread.
	minSpread = 100 * time.Millisecond

	// unavailableRetryAfter is the mean retry delay sent while no issuer responds.
	unavailableRetryAfter = 400 * time.Millisecond
)

// Process identifies a process of a node.
type Process struct {
	Node    string
	Started int64
}

// Credit allows one request to run.
type Credit struct {
	account string
	epoch   uint64
	time    time.Duration // time of the grant on the clock of the issuer
	expires time.Duration
}

// Waiter is a request that waits for credit.
type Waiter struct {
	Account  string
	Deadline time.Duration // time until which it waits

	Verdict    Verdict
	RetryAfter time.Duration // if not admitted
	Local      bool          // if admitted: from the local share, without credit
	Decided    func()        // called once when Verdict is set after Request has returned; may be nil

	credit Credit
}

// Entry holds the credit of a node for the requests that its clients send.
type Entry struct {
	Share Share
	Rand  func() float64 // returns a random number in [0, 1)

	// Cap returns the rate of an account per second, or 0 if it has none; nil if that is not known.
	Cap func(account string) float64

	accounts [Shards]map[string]*entryAccount
	issuers  [Shards]issuerState
	lent     [Shards]lentPart
}

// issuerState is what the entry node knows of the issuer of a shard.
type issuerState struct {
	id       Process // zero if unknown
	lastSent time.Duration
	lostAt   time.Duration // time of the first request that found no issuer; 0 if there is one
	returns  []carrier.ReturnedCredit
	returnBy time.Duration // latest time to send returns, if there are any
}

// entryAccount is the state of an account at the entry node.
type entryAccount struct {
	shard   int
	credits []Credit // unused, oldest first
	waiters []*Waiter
	asked   int           // credits requested without a reply
	askedAt time.Duration // time of the last request
	askFrom time.Duration // earliest time of the next request: the issuer had no credit left
	emptyAt time.Duration // time of the last reply that the issuer had no credit left; 0 for none
	roomAt  time.Duration // time at which the requests that were refused lately may have credit
	rate    float64       // requests per second that arrive here
	last    time.Duration // time of the last request

	// Tokens of this node's part of the rate while the shard has no issuer, since lostAt of that time.
	tokens   float64
	filledAt time.Duration
	lostAt   time.Duration
}

// Request decides on a request at once if possible. Otherwise it waits until its deadline, at which the
// caller calls Expire.
func (e *Entry) Request(w *Waiter, now time.Duration) {
	a := e.account(w.Account)
	elapsed := max(now-a.last, 0).Seconds()
	a.rate = a.rate*math.Exp(-elapsed/rateTime.Seconds()) + 1/rateTime.Seconds()
	a.last = now
	e.dropExpired(a, now)
	if len(a.waiters) == 0 && len(a.credits) > 0 {
		w.credit, a.credits = a.credits[0], a.credits[1:]
		w.Verdict = Admitted
		return
	}
	if now < a.askFrom && a.roomAt > w.Deadline {
		e.limit(a, w, now)
		return
	}
	a.waiters = append(a.waiters, w)
}

// Expire ends the wait of a request whose deadline has passed.
func (e *Entry) Expire(w *Waiter, now time.Duration) {
	if w.Verdict != Pending {
		return
	}
	a := e.account(w.Account)
	a.remove(w)
	switch {
	case a.emptyAt > 0 && now-a.emptyAt < emptyTime:
		e.limit(a, w, now)
	case e.takePart(a, w.Account, now), e.Share.Take(w.Account, now):
		w.Verdict, w.Local = Admitted, true
	default:
		w.Verdict = Unavailable
		w.RetryAfter = time.Duration((0.5 + e.Rand()) * float64(unavailableRetryAfter))
	}
}

// takePart takes a request from this node's equal part of an account's rate while no issuer is known and the
// part is not lent. The part is empty when the issuer is lost.
func (e *Entry) takePart(a *entryAccount, account string, now time.Duration) bool {
	issuer := &e.issuers[a.shard]
	if issuer.id != (Process{}) || e.Cap == nil || now < e.lent[a.shard].until {
		return false
	}
	if issuer.lostAt == 0 {
		issuer.lostAt = now
	}
	if a.lostAt != issuer.lostAt {
		a.lostAt, a.filledAt, a.tokens = issuer.lostAt, issuer.lostAt, 0
	}
	rate := e.Cap(account) / float64(max(e.Share.Nodes(), 1))
	a.tokens = min(a.tokens+max(now-a.filledAt, 0).Seconds()*rate, max(rate*partTime.Seconds(), 1))
	a.filledAt = max(now, a.filledAt)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// partTime is the time whose part of the rate a node may use at once while no issuer is reachable.
const partTime = time.Second

// Leave removes a request whose client has disconnected. It reports whether the request had no decision.
func (e *Entry) Leave(w *Waiter) bool {
	if w.Verdict != Pending {
		return false
	}
	e.account(w.Account).remove(w)
	w.Verdict = Left
	return true
}

// NotRun takes back the credit of an admitted request that did not run.
func (e *Entry) NotRun(w *Waiter, now time.Duration) {
	if w.Verdict != Admitted || w.Local {
		return
	}
	a := e.account(w.Account)
	if now < w.credit.expires {
		a.credits = append(a.credits, w.credit)
		e.serve(a)
		return
	}
	e.giveBack(a.shard, &w.credit, now)
}

// SetIssuer records the issuer of a shard; the zero Process for none. Credit for the requests that wait is
// requested from a new one.
func (e *Entry) SetIssuer(shard int, id Process) {
	if e.issuers[shard].id == id {
		return
	}
	e.issuers[shard] = issuerState{id: id}
	for _, a := range e.accounts[shard] {
		a.asked, a.askFrom, a.roomAt, a.emptyAt = 0, 0, 0, 0
	}
}

// Issuer returns the issuer of a shard, or the zero Process.
func (e *Entry) Issuer(shard int) Process { return e.issuers[shard].id }

// schedule collects the earliest time at which something is due after now.
type schedule struct {
	now  time.Duration
	wake time.Duration // 0 for none
}

// due reports whether a time has come.
func (s *schedule) due(at time.Duration) bool {
	if at > s.now && (s.wake == 0 || at < s.wake) {
		s.wake = at
	}
	return at <= s.now
}

// Next returns the frame to send to the issuer of a shard now, or nil, and the time at which to call Next
// again; 0 for no such time.
func (e *Entry) Next(shard int, now time.Duration) (request *carrier.CreditRequest, wake time.Duration) {
	issuer := &e.issuers[shard]
	s := &schedule{now: now}
	wants := e.wants(shard, s)
	mustSend := len(wants) > 0 || len(issuer.returns) > 0 && s.due(issuer.returnBy)
	if !mustSend || !s.due(issuer.lastSent+frameInterval) {
		return nil, s.wake
	}
	request = &carrier.CreditRequest{Sent: now, Wants: wants, Returns: issuer.returns}
	issuer.returns = nil
	issuer.lastSent = now
	for _, want := range wants {
		a := e.accounts[shard][want.Account]
		a.asked, a.askedAt = a.asked+want.Want+want.Ahead, now
	}
	return request, s.wake
}

// wants returns the credit to request now from the issuer of a shard.
func (e *Entry) wants(shard int, s *schedule) (wants []carrier.CreditWant) {
	for name, a := range e.accounts[shard] {
		e.dropExpired(a, s.now)
		if len(a.credits) > 0 {
			s.due(a.credits[0].expires)
		}
		if a.asked > 0 && len(a.waiters) > 0 && s.due(a.askedAt+replyTimeout) {
			a.asked = 0 // the request or its reply was lost
		}
		want, ahead := a.wanted(s.now)
		if e.issuers[shard].id != (Process{}) && want+ahead > 0 && s.due(a.askFrom) {
			wants = append(wants, carrier.CreditWant{Account: name, Want: want, Ahead: ahead})
		}
	}
	return wants
}

// wanted returns the credit to request for an account besides what was requested before.
func (a *entryAccount) wanted(now time.Duration) (want, ahead int) {
	want = max(len(a.waiters)-a.asked, 0)
	if now-a.last > 2*aheadTime {
		return want, 0
	}
	expected := int(a.rate * aheadTime.Seconds())
	have := max(len(a.credits)+a.asked-len(a.waiters), 0)
	if have <= expected/2 {
		ahead = expected - have
	}
	return want, ahead
}

// Receive takes the reply of an issuer to a frame.
func (e *Entry) Receive(grant *carrier.CreditGrant, now time.Duration) {
	for i := range grant.Accounts {
		e.receive(&grant.Accounts[i], grant.Sent, now)
	}
}

func (e *Entry) receive(g *carrier.AccountCredit, sent, now time.Duration) {
	a := e.accounts[ShardOf(g.Account)][g.Account]
	if a == nil {
		return
	}
	if !g.Issued {
		a.askFrom, a.roomAt = 0, 0 // requested again after replyTimeout, unless the issuer changes before
		return
	}
	a.asked = max(a.asked-max(g.Asked, 0), 0)
	credit := Credit{account: g.Account, epoch: g.Epoch, time: g.Time, expires: sent + creditLife}
	for range min(max(g.Count, 0), maxWant) {
		a.credits = append(a.credits, credit)
	}
	e.dropExpired(a, now)
	e.serve(a)
	if g.Wait <= 0 {
		a.askFrom, a.roomAt = 0, 0
		return
	}
	room := max(g.RetryAfter, g.Wait)
	a.emptyAt = now
	a.askFrom, a.roomAt = now+min(max(room, minBlock), maxBlock), now+room
	waiting := a.waiters[:0]
	for _, w := range a.waiters {
		if a.roomAt <= w.Deadline {
			waiting = append(waiting, w)
			continue
		}
		e.limit(a, w, now)
		w.decide()
	}
	a.waiters = waiting
}

// serve gives credit to the requests that wait.
func (e *Entry) serve(a *entryAccount) {
	for len(a.waiters) > 0 && len(a.credits) > 0 {
		w := a.waiters[0]
		a.waiters = a.waiters[1:]
		w.credit, a.credits = a.credits[0], a.credits[1:]
		w.Verdict = Admitted
		w.decide()
	}
}

// limit refuses a request beyond the cap. The delays of the refused are spread, so that they do not return
// together.
func (e *Entry) limit(a *entryAccount, w *Waiter, now time.Duration) {
	w.Verdict = Limited
	room := max(a.roomAt, a.askFrom) - now
	spread := max(room/2, minSpread)
	w.RetryAfter = max(room, 0) + time.Duration(e.Rand()*float64(spread))
}

func (w *Waiter) decide() {
	if w.Decided != nil {
		w.Decided()
	}
}

// dropExpired returns credit to its issuer that may no longer be used here.
func (e *Entry) dropExpired(a *entryAccount, now time.Duration) {
	kept := a.credits[:0]
	for i := range a.credits {
		if now < a.credits[i].expires {
			kept = append(kept, a.credits[i])
			continue
		}
		e.giveBack(a.shard, &a.credits[i], now)
	}
	a.credits = kept
}

// giveBack queues credit for its return to the issuer.
func (e *Entry) giveBack(shard int, credit *Credit, now time.Duration) {
	issuer := &e.issuers[shard]
	if issuer.id == (Process{}) {
		return
	}
	if len(issuer.returns) == 0 {
		issuer.returnBy = now + returnDelay
	}
	for i := range issuer.returns {
		r := &issuer.returns[i]
		if r.Account == credit.account && r.Epoch == credit.epoch && r.Time == credit.time {
			r.Count++
			return
		}
	}
	issuer.returns = append(issuer.returns, carrier.ReturnedCredit{Account: credit.account, Epoch: credit.epoch, Time: credit.time, Count: 1})
}

// account returns the state of an account, which is created if needed.
func (e *Entry) account(name string) *entryAccount {
	shard := ShardOf(name)
	a, ok := e.accounts[shard][name]
	if !ok {
		if e.accounts[shard] == nil {
			e.accounts[shard] = make(map[string]*entryAccount)
		}
		a = &entryAccount{shard: shard}
		e.accounts[shard][name] = a
	}
	return a
}

// inspect describes an account without changing its state.
func (e *Entry) inspect(name string, now time.Duration) Inspection {
	shard := ShardOf(name)
	i := Inspection{Shard: shard, Issuer: e.issuers[shard].id.Node}
	a := e.accounts[shard][name]
	if a == nil {
		return i
	}
	for k := range a.credits {
		if now < a.credits[k].expires {
			i.Credit++
		}
	}
	i.Waiting = len(a.waiters)
	i.Limited = a.roomAt > 0
	if i.Limited {
		i.RetryAfter = max(max(a.roomAt, a.askFrom)-now, 0)
	}
	i.refusedUntil, i.room = a.askFrom, a.roomAt
	return i
}

func (a *entryAccount) remove(w *Waiter) {
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// Retain removes the state of accounts for which keep reports false and no request waits.
func (e *Entry) Retain(keep func(account string) bool) {
	for _, accounts := range e.accounts {
		for name, a := range accounts {
			if len(a.waiters) == 0 && !keep(name) {
				delete(accounts, name)
			}
		}
	}
}

// Waiting reports whether requests wait for credit for an account of a shard.
func (e *Entry) Waiting(shard int) bool {
	for _, a := range e.accounts[shard] {
		if len(a.waiters) > 0 {
			return true
		}
	}
	return false
}
