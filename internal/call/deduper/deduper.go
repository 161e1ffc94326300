// Package deduper makes sure that an attempt reaches a target at most once.
package deduper

import (
	"sync"
	"time"
)

// DefaultRetention is how long an attempt is remembered at least. It exceeds the longest
// time that a call may wait.
const DefaultRetention = 11 * time.Minute

// Deduper remembers attempts. The zero value is ready to use and remembers them for
// Retention.
type Deduper struct {
	Retention time.Duration // for which an attempt is remembered at least; 0 means Retention

	mu      sync.Mutex
	current map[string]state
	old     map[string]state
	turned  time.Time
}

type state uint8

const (
	begun state = iota + 1
	voided
)

// Begin records the start of an attempt. It returns false if the attempt began
// before or was voided; the caller must not run it then.
func (d *Deduper) Begin(now time.Time, attempt string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn(now)
	if d.find(attempt) != 0 {
		return false
	}
	d.current[attempt] = begun
	return true
}

// Void forbids an attempt for good. It returns true if the attempt has not begun,
// which proves that it never runs.
func (d *Deduper) Void(now time.Time, attempt string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn(now)
	if d.find(attempt) == begun {
		return false
	}
	d.current[attempt] = voided
	return true
}

// Len returns the number of attempts remembered.
func (d *Deduper) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.current) + len(d.old)
}

func (d *Deduper) find(attempt string) state {
	if s, ok := d.current[attempt]; ok {
		return s
	}
	return d.old[attempt]
}

func (d *Deduper) turn(now time.Time) {
	keep := d.Retention
	if keep == 0 {
		keep = DefaultRetention
	}
	if d.current != nil && now.Sub(d.turned) < keep {
		return
	}
	d.old = d.current
	d.current = make(map[string]state)
	d.turned = now
}
