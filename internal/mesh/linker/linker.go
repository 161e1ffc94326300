// Package linker opens and keeps the QUIC links between nodes.
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
	protocol         = "clementinerock/1"
	dialTimeout      = 2 * time.Second
	probeTimeout     = time.Second
	helloTimeout     = 2 * time.Second
	idleTimeout      = 30 * time.Second
	closeGrace       = 200 * time.Millisecond
	streamWindow     = 64 << 10
	maxStreamWindow  = 1 << 20
	connWindow       = 96 << 10
	maxConnWindow    = 3 << 19
	queuedMessages   = 256
	codePlanned      = quic.ApplicationErrorCode(1)
	codeDuplicate    = quic.ApplicationErrorCode(2)
	codeBroken       = quic.ApplicationErrorCode(3)
	maxStreamsOnLink = 1
)

// Events receives what happens on the links. Calls come from many goroutines and
// must not block for long.
type Events interface {
	LinkUp(machine messenger.Host, inbound bool)
	LinkDown(name string, planned bool)
	DialFailed(name string)
	Probed(name string, alive bool)
	Received(from string, message messenger.Message)
}

// Linker owns the links of one node.
type Linker struct {
	machine     messenger.Host
	incarnation uint64
	identity    signer.Identity
	events      Events
	transport   *quic.Transport
	listener    *quic.Listener
	counter     *countingConn
	ctx         context.Context
	tasks       sync.WaitGroup

	mu     sync.Mutex // guards changes of links; events are sent in their order
	links  atomic.Pointer[linkMap]
	closed bool
}

// linkMap holds the links by machine name. It is replaced and never changed, so
// that sending takes no lock.
type linkMap map[string]*link

// New listens on the machine's control address. The clean-up function closes all
// links as planned and waits for their goroutines.
func New(machine messenger.Host, incarnation uint64, identity signer.Identity, events Events) (*Linker, func(), error) {
	address, err := net.ResolveUDPAddr("udp", machine.Control)
	if err != nil {
		return nil, nil, merry.Prependf(err, "control address %s", machine.Control)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, nil, merry.Prependf(err, "listen on control address %s", machine.Control)
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
		machine:     machine,
		incarnation: incarnation,
		identity:    identity,
		events:      events,
		transport:   transport,
		listener:    listener,
		counter:     counter,
		ctx:         ctx,
	}
	l.links.Store(&linkMap{})
	l.tasks.Go(l.accept)
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

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreamsOnLink,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
	}
}

// Address returns the control address in use.
func (l *Linker) Address() string { return l.counter.LocalAddr().String() }

// Traffic returns the bytes sent and received on the wire, IP and UDP headers
// included.
func (l *Linker) Traffic() (sent, received uint64) {
	return l.counter.sent.Load(), l.counter.received.Load()
}

// DropPackets drops every packet from now on, in both directions.
func (l *Linker) DropPackets() { l.counter.silent.Store(true) }

// Dial opens a link to a machine in the background.
func (l *Linker) Dial(machine messenger.Host) {
	l.tasks.Go(func() {
		if err := l.dial(machine.Control, machine.Name); err != nil {
			l.events.DialFailed(machine.Name)
		}
	})
}

// DialAddress opens a link to whichever machine answers at an address.
func (l *Linker) DialAddress(address string) {
	l.tasks.Go(func() { _ = l.dial(address, "") })
}

// Probe reports whether a machine answers a handshake.
func (l *Linker) Probe(machine messenger.Host) {
	l.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
		defer cancel()
		conn, err := l.connect(ctx, machine.Control, machine.Name)
		if err == nil {
			_ = conn.CloseWithError(codePlanned, "probe")
		}
		l.events.Probed(machine.Name, err == nil)
	})
}

func (l *Linker) connect(ctx context.Context, address, name string) (*quic.Conn, error) {
	target, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, merry.Prependf(err, "peer address %s", address)
	}
	conn, err := l.transport.Dial(ctx, target, l.identity.Client(protocol, name), quicConfig())
	return conn, merry.Prependf(err, "dial %s", address)
}

