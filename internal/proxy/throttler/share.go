package throttler

import "time"

// Share is the local share of the node in the usage of accounts, for the time without an issuer. Time is
// divided into slots of one window. In each slot, the node may admit a random number of requests of an
// account whose mean is its share; it is mostly zero on a large deployment. Unused shares expire with their
// slot. Otherwise, all nodes would have a whole request each after some time without use.
type Share struct {
	Bounds Bounds
	Rand   func() float64 // returns a random number in [0, 1)
	Nodes  func() int     // returns the number of nodes

	first    time.Duration // start of the first slot
	accounts map[string]*slot
}

// Start sets the start of the first slot to a random time within one window from the start of the process.
// Nothing is admitted before, so that restarts do not multiply the share.
func (s *Share) Start(now time.Duration) {
	s.first = now + time.Duration(s.Rand()*float64(s.Bounds.Window))
}

// slot is the share of an account in a slot.
type slot struct {
	number int64
	left   int
}

// Take takes one request of an account from the share, and reports whether it could.
func (s *Share) Take(account string, now time.Duration) bool {
	if now < s.first || s.Bounds.Window <= 0 {
		return false
	}
	number := int64((now - s.first) / s.Bounds.Window)
	current := s.accounts[account]
	if current == nil || current.number != number {
		mean := slotSlack * s.Bounds.Slack / float64(max(s.Nodes(), 1))
		current = &slot{number: number, left: int(mean + s.Rand())}
		if s.accounts == nil {
			s.accounts = make(map[string]*slot)
		}
		s.accounts[account] = current
	}
	if current.left == 0 {
		return false
	}
	current.left--
	return true
}
