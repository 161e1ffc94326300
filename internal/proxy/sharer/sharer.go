// Package sharer orders the jobs of client accounts so that each account gets a fair share of the
// slots: start-time fair queueing, in which a job has a start tag and the lowest tag goes first. It reads no
// clock and performs no I/O.
package sharer

import (
	"math"
	"time"
)

const (
	// maxAccounts is the number of accounts of which a Sharer keeps a record, about 100 bytes each.
	maxAccounts = 1024

	// recordHalfLife is the half-life of the numbers of offered and started jobs.
	recordHalfLife = 5 * time.Second

	// savedShare is the number of jobs that an account may be behind the others. Queues are so short that the
	// virtual time rises by one in some seconds, and without saved shares an account that sends one request in
	// this time has the same tag as one that has used its share.
	savedShare = 4

	// minOffers is the number of recent offers below which an account's ratio of started jobs says
	// nothing.
	minOffers = 8

	// floorShare is the ratio of an account's started jobs, as a share of that of all accounts, below which
	// its jobs count as within its share. A request is offered to several queues, so that an account at this
	// floor at each of them is above it in all.
	floorShare = 0.25

	// forgotten is the number of recent offers below which the record of an account at its fair share is
	// dropped.
	forgotten = 0.01

	// sweepInterval is the number of new records between two searches for records to drop.
	sweepInterval = 64
)

// Sharer holds the virtual time of one queue and the records of the accounts with jobs in it. All jobs have
// the same cost, since accounts are compared by the number of their requests. The jobs of a single account
// get increasing tags, so that they are served in order of arrival.
//
// The zero value is ready for use.
type Sharer struct {
	virtual  float64 // highest start tag of the jobs that have started
	all      record
	accounts map[string]*record
	created  int // number of records created since the last sweep
}

// record is what is kept of one account, or of all.
type record struct {
	finish  float64 // start tag of the account's next job, unless it is more than savedShare behind
	offered float64 // recent jobs, started or not
	started float64
	updated time.Time
}

// decay reduces the numbers by the time that has passed since the last call.
func (r *record) decay(now time.Time) {
	if elapsed := now.Sub(r.updated); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / recordHalfLife.Seconds())
		r.offered *= factor
		r.started *= factor
		r.updated = now
	}
}

// Offer records that an account offers a job and returns its start tag. over reports whether the account
// has used more than its fair share, so that jobs of other accounts go before this one.
func (s *Sharer) Offer(account string, now time.Time) (tag float64, over bool) {
	s.all.decay(now)
	s.all.offered++
	r := s.accounts[account]
	if r == nil {
		r = s.add(account, now)
	}
	if r == nil {
		return s.virtual - savedShare, false
	}
	r.decay(now)
	r.offered++
	tag = max(r.finish, s.virtual-savedShare)
	if s.deprived(r) {
		return min(tag, s.virtual), false
	}
	return tag, tag > s.virtual
}

// deprived reports whether an account is served much more rarely than all accounts together. An account with
// most of the demand would be if all had the same share.
func (s *Sharer) deprived(r *record) bool {
	return len(s.accounts) > 1 && r.offered >= minOffers &&
		r.started*s.all.offered < floorShare*s.all.started*r.offered
}

// add adds the record of an account. It returns nil if there are too many.
func (s *Sharer) add(account string, now time.Time) *record {
	if s.created++; s.created >= sweepInterval {
		s.created = 0
		s.sweep(now)
	}
	if len(s.accounts) >= maxAccounts {
		return nil
	}
	if s.accounts == nil {
		s.accounts = make(map[string]*record)
	}
	r := &record{updated: now}
	s.accounts[account] = r
	return r
}

// sweep drops the records that make no difference any more.
func (s *Sharer) sweep(now time.Time) {
	for account, r := range s.accounts {
		if r.decay(now); r.finish <= s.virtual-savedShare && r.offered < forgotten {
			delete(s.accounts, account)
		}
	}
}

// Charge adds a job with a start tag to what an account has used, because it was queued or has started.
func (s *Sharer) Charge(account string, tag float64) {
	if r := s.accounts[account]; r != nil {
		r.finish = max(r.finish, tag+1)
	}
}

// Refund takes back the charge of a job that was queued and will not start. It has no effect if the account
// has queued another job since.
func (s *Sharer) Refund(account string, tag float64) {
	if r := s.accounts[account]; r != nil && r.finish == tag+1 {
		r.finish = tag
	}
}

// Start records that a job has started.
func (s *Sharer) Start(account string, tag float64) {
	s.virtual = max(s.virtual, tag)
	s.all.started++
	if r := s.accounts[account]; r != nil {
		r.started++
	}
}
