package carrier

import (
	"bufio"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"clementinerock/internal/proxy/matcher"
)

const (
	frameHeaderSize = 5        // bytes: length of the body, and the kind
	maxFrameSize    = 96 << 20 // bytes; a body of the largest size that clients may send fits
	readBufferSize  = 2 << 10  // bytes
	writeTimeout    = time.Second
	helloTimeout    = time.Second
	voidTimeout     = 500 * time.Millisecond
	replyBuffer     = 1
)

// frameBuffers holds frameBuffers for frames; links share them.
var frameBuffers = sync.Pool{New: func() any { return new([]byte) }}

// errClosed says that a link is gone.
var errClosed = merry.Sentinel("link closed")

// Server is what a link does for the node at its other end.
type Server interface {
	// Serve runs a call and answers once. The function returned gives the call up.
	Serve(call *Call, answer func(*Answer)) func()
	// Void forbids an attempt and reports whether it never reached the target.
	Void(id []byte, attempt uint64) bool
	// State returns what other nodes are told.
	State() State
	// Version returns the version of the configuration in force, or 0.
	Version() uint64
	// UpdateSince returns what leads from a version to the one in force, or nil.
	UpdateSince(version uint64) *matcher.Update
	// Receive takes an update that another node sent. If it does not fit, again is called
	// to ask for the whole configuration.
	Receive(update *matcher.Update, refetch func())
}

// Link is one connection to another node. Calls in both directions share it.
type Link struct {
	Peer Peer

	dialed bool   // by this node
	id     uint64 // the same on both sides
	hub    *Hub
	server Server
	conn   net.Conn
	reader *bufio.Reader
	done   chan struct{}

	writeMu sync.Mutex

	mu            sync.Mutex
	lastNumber    uint64
	calls         map[uint64]*pendingCall
	voids         map[uint64]chan bool
	serving       map[uint64]func()
	confirmations map[uint64]chan bool // calls of the peer that wait for its confirmation
	closed        bool

	state        atomic.Pointer[State]
	stateTime    atomic.Int64 // Unix nanoseconds of the state
	openCalls    atomic.Int64 // calls that wait for an answer
	openAtReport atomic.Int64 // of them, when the state was reported
	lastFrame    atomic.Int64 // Unix nanoseconds of the last frame
	pingSent     atomic.Int64 // Unix nanoseconds of the ping that waits for an answer, or 0
	suspect      atomic.Bool  // that ping waits for long, or another node got no answer
	pingOverdue  atomic.Bool  // that ping waits for long
}

func (h *Hub) newLink(conn net.Conn) *Link {
	return &Link{
		hub:           h,
		server:        h.Server,
		conn:          conn,
		reader:        bufio.NewReaderSize(conn, readBufferSize),
		done:          make(chan struct{}),
		calls:         make(map[uint64]*pendingCall),
		voids:         make(map[uint64]chan bool),
		serving:       make(map[uint64]func()),
		confirmations: make(map[uint64]chan bool),
	}
}

// initiate exchanges the first frames on a link that this node dialed. It returns the peers
// that the other node knows, if ask says so.
func (l *Link) initiate(own *hello) ([]Peer, error) {
	own.LinkID = rand.Uint64()
	l.id = own.LinkID
	if err := l.conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	if err := l.send(kindHello, own); err != nil {
		return nil, err
	}
	other, err := l.readHello()
	if err != nil {
		return nil, err
	}
	return other.Peers, l.conn.SetDeadline(time.Time{})
}

// accept exchanges the first frames on a link that the other node dialed. peers returns
// what it is told if it asks.
func (l *Link) accept(own *hello, peers func() []Peer) (*hello, error) {
	if err := l.conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, err
	}
	other, err := l.readHello()
	if err != nil {
		return nil, err
	}
	l.id = other.LinkID
	if other.RequestPeers {
		own.Peers = peers()
	}
	if err := l.send(kindHello, own); err != nil {
		return nil, err
	}
	return other, l.conn.SetDeadline(time.Time{})
}

// readHello reads the other node's first frame.
func (l *Link) readHello() (*hello, error) {
	frameKind, body, err := l.read()
	if err != nil {
		return nil, err
	}
	if frameKind != kindHello {
		return nil, merry.Errorf("first frame of kind %d", frameKind)
	}
	other := new(hello)
	if err := decMode.Unmarshal(body, other); err != nil {
		return nil, merry.Prepend(err, "decode greeting")
	}
	l.Peer = other.Self
	now := time.Now().UnixNano()
	l.lastFrame.Store(now)
	l.stateTime.Store(now)
	l.state.Store(&other.State)
	return other, nil
}

// State returns the peer's last report, its age, and how many more calls this node has
// open there than it had then; fewer if negative.
func (l *Link) State() (state State, openCalls, openAtReport int, age time.Duration) {
	age = time.Duration(time.Now().UnixNano() - l.stateTime.Load())
	return *l.state.Load(), int(l.openCalls.Load()), int(l.openAtReport.Load()), age
}

func (l *Link) setState(state *State) {
	l.state.Store(state)
	if state.Version > l.server.Version() {
		l.hub.handleNewerVersion(l)
	}
	l.openAtReport.Store(l.openCalls.Load())
	l.stateTime.Store(time.Now().UnixNano())
}

