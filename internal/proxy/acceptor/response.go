package acceptor

import (
	"bufio"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/forwarder"
	"clementinerock/platform"
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
	response.Header.SetBytesV(platform.HeaderRetryAfter, platform.AppendRetryAfter(nil, retryAfter))
	return response
}

// responseFor returns the response for a result, or nil if the client disconnected.
func responseFor(result *forwarder.Result, id []byte) *fasthttp.Response {
	switch result.Verdict {
	case forwarder.Disconnected:
		return nil
	case forwarder.Refused:
		response := newRefusal(result.RetryAfter)
		response.Header.SetBytesV(platform.HeaderRequestID, id)
		return response
	case forwarder.Failed:
		return newResponse(fasthttp.StatusBadGateway)
	case forwarder.Expired:
		return newResponse(fasthttp.StatusGatewayTimeout)
	}
	response := newResponse(result.Answer.Status)
	response.Header.SetNoDefaultContentType(true)
	for _, h := range result.Answer.Headers {
		response.Header.AddBytesKV(h.Name, h.Value)
	}
	response.SetBodyRaw(result.Answer.Body)
	return response
}

// writeResponse sends a response and reports whether the connection may be used again.
func (a *Acceptor) writeResponse(c *clientConn, request *fasthttp.Request, response *fasthttp.Response) bool {
	defer fasthttp.ReleaseResponse(response)
	closes := request.Header.ConnectionClose() || a.stopping.Load()
	if closes {
		response.SetConnectionClose()
	}
	response.SkipBody = request.Header.IsHead()
	return a.write(c, response) && !closes
}

// write sends a response and reports whether that succeeded.
func (a *Acceptor) write(c *clientConn, response *fasthttp.Response) bool {
	if c.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	out := bufio.NewWriterSize(c, initialBuffer)
	if err := response.Write(out); err != nil {
		return false // the client disconnected
	}
	return out.Flush() == nil
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
