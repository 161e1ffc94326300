package deliverer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/proxy/carrier"
)

// TestBrokenHeads guards against responses that are not HTTP/1.1 and reach the client as answers, with the broken line or
// with a body that is not the target's.
func TestBrokenHeads(t *testing.T) {
	const begin, id = "HTTP/1.1 200 OK\r\n", "Clementinerock-Request-Id: r\r\n"
	tests := map[string]string{
		"blank in a name":            begin + id + "X Y: z\r\nContent-Length: 2\r\n\r\nhi",
		"blank behind a name":        begin + id + "Content-Length : 2\r\n\r\nhi",
		"blank before a name":        begin + id + " X: y\r\nContent-Length: 2\r\n\r\nhi",
		"control byte in a name":     begin + id + "X\x01Y: z\r\nContent-Length: 2\r\n\r\nhi",
		"tab in a name":              begin + id + "X\tY: z\r\nContent-Length: 2\r\n\r\nhi",
		"folded length":              begin + id + "X: y\r\n Content-Length: 2\r\n\r\nhi",
		"blank in the ID's name":     begin + "Clementinerock-Request-Id : r\r\nContent-Length: 2\r\n\r\nhi",
		"control byte in a value":    begin + id + "X: y\x00z\r\nContent-Length: 2\r\n\r\nhi",
		"two lengths":                begin + id + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
		"length and chunks":          begin + id + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"other coding":               begin + id + "Transfer-Encoding: identity\r\n\r\nhi",
		"interim head":               "HTTP/1.1 103 Early\r\nX Y: z\r\n\r\n" + begin + id + "Content-Length: 2\r\n\r\nhi",
		"trailer":                    begin + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX Y: z\r\n\r\n",
		"control byte in a trailer":  begin + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX\x02: z\r\n\r\n",
		"control byte in a chunk":    begin + id + "Transfer-Encoding: chunked\r\n\r\n2;a\x01=b\r\nhi\r\n0\r\n\r\n",
		"blank in a chunk extension": begin + id + "Transfer-Encoding: chunked\r\n\r\n2;a b\r\nhi\r\n0\r\n\r\n",
		"version":                    "HTTP/3.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nhi",
		"no content":                 "HTTP/1.1 204 No Content\r\n" + id + "X Y: z\r\n\r\n",
	}
	for name, text := range tests {
		for _, keep := range []bool{true, false} {
			for _, size := range []int{0, 300_000} {
				t.Run(fmt.Sprint(name, ", kept ", keep, ", ", size), func(t *testing.T) {
					t.Parallel()
					d := newDeliverer(startTarget(t, respondWith(text, keep)), 1)
					call := newPatientCall(true)
					call.Method, call.Body = []byte("POST"), make([]byte, size)
					began := time.Now()
					answer := serveAndWait(d, call)
					assert.Equal(t, answer.Outcome, carrier.Failed, "%v %q", answer.Headers, answer.Body)
					assert.Assert(t, time.Since(began) < patience/2, "the call waited for its time limit")
					assert.Assert(t, d.takeIdle(time.Now()) == nil, "the connection would be used again")
				})
			}
		}
	}
}

// TestTrailerIsDropped checks that a proper trailer does not fail a response, and that it is not taken for its head.
func TestTrailerIsDropped(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nClementinerock-Request-Id: r\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-T: 1\r\n\r\n"
	d := newDeliverer(startTarget(t, respondWith(text, true)), 1)
	answer := serveAndWait(d, newPatientCall(true))
	assert.Equal(t, answer.Outcome, carrier.Answered, answer.Reason)
	assert.Equal(t, string(answer.Body), "hi")
	for _, h := range answer.Headers {
		assert.Assert(t, !strings.EqualFold(string(h.Name), "X-T"))
	}
	assert.Assert(t, d.takeIdle(time.Now()) != nil, "the connection can be used again")
}