// send writes one frame. A frame whose write fails can't be read by the peer.
func (l *Link) send(frameKind kind, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return merry.Prepend(err, "encode frame")
	}
	frame := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(frame)
	*frame = binary.BigEndian.AppendUint32((*frame)[:0], uint32(len(encoded)))
	*frame = append(*frame, byte(frameKind))
	*frame = append(*frame, encoded...)
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = l.conn.Write(*frame)
	return err
}

func (l *Link) read() (kind, []byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(l.reader, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameSize {
		return 0, nil, merry.Errorf("frame of %d bytes", size)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(l.reader, body)
	return kind(header[frameHeaderSize-1]), body, err
}

// run reads frames until the connection ends.
func (l *Link) run() error {
	for {
		frameKind, body, err := l.read()
		if err != nil {
			l.Close()
			return err
		}
		l.lastFrame.Store(time.Now().UnixNano())
		if err := l.dispatch(frameKind, body); err != nil {
			l.Close()
			return err
		}
	}
}

func (l *Link) dispatch(frameKind kind, body []byte) error {
	switch frameKind {
	case kindCall:
		return l.serveCall(body)
	case kindAnswer:
		return l.completeCall(body)
	case kindCancel:
		return l.cancelCall(body)
	case kindState, kindPong:
		return l.receiveState(frameKind, body)
	case kindPing:
		l.sendOrClose(kindPong, &stateFrame{State: l.server.State()})
		return l.receiveState(frameKind, body)
	case kindFetch:
		return l.update(body)
	case kindUpdate:
		return l.receiveUpdate(body)
	case kindVoid, kindVoided:
		return l.void(frameKind, body)
	case kindConfirmRequest, kindConfirmReply:
		return l.confirm(frameKind, body)
	case kindSuspect:
		return l.receiveSuspicion(body)
	}
	return nil
}

func (l *Link) update(body []byte) error {
	var frame fetchFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if update := l.server.UpdateSince(frame.BaseVersion); update != nil {
		l.sendOrClose(kindUpdate, &updateFrame{Update: update})
	}
	return nil
}

func (l *Link) receiveUpdate(body []byte) error {
	var frame updateFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.server.Receive(frame.Update, func() { l.fetch(0) })
	return nil
}

// fetch asks for what leads from a version to the peer's.
func (l *Link) fetch(have uint64) { l.sendOrClose(kindFetch, &fetchFrame{BaseVersion: have}) }

// sendOrClose sends a frame; a link that can't take it is closed.
func (l *Link) sendOrClose(frameKind kind, body any) {
	if err := l.send(frameKind, body); err != nil {
		l.Close()
	}
}

func (l *Link) serveCall(body []byte) error {
	var frame callFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	number := frame.Number
	l.mu.Lock()
	l.serving[number] = nil
	l.mu.Unlock()
	if !frame.Call.Idempotent {
		frame.Call.Confirm = func() bool { return l.requestConfirmation(number) }
	}
	abort := l.server.Serve(frame.Call, func(answer *Answer) {
		l.mu.Lock()
		delete(l.serving, number)
		closed := l.closed
		l.mu.Unlock()
		if !closed {
			l.sendOrClose(kindAnswer, &answerFrame{Number: number, Answer: answer})
		}
	})
	l.mu.Lock()
	if _, open := l.serving[number]; open {
		l.serving[number] = abort
	}
	l.mu.Unlock()
	return nil
}

func (l *Link) completeCall(body []byte) error {
	var frame answerFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.mu.Lock()
	pending, ok := l.calls[frame.Number]
	delete(l.calls, frame.Number)
	l.mu.Unlock()
	if ok {
		l.openCalls.Add(-1)
		pending.answers <- frame.Answer
	}
	l.setState(&frame.Answer.Load)
	return nil
}

func (l *Link) cancelCall(body []byte) error {
	var frame numberFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	l.mu.Lock()
	abort := l.serving[frame.Number]
	l.mu.Unlock()
	if abort != nil {
		abort()
	}
	return nil
}

func (l *Link) receiveState(frameKind kind, body []byte) error {
	var frame stateFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frameKind == kindPong {
		l.pingSent.Store(0)
	}
	l.setState(&frame.State)
	return nil
}

func (l *Link) void(frameKind kind, body []byte) error {
	var frame voidFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frameKind == kindVoid {
		frame.Voided = l.server.Void(frame.ID, frame.Attempt)
		l.sendOrClose(kindVoided, &frame)
		return nil
	}
	l.mu.Lock()
	result, ok := l.voids[frame.Number]
	delete(l.voids, frame.Number)
	l.mu.Unlock()
	if ok {
		result <- frame.Voided
	}
	return nil
}

// SendState sends the present state.
func (l *Link) SendState() { l.sendOrClose(kindState, &stateFrame{State: l.server.State()}) }

// Close ends the link. Calls of the peer that may be repeated are given up.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	var open []func()
	for _, abort := range l.serving {
		if abort != nil {
			open = append(open, abort)
		}
	}
	l.mu.Unlock()
	close(l.done)
	_ = l.conn.Close() // nothing is left to be said to the peer
	for _, abort := range open {
		abort()
	}
}