func (l *Linker) dial(address, name string) error {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	conn, err := l.connect(ctx, address, name)
	if err != nil {
		return err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		_ = conn.CloseWithError(codeBroken, "no stream")
		return merry.Prepend(err, "open stream")
	}
	return l.start(conn, stream, false)
}

func (l *Linker) accept() {
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
				_ = conn.CloseWithError(codeBroken, "no stream")
				return
			}
			_ = l.start(conn, stream, true)
		})
	}
}

// start exchanges hellos and runs the link.
func (l *Linker) start(conn *quic.Conn, stream *quic.Stream, inbound bool) error {
	hello, err := l.exchangeHello(conn, stream)
	if err != nil {
		_ = conn.CloseWithError(codeBroken, "hello")
		return err
	}
	k := &link{
		machine:     hello.Host,
		incarnation: hello.Incarnation,
		inbound:     inbound,
		conn:        conn,
		stream:      stream,
		queue:       make(chan []byte, queuedMessages),
		done:        make(chan struct{}),
	}
	if !l.register(k) {
		_ = conn.CloseWithError(codeDuplicate, "duplicate")
		return nil
	}
	l.tasks.Go(k.write)
	l.tasks.Go(func() { l.read(k) })
	return nil
}

func (l *Linker) exchangeHello(conn *quic.Conn, stream *quic.Stream) (messenger.Hello, error) {
	own := messenger.Message{Hello: &messenger.Hello{Host: l.machine, Incarnation: l.incarnation}}
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
	if message.Hello.Host.Name == l.machine.Name {
		return messenger.Hello{}, merry.New("peer is this machine")
	}
	return *message.Hello, merry.Prepend(stream.SetDeadline(time.Time{}), "clear hello deadline")
}

// register makes k the link to its machine unless a better one exists. Of two
// links opened at the same time, the one dialed by the lower name stays.
func (l *Linker) register(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	name := k.machine.Name
	old := l.get(name)
	if old != nil && old.incarnation >= k.incarnation && old.inbound != k.inbound && l.dialedByLower(old) {
		return false
	}
	if old != nil {
		old.close(codeDuplicate)
		l.events.LinkDown(name, true)
	}
	l.set(name, k)
	l.events.LinkUp(k.machine, k.inbound)
	return true
}

func (l *Linker) dialedByLower(k *link) bool {
	return k.inbound == (k.machine.Name < l.machine.Name)
}

// Send queues a message for a peer. A peer that reads too slowly loses its link.
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
	case k.queue <- frame:
	case <-k.done:
	default:
		k.close(codeBroken)
	}
	return nil
}

// Close ends the link to a peer as planned.
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
			k.drain()
		}
	})
}

func (l *Linker) get(name string) *link { return (*l.links.Load())[name] }

// set replaces the link of a machine; nil removes it. The caller holds mu.
func (l *Linker) set(name string, k *link) {
	links := maps.Clone(*l.links.Load())
	if k == nil {
		delete(links, name)
	} else {
		links[name] = k
	}
	l.links.Store(&links)
}

func (l *Linker) closeAll() {
	l.mu.Lock()
	l.closed = true
	links := *l.links.Swap(&linkMap{})
	l.mu.Unlock()
	var closing conc.WaitGroup
	for _, k := range links {
		closing.Go(k.drain)
	}
	closing.Wait()
}

func (l *Linker) read(k *link) {
	var err error
	for {
		var message messenger.Message
		message, err = messenger.ReadFrame(k.stream)
		if err != nil {
			break
		}
		l.events.Received(k.machine.Name, message)
	}
	k.close(codeBroken)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.get(k.machine.Name) == k {
		l.set(k.machine.Name, nil)
		l.events.LinkDown(k.machine.Name, plannedClose(err))
	}
}

func plannedClose(err error) bool {
	var closed *quic.ApplicationError
	return errors.As(err, &closed) && closed.Remote && closed.ErrorCode != codeBroken
}
