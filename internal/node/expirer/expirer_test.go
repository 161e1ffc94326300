package expirer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestExpiry(t *testing.T) {
	now := time.Hour
	clock := Clock(func() time.Duration { return now })
	assert.Assert(t, clock.Passed(Expiry{}))
	expiry := clock.In(time.Second)
	assert.Assert(t, !clock.Passed(expiry))
	now += time.Second
	assert.Assert(t, clock.Passed(expiry))
}

func TestSinceBootAdvances(t *testing.T) {
	expiry := Clock(nil).In(10 * time.Millisecond)
	assert.Assert(t, !Clock(nil).Passed(expiry))
	time.Sleep(15 * time.Millisecond)
	assert.Assert(t, Clock(nil).Passed(expiry))
}

func TestSinceStart(t *testing.T) {
	now := time.Now()
	assert.Assert(t, SinceStart(now) > 0)
	assert.Equal(t, SinceStart(now.Add(time.Second))-SinceStart(now), time.Second)
}
