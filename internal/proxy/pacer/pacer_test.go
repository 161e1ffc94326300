package pacer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// narrowLink is the bandwidth of a 12 Mbit/s link in bytes per second.
const narrowLink = 12e6 / 8

var epoch = time.Unix(1000, 0)

// replay simulates a queue whose senders request the next piece as soon as one is granted. It returns
// the end of each transfer and the longest time that a small message sent every 10 ms waits for the link.
func replay(q *Queue, transfers map[time.Duration]*Transfer, length time.Duration) (ends map[*Transfer]time.Duration, maxWait time.Duration) {
	const step = time.Millisecond
	ends = make(map[*Transfer]time.Duration)
	var requests []*Transfer
	for at := time.Duration(0); at < length; at += step {
		now := epoch.Add(at)
		if t := transfers[at]; t != nil {
			t.Grant = func(int) {
				if t.Size > 0 {
					requests = append(requests, t)
					return
				}
				ends[t] = q.drained.Sub(epoch)
			}
			q.Open(t)
			q.Request(t)
		}
		if at%(10*time.Millisecond) == 0 {
			maxWait = max(maxWait, q.drained.Sub(now))
			q.Charge(400, now)
		}
		q.Fill(now)
		for len(requests) > 0 {
			for _, t := range requests {
				q.Request(t)
			}
			requests = nil
			q.Fill(now)
		}
	}
	return ends, maxWait
}

// TestSmallMessagesBesideDownloads replays downloads of 90 KB in the mean and 540 KB at most that use 85%
// of a narrow link, beside small messages. A whole download would delay these by up to 360 ms.
func TestSmallMessagesBesideDownloads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	transfers := make(map[time.Duration]*Transfer)
	total := 0
	for at := time.Duration(0); at < 20*time.Second; at += time.Duration(30+random.IntN(70)) * time.Millisecond {
		size := min(int(80e3*random.ExpFloat64())+5e3, 540e3)
		total += size
		transfers[at] = &Transfer{Priority: 2, Deadline: epoch.Add(at + 2*time.Second), Size: size}
	}
	q := &Queue{Rate: narrowLink}
	ends, maxWait := replay(q, transfers, 22*time.Second)
	assert.Equal(t, len(ends), len(transfers))
	assert.Assert(t, maxWait <= (maxBacklogPieces+1)*pieceTime, "a small message waited %s", maxWait)
	assert.Equal(t, q.backlog, 0)
	load := float64(total) / narrowLink / 20
	assert.Assert(t, load > 0.75 && load < 0.95, "the replayed load is %.2f of the link", load)
}

func TestOrderOfTransfers(t *testing.T) {
	const size = 150_000 // 100 ms of the link
	tests := map[string]struct {
		first, second Transfer
		secondFirst   bool
	}{
		"equal priority, later deadline": {Transfer{Deadline: epoch.Add(1)}, Transfer{Deadline: epoch.Add(2)}, false},
		"equal priority, earlier":        {Transfer{Deadline: epoch.Add(2)}, Transfer{Deadline: epoch.Add(1)}, true},
		"more urgent":                    {Transfer{Priority: 2}, Transfer{Priority: 1, Deadline: epoch.Add(1)}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.first.Size, test.second.Size = size, size
			q := &Queue{Rate: narrowLink}
			ends, _ := replay(q, map[time.Duration]*Transfer{0: &test.first, 5 * time.Millisecond: &test.second}, time.Second)
			assert.Equal(t, ends[&test.second] < ends[&test.first], test.secondFirst)
			last := max(ends[&test.first], ends[&test.second])
			assert.Assert(t, last < 220*time.Millisecond, "the link was idle: the last transfer ended after %s", last)
		})
	}
}

func TestDelay(t *testing.T) {
	q := &Queue{Rate: narrowLink}
	open := &Transfer{Size: 150_000}
	q.Open(open)
	q.Reserve(75_000)
	assert.Equal(t, q.Delay(epoch), 150*time.Millisecond)
	q.Charge(15_000, epoch)
	assert.Equal(t, q.Delay(epoch), 160*time.Millisecond)
	q.Reserve(-75_000)
	q.Close(open)
	assert.Equal(t, q.Delay(epoch.Add(time.Second)), time.Duration(0))
	unlimited := &Queue{}
	unlimited.Open(&Transfer{Size: 1 << 30})
	assert.Equal(t, unlimited.Delay(epoch), time.Duration(0))
}

func TestGateSendsEverythingInOrder(t *testing.T) {
	gates := map[string]*Gate{"paced": {Rate: 50e6}, "without limit": {}, "nil": nil}
	for name, gate := range gates {
		t.Run(name, func(t *testing.T) {
			var wait sync.WaitGroup
			for i := range 4 {
				wait.Go(func() {
					data := bytes.Repeat([]byte{byte(i), byte(i + 1), 7}, 150_000)
					var got []byte
					err := gate.Send(data, i%2, time.Now(), func(piece []byte) error {
						got = append(got, piece...)
						return nil
					})
					assert.Check(t, err)
					assert.Check(t, bytes.Equal(got, data))
				})
			}
			wait.Wait()
			waiting, _ := gate.Delay(0)
			assert.Assert(t, waiting < 50*time.Millisecond)
		})
	}
}

func TestGateStopsAtAnError(t *testing.T) {
	broken := errors.New("connection broken")
	for name, gate := range map[string]*Gate{"paced": {Rate: 1e6}, "without limit": {}} {
		t.Run(name, func(t *testing.T) {
			pieces := 0
			err := gate.Send(make([]byte, 1<<20), 0, time.Now(), func([]byte) error {
				pieces++
				return broken
			})
			assert.ErrorIs(t, err, broken)
			assert.Equal(t, pieces, 1)
			waiting, _ := gate.Delay(0)
			assert.Assert(t, waiting < 50*time.Millisecond, "the rest of the message still counts")
		})
	}
}
