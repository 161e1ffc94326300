// Package deduper ensures that an attempt is delivered to its target at most once.
package deduper

import (
	"sync"
	"time"
)

// DefaultRetention is the minimum time that an attempt is stored. It exceeds the longest time from
// the arrival of a call to its deadline.
const DefaultRetention = 11 * time.Minute

// Deduper stores which attempts have begun or were voided. The zero value is ready to use with
// DefaultRetention.
//
// Attempts are stored in two maps that rotate when the retention has passed. An attempt is dropped
// after one to two retention times while calls arrive, without a timer per attempt.
type Deduper struct {
	Retention time.Duration // minimum time that an attempt is stored; 0 means DefaultRetention

	mu        sync.Mutex
	current   map[string]state
	previous  map[string]state
	rotatedAt time.Time
}

type state uint8

const (
	begun state = iota + 1
	voided
)

// Begin records the start of an attempt. It returns false if the attempt has begun before or was
// voided; it must not be run then.
func (d *Deduper) Begin(now time.Time, attempt string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	if d.find(attempt) != 0 {
		return false
	}
	d.current[attempt] = begun
	return true
}

// Void marks an attempt as never to be run. It returns true if the attempt has not begun, which
// proves that it will not run; voiding it again gives the same result.
func (d *Deduper) Void(now time.Time, attempt string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	if d.find(attempt) == begun {
		return false
	}
	d.current[attempt] = voided
	return true
}

// Len returns the number of stored attempts.
func (d *Deduper) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.current) + len(d.previous)
}

// find returns the state of an attempt, or 0 if it is not stored.
func (d *Deduper) find(attempt string) state {
	if s, ok := d.current[attempt]; ok {
		return s
	}
	return d.previous[attempt]
}

// rotate drops the older map once the newer one is as old as the retention.
func (d *Deduper) rotate(now time.Time) {
	retention := d.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	if d.current != nil && now.Sub(d.rotatedAt) < retention {
		return
	}
	d.previous = d.current
	d.current = make(map[string]state)
	d.rotatedAt = now
}
