// Package recorder writes a process's log: JSON lines, bounded in volume, never blocking
// who logs.
package recorder

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines   = 512      // lines that wait to be written; more are dropped and counted
	maxBatchBytes    = 32 << 10 // written at once
	sampleTick       = time.Second
	sampleFirst      = 30  // lines with the same message in a tick that are all written
	sampleThereafter = 100 // of further ones, one in this many is written
	flushTimeout     = 200 * time.Millisecond
)

// Err returns an error as a field, without the stack that it may carry.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// sink passes lines to a goroutine that writes them.
type sink struct {
	lines         chan []byte
	flushRequests chan chan struct{}
	dropped       atomic.Int64
}

// Write takes a line, or drops it when too many wait.
func (s *sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits a short time for the lines taken so far.
func (s *sink) Sync() error {
	done := make(chan struct{})
	select {
	case s.flushRequests <- done:
		<-done
	case <-time.After(flushTimeout):
	}
	return nil
}

func (s *sink) run(out io.Writer) {
	var batch []byte
	for {
		select {
		case line := <-s.lines:
			batch = s.appendQueued(append(batch[:0], line...))
			_, _ = out.Write(batch) // there is nowhere to report that the log can't be written
		case done := <-s.flushRequests:
			batch = s.appendQueued(batch[:0])
			_, _ = out.Write(batch) // see above
			close(done)
		}
	}
}

// appendQueued adds the lines that wait, up to the size of a batch.
func (s *sink) appendQueued(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-s.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// New returns a logger that writes to out. dropped returns the number of lines that found
// no room. The clean-up function waits a short time for what was logged.
func New(out io.Writer, level zapcore.Level) (log *zap.Logger, dropped func() int64, cleanUp func()) {
	s := &sink{lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go s.run(out)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, level)
	core = zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter)
	log = zap.New(core)
	return log, s.dropped.Load, func() { _ = s.Sync() }
}
