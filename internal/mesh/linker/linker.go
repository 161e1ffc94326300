// Package linker opens and maintains the QUIC links between nodes.
package linker

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"

	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/mesh/signer"
)

const (
	protocol          = "clementinerock/1"
	dialTimeout       = 2 * time.Second
	probeTimeout      = time.Second
	helloTimeout      = 2 * time.Second
	idleTimeout       = 30 * time.Second
	flushTimeout      = 200 * time.Millisecond
	streamWindow      = 64 << 10
	maxStreamWindow   = 1 << 20
	connWindow        = 96 << 10
	maxConnWindow     = 3 << 19
	sendQueueLength   = 256
	codePlanned       = quic.ApplicationErrorCode(1)
	codeDuplicate     = quic.ApplicationErrorCode(2)
	codeFailed        = quic.ApplicationErrorCode(3)
	maxStreamsPerLink = 1
)

// Events receives the events of the links. Its methods are called concurrently and must not block for
// long.
type Events interface {
	// LinkUp is called when a link to a host is open.
	LinkUp(host messenger.Host, inbound bool)
	// LinkDown is called when a link is closed. planned is false if the link failed.
	LinkDown(name string, planned bool)
	// DialFailed is called when a link could not be opened.
	DialFailed(name string)
	// Probed is called with the result of a probe.
	Probed(name string, alive bool)
	// Received is called for each message of a peer.
	Received(from string, message messenger.Message)
}

// Linker manages the links of one node.
type Linker struct {
	host        messenger.Host
	incarnation uint64
	identity    signer.Identity
	events      Events
	transport   *quic.Transport
	listener    *quic.Listener
	counter     *countingConn
	ctx         context.Context
	tasks       sync.WaitGroup

	mu     sync.Mutex // held to change links, and to call Events in the order of the changes
	links  atomic.Pointer[linkMap]
	closed bool
}

// linkMap holds the links by host name. A map is replaced and never modified, so that Send needs no
// lock.
type linkMap map[string]*link

// New listens on the control address of the host. The clean-up function closes all links as planned
// and waits for their goroutines.
func New(host messenger.Host, incarnation uint64, identity signer.Identity, events Events) (*Linker, func(), error) {
	address, err := net.ResolveUDPAddr("udp", host.Control)
	if err != nil {
		return nil, nil, merry.Prependf(err, "resolve control address %s", host.Control)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, nil, merry.Prependf(err, "listen on control address %s", host.Control)
	}
	counter := &countingConn{conn: conn}
	transport := &quic.Transport{Conn: counter}
	listener, err := transport.Listen(identity.Server(protocol), quicConfig())
	if err != nil {
		_ = conn.Close()
		return nil, nil, merry.Prepend(err, "start QUIC listener")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		host:        host,
		incarnation: incarnation,
		identity:    identity,
		events:      events,
		transport:   transport,
		listener:    listener,
		counter:     counter,
		ctx:         ctx,
	}
	l.links.Store(&linkMap{})
	l.tasks.Go(l.acceptLoop)
	cleanup := func() {
		l.closeAll()
		cancel()
		_ = listener.Close()
		_ = transport.Close()
		_ = conn.Close()
		l.tasks.Wait()
	}
	return l, cleanup, nil
}

// quicConfig returns the QUIC configuration of inbound and outbound links.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreamsPerLink,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// Address returns the control address in use.
func (l *Linker) Address() string { return l.counter.LocalAddr().String() }

// Traffic returns the number of bytes sent and received on the wire, including IP and UDP headers.
func (l *Linker) Traffic() (sent, received uint64) {
	return l.counter.sent.Load(), l.counter.received.Load()
}

// DropPackets drops all packets from now on, in both directions, to simulate the loss of the host.
func (l *Linker) DropPackets() { l.counter.dropping.Store(true) }

// Dial opens a link to a host in the background.
func (l *Linker) Dial(host messenger.Host) {
	l.tasks.Go(func() {
		if err := l.dial(host.Control, host.Name); err != nil {
			l.events.DialFailed(host.Name)
		}
	})
}

// DialAddress opens a link in the background to any host of the mesh at an address. A failure is not
// reported.
func (l *Linker) DialAddress(address string) {
	l.tasks.Go(func() { _ = l.dial(address, "") })
}

// Probe checks in the background whether a host completes a handshake, and calls Events.Probed.
func (l *Linker) Probe(host messenger.Host) {
	l.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
		defer cancel()
		conn, err := l.connect(ctx, host.Control, host.Name)
		if err == nil {
			_ = conn.CloseWithError(codePlanned, "probe")
		}
		l.events.Probed(host.Name, err == nil)
	})
}

// connect opens a connection and verifies the name of the peer, unless name is empty.
func (l *Linker) connect(ctx context.Context, address, name string) (*quic.Conn, error) {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, merry.Prependf(err, "resolve peer address %s", address)
	}
	conn, err := l.transport.Dial(ctx, target, l.identity.Client(protocol, name), quicConfig())
	return conn, merry.Prependf(err, "dial %s", address)
}

// dial opens a link to an address and verifies the name of the peer, unless name is empty.
func (l *Linker) dial(address, name string) error {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	conn, err := l.connect(ctx, address, name)
	if err != nil {
		return err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(codeFailed, "no stream")
		return merry.Prepend(err, "open stream")
	}
	return l.startLink(conn, stream, false)
}

