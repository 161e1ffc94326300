package carrier

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/node/expirer"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/pacer"
	"clementinerock/internal/proxy/reserver"
)

const (
	frameHeaderSize = 5         // bytes: the body's length (4) and the kind (1)
	maxFrameSize    = 96 << 20  // bytes; fits a call with the largest body that clients may send
	readBufferSize  = 2 << 10   // bytes
	maxPooledFrame  = 160 << 10 // bytes; larger buffers are not kept; holds a piece of a body in a buffer that has grown
	reusedFrameSize = 2 << 10   // bytes; the memory for smaller frames is reused
	writeTimeout    = time.Second
	helloTimeout    = time.Second
	voidTimeout     = 500 * time.Millisecond
	replyBuffer     = 1 // capacity of a channel for one reply, so that its sender never blocks
)

// frameBuffers holds buffers for frames to send; all links share them.
var frameBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

var (
	errClosed     = merry.Sentinel("link closed") // the hub did not register a link
	errIncomplete = merry.Sentinel("frame without its content")
)

// Server handles the requests of the node at the other end of a link.
type Server interface {
	// Serve runs a call and calls answer once. The returned Delivery is nil if the call has ended.
	Serve(call *Call, answer func(*Answer)) Delivery
	// Void prevents an attempt from running and reports whether it never reached the target.
	Void(id []byte, attempt uint64) bool
	// State returns the state to announce to other nodes.
	State() State
	// Version returns the version of the active configuration, or 0 if there is none.
	Version() uint64
	// UpdateSince returns the update from a version to the active one, or nil.
	UpdateSince(version uint64) *matcher.Update
	// Receive applies an update that another node sent. If the update does not fit, refetch
	// is called to request the whole configuration.
	Receive(update *matcher.Update, refetch func())
}

// Delivery is a call that a Server has accepted.
type Delivery interface {
	// Cancel ends the call without an answer. It need not stop a call that is not idempotent once the target
	// runs it.
	Cancel()
	// Withdraw refuses the call unless it has started.
	Withdraw()
}

// Link is a connection to another node. It carries calls in both directions.
type Link struct {
	Peer Peer

	dialed bool   // whether this node dialed the other one
	id     uint64 // random; the same on both sides
	order  uint64 // number in the order in which this node's links came up
	hub    *Hub
	server Server
	uplink *pacer.Gate
	memory *reserver.Reserver
	conn   net.Conn
	reader *bufio.Reader
	done   chan struct{} // closed when the link is closed

	writeMu sync.Mutex // held while a frame is written

	frame          []byte      // memory for the body of the frame being read
	updateSending  atomic.Bool // an update is being sent in pieces
	updateReceived []byte      // pieces of an update received so far; only the reading goroutine uses it

	mu            sync.Mutex
	lastNumber    uint64                   // number of the last call or void request sent
	calls         map[uint64]*pendingCall  // calls sent, by number
	voids         map[uint64]chan bool     // void requests sent, by number
	serving       map[uint64]*servedCall   // calls of the peer without an answer, by number
	bodies        map[uint64]*incomingBody // bodies of calls of the peer that are being received
	confirmations map[uint64]chan bool     // confirmations requested, by number of the peer's call
	pingTimes     []time.Duration          // times of the pings without a pong by the Prover's clock, oldest first
	renewals      map[uint64]chan bool     // renewals of leases requested, by number
	closed        bool

	state        atomic.Pointer[State]     // last state received
	stateTime    atomic.Int64              // time of the last state, as a duration since the start of the process
	usual        atomic.Pointer[usualLoad] // load that the states received usually show
	openCalls    atomic.Int64              // number of calls sent that have no answer yet
	openAtReport atomic.Int64              // openCalls when the state was received
	lastFrame    atomic.Int64              // time of the last frame, likewise
	pingSent     atomic.Int64              // time of the unanswered ping, likewise, or 0
	suspect      atomic.Bool               // this node's ping is overdue, or another node suspects the peer
	pingOverdue  atomic.Bool               // this node's ping has had no answer for suspectTimeout
}

