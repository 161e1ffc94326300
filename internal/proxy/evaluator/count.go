// Package evaluator decides whether the new version of a service is as good as the old one, from the answers
// that targets of both gave at the same time. It reads no clock and performs no I/O.
package evaluator

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// Classes is the number of classes into which the routes of a service are divided, since a version may be bad on
// one route only.
const Classes = 8

// ClassOf returns the class of a route.
func ClassOf(route string) uint8 { return uint8(xxh3.HashString(route) % Classes) }

// logScale is the number of units of a logarithm of a service time for a factor of two.
const logScale = 8

// Count is what a target's node has counted of the target's answers to one class of routes. All fields but Class
// only grow while the target and its node run.
type Count struct {
	_          struct{} `cbor:",toarray"`
	Class      uint8
	Good       int   // complete answers other than 5xx
	Bad        int   // 5xx answers, failures, and requests that were not answered in time
	Timed      int   // good answers whose service time is in the sums
	LogSum     int64 // sum of the base 2 logarithms of the service times in us, in units of 1/8
	LogSquares int64 // sum of the squares of these
}

// Tally counts the answers of one target. The zero value is empty.
type Tally struct {
	counts [Classes]Count
}

// AddBad counts an answer that is a failure of the target.
func (t *Tally) AddBad(class uint8) { t.counts[class%Classes].Bad++ }

// AddGood counts an answer that took a service time. The time of a target that has just started and is still slow
// is not counted; it is 0.
func (t *Tally) AddGood(class uint8, took time.Duration) {
	count := &t.counts[class%Classes]
	count.Good++
	if took <= 0 {
		return
	}
	log := int64(math.Round(logScale * math.Log2(max(float64(took.Microseconds()), 1))))
	count.Timed++
	count.LogSum += log
	count.LogSquares += log * log
}

// Counts returns the counts of the classes that had answers.
func (t *Tally) Counts() []Count {
	var counts []Count
	for class := range t.counts {
		if count := t.counts[class]; count.Good+count.Bad > 0 {
			count.Class = uint8(class)
			counts = append(counts, count)
		}
	}
	return counts
}
