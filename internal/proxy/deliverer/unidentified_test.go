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

// refusals are responses that promise that a request has not run.
func refusals(id string) map[string]string {
	header := ""
	if id != "" {
		header = "Clementinerock-Request-Id: " + id + "\r\n"
	}
	refusals := map[string]string{
		"421": "HTTP/1.1 421 No\r\nClementinerock-Instance-Id: i-2\r\n" + header + "Content-Length: 0\r\n\r\n",
	}
	for _, status := range []int{400, 408, 429, 503} {
		plain := fmt.Sprintf("HTTP/1.1 %d No\r\n%sContent-Length: 0\r\n", status, header)
		refusals[fmt.Sprint(status)] = plain + "\r\n"
		refusals[fmt.Sprint(status, " not run")] = plain + "Clementinerock-Not-Run: 1\r\n\r\n"
	}
	return refusals
}

// TestRefusalOfAnotherRequest guards against the promise that a request has not run when it runs: the target
// writes a refusal that is not the response to it, before or instead of its response.
func TestRefusalOfAnotherRequest(t *testing.T) {
	const slow = 20 * time.Millisecond // time for which the target runs a request
	respond := func(refusals string, answer bool) responder {
		return func(conn net.Conn, request *http.Request) bool {
			_, _ = io.WriteString(conn, refusals)
			time.Sleep(slow)
			if answer {
				_, _ = io.WriteString(conn, okResponse(request.Header.Get("Clementinerock-Request-Id"), "yes"))
			}
			return true
		}
	}
	for _, id := range []string{"", "earlier"} {
		for name, refusal := range refusals(id) {
			tests := map[string]struct {
				respond responder
				outcome carrier.Outcome
			}{
				"before the response":       {respond(refusal, true), carrier.Answered},
				"twice before the response": {respond(refusal+refusal, true), carrier.Answered},
				"too often":                 {respond(refusal+refusal+refusal, true), carrier.Failed},
			}
			if id == "" {
				tests["without a response"] = struct {
					respond responder
					outcome carrier.Outcome
				}{respond(refusal, false), carrier.Failed}
			}
			for when, test := range tests {
				t.Run(fmt.Sprint(name, " of ", id, " ", when), func(t *testing.T) {
					t.Parallel()
					d := newDeliverer(startTarget(t, test.respond), 1)
					began := time.Now()
					answer := serveAndWait(d, newPatientCall(false))
					assert.Equal(t, answer.Outcome, test.outcome, answer.Reason)
					assert.Assert(t, time.Since(began) < patience/2, "the call waited for its time limit")
				})
			}
		}
	}
}
