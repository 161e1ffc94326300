package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBudgetBoundsRepeats withdraws all that the budget allows after each call. The repeats must be
// the ratio of the calls plus at most one burst.
func TestBudgetBoundsRepeats(t *testing.T) {
	const calls = 10_000
	b := Budget{Ratio: RetryRatio}
	repeats := 0
	for range calls {
		b.Deposit()
		for b.Withdraw() {
			repeats++
		}
	}
	assert.Assert(t, repeats <= calls*RetryRatio+burstAttempts+1, "%d repeats", repeats)
	assert.Assert(t, repeats >= calls*RetryRatio-1, "%d repeats", repeats)
}

// TestHedgeDelayFollowsTheQuantile draws latencies evenly from 0 to 100 ms.
func TestHedgeDelayFollowsTheQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var d HedgeDelay
	for range 20_000 {
		d.Observe(time.Duration(rng.IntN(100_000)) * time.Microsecond)
	}
	delay := d.Value()
	assert.Assert(t, delay > 85*time.Millisecond && delay < 130*time.Millisecond, "%s", delay)
}
