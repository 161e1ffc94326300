package runner

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"clementinerock/platform"
)

// cancelAfter sends a request with a body and disconnects after the given time.
func (h *host) cancelAfter(path string, body []byte, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.Client+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Host = "a.example"
	request.Header.Set(platform.HeaderRequestID, fmt.Sprint("id-", requestNumber.Add(1)))
	request.Header.Set(platform.HeaderTimeRemaining, "20000")
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// TestCanceledCallsAreFreed guards against calls that stay in memory after their clients have left: thousands
// of clients disconnect while their calls wait for a slot at their own node or at another one, are sent, or
// run.
func TestCanceledCallsAreFreed(t *testing.T) {
	t.Parallel()
	const clients, perClient = 40, 50
	m := startMesh(t, "first", "second")
	for _, h := range m.hosts {
		h.waitForOK(t, "/a/x")
		h.waitForOK(t, "/b/x")
		h.workMillis.Store(400)
	}
	body := make([]byte, 20_000)
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			sender := m.hosts[i%len(m.hosts)]
			for k := range perClient {
				sender.cancelAfter([]string{"/a/x", "/b/x"}[k%2], body, time.Duration(5+k%30)*time.Millisecond)
			}
		})
	}
	running.Wait()
	for _, h := range m.hosts {
		h.workMillis.Store(0)
	}
	// Calls that must not be repeated run on after their clients have left.
	for _, h := range m.hosts {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if held := h.node.holdings(); held != (holdings{}) {
				return poll.Continue("%s still holds %+v", h.settings.Node, held)
			}
			return poll.Success()
		}, poll.WithTimeout(3*time.Second), poll.WithDelay(20*time.Millisecond))
	}
	for _, h := range m.hosts {
		h.waitForOK(t, "/a/x")
		h.waitForOK(t, "/b/x")
	}
}
