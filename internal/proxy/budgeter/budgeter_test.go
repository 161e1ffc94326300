package budgeter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestEverythingFails replays a service whose every request fails at once: however many
// repeats are asked for, no window has more than the allowance.
func TestEverythingFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			b.AddRequest(now)
			requests = append(requests, now)
			for range 2 {
				if b.AllowRetry(now, true) {
					repeats = append(repeats, now)
				}
			}
			assert.Assert(t, float64(within(repeats, now)) <= 0.2*float64(within(requests, now))+5)
		}
	})
}

func within(times []time.Time, now time.Time) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < 10*time.Second {
			count++
		}
	}
	return count
}

func TestSlackIsThereWithoutLoad(t *testing.T) {
	b := Budget{Ratio: 0.2, Slack: 5, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	spent := 0
	for range 20 {
		if b.AllowRetry(now, true) {
			spent++
		}
	}
	assert.Equal(t, spent, 4)
	assert.Assert(t, b.AllowRetry(now.Add(12*time.Second), true))
}

// TestNestedCallsKeepTheirPart replays a service that sheds all it gets: repeats of clients'
// requests, which come back by themselves, leave half of the allowance to nested calls.
func TestNestedCallsKeepTheirPart(t *testing.T) {
	b := Budget{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	spent := map[bool]int{}
	for i := range 100 {
		nested := i >= 50
		if b.AllowRetry(now, nested) {
			spent[nested]++
		}
	}
	assert.Equal(t, spent[false], 4)
	assert.Equal(t, spent[true], 4)
}
