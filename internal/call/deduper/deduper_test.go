package deduper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestVoidAndBegin(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var d Deduper
	assert.Assert(t, d.Begin(now, "ran"))
	assert.Assert(t, !d.Void(now, "ran"), "an attempt that began was voided")
	assert.Assert(t, d.Void(now, "never"))
	assert.Assert(t, d.Void(now, "never"), "voiding again gave another result")
	assert.Assert(t, !d.Begin(now, "never"), "a voided attempt began")
}

// TestRetention requires that an attempt is stored for the retention and that old ones are dropped.
func TestRetention(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var d Deduper
	assert.Assert(t, d.Begin(now, "a"))
	for minutes := range int(DefaultRetention / time.Minute) {
		assert.Assert(t, !d.Begin(now.Add(time.Duration(minutes)*time.Minute), "a"))
	}
	d.Begin(now.Add(DefaultRetention), "b")
	d.Begin(now.Add(2*DefaultRetention), "c")
	d.Begin(now.Add(3*DefaultRetention), "d")
	assert.Assert(t, d.Len() <= 2)
}
