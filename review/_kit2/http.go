package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Record is what a case has observed, in order of time.
type Record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
}

// NewRecord writes to a file, which it replaces.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), out: file}, nil
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Response is a response to a client.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Whole  bool // whether the body is complete
	Close  bool // whether the connection closes
}

// Client is a connection of a client.
type Client struct {
	net.Conn
	Reader *bufio.Reader
}

// Dial opens a connection of a client.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{Conn: conn, Reader: bufio.NewReader(conn)}, nil
}

// ReadResponse reads one response to a request with a method.
func (c *Client) ReadResponse(method string, limit time.Duration) (*Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	raw, err := http.ReadResponse(c.Reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(raw.Body)
	_ = raw.Body.Close()
	return &Response{Status: raw.StatusCode, Header: raw.Header, Body: body, Whole: err == nil, Close: raw.Close}, nil
}

// Send sends text on a new connection and reads one response.
func Send(address, text string, limit time.Duration) (*Response, error) {
	c, err := Dial(address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetWriteDeadline(time.Now().Add(limit))
	if _, err := c.Write([]byte(text)); err != nil {
		return nil, err
	}
	return c.ReadResponse("GET", limit)
}

// Text returns a request. extra holds further header lines, each with its line end.
func Text(method, host, path, id string, deadline time.Duration, extra, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nClementinerock-Request-Id: %s\r\nClementinerock-Deadline-Ms: %d\r\n%s",
		method, path, host, id, deadline.Milliseconds(), extra)
	if body != "" || method != "GET" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}
