// Package pacer shares the outgoing bandwidth of a host among the messages that its node sends.
// Queue holds the decisions and reads no clock; Gate blocks senders until the queue grants them
// bandwidth.
package pacer

import (
	"container/heap"
	"time"
)

const (
	// pieceTime is the time that one piece of a transfer occupies the link, and therefore the time
	// that a small message waits at most behind a transfer.
	pieceTime = 5 * time.Millisecond

	minPiece = 4 << 10  // in bytes; smaller pieces would cost more processor time than they save
	maxPiece = 64 << 10 // in bytes

	// maxBacklogPieces is the number of pieces that may be on their way to the link before the next
	// piece is granted. With one piece only, the link would idle until the sender wakes up.
	maxBacklogPieces = 2
)

// Transfer is the sending of one large message in pieces.
type Transfer struct {
	Priority int       // 0 is the most urgent
	Deadline time.Time // time at which no one waits for the message any more
	Size     int       // number of bytes that have not been granted yet

	// Grant is called with the size in bytes of the next piece, once for each call of Request.
	Grant func(size int)

	index int // position among the waiting transfers, from 1; 0 if it does not wait
}

// Queue grants bandwidth to transfers piece by piece, the most urgent transfer first and, among
// equals, the one with the earliest deadline.
//
// It is designed for a narrow link that carries a few large messages beside many small ones. Small
// messages are not queued but only charged, so they wait for one or two pieces and never for a whole
// transfer. Since the next piece goes to the transfer with the earliest deadline, transfers end one
// after the other instead of all late.
//
// The zero value has no limit and grants everything at once.
type Queue struct {
	Rate float64 // bandwidth in bytes per second; 0 means no limit

	drained  time.Time // time at which the link will have sent all charged bytes
	waiting  transferHeap
	backlog  int // bytes of open transfers that are not granted yet
	reserved int // bytes announced by Reserve that no transfer has taken over yet
}

// Piece returns the size in bytes of the largest piece. Messages up to this size need no transfer.
func (q *Queue) Piece() int {
	if q.Rate <= 0 {
		return maxPiece
	}
	return min(max(int(q.Rate*pieceTime.Seconds()), minPiece), maxPiece)
}

// Charge records that a small message of the given size in bytes is sent now.
func (q *Queue) Charge(size int, now time.Time) {
	if q.Rate <= 0 {
		return
	}
	if q.drained.Before(now) {
		q.drained = now
	}
	q.drained = q.drained.Add(q.sendTime(size))
}

// Open announces a transfer. Its size counts for Delay until it is granted or closed.
func (q *Queue) Open(t *Transfer) { q.backlog += t.Size }

// Close ends a transfer, whether all of it was granted or not.
func (q *Queue) Close(t *Transfer) {
	if t.index > 0 {
		heap.Remove(&q.waiting, t.index-1)
	}
	q.backlog -= t.Size
	t.Size = 0
}

// Request queues an open transfer for its next piece. Its Grant is called by this or a later call of
// Fill.
func (q *Queue) Request(t *Transfer) { heap.Push(&q.waiting, t) }

// Fill grants the pieces that fit on the link now. It returns the time after which it is to be called
// again, or 0 if no transfer waits.
func (q *Queue) Fill(now time.Time) time.Duration {
	for len(q.waiting) > 0 {
		if wait := q.drained.Sub(now.Add(q.maxBacklogTime())); wait > 0 {
			return wait
		}
		t, ok := heap.Pop(&q.waiting).(*Transfer)
		if !ok {
			panic("pacer: the heap holds something else than transfers")
		}
		size := min(t.Size, q.Piece())
		t.Size -= size
		q.backlog -= size
		q.Charge(size, now)
		t.Grant(size)
	}
	return 0
}

// Reserve announces a transfer of the given size in bytes that is likely to begin soon, so that Delay
// counts it. A negative size ends the announcement.
func (q *Queue) Reserve(size int) { q.reserved += size }

// Delay estimates the time until a transfer announced now would be granted its first piece.
func (q *Queue) Delay(now time.Time) time.Duration {
	if q.Rate <= 0 {
		return 0
	}
	return max(q.drained.Sub(now), 0) + q.sendTime(q.backlog+q.reserved)
}

// sendTime returns the time that the link needs to send a number of bytes.
func (q *Queue) sendTime(size int) time.Duration {
	if q.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(size) / q.Rate * float64(time.Second))
}

func (q *Queue) maxBacklogTime() time.Duration { return maxBacklogPieces * q.sendTime(q.Piece()) }

// transferHeap orders transfers by urgency; it implements heap.Interface.
type transferHeap []*Transfer

func (h transferHeap) Len() int { return len(h) }

func (h transferHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority < h[j].Priority
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h transferHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i+1, j+1
}

// Push adds a transfer; it is called by package heap.
func (h *transferHeap) Push(x any) {
	t, ok := x.(*Transfer)
	if !ok {
		panic("pacer: only transfers can be queued")
	}
	*h = append(*h, t)
	t.index = len(*h)
}

// Pop removes the last transfer; it is called by package heap.
func (h *transferHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	return t
}
