package carrier

import (
	"sync"
	"time"

	"clementinerock/internal/proxy/admitter"
)

// Shutdown is the planned end of this node's process. It bounds the time for which calls of its requests may
// wait, since a request must be answered before the process ends. A nil Shutdown never begins.
type Shutdown struct {
	mu       sync.Mutex
	begun    chan struct{} // closed by Begin
	finished chan struct{} // closed by Finish
	end      time.Time     // zero until Begin was called
}

// Begin announces that the process ends at the given time. It is called once.
func (s *Shutdown) Begin(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeChannels()
	s.end = end
	close(s.begun)
}

// Finish ends all calls, since the process is about to end. It is called once.
func (s *Shutdown) Finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeChannels()
	close(s.finished)
}

// makeChannels makes the channels unless they exist. s.mu must be held.
func (s *Shutdown) makeChannels() {
	if s.begun == nil {
		s.begun, s.finished = make(chan struct{}), make(chan struct{})
	}
}

// End returns the end of the process, and whether the shutdown has begun.
func (s *Shutdown) End() (end time.Time, begun bool) {
	if s == nil {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end, !s.end.IsZero()
}

// TooLate reports whether a call must not start any more at a target with the given mean service time.
func (s *Shutdown) TooLate(now time.Time, mean time.Duration) bool {
	end, begun := s.End()
	return begun && now.After(admitter.LatestStart(end, mean))
}

// Watch returns a watch for one call.
func (s *Shutdown) Watch() *ShutdownWatch {
	if s == nil {
		return &ShutdownWatch{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.makeChannels()
	return &ShutdownWatch{Begun: s.begun, Finished: s.finished, shutdown: s}
}

// ShutdownWatch signals what a shutdown requires of one call. The zero value never signals anything.
type ShutdownWatch struct {
	Begun    <-chan struct{}  // closed when the shutdown has begun; Start is to be called then
	Withdraw <-chan time.Time // receives when the call must not start any more
	Finished <-chan struct{}  // closed when the call must end

	shutdown *Shutdown
}

// Start starts the timer of a call to a target with the given mean service time.
func (w *ShutdownWatch) Start(mean time.Duration) {
	end, _ := w.shutdown.End()
	w.Begun = nil
	w.Withdraw = time.After(time.Until(admitter.LatestStart(end, mean)))
}
