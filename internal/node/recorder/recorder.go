// Package recorder writes the log of a process as JSON lines. It limits the volume by sampling and
// dropping lines, and logging never blocks.
package recorder

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	maxQueuedLines   = 512      // further lines are dropped and counted
	maxBatchBytes    = 32 << 10 // a batch this large takes no further lines
	sampleTick       = time.Second
	sampleFirst      = 30  // lines per message and tick that are all written
	sampleThereafter = 100 // one in this many of the further lines is written
	flushTimeout     = 200 * time.Millisecond
)

// Err returns a log field with the message of err and without its stack trace.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// sink queues lines for the goroutine that writes them.
type sink struct {
	lines         chan []byte
	flushRequests chan chan struct{}
	dropped       atomic.Int64
}

// Write queues a line, or drops it if the queue is full.
func (s *sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits up to flushTimeout for the writing goroutine to become free, and then until it has
// written a last batch of queued lines.
func (s *sink) Sync() error {
	done := make(chan struct{})
	select {
	case s.flushRequests <- done:
		<-done
	case <-time.After(flushTimeout):
	}
	return nil
}

// run writes queued lines to out in batches.
func (s *sink) run(out io.Writer) {
	var batch []byte
	for {
		select {
		case line := <-s.lines:
			batch = s.appendQueued(append(batch[:0], line...))
			_, _ = out.Write(batch) // a failure to write the log can't be reported anywhere
		case done := <-s.flushRequests:
			batch = s.appendQueued(batch[:0])
			_, _ = out.Write(batch) // as above
			close(done)
		}
	}
}

// appendQueued appends queued lines until the queue is empty or the batch has maxBatchBytes.
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

// New returns a logger that writes to out. dropped returns the number of lines dropped because the
// queue was full. The clean-up function calls Sync.
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
