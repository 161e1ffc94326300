package deliverer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"clementinerock/internal/proxy/bodyreader"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/dialer"
	"clementinerock/internal/proxy/headchecker"
	"clementinerock/platform"
)

const (
	connectTimeout = 400 * time.Millisecond // a target on this host accepts in about a millisecond
	unackedTimeout = 2 * time.Second        // time after which unacknowledged data breaks a connection

	readBufferSize  = 4 << 10  // in bytes
	maxResponseBody = 64 << 20 // in bytes
	minResponseBody = 1 << 20  // in bytes

	// responseMemoryShare is the share of this process's memory for the bodies that are read from the
	// target at the same time.
	responseMemoryShare = 0.125

	// maxInlineBody is the maximum size in bytes of a request body that is written together with
	// the header. A longer one is written while the response is awaited, which may arrive before
	// the target has read the whole body.
	maxInlineBody = 8 << 10

	// defaultMaxIdle is the time for which an idle connection is kept if the target announces no
	// timeout.
	defaultMaxIdle = 4 * time.Second

	// keepAliveShare is the share of the idle timeout announced by the target for which an idle
	// connection is kept.
	keepAliveShare = 0.4

	// resetTime is the time for which a reset is awaited that may have ended a response. It arrives at once if the
	// target has closed the connection for reading as well.
	resetTime = 50 * time.Millisecond

	// maxResponsesRead is the maximum number of responses that are read for one request, including
	// late ones to other requests.
	maxResponsesRead = 3

	// maxInterimResponses is the maximum number of interim responses before a response.
	maxInterimResponses = 100

	// chunkedLength is the content length that fasthttp reports for a chunked body.
	chunkedLength = -1

	// untilCloseLength is the content length that fasthttp reports for a response whose body ends
	// when the connection is closed.
	untilCloseLength = -2
)

var (
	errStray  = merry.Sentinel("no response with the ID of the request")
	errClosed = merry.Sentinel("connection closed by target")

	errHeadTooLarge = merry.Sentinel("head of the response exceeds the buffer")
	errTrailer      = merry.Sentinel("trailer of the response exceeds the buffer")

	errStatus = merry.Sentinel("status of the response is not 200 to 599")

	errBareLineFeed = merry.Sentinel("head of the response ends with a bare line feed")
)

// conn is one connection to the target. It carries one request at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	idle     time.Time     // start of the idle time
	maxIdle  time.Duration // idle time after which the connection is not used again
	deadline time.Time     // deadline of the current exchange
}

// setDeadline sets the deadline of an exchange.
func (c *conn) setDeadline(deadline time.Time) error {
	c.deadline = deadline
	return c.SetDeadline(deadline)
}

// shortenReadDeadline sets the time until which the response is read, unless it is later than the
// deadline of the exchange.
func (c *conn) shortenReadDeadline(deadline time.Time) error {
	if deadline.After(c.deadline) {
		return nil
	}
	return c.SetReadDeadline(deadline)
}

func connect(address string) (*conn, error) {
	raw, err := dialer.Dial(address, connectTimeout, unackedTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize), maxIdle: defaultMaxIdle}, nil
}

// usable reports whether an idle connection can carry another request: it has not been idle for
// too long, is still open, and has received no unsolicited data.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idle) > c.maxIdle || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// write sends the request for the given instance of the target. bodyWritten receives the result
// once the whole body is written.
func (c *conn) write(call *carrier.Call, instance string, remaining time.Duration) (bodyWritten <-chan error, err error) {
	var out bytes.Buffer
	size := call.BodySize()
	out.Grow(512 + min(size, maxInlineBody))
	out.Write(call.Method)
	out.WriteByte(' ')
	out.Write(call.URI)
	out.WriteString(" HTTP/1.1\r\n")
	writeHeader(&out, fasthttp.HeaderHost, call.Host)
	for _, h := range call.Headers {
		writeHeader(&out, string(h.Name), h.Value)
	}
	writeHeader(&out, platform.HeaderRequestID, call.ID)
	writeHeader(&out, platform.HeaderTimeRemaining, platform.AppendTimeRemaining(nil, remaining))
	writeHeader(&out, platform.HeaderOriginService, []byte(call.OriginService))
	writeHeader(&out, platform.HeaderExpectedInstance, []byte(instance))
	if call.Account != "" {
		writeHeader(&out, platform.HeaderAccount, []byte(call.Account))
	}
	if size > 0 || !bodyless(call.Method) {
		writeHeader(&out, fasthttp.HeaderContentLength, strconv.AppendInt(nil, int64(size), 10))
	}
	out.WriteString("\r\n")
	done := make(chan error, 1)
	if size <= maxInlineBody {
		out.Write(call.Body)
		_, err = c.Write(out.Bytes())
		done <- err
		return done, err
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return done, err
	}
	go func() {
		buffers := append(net.Buffers{call.Body}, call.BodyRest...)
		_, err := buffers.WriteTo(c.Conn)
		done <- err
	}()
	return done, nil
}

// checkEnd returns an error if the end of a response that ends with its connection may be that of a reset. A reset
// that the write of the request has met looks like a proper end to the read. bodyWritten receives the result of that
// write; if the target has ended the connection for writing only, it may still go on.
func (c *conn) checkEnd(bodyWritten <-chan error) error {
	timer := time.NewTimer(resetTime)
	defer timer.Stop()
	var err error
	select {
	case err = <-bodyWritten:
	case <-timer.C:
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return err
		}
		err = <-bodyWritten
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return merry.Prepend(err, "write of the request")
}

