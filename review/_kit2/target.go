package kit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is a request that a target has begun to work on.
type Run struct {
	ID, Method, Path, Caller, Instance, Tenant, Deadline string
	Body                                                 []byte
	Header                                               http.Header
	At                                                   time.Time
	Target                                               *Target
}

// Target is a stand-in of an upstream: it runs as many requests at once as it has slots, queues a few more, rejects
// requests for another instance, and reports to the control address of its host.
type Target struct {
	ID    string
	Host  *Host
	Slots int
	Born  int64
	Work  func(r *Run) time.Duration // nil for 5 ms

	mu       sync.Mutex
	sequence int
	slots    chan struct{}
	runs     []*Run
}

// Listen starts the target without reports.
func (t *Target) Listen() error {
	listener, err := net.Listen("tcp4", t.Host.App())
	if err != nil {
		return err
	}
	if t.Slots == 0 {
		t.Slots = 6
	}
	if t.Born == 0 {
		t.Born = time.Now().UnixMilli()
	}
	t.slots = make(chan struct{}, t.Slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(conn)
		}
	}()
	return nil
}

// StartReports sends a heartbeat every 1.5 s until the case ends.
func (t *Target) StartReports() {
	go func() {
		for {
			t.Beat("ready")
			time.Sleep(1500 * time.Millisecond)
		}
	}()
}

// Heartbeat returns the next heartbeat with a state as it is sent.
func (t *Target) Heartbeat(state string) string {
	t.mu.Lock()
	t.sequence++
	sequence := t.sequence
	t.mu.Unlock()
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingS":0,"sequence":%d,"born":%d}`,
		t.Host.Service, t.Host.App(), t.Host.Zone, t.Slots, state, sequence, t.Born)
	return fmt.Sprintf("POST /rpc?call=instances.heartbeat&of=%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		t.ID, len(body), body)
}

// Beat sends a heartbeat and reports whether it was acknowledged within a second.
func (t *Target) Beat(state string) bool { return t.report(t.Heartbeat(state), state) }

func (t *Target) report(text, what string) bool {
	response, err := Send(t.Host.Control(), text, time.Second)
	acked := err == nil && response.Status/100 == 2
	if what != "ready" || !acked {
		t.Host.mesh.Record.Add("target %s: %s report, acknowledged: %v", t.ID, what, acked)
	}
	return acked
}

func (t *Target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF && !strings.Contains(err.Error(), "closed") && !strings.Contains(err.Error(), "reset") {
				t.Host.mesh.Record.Add("target %s: bytes that are no request: %v", t.ID, err)
			}
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		h := request.Header
		r := &Run{
			ID: h.Get("Clementinerock-Request-Id"), Method: request.Method, Path: request.RequestURI,
			Caller: h.Get("Clementinerock-Caller-Service"), Instance: h.Get("Clementinerock-Expect-Instance"),
			Tenant: h.Get("Clementinerock-Tenant-Name"), Deadline: h.Get("Clementinerock-Deadline-Ms"),
			Body: body, Header: h, At: time.Now(), Target: t,
		}
		if r.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nClementinerock-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.ID)
			continue
		}
		if r.Instance != "" && r.Instance != t.ID {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nClementinerock-Request-Id: %s\r\nClementinerock-Instance-Id: %s\r\nClementinerock-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.ID, t.ID)
			continue
		}
		if r.ID == "" {
			fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nClementinerock-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		t.slots <- struct{}{}
		t.Host.mesh.Record.Add("target %s (%s): runs %s %s id %s caller %s tenant %s, %d bytes, %s ms left", t.ID, t.Host.Service, r.Method, r.Path, r.ID, r.Caller, r.Tenant, len(r.Body), r.Deadline)
		t.mu.Lock()
		t.runs = append(t.runs, r)
		t.mu.Unlock()
		work := 5 * time.Millisecond
		if t.Work != nil {
			work = t.Work(r)
		}
		time.Sleep(work)
		<-t.slots
		if _, err := conn.Write(r.Response(200, []byte("done "+r.ID))); err != nil {
			return
		}
	}
}

// Runs returns all requests that the target has begun to work on.
func (t *Target) Runs() []*Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.runs)
}

// Response returns a response with a receipt.
func (r *Run) Response(status int, body []byte) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nClementinerock-Request-Id: %s\r\nClementinerock-Server-Stamp: st.%s.%s\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), r.ID, r.Target.ID, r.ID, len(body))
	out.Write(body)
	return out.Bytes()
}
