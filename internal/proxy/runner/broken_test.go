package runner

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/platform"
)

// brokenAnswers are responses of a target that must not reach a client, by the first part of their path.
var brokenAnswers = map[string]struct {
	text   string
	resets bool // whether the target resets the connection behind it
}{
	"blank":   {"X Y: z\r\nContent-Length: 4\r\n\r\npart", false},
	"control": {"X\x01Y: z\r\nContent-Length: 4\r\n\r\npart", false},
	"length":  {"Content-Length : 4\r\n\r\npart", false},
	"reset":   {"\r\npart", true},
}

// answerBroken answers a request for a path below /k/ that names a broken answer.
func answerBroken(w http.ResponseWriter, r *http.Request) bool {
	var name string
	if _, err := fmt.Sscanf(r.URL.Path, "/k/%s", &name); err != nil {
		return false
	}
	answer, ok := brokenAnswers[name]
	if !ok {
		return false
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\n%s", platform.HeaderRequestID,
		r.Header.Get(platform.HeaderRequestID), platform.HeaderServerStamp, answer.text)
	if answer.resets {
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return true
}

// TestBrokenAnswers guards against parts of answers, and bytes that are no answer, that reach a client: at the node of the
// target and at another one, with small and large requests, which may be repeated or not.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"safe", "unsafe"} {
		m := startMeshWith(t, func(h *host) { h.answer = answerBroken }, "first", "second")
		m.writeKind(2, kind, "first")
		for _, h := range m.hosts {
			h.waitForOK(t, "/k/x")
		}
		for name := range brokenAnswers {
			for from, way := range []string{"direct", "forwarded"} {
				for _, size := range []int{0, 300, 100_000, 900_000} {
					t.Run(fmt.Sprint(kind, " ", name, " ", way, " ", size), func(t *testing.T) {
						h := m.hosts[from]
						request, err := http.NewRequest(http.MethodPost, "http://"+h.settings.Client+"/k/"+name, bytes.NewReader(make([]byte, size)))
						assert.NilError(t, err)
						request.Host = "a.example"
						request.Header.Set(platform.HeaderRequestID, fmt.Sprint("broken-", requestNumber.Add(1)))
						request.Header.Set(platform.HeaderTimeRemaining, "2000")
						response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
						assert.NilError(t, err)
						defer func() { _ = response.Body.Close() }()
						body, err := io.ReadAll(response.Body)
						assert.NilError(t, err)
						assert.Equal(t, response.StatusCode, http.StatusBadGateway)
						assert.Equal(t, len(body), 0, "%q", body)
						assert.Equal(t, response.Header.Get(platform.HeaderServerStamp), "")
					})
				}
			}
		}
	}
}
