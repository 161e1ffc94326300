// Package builder runs whole meshes in one process: nodes and stand-in targets with real sockets
// on loopback, and an in-memory store.
package builder

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"path"
	"sort"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"clementinerock/examples"
	"clementinerock/internal/call/picker"
	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/demo/delayer"
	"clementinerock/internal/demo/responder"
	"clementinerock/internal/mesh/gossiper"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/mesh/signer"
	"clementinerock/internal/node/announcer"
	"clementinerock/internal/node/runner"
	"clementinerock/internal/store/keeper"
)

// Service is the size of one service of a deployment.
type Service struct {
	Name    string
	Targets int // number of targets
	Slots   int // slots of each target
}

// Deployment is the size and the simulated network of one mesh.
type Deployment struct {
	Name             string
	Region           string
	FailureDomains   []string
	Services         []Service
	CrossDomainDelay time.Duration // one-way latency between failure domains
	ClientDelay      time.Duration // one-way latency between clients and nodes
	ConnectDelay     time.Duration // time to open a connection to a target
}

// Deployments holds the example deployments by name.
var Deployments = map[string]Deployment{
	"viti": {
		Name:             "viti",
		Region:           "viti-levu",
		FailureDomains:   []string{"suva", "nadi", "ba"},
		Services:         []Service{{"slotboard", 5, 6}, {"pickupdesk", 5, 6}, {"spreadlog", 3, 6}},
		CrossDomainDelay: 500 * time.Microsecond,
		ClientDelay:      8 * time.Millisecond,
		ConnectDelay:     time.Millisecond,
	},
	"bellenblaas": {
		Name:             "bellenblaas",
		Region:           "nl-west",
		FailureDomains:   []string{"nl-west-1", "nl-west-2", "nl-west-3"},
		Services:         []Service{{"catalogue", 6, 12}, {"bookings", 4, 12}, {"checkout", 3, 12}},
		CrossDomainDelay: 1500 * time.Microsecond,
		ClientDelay:      8 * time.Millisecond,
		ConnectDelay:     time.Millisecond,
	},
}

// Options selects the policies and settings of a mesh. The zero value runs it with the defaults.
type Options struct {
	Pick       string // name of a picker policy
	Limit      string // name of a limiter policy
	NoHedge    bool   // disable hedging
	AlwaysWait bool   // the first attempt of a call may wait for a slot, as its retries do
	Gossip     gossiper.Config
	Seed       uint64
	Log        *zap.Logger
}

// MeshHost is one host of a mesh with its node and targets.
type MeshHost struct {
	Name          string
	FailureDomain string
	Region        string
	Node          *runner.Node
	Admin         string // address of the node's admin interface
	Targets       []*responder.Target

	stop  func()
	crash func()
}

// Stop stops the host's node without draining it.
func (h *MeshHost) Stop() { h.stop() }

// Crash stops the host's node without notifying its peers, as if the host had lost power.
func (h *MeshHost) Crash() { h.crash() }

// Mesh is a running mesh.
type Mesh struct {
	Deployment Deployment
	Options    Options
	Store      *keeper.MemoryStore
	Approver   *approver.Approver

	authority signer.KeyPair
	mu        sync.Mutex
	hosts     []*MeshHost
	domains   map[string]string // failure domain by peer address
	cleanups  []func()
}

// New returns a mesh without hosts. The clean-up function stops all nodes and targets.
func New(deployment Deployment, options Options) (*Mesh, func(), error) {
	authority, err := signer.NewAuthority(time.Now())
	if err != nil {
		return nil, nil, err
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	store := &keeper.MemoryStore{}
	m := &Mesh{
		Deployment: deployment,
		Options:    options,
		Store:      store,
		Approver:   &approver.Approver{Store: store},
		authority:  authority,
		domains:    make(map[string]string),
	}
	return m, m.stopAll, nil
}

func (m *Mesh) stopAll() {
	m.mu.Lock()
	cleanups := m.cleanups
	m.cleanups = nil
	m.mu.Unlock()
	var group sync.WaitGroup
	for _, cleanup := range cleanups {
		group.Go(cleanup)
	}
	group.Wait()
}

// Hosts returns the hosts started so far.
func (m *Mesh) Hosts() []*MeshHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*MeshHost(nil), m.hosts...)
}

// StartAll starts one host for each target of the deployment, with hosts assigned to the failure
// domains in turn.
func (m *Mesh) StartAll() error {
	index := 0
	for _, service := range m.Deployment.Services {
		for i := range service.Targets {
			domain := m.Deployment.FailureDomains[index%len(m.Deployment.FailureDomains)]
			name := fmt.Sprintf("%s-%s-%d", domain, service.Name, i+1)
			host, err := m.StartHost(name, domain, m.Deployment.Region, m.Seeds())
			if err != nil {
				return err
			}
			if _, err := m.StartTarget(host, service); err != nil {
				return err
			}
			index++
		}
	}
	return nil
}

// Seeds returns the control addresses of up to three hosts, through which a new node joins.
func (m *Mesh) Seeds() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var seeds []string
	for i := 0; i < len(m.hosts) && len(seeds) < 3; i++ {
		seeds = append(seeds, m.hosts[i].Node.Host().Control)
	}
	return seeds
}