func (h *Hub) newLink(conn net.Conn) *Link {
	return &Link{
		hub:           h,
		uplink:        h.Uplink,
		memory:        h.Memory,
		bodies:        make(map[uint64]*incomingBody),
		server:        h.Server,
		conn:          conn,
		reader:        bufio.NewReaderSize(conn, readBufferSize),
		done:          make(chan struct{}),
		calls:         make(map[uint64]*pendingCall),
		voids:         make(map[uint64]chan bool),
		serving:       make(map[uint64]*servedCall),
		confirmations: make(map[uint64]chan bool),
		renewals:      make(map[uint64]chan bool),
	}
}

// initiate exchanges hellos on a link that this node dialed. It returns the other node's peers
// if the hello requests them.
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

// accept exchanges hellos on a link that the other node dialed and returns its hello. peers
// returns the peers to send if the other node requests them.
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

// readHello reads the other node's hello.
func (l *Link) readHello() (*hello, error) {
	frameKind, body, err := l.read()
	if err != nil {
		return nil, err
	}
	if frameKind != kindHello {
		return nil, merry.Errorf("first frame has kind %d, not hello", frameKind)
	}
	other := new(hello)
	if err := decMode.Unmarshal(body, other); err != nil {
		return nil, merry.Prepend(err, "decode hello")
	}
	l.Peer = other.Self
	now := expirer.SinceStart(time.Now())
	l.lastFrame.Store(int64(now))
	l.stateTime.Store(int64(now))
	l.state.Store(&other.State)
	l.observeState(&other.State)
	l.receiveRollouts(&other.State)
	if !other.Temporary {
		l.recordIssuing(&other.State)
	}
	return other, nil
}

// State returns the last state received from the peer, the numbers of calls that this node has
// open there now and had open when that state arrived, and the time since it arrived.
func (l *Link) State() (state State, openCalls, openAtReport int, age time.Duration) {
	age = expirer.SinceStart(time.Now()) - time.Duration(l.stateTime.Load())
	return *l.state.Load(), int(l.openCalls.Load()), int(l.openAtReport.Load()), age
}

// setState stores a state received from the peer. If it shows a newer configuration, the hub
// decides whether to request that at once.
func (l *Link) setState(state *State) {
	l.state.Store(state)
	l.receiveRollouts(state)
	l.usual.Store(l.usual.Load().after(state))
	l.observeState(state)
	if state.Version > l.server.Version() {
		l.hub.handleNewerVersion(l)
	}
	l.openAtReport.Store(l.openCalls.Load())
	l.stateTime.Store(int64(expirer.SinceStart(time.Now())))
}

// receiveRollouts passes on the rollouts in a state that was received.
func (l *Link) receiveRollouts(state *State) {
	if len(state.Rollouts) > 0 && l.hub.OnRollouts != nil {
		l.hub.OnRollouts(state.Rollouts)
	}
}

// send writes one frame at once and charges it to the uplink. If the write fails, the peer can't
// receive the whole frame.
func (l *Link) send(frameKind kind, body any) error {
	size, err := l.write(frameKind, body)
	l.uplink.Charge(size)
	return err
}

// write writes one frame and returns its size in bytes.
func (l *Link) write(frameKind kind, body any) (int, error) {
	frame, ok := frameBuffers.Get().(*bytes.Buffer)
	if !ok {
		panic("carrier: the pool holds something else than buffers")
	}
	defer func() {
		if frame.Cap() <= maxPooledFrame {
			frameBuffers.Put(frame)
		}
	}()
	frame.Reset()
	frame.Write(make([]byte, frameHeaderSize))
	if err := encMode.MarshalToBuffer(body, frame); err != nil {
		return 0, merry.Prepend(err, "encode frame")
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(frame.Len()-frameHeaderSize))
	frame.Bytes()[frameHeaderSize-1] = byte(frameKind)
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return l.conn.Write(frame.Bytes())
}

