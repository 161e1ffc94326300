package recorder

import (
	"bytes"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(data []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(data)
}

// TestLoggingDoesNotBlock fills the queue while the writer is blocked.
func TestLoggingDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, dropped, cleanUp := New(out, zapcore.InfoLevel)
	start := time.Now()
	for i := range 20_000 {
		log.Info("message "+string(rune('a'+i%26))+string(rune('a'+i/26%26)), zap.Int("i", i))
	}
	assert.Assert(t, time.Since(start) < 5*time.Second)
	assert.Assert(t, dropped() > 0)
	close(out.release)
	cleanUp()
}

// TestRepeatedMessageIsSampled logs one message many times. The loop may span two sampling ticks.
func TestRepeatedMessageIsSampled(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	log, _, cleanUp := New(out, zapcore.InfoLevel)
	for range 5000 {
		log.Info("forward: refused", Err(errors.New("full")))
	}
	cleanUp()
	out.mu.Lock()
	defer out.mu.Unlock()
	lines := bytes.Split(bytes.TrimSpace(out.written.Bytes()), []byte("\n"))
	assert.Assert(t, len(lines) >= sampleFirst && len(lines) <= 2*(sampleFirst+5000/sampleThereafter),
		len(lines))
	var line map[string]any
	assert.NilError(t, json.Unmarshal(lines[0], &line))
	assert.Equal(t, line["error"], "full")
}
