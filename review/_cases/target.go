package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers of the users' protocol.
const (
	headerID       = "Clementinerock-Request-Id"
	headerDeadline = "Clementinerock-Deadline-Ms"
	headerStamp    = "Clementinerock-Server-Stamp"
	headerExpect   = "Clementinerock-Expect-Instance"
	headerInstance = "Clementinerock-Instance-Id"
)

// target is a stand-in for an upstream. Unless its hooks say otherwise, it behaves soundly.
type target struct {
	env     *env
	node    *node
	id      string
	service string
	born    int64
	slots   chan struct{}
	work    time.Duration

	// extra, if set, returns additional bytes for the end of a complete answer. They are sent late: when the
	// next request has arrived on the connection, before its answer.
	extra func() []byte
	onRun func(id string)

	mu       sync.Mutex
	sequence int64
	listener net.Listener
	conns    map[net.Conn]struct{}
	stopped  chan struct{}
}

func newTarget(n *node, id string, slots int, work time.Duration) *target {
	return &target{env: n.env, node: n, id: id, service: n.service, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), work: work, conns: make(map[net.Conn]struct{}), stopped: make(chan struct{})}
}

// listen starts to accept connections.
func (t *target) listen() error {
	l, err := net.Listen("tcp4", t.node.target())
	if err != nil {
		return err
	}
	t.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[c] = struct{}{}
			t.mu.Unlock()
			go t.serve(c)
		}
	}()
	return nil
}

// exit ends the target with all its connections.
func (t *target) exit() {
	close(t.stopped)
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		_ = c.Close()
	}
	t.env.add("target %s: exits", t.id)
}

// serve serves the requests on one connection, one at a time.
func (t *target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var pending []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(headerID)
		t.env.add("target %s: request %s arrives (%d bytes)", t.id, id, len(body))
		if len(pending) > 0 {
			t.env.add("target %s: sends additional bytes, late: %q", t.id, pending)
			if _, err := c.Write(pending); err != nil {
				return
			}
			pending = nil
		}
		answer := t.answer(request, id)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if t.extra != nil {
			pending = t.extra()
		}
	}
}

// answer runs or rejects a request and returns the bytes of the answer, or nil if the target has ended.
func (t *target) answer(request *http.Request, id string) []byte {
	if request.URL.Path == "/health" {
		return response(200, map[string]string{headerInstance: t.id}, nil)
	}
	if expected := request.Header.Get(headerExpect); expected != "" && expected != t.id {
		return response(421, map[string]string{headerInstance: t.id}, nil)
	}
	select {
	case t.slots <- struct{}{}:
	case <-t.stopped:
		return nil
	}
	defer func() { <-t.slots }()
	t.env.add("target %s: runs %s", t.id, id)
	if t.onRun != nil {
		t.onRun(id)
	}
	select {
	case <-time.After(t.work):
	case <-t.stopped:
		return nil
	}
	return response(200, map[string]string{headerID: id, headerStamp: t.id + "." + id, "Keep-Alive": "timeout=10"}, []byte("done "+id))
}

// response encodes an answer.
func response(status int, headers map[string]string, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range headers {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	return out.Bytes()
}

// heartbeatBody returns the body of the next heartbeat.
func (t *target) heartbeatBody(state string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return []byte(fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingS":0,"sequence":%d,"born":%d}`,
		t.service, t.node.target(), t.node.zone, cap(t.slots), state, t.sequence, t.born))
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (t *target) beat(state string) bool {
	return t.report("instances.heartbeat", t.heartbeatBody(state), time.Second)
}

// leave sends a leave message and reports whether it was acknowledged.
func (t *target) leave() bool {
	t.mu.Lock()
	t.sequence++
	body := fmt.Sprintf(`{"sequence":%d,"born":%d}`, t.sequence, t.born)
	t.mu.Unlock()
	return t.report("instances.leave", []byte(body), time.Second)
}

func (t *target) report(name string, body []byte, limit time.Duration) bool {
	status, _, err := call(t.node.control(), "POST", "/rpc?call="+name+"&of="+t.id, "application/json", body, limit)
	return err == nil && status >= 200 && status < 300
}

// beats sends heartbeats until stop is closed.
func (t *target) beats(stop <-chan struct{}) {
	for {
		if !t.beat("ready") {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			continue
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// call makes one HTTP call on a new connection.
func call(address, method, path, contentType string, body []byte, limit time.Duration) (int, []byte, error) {
	c, err := net.DialTimeout("tcp4", address, limit)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", method, path, address)
	if contentType != "" {
		fmt.Fprintf(&out, "Content-Type: %s\r\n", contentType)
	}
	if method != "GET" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	if _, err := c.Write(out.Bytes()); err != nil {
		return 0, nil, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, text, err
}

// client is a stand-in for a client on a host. It keeps its connection open.
type client struct {
	env    *env
	node   *node
	rate   float64 // bytes per second at which bodies are sent; 0 for no limit
	conn   net.Conn
	reader *bufio.Reader
}

// pacedPiece is the size in bytes of the pieces of a paced body.
const pacedPiece = 256 << 10

// send writes a body at the client's rate.
func (c *client) send(body []byte) error {
	if c.rate == 0 {
		_, err := c.conn.Write(body)
		return err
	}
	began := time.Now()
	for sent := 0; sent < len(body); {
		piece := body[sent:min(sent+pacedPiece, len(body))]
		if _, err := c.conn.Write(piece); err != nil {
			return err
		}
		sent += len(piece)
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / c.rate * float64(time.Second)))))
	}
	return nil
}

// result is what a client sees of one attempt.
type result struct {
	status int // 0 if there was no complete answer
	stamp  string
	body   []byte
	err    error
	kept   bool // the request was sent on a connection that had carried another one
	sent   bool // the whole request was sent
}

// do sends one request and waits for the answer until limit, after which it closes the connection.
func (c *client) do(method, host, path, id string, body []byte, limit time.Duration) result {
	return c.doFor(method, host, path, id, body, limit, limit)
}

// doFor is like do for a client that leaves before the time limit that it has sent.
func (c *client) doFor(method, host, path, id string, body []byte, limit, announced time.Duration) result {
	var r result
	deadline := time.Now().Add(limit)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.node.client(), time.Second)
		if err != nil {
			r.err = err
			return r
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	} else {
		r.kept = true
	}
	_ = c.conn.SetDeadline(deadline)
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n", method, path, host,
		headerID, id, headerDeadline, strconv.FormatInt(announced.Milliseconds(), 10))
	if method != "GET" {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	if _, r.err = c.conn.Write(out.Bytes()); r.err == nil {
		r.err = c.send(body)
	}
	if r.err != nil {
		c.close()
		return r
	}
	r.sent = true
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.err = err
		c.close()
		return r
	}
	r.body, r.err = io.ReadAll(answer.Body)
	if r.err != nil {
		c.close()
		return r
	}
	r.status, r.stamp = answer.StatusCode, answer.Header.Get(headerStamp)
	if answer.Close {
		c.close()
	}
	return r
}

// timedOut reports whether the client gave up itself.
func (r result) timedOut() bool {
	var timeout net.Error
	return errors.As(r.err, &timeout) && timeout.Timeout()
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
