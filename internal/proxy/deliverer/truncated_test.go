package deliverer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
)

// patience is the time for which the caller of newPatientCall waits. It exceeds the time for which a busy machine
// may stall the test.
const patience = 20 * time.Second

// newPatientCall returns a call with ID "r" that does not expire while the machine is busy.
func newPatientCall(idempotent bool) *carrier.Call {
	call := newCall("r", idempotent)
	call.Remaining = patience
	call.SoftDeadline = patience
	return call
}

// TestTruncatedAnswers guards against a success with a missing or short body: the target closes the
// connection after any number of bytes of its answer.
func TestTruncatedAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nClementinerock-Request-Id: r\r\nClementinerock-Server-Stamp: s\r\n"
	tests := map[string]struct {
		answer string
		whole  int // number of bytes at the end without which the answer is whole
	}{
		"length":               {answer: head + "Content-Length: 12\r\n\r\nhello, world"},
		"length first":         {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nClementinerock-Request-Id: r\r\n\r\nhi"},
		"chunks":               {answer: head + "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n2\r\nno\r\n0\r\n\r\n"},
		"chunks with trailers": {answer: head + "Trailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\nX-A: 1\r\n\r\n"},
		"until close":          {answer: head + "\r\nhello", whole: len("hello")},
		"empty body":           {answer: head + "Content-Length: 0\r\n\r\n"},
		"no content":           {answer: "HTTP/1.1 204 No Content\r\nClementinerock-Request-Id: r\r\n\r\n"},
		"after an interim one": {answer: "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nhi"},
		"bare line feeds":      {answer: "HTTP/1.1 200 OK\nClementinerock-Request-Id: r\nContent-Length: 2\n\nhi"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for size := range len(test.answer) - test.whole {
				s := startTarget(t, respondWith(test.answer[:size], false))
				answer := serveAndWait(newDeliverer(s, 1), newPatientCall(true))
				assert.Equal(t, answer.Outcome, carrier.Failed, "%d bytes: %q", size, test.answer[:size])
			}
		})
	}
}

// TestResetAnswer checks that a body without a length is not whole if the connection is reset.
func TestResetAnswer(t *testing.T) {
	s := startTarget(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nClementinerock-Request-Id: r\r\n\r\n%01000d", 0))
		if tcp, ok := conn.(*net.TCPConn); ok {
			assert.Check(t, tcp.SetLinger(0))
		}
		return false
	})
	assert.Equal(t, serveAndWait(newDeliverer(s, 1), newPatientCall(true)).Outcome, carrier.Failed)
}

// TestBareLineFeeds guards against calls that wait for their time limit: the target ends lines with bare line
// feeds. They are accepted within a head, and end the call at once where they end the head or a chunk.
func TestBareLineFeeds(t *testing.T) {
	const id = "Clementinerock-Request-Id: r"
	tests := map[string]struct {
		answer  string
		outcome carrier.Outcome
	}{
		"all lines":    {"HTTP/1.1 200 OK\n" + id + "\nContent-Length: 2\n\nhi", carrier.Failed},
		"empty line":   {"HTTP/1.1 200 OK\r\n" + id + "\r\nContent-Length: 2\r\n\nhi", carrier.Failed},
		"first line":   {"HTTP/1.1 200 OK\n" + id + "\r\nContent-Length: 2\r\n\r\nhi", carrier.Answered},
		"header":       {"HTTP/1.1 200 OK\r\n" + id + "\nContent-Length: 2\r\n\r\nhi", carrier.Answered},
		"chunk":        {"HTTP/1.1 200 OK\r\n" + id + "\r\nTransfer-Encoding: chunked\r\n\r\n2\nhi\n0\n\n", carrier.Failed},
		"in the body":  {"HTTP/1.1 200 OK\r\n" + id + "\r\nContent-Length: 2\r\n\r\n\n\n", carrier.Answered},
		"leading line": {"\r\nHTTP/1.1 200 OK\r\n" + id + "\r\nContent-Length: 2\r\n\r\nhi", carrier.Answered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeliverer(startTarget(t, respondWith(test.answer, true)), 1)
			began := time.Now()
			answer := serveAndWait(d, newPatientCall(true))
			assert.Equal(t, answer.Outcome, test.outcome, answer.Reason)
			assert.Assert(t, time.Since(began) < patience/2, "the call waited for its time limit")
		})
	}
}
