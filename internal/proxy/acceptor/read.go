package acceptor

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/bodyreader"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/reserver"
	"clementinerock/platform"
)

// received is a request of a client. A large body is not part of the pooled request, which would keep its
// memory.
type received struct {
	*fasthttp.Request

	body  bodyreader.Body
	alone bool // no other request of the connection is served at the same time
}

var (
	errHeaderSize = merry.Sentinel("header too large")
	errTooSlow    = merry.Sentinel("body too slow while others wait for memory")
	errStopping   = merry.Sentinel("node stopping")
)

// read reads a complete request.
func (a *Acceptor) read(c *clientConn, t turn, in *received, arrived time.Time, limits *matcher.Limits) error {
	err := in.Header.Read(c.reader)
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) && c.reader.Size() < limits.HeaderBytes {
		c.reader = bufio.NewReaderSize(c.reader, limits.HeaderBytes)
		err = in.Header.Read(c.reader)
	}
	if errors.As(err, &small) {
		return merry.Wrap(errHeaderSize, merry.WithCause(err))
	}
	if err != nil {
		return err
	}
	length := in.Header.ContentLength()
	large := length > maxPooledBody || length == chunkedLength
	if large && a.refusing.Load() {
		return errStopping // the client need not send its body
	}
	if in.MayContinue() && !c.awaitTurn(t) { // before memory is reserved, which the client could not use yet
		return net.ErrClosed
	}
	if length != chunkedLength && length <= 0 {
		return in.sendContinue(c)
	}
	if large {
		defer c.watchOthers(t)()
	}
	return a.readBody(c, in, arrived, limits)
}

// readBody reads the body of a request, which is not empty unless it is chunked.
func (a *Acceptor) readBody(c *clientConn, in *received, arrived time.Time, limits *matcher.Limits) (err error) {
	body := &bodyreader.Reader{
		Source: c.reader,
		Limit:  limits.BodyBytes,
		Memory: a.Memory,
		Owner:  reserver.Owner{Client: c.address, Gone: c.unreadable, Deadline: in.memoryDeadline(arrived)},
	}
	c.beginBody(limits.IdleTimeout)
	defer c.endBody()
	switch length := in.Header.ContentLength(); {
	case length == chunkedLength:
		err = in.readChunked(c, body)
	case length <= maxPooledBody:
		err = in.readPooled(c, limits.BodyBytes)
	default:
		err = in.readExact(c, body, length)
	}
	if err != nil {
		body.Discard()
	}
	return err
}

// memoryDeadline returns the time until which the request waits for memory, zero for the usual time. It is
// half the time for which the client waits, since the body is still to be sent and the request to be run.
func (in *received) memoryDeadline(arrived time.Time) time.Time {
	remaining, ok := platform.ParseTimeRemaining(in.Header.Peek(platform.HeaderTimeRemaining))
	if !ok {
		return time.Time{}
	}
	return arrived.Add(remaining / 2)
}

// readChunked reads a chunked body with its trailer.
func (in *received) readChunked(c *clientConn, body *bodyreader.Reader) error {
	err := in.sendContinue(c)
	if err != nil {
		return err
	}
	if in.body, err = body.Chunked(); err != nil {
		return err
	}
	return in.Header.ReadTrailer(c.reader)
}

// readPooled reads a small body into the memory of the pooled request.
func (in *received) readPooled(c *clientConn, limit int) error {
	if err := in.sendContinue(c); err != nil {
		return err
	}
	err := in.ContinueReadBody(c.reader, limit, false)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return merry.Wrap(bodyreader.ErrTooLarge, merry.WithCause(err))
	}
	in.body.First = in.Body()
	return err
}

// readExact reads a body of a known length, for which the client may send the first byte once its memory is
// available.
func (in *received) readExact(c *clientConn, body *bodyreader.Reader, length int) error {
	data, err := body.Allocate(length)
	if err != nil {
		return err
	}
	if err := in.sendContinue(c); err != nil {
		return err
	}
	in.body.First = data
	return body.Fill(data)
}

// chunkedLength is the content length that fasthttp reports for a chunked body.
const chunkedLength = -1

// sendContinue tells a client that waits for it to send its body, whose memory is available. The earlier
// requests of the connection have been responded to.
func (in *received) sendContinue(c *clientConn) error {
	if !in.MayContinue() {
		return nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// disconnected reports whether an error of a read shows that the client has closed its connection.
func disconnected(err error) bool {
	var network net.Error
	if errors.As(err, &network) {
		return !network.Timeout()
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// reject responds to a request that could not be read.
func (a *Acceptor) reject(c *clientConn, err error) {
	status := fasthttp.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.Is(err, errStopping):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, errHeaderSize):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, bodyreader.ErrTooLarge), errors.Is(err, reserver.ErrTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, reserver.ErrNoMemory):
		status = fasthttp.StatusServiceUnavailable
	case errors.Is(err, errTooSlow):
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	case disconnected(err):
		return // the client disconnected before the end of its request
	}
	a.Log.Info("client: request can't be read", zap.Int("status", status), recorder.Err(err))
	response := newResponse(status)
	defer fasthttp.ReleaseResponse(response)
	if status == fasthttp.StatusServiceUnavailable {
		retryAfter := noMemoryRetryAfter
		if errors.Is(err, errStopping) {
			retryAfter = notReadyRetryAfter
		}
		setRetryAfter(response, retryAfter)
	}
	response.SetConnectionClose()
	if a.write(c, response, nil, urgency{}) {
		c.discardUnread()
	}
}