// read reads one frame. Its body is valid until the next call; decoded frames do not refer to it.
func (l *Link) read() (kind, []byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(l.reader, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameSize {
		return 0, nil, merry.Errorf("frame of %d bytes is too large", size)
	}
	body := l.frame
	if size > reusedFrameSize {
		body = make([]byte, size)
	} else if body == nil {
		body = make([]byte, reusedFrameSize)
		l.frame = body
	}
	body = body[:size]
	_, err := io.ReadFull(l.reader, body)
	return kind(header[frameHeaderSize-1]), body, err
}

// run reads and handles frames until the link ends.
func (l *Link) run() error {
	for {
		frameKind, body, err := l.read()
		if err != nil {
			l.Close()
			return err
		}
		l.lastFrame.Store(int64(expirer.SinceStart(time.Now())))
		if err := l.dispatch(frameKind, body); err != nil {
			l.Close()
			return err
		}
	}
}

// dispatch handles one frame. A frame of an unknown kind is ignored.
func (l *Link) dispatch(frameKind kind, body []byte) error {
	switch frameKind {
	case kindCall:
		return l.serveCall(body)
	case kindCallAfterBody:
		return l.serveCallAfterBody(body)
	case kindBodyOffer, kindBodyAccept, kindBodyPiece:
		return l.handleBody(frameKind, body)
	case kindAnswer:
		return l.completeCall(body)
	case kindPiece:
		return l.receivePiece(body)
	case kindCancel, kindWithdraw:
		return l.endServed(frameKind, body)
	case kindState, kindPong:
		return l.receiveState(frameKind, body)
	case kindPing:
		l.sendOrClose(kindPong, &stateFrame{State: l.server.State()})
		return l.receiveState(frameKind, body)
	case kindFetch, kindUpdate, kindUpdatePiece:
		return l.handleUpdate(frameKind, body)
	case kindVoid, kindVoided:
		return l.handleVoid(frameKind, body)
	case kindConfirmRequest, kindConfirmReply:
		return l.handleConfirm(frameKind, body)
	case kindSuspect:
		return l.receiveSuspicion(body)
	case kindCreditRequest, kindCreditGrant, kindPartRequest, kindPartReply:
		return l.handleCredit(frameKind, body)
	case kindLeaseRequest, kindLeaseReply:
		return l.handleLease(frameKind, body)
	}
	return nil
}

// handleUpdate handles the frames by which configurations are requested and sent.
func (l *Link) handleUpdate(frameKind kind, body []byte) error {
	switch frameKind {
	case kindFetch:
		return l.update(body)
	case kindUpdate:
		return l.receiveUpdate(body)
	}
	return l.receiveUpdatePiece(body)
}

// update sends the update that the peer has requested.
func (l *Link) update(body []byte) error {
	var frame fetchFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if update := l.server.UpdateSince(frame.BaseVersion); update != nil {
		return l.sendUpdate(update)
	}
	return nil
}

// receiveUpdate handles an update that the peer has sent.
func (l *Link) receiveUpdate(body []byte) error {
	var frame updateFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frame.Update == nil {
		return errIncomplete
	}
	l.server.Receive(frame.Update, func() { l.fetch(0) })
	return nil
}

// fetch requests the update from a version to the peer's version; 0 requests the whole
// configuration.
func (l *Link) fetch(base uint64) { l.sendOrClose(kindFetch, &fetchFrame{BaseVersion: base}) }

// sendOrClose sends a frame and closes the link if that fails.
func (l *Link) sendOrClose(frameKind kind, body any) {
	if err := l.send(frameKind, body); err != nil {
		l.Close()
	}
}

// serveCall passes a call of the peer to the server.
func (l *Link) serveCall(body []byte) error {
	var frame callFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frame.Call == nil {
		return errIncomplete
	}
	owner := reserver.Owner{Client: peerClient, Class: reserver.SizeClass(len(frame.Call.Body))}
	if !l.memory.Adopt(owner, frame.Call.Body) {
		l.refuseCall(frame.Number)
		return nil
	}
	return l.serve(&frame)
}

// serve passes a call with its body to the server.
func (l *Link) serve(frame *callFrame) error {
	number := frame.Number
	served := &servedCall{size: len(frame.Call.Body)}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return errClosed // no one waits for the answer
	}
	l.serving[number] = served
	l.mu.Unlock()
	if !frame.Call.Idempotent {
		frame.Call.Confirm = func() bool { return l.requestConfirmation(number) }
	}
	deadline := time.Now().Add(frame.Call.Remaining)
	delivery := l.server.Serve(frame.Call, func(answer *Answer) {
		defer func() {
			l.memory.Discard(len(frame.Call.Body))
			l.memory.Discard(answer.BodySize())
		}()
		if answer.BodySize() > l.uplink.Piece() {
			l.answerInPieces(frame.Call, number, answer, deadline)
			return
		}
		if l.endServing(number) != nil {
			l.sendOrClose(kindAnswer, &answerFrame{Number: number, Answer: answer})
		}
	})
	if delivery == nil {
		return nil
	}
	l.mu.Lock()
	if served.cancel == nil {
		served.cancel = delivery.Cancel
	}
	served.withdraw = delivery.Withdraw
	closed := l.closed
	l.mu.Unlock()
	if closed {
		delivery.Cancel() // Close may have run before it was set
	}
	return nil
}

