package retrier

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
	assert.Assert(t, repeats <= calls*RetryRatio+budgetBurst+1, "%d repeats", repeats)
	assert.Assert(t, repeats >= calls*RetryRatio-1, "%d repeats", repeats)
}

func TestDelayFollowsTheQuantile(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var d HedgeDelay
	for range 20_000 {
		d.Observe(time.Duration(rng.IntN(100_000)) * time.Microsecond)
	}
	delay := d.Value()
	assert.Assert(t, delay > 85*time.Millisecond && delay < 130*time.Millisecond, "%s", delay)
}
