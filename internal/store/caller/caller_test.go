package caller

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/store/keeper"
	"clementinerock/internal/store/server"
)

func startStore(t *testing.T) (*keeper.MemoryStore, *Client) {
	t.Helper()
	store := &keeper.MemoryStore{}
	s, stop, err := server.New(store, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(stop)
	return store, New(s.Address())
}

func TestStoreOverHTTP(t *testing.T) {
	ctx := context.Background()
	_, c := startStore(t)
	_, err := c.Get(ctx, "a")
	assert.ErrorIs(t, err, keeper.ErrNotFound)
	entry, err := c.Swap(ctx, "a", 0, []byte("one"))
	assert.NilError(t, err)
	_, err = c.Swap(ctx, "a", 0, []byte("two"))
	assert.ErrorIs(t, err, keeper.ErrConflict)
	_, err = c.Lease(ctx, "l/1", "ana", []byte("x"), time.Minute)
	assert.NilError(t, err)
	_, err = c.Lease(ctx, "l/1", "ben", nil, time.Minute)
	assert.ErrorIs(t, err, keeper.ErrLeaseHeld)
	listed, err := c.List(ctx, "l/")
	assert.NilError(t, err)
	assert.Equal(t, len(listed), 1)
	go func() { _, _ = c.Swap(ctx, "a", entry.Revision, []byte("two")) }()
	seen, err := c.Watch(ctx, "a", entry.Revision)
	assert.NilError(t, err)
	assert.Equal(t, string(seen.Value), "two")
}

func TestStoreFaultsOverHTTP(t *testing.T) {
	cases := map[string]struct {
		faults keeper.Faults
		want   error
	}{
		"store unavailable":   {keeper.Faults{Down: true}, keeper.ErrUnavailable},
		"response lost":       {keeper.Faults{LoseAnswers: 1}, keeper.ErrResponseLost},
		"rate limit exceeded": {keeper.Faults{WritesPerSecond: -1}, keeper.ErrRateLimited},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			store, c := startStore(t)
			assert.NilError(t, c.SetFaults(context.Background(), test.faults))
			_, err := c.Swap(context.Background(), "a", 0, []byte("one"))
			assert.ErrorIs(t, err, test.want)
			store.SetFaults(keeper.Faults{})
			_, err = c.Get(context.Background(), "a")
			assert.Equal(t, err == nil, name == "response lost",
				"the write must take effect if and only if its response was lost")
		})
	}
}

func TestWatchStopsAtContextDeadline(t *testing.T) {
	_, c := startStore(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Watch(ctx, "a", 0)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestUnreachableStoreReturnsResponseLost(t *testing.T) {
	c := New("127.0.0.1:1")
	_, err := c.Swap(context.Background(), "a", 0, nil)
	assert.ErrorIs(t, err, keeper.ErrResponseLost)
}