// completeCall passes an answer of the peer to the call that waits for it.
func (l *Link) completeCall(body []byte) error {
	var frame answerFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frame.Answer == nil || frame.Answer.Outcome > Expired {
		return errIncomplete
	}
	l.mu.Lock()
	pending, ok := l.calls[frame.Number]
	delete(l.calls, frame.Number)
	l.mu.Unlock()
	if !ok {
		l.setState(&frame.Answer.Load)
		return nil
	}
	l.openCalls.Add(-1)
	answer := pending.whole(&frame)
	if frame.Size == 0 && !l.memory.Adopt(reserver.Owner{Class: reserver.Answer}, answer.Body) {
		answer = &Answer{Outcome: Failed, Reason: "no memory for the response", Load: frame.Answer.Load}
	}
	l.setState(&frame.Answer.Load)
	l.prove(pending.sent, &frame.Answer.Load)
	pending.answers <- answer // after the state, so that a further attempt chooses by it
	return nil
}

// endServed cancels or withdraws a call of the peer at its request. After a cancel the peer does not wait for the
// answer any more, so none is sent, and nothing of the call is kept here.
func (l *Link) endServed(frameKind kind, body []byte) error {
	var frame numberFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frameKind == kindWithdraw {
		l.withdrawServed(frame.Number)
		return nil
	}
	l.dropBody(frame.Number)
	l.cancelServed(frame.Number)
	return nil
}

// withdrawServed withdraws a call of the peer, which waits for the answer: a refusal unless the call has started.
func (l *Link) withdrawServed(number uint64) {
	l.mu.Lock()
	served := l.serving[number]
	l.mu.Unlock()
	if served != nil && served.withdraw != nil {
		served.withdraw()
	}
}

// receiveState handles a state, which a ping and a pong carry as well.
func (l *Link) receiveState(frameKind kind, body []byte) error {
	var frame stateFrame
	if err := decMode.Unmarshal(body, &frame); err != nil {
		return err
	}
	if frameKind == kindPong {
		l.pingSent.Store(0)
	}
	l.setState(&frame.State)
	switch frameKind {
	case kindPong:
		l.proveByPong(&frame.State)
	case kindState:
		l.askForProof(&frame.State)
	}
	l.recordIssuing(&frame.State)
	return nil
}

// handleVoid handles both frames of a void request: it replies to the peer's request, or passes on
// the peer's reply.
func (l *Link) handleVoid(frameKind kind, body []byte) error {
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

// SendState sends the current state.
func (l *Link) SendState() { l.sendOrClose(kindState, &stateFrame{State: l.server.State()}) }

// Close closes the link and cancels the peer's calls.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	open := slices.Collect(maps.Keys(l.serving))
	incoming := slices.Collect(maps.Keys(l.bodies))
	l.mu.Unlock()
	close(l.done)
	_ = l.conn.Close() // no frames are left to send
	for _, number := range open {
		l.cancelServed(number)
	}
	for _, number := range incoming {
		l.dropBody(number)
	}
}
