package forwarder

import (
	"maps"
	"time"
)

const (
	// maxRefusedAccounts is the maximum number of accounts and services whose refusals are kept.
	maxRefusedAccounts = 1024

	// refusalMemory is the time after a refusal by a full queue during which further requests of the account
	// are refused without a call if all targets report full queues.
	refusalMemory = 500 * time.Millisecond

	// maxSpread is the largest random share that is added to the retry delay of a request of an account.
	maxSpread = 0.5
)

// accountRefusals holds the end of the refusalMemory of each account that was refused recently.
//
// The waits that a target's node reports are those of a new job behind all others of its priority. They say
// nothing to an account that uses less than its fair share, whose jobs go before those of a flood. So only
// an account that a full queue has refused itself is assumed to wait behind the others.
//
// The zero value is empty.
type accountRefusals struct {
	ends map[accountService]time.Time
}

type accountService struct{ account, service string }

// add records that a full queue of a service has refused an account.
func (r *accountRefusals) add(account, service string, now time.Time) {
	if len(r.ends) >= maxRefusedAccounts {
		maps.DeleteFunc(r.ends, func(_ accountService, end time.Time) bool { return now.After(end) })
	}
	if len(r.ends) >= maxRefusedAccounts {
		return // the account's requests are then not refused without a call
	}
	if r.ends == nil {
		r.ends = make(map[accountService]time.Time)
	}
	r.ends[accountService{account, service}] = now.Add(refusalMemory)
}

// recent reports whether an account was refused within refusalMemory.
func (r *accountRefusals) recent(account, service string, now time.Time) bool {
	end, ok := r.ends[accountService{account, service}]
	return ok && !now.After(end)
}

// trustsReportedWaits reports whether the waits that targets report apply to a request.
func (f *Forwarder) trustsReportedWaits(p *progress) bool {
	if p.nested {
		return false
	}
	if p.Account == "" {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accountRefusals.recent(p.Account, p.service, time.Now())
}

// recordAccountRefused records that a full queue has refused a request of an account.
func (f *Forwarder) recordAccountRefused(p *progress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accountRefusals.add(p.Account, p.service, time.Now())
}

// spread returns a retry delay that is longer by a random share, so that the clients of an account that were
// refused together do not return together. random lies in [0, 1).
func spread(retryAfter time.Duration, random float64) time.Duration {
	return retryAfter + time.Duration(maxSpread*random*float64(retryAfter))
}
