package keeper

import "time"

// Faults configures fault injection. With the zero value the store works normally.
type Faults struct {
	Down            bool          // every call fails
	Delay           time.Duration // latency added to every call
	LoseAnswers     int           // number of writes that take effect but return ErrResponseLost
	WritesPerSecond int           // 0 means no limit
	ReadsPerSecond  int           // 0 means no limit
}

// loseResponse reports whether to lose the response to the current write, and decrements LoseAnswers
// if so.
func (f *Faults) loseResponse() bool {
	if f.LoseAnswers == 0 {
		return false
	}
	f.LoseAnswers--
	return true
}

// SetFaults replaces the fault configuration and wakes up all watches.
func (s *MemoryStore) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.notifyWatchers()
}

// ExpireLeases ends all leases at once, as happens when their holders are paused and cannot
// renew them.
func (s *MemoryStore) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = nil
}

// rateWindow counts the calls in the current window of one second.
type rateWindow struct {
	start  time.Time
	reads  int
	writes int
}

// admit counts a call and reports whether it is within the rate limit.
func (w *rateWindow) admit(now time.Time, write bool, faults Faults) bool {
	if now.Sub(w.start) >= time.Second {
		*w = rateWindow{start: now}
	}
	if write {
		w.writes++
		return faults.WritesPerSecond == 0 || w.writes <= faults.WritesPerSecond
	}
	w.reads++
	return faults.ReadsPerSecond == 0 || w.reads <= faults.ReadsPerSecond
}
