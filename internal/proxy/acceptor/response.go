package acceptor

import (
	"bufio"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/proxy/bodyreader"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/internal/proxy/reserver"
	"clementinerock/platform"
)

// headerSize is the usual size of a response's header in bytes.
const headerSize = 300

// minStatus and maxStatus are the range of the status of a response. fasthttp would send status 0, which another
// node may report, as 200.
const (
	minStatus = 200
	maxStatus = 599
)

// newResponse returns an empty response with a status.
func newResponse(code int) *fasthttp.Response {
	response := fasthttp.AcquireResponse()
	response.SetStatusCode(code)
	return response
}

// newRefusal returns a response with status 503 and the delay before the client may retry.
func newRefusal(retryAfter time.Duration) *fasthttp.Response {
	response := newResponse(fasthttp.StatusServiceUnavailable)
	setRetryAfter(response, retryAfter)
	return response
}

func setRetryAfter(response *fasthttp.Response, retryAfter time.Duration) {
	response.Header.SetBytesV(platform.HeaderRetryAfter, platform.AppendRetryAfter(nil, retryAfter))
}

// answer is a response to a client.
type answer struct {
	*fasthttp.Response

	rest [][]byte // further parts of the body
}

// responseFor returns the response for a result, or nil if the client disconnected.
func responseFor(result *forwarder.Result, id []byte) *answer {
	switch result.Verdict {
	case forwarder.Disconnected:
		return nil
	case forwarder.Refused:
		response := newRefusal(result.RetryAfter)
		response.Header.SetBytesV(platform.HeaderRequestID, id)
		return &answer{Response: response}
	case forwarder.Limited:
		response := newRefusal(result.RetryAfter)
		response.SetStatusCode(fasthttp.StatusTooManyRequests)
		response.Header.SetBytesV(platform.HeaderRequestID, id)
		return &answer{Response: response}
	case forwarder.Failed:
		return &answer{Response: newResponse(fasthttp.StatusBadGateway)}
	case forwarder.Expired:
		return &answer{Response: newResponse(fasthttp.StatusGatewayTimeout)}
	}
	if status := result.Answer.Status; status < minStatus || status > maxStatus {
		return &answer{Response: newResponse(fasthttp.StatusBadGateway)}
	}
	response := newResponse(result.Answer.Status)
	response.Header.SetNoDefaultContentType(true)
	for _, h := range result.Answer.Headers {
		response.Header.AddBytesKV(h.Name, h.Value)
	}
	response.SetBodyRaw(result.Answer.Body)
	return &answer{Response: response, rest: result.Answer.BodyRest}
}

// writeResponse sends a response and reports whether the connection may be used again.
func (a *Acceptor) writeResponse(c *clientConn, t turn, request *fasthttp.Request, response *answer, urgency urgency) bool {
	defer fasthttp.ReleaseResponse(response.Response)
	defer a.Memory.Discard(bodySize(response.Response, response.rest))
	closes := c.closeAfter(t, request.Header.ConnectionClose(), a.stopping.Load())
	if closes {
		response.SetConnectionClose()
	}
	response.SkipBody = request.Header.IsHead()
	if !a.write(c, response.Response, response.rest, urgency) {
		return false
	}
	return !closes
}

func bodySize(response *fasthttp.Response, rest [][]byte) int {
	body := bodyreader.Body{First: response.Body(), Rest: rest}
	return body.Size()
}

// writers holds unused write buffers.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, initialBuffer) }}

// urgency orders the large responses that are being sent.
type urgency struct {
	priority int       // 0 is the most urgent
	deadline time.Time // time at which the client stops waiting
}

// write sends a response, whose body may have further parts, and reports whether that succeeded.
func (a *Acceptor) write(c *clientConn, response *fasthttp.Response, rest [][]byte, urgency urgency) bool {
	if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	out, ok := writers.Get().(*bufio.Writer)
	if !ok {
		panic("acceptor: the pool holds something else than writers")
	}
	out.Reset(c)
	defer func() {
		out.Reset(nil)
		writers.Put(out)
	}()
	size := bodySize(response, rest)
	if !response.SkipBody && size > a.Uplink.Piece() {
		return c.writePaced(out, response, size, func(write func([]byte) error) error {
			for _, part := range append([][]byte{response.Body()}, rest...) {
				if err := a.Uplink.Send(part, urgency.priority, urgency.deadline, write); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := response.Write(out); err != nil {
		return false // the client disconnected
	}
	a.Uplink.Charge(size + headerSize)
	return out.Flush() == nil
}

// writePaced sends the header of a response at once and its body of size bytes with the given function. It
// reports whether that succeeded.
func (c *clientConn) writePaced(out *bufio.Writer, response *fasthttp.Response, size int, send func(write func([]byte) error) error) bool {
	response.Header.SetContentLength(size)
	if response.Header.Write(out) != nil || out.Flush() != nil {
		return false // the client disconnected
	}
	return send(c.writePiece) == nil
}

// writePiece sends a piece of a body. While others wait for memory, a client that reads too slowly gets
// less time.
func (c *clientConn) writePiece(piece []byte) error {
	end := time.Now().Add(writeTimeout)
	for {
		if err := c.SetWriteDeadline(time.Now().Add(reserver.SlowWindow)); err != nil {
			return err
		}
		n, err := c.Write(piece)
		piece = piece[n:]
		switch {
		case err == nil:
			return nil
		case !isTimeout(err), !time.Now().Before(end):
			return err
		case n < min(reserver.MinWindowBytes, len(piece)) && c.memory.Pressed():
			return errTooSlow
		}
	}
}

// dropped reports whether a header of a client's request is not copied to the call.
func dropped(name string) bool {
	switch name {
	case fasthttp.HeaderHost, fasthttp.HeaderExpect, platform.HeaderRequestID, platform.HeaderTimeRemaining,
		platform.HeaderOriginService, platform.HeaderExpectedInstance:
		return true
	}
	return carrier.HopByHop(name) || strings.EqualFold(name, "Proxy-Authorization")
}

// droppedWithAccounts reports the same for a configuration with client accounts: the target gets no key,
// and the name of the account only from this node.
func droppedWithAccounts(name string) bool {
	return name == platform.HeaderKey || name == platform.HeaderAccount || dropped(name)
}