// acceptLoop accepts inbound links until the linker is closed.
func (l *Linker) acceptLoop() {
	for {
		conn, err := l.listener.Accept(l.ctx)
		if err != nil {
			return
		}
		l.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(l.ctx, helloTimeout)
			defer cancel()
			stream, err := conn.AcceptStream(ctx)
			if err != nil {
				_ = conn.CloseWithError(codeFailed, "no stream")
				return
			}
			_ = l.startLink(conn, stream, true)
		})
	}
}

// startLink exchanges hellos, registers the link and starts its goroutines. It closes the connection
// of a duplicate link and returns nil.
func (l *Linker) startLink(conn *quic.Conn, stream *quic.Stream, inbound bool) error {
	hello, err := l.exchangeHello(conn, stream)
	if err != nil {
		_ = conn.CloseWithError(codeFailed, "hello")
		return err
	}
	k := &link{
		host:        hello.Host,
		incarnation: hello.Incarnation,
		inbound:     inbound,
		conn:        conn,
		stream:      stream,
		sendQueue:   make(chan []byte, sendQueueLength),
		closed:      make(chan struct{}),
	}
	if !l.register(k) {
		_ = conn.CloseWithError(codeDuplicate, "duplicate")
		return nil
	}
	l.tasks.Go(k.writeLoop)
	l.tasks.Go(func() { l.readLoop(k) })
	return nil
}

// exchangeHello sends the hello of this node and returns that of the peer, whose name must be that of
// its certificate.
func (l *Linker) exchangeHello(conn *quic.Conn, stream *quic.Stream) (messenger.Hello, error) {
	own := messenger.Message{Hello: &messenger.Hello{Host: l.host, Incarnation: l.incarnation}}
	frame, err := messenger.EncodeFrame(&own)
	if err != nil {
		return messenger.Hello{}, err
	}
	if err := stream.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return messenger.Hello{}, merry.Prepend(err, "set hello deadline")
	}
	if _, err := stream.Write(frame); err != nil {
		return messenger.Hello{}, merry.Prepend(err, "send hello")
	}
	message, err := messenger.ReadFrame(stream)
	if err != nil {
		return messenger.Hello{}, merry.Prepend(err, "read hello")
	}
	chain := conn.ConnectionState().TLS.PeerCertificates
	if message.Hello == nil || len(chain) == 0 || signer.CertificateName(chain[0]) != message.Hello.Host.Name {
		return messenger.Hello{}, signer.ErrNameMismatch
	}
	if message.Hello.Host.Name == l.host.Name {
		return messenger.Hello{}, merry.New("peer is this host")
	}
	return *message.Hello, merry.Prepend(stream.SetDeadline(time.Time{}), "clear hello deadline")
}

// register makes k the link to its host and closes an existing one. It reports false if the existing
// link is to be kept or the linker is closed. If both nodes dialed at the same time, the link dialed
// by the node with the lower name is kept.
func (l *Linker) register(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	name := k.host.Name
	old := l.get(name)
	if old != nil && old.incarnation >= k.incarnation && old.inbound != k.inbound && l.dialedByLowerName(old) {
		return false
	}
	if old != nil {
		old.close(codeDuplicate)
		l.events.LinkDown(name, true)
	}
	l.set(name, k)
	l.events.LinkUp(k.host, k.inbound)
	return true
}

// dialedByLowerName reports whether the node with the lower name dialed the link.
func (l *Linker) dialedByLowerName(k *link) bool {
	return k.inbound == (k.host.Name < l.host.Name)
}

// Send queues a message for a peer. It drops the message if there is no link to the peer, and closes
// the link if its queue is full because the peer reads too slowly.
func (l *Linker) Send(to string, message *messenger.Message) error {
	k := l.get(to)
	if k == nil {
		return nil
	}
	frame, err := messenger.EncodeFrame(message)
	if err != nil {
		return err
	}
	select {
	case k.sendQueue <- frame:
	case <-k.closed:
	default:
		k.close(codeFailed)
	}
	return nil
}

// Close closes the link to a peer as planned, in the background.
func (l *Linker) Close(name string) {
	l.tasks.Go(func() {
		l.mu.Lock()
		k := l.get(name)
		if k != nil {
			l.set(name, nil)
			l.events.LinkDown(name, true)
		}
		l.mu.Unlock()
		if k != nil {
			k.flushAndClose()
		}
	})
}

func (l *Linker) get(name string) *link { return (*l.links.Load())[name] }

// set replaces the link to a host, or removes it if k is nil. The caller holds mu.
func (l *Linker) set(name string, k *link) {
	links := maps.Clone(*l.links.Load())
	if k == nil {
		delete(links, name)
	} else {
		links[name] = k
	}
	l.links.Store(&links)
}

// closeAll closes all links as planned and rejects new ones.
func (l *Linker) closeAll() {
	l.mu.Lock()
	l.closed = true
	links := *l.links.Swap(&linkMap{})
	l.mu.Unlock()
	var flushes conc.WaitGroup
	for _, k := range links {
		flushes.Go(k.flushAndClose)
	}
	flushes.Wait()
}

// readLoop passes received messages to Events until the link is closed.
func (l *Linker) readLoop(k *link) {
	var err error
	for {
		var message messenger.Message
		message, err = messenger.ReadFrame(k.stream)
		if err != nil {
			break
		}
		l.events.Received(k.host.Name, message)
	}
	k.close(codeFailed)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.get(k.host.Name) == k {
		l.set(k.host.Name, nil)
		l.events.LinkDown(k.host.Name, isPlannedClose(err))
	}
}

// isPlannedClose reports whether the error of a read means that the peer closed the link for another
// reason than a failure.
func isPlannedClose(err error) bool {
	var appErr *quic.ApplicationError
	return errors.As(err, &appErr) && appErr.Remote && appErr.ErrorCode != codeFailed
}