// StartHost starts a node on a new host. The node joins through the control addresses in peers.
func (m *Mesh) StartHost(name, domain, region string, peers []string) (*MeshHost, error) {
	pair, err := signer.Issue(m.authority, name, time.Now())
	if err != nil {
		return nil, err
	}
	identity, err := signer.NewIdentity(pair, m.authority.Certificate)
	if err != nil {
		return nil, err
	}
	policy := picker.New(m.Options.Pick)
	if policy == nil {
		return nil, merry.Errorf("unknown pick policy %q", m.Options.Pick)
	}
	const anyPort = "127.0.0.1:0"
	node, stopNode, err := runner.New(runner.Config{
		Host:     messenger.Host{Name: name, FailureDomain: domain, Region: region, Control: anyPort, Peer: anyPort},
		Calls:    anyPort,
		Identity: identity,
		Store:    m.Store,
		Peers:    peers,
		Gossip:   m.Options.Gossip,
		Pick:     policy,
		Limit:    m.Options.Limit,
		Hedging:  !m.Options.NoHedge,
		Log:      m.Options.Log,
		Seed:     m.Options.Seed,
		Dial:     m.dialer(domain),
	})
	if err != nil {
		return nil, err
	}
	admin, stopAdmin, err := announcer.New(anyPort, node, node.Metrics().Handler())
	if err != nil {
		stopNode()
		return nil, err
	}
	var once sync.Once
	stop := func() {
		once.Do(func() {
			stopAdmin()
			stopNode()
		})
	}
	crash := func() {
		node.DropPackets()
		stop()
	}
	node.Front().NoWait = !m.Options.AlwaysWait
	host := &MeshHost{Name: name, FailureDomain: domain, Region: region, Node: node, Admin: admin, stop: stop, crash: crash}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts = append(m.hosts, host)
	m.domains[node.Host().Peer] = domain
	m.cleanups = append(m.cleanups, stop)
	return host, nil
}

// dialer returns a function that connects a node to its peers and adds the latency between failure
// domains where the peer is in another one.
func (m *Mesh) dialer(domain string) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return nil, err
		}
		m.mu.Lock()
		other := m.domains[address]
		m.mu.Unlock()
		if other == domain {
			return conn, nil
		}
		return delayer.Wrap(conn, m.Deployment.CrossDomainDelay), nil
	}
}

// StartTarget starts a stand-in target of the service on the host.
func (m *Mesh) StartTarget(host *MeshHost, service Service) (*responder.Target, error) {
	target, stop, err := responder.New(responder.Config{
		Service:      service.Name,
		Slots:        service.Slots,
		ConnectDelay: m.Deployment.ConnectDelay,
		Admin:        host.Admin,
	})
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	host.Targets = append(host.Targets, target)
	m.cleanups = append(m.cleanups, stop)
	return target, nil
}

// Targets returns the targets of all hosts.
func (m *Mesh) Targets() []*responder.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	var targets []*responder.Target
	for _, host := range m.hosts {
		targets = append(targets, host.Targets...)
	}
	return targets
}

// Questionnaires returns the example questionnaires of a deployment, in the order of their file
// names.
func Questionnaires(deployment string) ([]parser.Questionnaire, error) {
	names, err := fs.Glob(examples.Files, deployment+"/*.toml")
	if err != nil {
		return nil, merry.Prepend(err, "list examples")
	}
	sort.Strings(names)
	var list []parser.Questionnaire
	for _, name := range names {
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			return nil, merry.Prepend(err, "read example")
		}
		q, err := parser.Parse(path.Join("examples", name), data)
		if err != nil {
			return nil, err
		}
		list = append(list, q)
	}
	return list, nil
}

// SubmitAndApprove submits and approves questionnaires and returns the new head. It fails if another
// version was approved in the meantime.
func (m *Mesh) SubmitAndApprove(ctx context.Context, questionnaires []parser.Questionnaire, author string) (approver.Head, error) {
	proposal, err := m.Approver.Submit(ctx, questionnaires, nil, author, "")
	if err != nil {
		return approver.Head{}, err
	}
	result, err := m.Approver.Approve(ctx, proposal.ID, author)
	if err != nil {
		return approver.Head{}, err
	}
	if result.Verdict != approver.Approved {
		return result.Head, merry.Errorf("proposal %s was superseded by version %d", proposal.ID, result.Head.Version)
	}
	return result.Head, nil
}

const pollInterval = 2 * time.Millisecond

// AwaitVersion waits until every given host has the version or a newer one in force and returns the
// time at which each host reached it.
func AwaitVersion(hosts []*MeshHost, version uint64, timeout time.Duration) ([]time.Time, error) {
	reached := make([]time.Time, len(hosts))
	deadline := time.Now().Add(timeout)
	for {
		missing := 0
		for i, host := range hosts {
			if !reached[i].IsZero() {
				continue
			}
			if head, _ := host.Node.Current(); head.Version >= version {
				reached[i] = time.Now()
			} else {
				missing++
			}
		}
		if missing == 0 {
			return reached, nil
		}
		if time.Now().After(deadline) {
			return reached, merry.Errorf("version %d is missing on %d of %d nodes", version, missing, len(hosts))
		}
		time.Sleep(pollInterval)
	}
}

// AwaitReady waits until the node of every given host accepts calls.
func AwaitReady(hosts []*MeshHost, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, host := range hosts {
		for !host.Node.Ready() {
			if time.Now().After(deadline) {
				return merry.Errorf("node %s is not ready", host.Name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
