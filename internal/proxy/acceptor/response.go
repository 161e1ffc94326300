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

func status(code int) *fasthttp.Response {
	response := fasthttp.AcquireResponse()
	response.SetStatusCode(code)
	return response
}

func refusal(retry time.Duration) *fasthttp.Response {
	response := status(fasthttp.StatusServiceUnavailable)
	response.Header.SetBytesV(platform.HeaderRetry, platform.AppendRetry(nil, retry))
	return response
}

// respond turns a result into a response.
func respond(result *forwarder.Result, id []byte) *fasthttp.Response {
	switch result.Verdict {
	case forwarder.Left:
		return nil
	case forwarder.Refused:
		response := refusal(result.RetryAfter)
		response.Header.SetBytesV(platform.HeaderRequestID, id)
		return response
	case forwarder.Failed:
		return status(fasthttp.StatusBadGateway)
	case forwarder.Expired:
		return status(fasthttp.StatusGatewayTimeout)
	}
	response := status(result.Answer.Status)
	response.Header.SetNoDefaultContentType(true)
	for _, h := range result.Answer.Headers {
		response.Header.AddBytesKV(h.Name, h.Value)
	}
	response.SetBodyRaw(result.Answer.Body)
	return response
}

// answer writes a response. It reports whether the connection may be used again.
func (a *Acceptor) answer(c *client, request *fasthttp.Request, response *fasthttp.Response) bool {
	defer fasthttp.ReleaseResponse(response)
	ends := request.Header.ConnectionClose() || a.stopping.Load()
	if ends {
		response.SetConnectionClose()
	}
	response.SkipBody = request.Header.IsHead()
	return a.write(c, response) && !ends
}

func (a *Acceptor) write(c *client, response *fasthttp.Response) bool {
	if c.SetWriteDeadline(time.Now().Add(writeLimit)) != nil {
		return false
	}
	out := bufio.NewWriterSize(c, smallHeader)
	if err := response.Write(out); err != nil {
		return false // the client left
	}
	return out.Flush() == nil
}

// dropped reports whether a header of a client is not passed on as it is.
func dropped(name string) bool {
	switch name {
	case fasthttp.HeaderHost, fasthttp.HeaderExpect, platform.HeaderRequestID, platform.HeaderTimeLeft,
		platform.HeaderCaller, platform.HeaderInstance:
		return true
	}
	return carrier.HopByHop(name) || strings.EqualFold(name, "Proxy-Authorization")
}