// bodyless reports whether requests with a method usually have no body, so that an empty one needs
// no Content-Length header.
func bodyless(method []byte) bool {
	switch string(method) {
	case fasthttp.MethodGet, fasthttp.MethodHead, fasthttp.MethodDelete, fasthttp.MethodOptions:
		return true
	}
	return false
}

func writeHeader(out *bytes.Buffer, name string, value []byte) {
	out.WriteString(name)
	out.WriteString(": ")
	out.Write(value)
	out.WriteString("\r\n")
}

// response is a response of the target.
type response struct {
	*fasthttp.Response

	body               bodyreader.Body
	endsWithConnection bool // the end of the connection is the only end of the body
}

// read reads the response to a call. It skips responses that do not have the ID of the call: a faulty
// target may send additional ones, whose statuses prove nothing about this call. After one without an
// ID it reads on until unidentifiedWait has passed, since that may have been the target's response.
func (c *conn) read(call *carrier.Call, r *response, body bodyreader.Reader, unidentifiedWait time.Duration) error {
	for range maxResponsesRead {
		if err := c.readOne(call, r, body); err != nil {
			return err
		}
		id := r.Header.Peek(platform.HeaderRequestID)
		if bytes.Equal(id, call.ID) {
			return nil
		}
		if len(id) == 0 && unidentifiedWait > 0 {
			if err := c.shortenReadDeadline(time.Now().Add(unidentifiedWait)); err != nil {
				return err
			}
			unidentifiedWait = 0
		}
		r.Reset()
		r.body, r.endsWithConnection = bodyreader.Body{}, false
	}
	return errStray
}

// readOne reads one response after interim ones.
func (c *conn) readOne(call *carrier.Call, r *response, body bodyreader.Reader) error {
	for range maxInterimResponses {
		status, err := c.awaitHead()
		if err != nil {
			return err
		}
		r.Header.SetNoDefaultContentType(true)
		if err := r.Header.Read(c.reader); err != nil {
			return err
		}
		switch {
		case status >= 100 && status < 200 && status != fasthttp.StatusSwitchingProtocols:
			continue
		case status < 200, status > 599:
			return errStatus
		case string(call.Method) == fasthttp.MethodHead, status == fasthttp.StatusNoContent, status == fasthttp.StatusNotModified:
			return nil
		}
		return c.readBody(r, &body)
	}
	return errStray
}

// readBody reads the body of a response.
func (c *conn) readBody(r *response, body *bodyreader.Reader) (err error) {
	defer func() {
		if err != nil {
			body.Discard()
		}
	}()
	switch length := r.Header.ContentLength(); length {
	case chunkedLength:
		if r.body, err = body.Chunked(); err != nil {
			return err
		}
		return c.skipTrailer()
	case untilCloseLength:
		r.body, err = body.UntilEnd()
		r.endsWithConnection = true
	default:
		r.body, err = body.Exact(length)
	}
	return err
}

// skipTrailer reads and checks the fields behind a chunked body. They are dropped, as RFC 9110 allows.
func (c *conn) skipTrailer() error {
	for size := 0; ; {
		line, err := c.reader.ReadSlice('\n')
		size += len(line)
		switch {
		case errors.Is(err, bufio.ErrBufferFull), size > readBufferSize:
			return errTrailer
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		if len(line) == 0 {
			return nil
		}
		if _, _, err := headchecker.CheckField(line); err != nil {
			return err
		}
	}
}

// awaitHead waits for the head of a response and returns its status. It returns an error if a bare line feed
// ends the head: fasthttp would wait for another end until the deadline.
func (c *conn) awaitHead() (status int, err error) {
	for read := 0; ; {
		_, err := c.reader.Peek(read + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return 0, errHeadTooLarge
		case errors.Is(err, io.EOF) && read > 0:
			return 0, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return 0, errClosed
		case err != nil:
			return 0, err
		}
		head, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return 0, err
		}
		end, bare := bytes.Index(head, []byte("\n\r\n")), bytes.Index(head, []byte("\n\n"))
		if bare >= 0 && (end < 0 || bare < end) {
			return 0, errBareLineFeed
		}
		if end >= 0 {
			return headchecker.Check(head[:end+len("\n\r\n")])
		}
		read = len(head)
	}
}

// reusable reports whether the connection can carry another request after a response, and sets the
// time for which it may be idle.
func (c *conn) reusable(response *response, bodyWritten <-chan error) bool {
	select {
	case err := <-bodyWritten:
		if err != nil {
			return false
		}
	default:
		return false // the target has not read the whole body
	}
	if response.ConnectionClose() || c.reader.Buffered() > 0 || response.Header.ContentLength() == untilCloseLength {
		return false
	}
	c.maxIdle = defaultMaxIdle
	if header := response.Header.Peek("Keep-Alive"); len(header) > 0 {
		c.maxIdle = parseKeepAlive(string(header))
	}
	return true
}

// parseKeepAlive returns the maximum idle time of a connection from the value of a Keep-Alive header.
func parseKeepAlive(value string) time.Duration {
	for _, parameter := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		announced, err := strconv.Atoi(text)
		if err != nil {
			break
		}
		return time.Duration(keepAliveShare * float64(announced) * float64(time.Second))
	}
	return defaultMaxIdle
}
