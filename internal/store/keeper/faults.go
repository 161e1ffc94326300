package keeper

import "time"

// Faults describes how the store misbehaves. The zero value is a healthy store.
type Faults struct {
	Down            bool          // every call fails
	Delay           time.Duration // added to every call
	LoseAnswers     int           // number of writes whose answer is lost after taking effect
	WritesPerSecond int           // 0 means no limit
	ReadsPerSecond  int           // 0 means no limit
}

func (f *Faults) takeLost() bool {
	if f.LoseAnswers == 0 {
		return false
	}
	f.LoseAnswers--
	return true
}

// SetFaults replaces the present faults.
func (k *MemoryStore) SetFaults(faults Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = faults
	k.wake()
}

// ExpireLeases ends every lease at once, as if its holder had been paused.
func (k *MemoryStore) ExpireLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leases = nil
}

// rateWindow counts the calls of the current second.
type rateWindow struct {
	start  time.Time
	reads  int
	writes int
}

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
