package deliverer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/dialer"
	"clementinerock/platform"
)

const (
	connectLimit  = 400 * time.Millisecond // a target on this host accepts in about a millisecond
	targetUnacked = 2 * time.Second
	readBuffer    = 4 << 10  // bytes
	bodyLimit     = 64 << 20 // bytes
	longBody      = 8 << 10  // bytes; a longer body is written while the answer is awaited
	defaultIdle   = 4 * time.Second
	idleShare     = 0.4 // of the idle time that a target announces
	strayAnswers  = 3   // answers to other requests that are skipped before ours
	untilClose    = -2  // content length that fasthttp gives an answer that ends with its connection
)

var (
	errStray  = merry.Sentinel("answer to another request")
	errClosed = merry.Sentinel("connection closed by target")
)

// conn is one connection to the target. It carries one request at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	idle     time.Time // since when it has been idle
	lifetime time.Duration
}

func connect(address string) (*conn, error) {
	raw, err := dialer.Dial(address, connectLimit, targetUnacked)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), lifetime: defaultIdle}, nil
}

// usable reports whether an idle connection is young enough, still open, and without
// bytes that nobody asked for.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idle) > c.lifetime || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// write sends the request. instance names the target's start that is to run it. finished
// yields one value once the whole body is written.
func (c *conn) write(call *carrier.Call, instance string, left time.Duration) (finished <-chan error, err error) {
	var out bytes.Buffer
	out.Grow(512 + len(call.Body))
	out.Write(call.Method)
	out.WriteByte(' ')
	out.Write(call.URI)
	out.WriteString(" HTTP/1.1\r\n")
	writeHeader(&out, fasthttp.HeaderHost, call.Host)
	for _, h := range call.Headers {
		writeHeader(&out, string(h.Name), h.Value)
	}
	writeHeader(&out, platform.HeaderRequestID, call.ID)
	writeHeader(&out, platform.HeaderTimeLeft, platform.AppendTimeLeft(nil, left))
	writeHeader(&out, platform.HeaderCaller, []byte(call.OriginService))
	writeHeader(&out, platform.HeaderInstance, []byte(instance))
	if len(call.Body) > 0 || !bodyless(call.Method) {
		writeHeader(&out, fasthttp.HeaderContentLength, strconv.AppendInt(nil, int64(len(call.Body)), 10))
	}
	out.WriteString("\r\n")
	done := make(chan error, 1)
	if len(call.Body) <= longBody {
		out.Write(call.Body)
		_, err = c.Write(out.Bytes())
		done <- err
		return done, err
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return done, err
	}
	go func() {
		_, err := c.Write(call.Body)
		done <- err
	}()
	return done, nil
}

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

// read returns the answer to the request with the given id. Answers to others, which a
// target may have sent late, are skipped.
func (c *conn) read(call *carrier.Call, response *fasthttp.Response) error {
	for range strayAnswers {
		response.SkipBody = string(call.Method) == fasthttp.MethodHead
		response.Header.SetNoDefaultContentType(true)
		err := response.ReadLimitBody(c.reader, bodyLimit)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return errClosed
		}
		if err != nil {
			return err
		}
		if id := response.Header.Peek(platform.HeaderRequestID); len(id) == 0 || bytes.Equal(id, call.ID) {
			return nil
		}
		response.Reset()
	}
	return errStray
}

// reusable reports whether the connection may carry another request after an answer.
func (c *conn) reusable(response *fasthttp.Response, finished <-chan error) bool {
	select {
	case err := <-finished:
		if err != nil {
			return false
		}
	default:
		return false // the target has not read the whole body
	}
	if response.ConnectionClose() || c.reader.Buffered() > 0 || response.Header.ContentLength() == untilClose {
		return false
	}
	c.lifetime = defaultIdle
	if keep := response.Header.Peek("Keep-Alive"); len(keep) > 0 {
		c.lifetime = keepAlive(string(keep))
	}
	return true
}

// keepAlive returns how long a connection is kept, given the target's own limit.
func keepAlive(value string) time.Duration {
	for _, parameter := range strings.Split(value, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		announced, err := strconv.Atoi(text)
		if err != nil {
			break
		}
		return time.Duration(idleShare * float64(announced) * float64(time.Second))
	}
	return defaultIdle
}
