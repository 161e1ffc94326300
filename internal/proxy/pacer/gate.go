package pacer

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrStopped reports that the sender gave up while it waited for bandwidth.
var ErrStopped = merry.Sentinel("gave up while waiting for bandwidth")

// Gate is a Queue for concurrent senders. The zero value and a nil gate have no limit.
type Gate struct {
	Rate float64 // bandwidth in bytes per second; 0 means no limit

	mu    sync.Mutex
	queue Queue
	timer *time.Timer // calls fill; nil until a transfer had to wait
}

func (g *Gate) unlimited() bool { return g == nil || g.Rate <= 0 }

// lock locks the gate and returns its queue.
func (g *Gate) lock() *Queue {
	g.mu.Lock()
	g.queue.Rate = g.Rate
	return &g.queue
}

// Piece returns the size in bytes of the largest message that is sent at once. Larger ones are sent
// with Send.
func (g *Gate) Piece() int {
	if g.unlimited() {
		return maxPiece
	}
	defer g.mu.Unlock()
	return g.lock().Piece()
}

// Charge records that a small message of the given size in bytes is sent now.
func (g *Gate) Charge(size int) {
	if g.unlimited() {
		return
	}
	defer g.mu.Unlock()
	g.lock().Charge(size, time.Now())
}

// Reserve announces a large message of the given size in bytes that is likely to be sent soon. The
// returned function ends the announcement.
func (g *Gate) Reserve(size int) func() {
	if g.unlimited() {
		return func() {}
	}
	defer g.mu.Unlock()
	g.lock().Reserve(size)
	return func() {
		defer g.mu.Unlock()
		g.lock().Reserve(-size)
	}
}

// Delay estimates the time until a large message would begin to be sent, and the time to send size
// bytes then.
func (g *Gate) Delay(size int) (wait, send time.Duration) {
	if g.unlimited() {
		return 0, 0
	}
	defer g.mu.Unlock()
	queue := g.lock()
	return queue.Delay(time.Now()), queue.sendTime(size)
}

// Send calls write with the data piece by piece as bandwidth is granted. It returns early if write
// returns an error, and returns that error.
func (g *Gate) Send(data []byte, priority int, deadline time.Time, write func(piece []byte) error) error {
	return g.SendUntil(nil, data, priority, deadline, write)
}

// SendUntil is Send that returns ErrStopped if it waits for bandwidth when stop is closed.
func (g *Gate) SendUntil(stop <-chan struct{}, data []byte, priority int, deadline time.Time, write func(piece []byte) error) error {
	if g.unlimited() {
		return sendUnpaced(data, write)
	}
	granted := make(chan int, 1)
	t := &Transfer{
		Priority: priority,
		Deadline: deadline,
		Size:     len(data),
		Grant:    func(size int) { granted <- size },
	}
	g.lock().Open(t)
	g.mu.Unlock()
	defer func() {
		g.lock().Close(t)
		g.mu.Unlock()
	}()
	for len(data) > 0 {
		g.request(t)
		var size int
		select {
		case size = <-granted:
		case <-stop:
			return ErrStopped
		}
		if err := write(data[:size]); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}

// sendUnpaced calls write with the data in pieces.
func sendUnpaced(data []byte, write func(piece []byte) error) error {
	for len(data) > 0 {
		size := min(len(data), maxPiece)
		if err := write(data[:size]); err != nil {
			return err
		}
		data = data[size:]
	}
	return nil
}

// request requests the next piece of a transfer.
func (g *Gate) request(t *Transfer) {
	defer g.mu.Unlock()
	queue := g.lock()
	queue.Request(t)
	g.fillLocked(queue)
}

// fill grants the pieces that fit on the link now.
func (g *Gate) fill() {
	defer g.mu.Unlock()
	g.fillLocked(g.lock())
}

func (g *Gate) fillLocked(queue *Queue) {
	wait := queue.Fill(time.Now())
	if wait == 0 {
		return
	}
	if g.timer == nil {
		g.timer = time.AfterFunc(wait, g.fill)
		return
	}
	g.timer.Reset(wait)
}
