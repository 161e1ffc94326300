// Package measurer measures whole meshes of real nodes on loopback and prints tables of the results:
// Control measures convergence and control traffic, Calls the call path.
package measurer

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sort"
	"text/tabwriter"
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/indexer"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/demo/builder"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/store/keeper"

	"github.com/ansel1/merry/v2"
)

const (
	domainCount      = 10
	regionCount      = 4
	changeCount      = 20
	idleWindow       = 20 * time.Second // measurement period while no event happens
	settleWindow     = 20 * time.Second // pause between the start and the idle measurement
	eventWindow      = 12 * time.Second // measurement period of a join or a death
	readyTimeout     = time.Minute
	changeTimeout    = 14 * time.Second // required convergence time
	agreementTimeout = 2 * time.Minute
	outageTime       = 10 * time.Second
	startBatchSize   = 25 // nodes started at once
	pollInterval     = 5 * time.Millisecond
)

// Control measures convergence and control traffic.
type Control struct {
	Sizes    []int // numbers of nodes, each measured in a mesh of its own
	Services int   // number of services
	Out      io.Writer
}

// row holds the results for one number of nodes.
type row struct {
	nodes               int
	startTime           time.Duration // time from the start of the first node until all are ready
	memoryMB            float64       // heap and stack memory per node in MiB
	idleRate            float64       // bytes sent per node and second while idle
	medianTime          time.Duration // median convergence time of the changes
	worstTime           time.Duration // longest convergence time of the changes
	cpu                 float64       // CPU time in ms per node and second while idle
	startStoreCalls     int           // store calls until all nodes were ready, including those of the approval
	bytesPerChange      float64       // bytes sent per node and change, less idle traffic
	changeBytes         int           // payload of the first change in bytes
	configBytes         int           // whole configuration in bytes
	storeCallsPerChange float64       // store calls per change, less idle ones
	joinTime            time.Duration // time from the start of another node until it is ready
	bytesPerJoin        float64       // bytes sent per existing node, less idle traffic
	joinerBytes         float64       // bytes that the joining node received
	deathTime           time.Duration // time from a crash until all other nodes agree on it
	bytesPerDeath       float64       // bytes sent per remaining node, less idle traffic
	halfLossTime        time.Duration // time from the crash of half of the nodes until the others agree on it
	outageRecovery      time.Duration // time from the end of a store outage until the pending change is in force
}

// Run measures a mesh of each size and prints the table.
func (m *Control) Run() error {
	var rows []row
	for _, size := range m.Sizes {
		r, err := m.measure(size)
		if err != nil {
			return merry.Prependf(err, "%d nodes", size)
		}
		_, _ = fmt.Fprintf(m.Out, "measured %d nodes\n", size)
		rows = append(rows, r)
	}
	m.print(rows)
	return nil
}

func (m *Control) print(rows []row) {
	w := tabwriter.NewWriter(m.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "nodes\tstart s\tMB/node\tidle B/s\tidle CPU ms/s\tstore/start\tmedian ms\tworst ms\tB/change\tdiff B\tblob B\tstore/change\tjoin ms\tB/join\tjoiner B\tdeath s\tB/death\thalf s\tafter outage ms\t")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%d\t%.1f\t%.1f\t%.0f\t%.2f\t%d\t%d\t%d\t%.0f\t%d\t%d\t%.1f\t%d\t%.0f\t%.0f\t%.1f\t%.0f\t%.1f\t%d\t\n",
			r.nodes, r.startTime.Seconds(), r.memoryMB, r.idleRate, r.cpu, r.startStoreCalls,
			r.medianTime.Milliseconds(), r.worstTime.Milliseconds(), r.bytesPerChange,
			r.changeBytes, r.configBytes, r.storeCallsPerChange, r.joinTime.Milliseconds(), r.bytesPerJoin, r.joinerBytes,
			r.deathTime.Seconds(), r.bytesPerDeath, r.halfLossTime.Seconds(), r.outageRecovery.Milliseconds())
	}
	_ = w.Flush()
}

// bench is one mesh under measurement.
type bench struct {
	*builder.Mesh

	services   int
	hosts      []*builder.MeshHost
	version    uint64
	idleRate   float64 // bytes sent per second by all nodes while idle
	storeCalls float64 // store calls per second while idle
}

// measure starts a mesh of the given size and takes all measurements of it.
func (m *Control) measure(size int) (row, error) {
	r := row{nodes: size}
	mesh, cleanup, err := builder.New(builder.Deployment{Name: "measure"}, builder.Options{})
	if err != nil {
		return r, err
	}
	defer cleanup()
	b := &bench{Mesh: mesh, services: m.Services}
	if err := b.startNodes(size, &r); err != nil {
		return r, err
	}
	b.measureIdle(&r)
	steps := []func(*row) error{b.measureChanges, b.measureJoin, b.measureDeath, b.measureOutage, b.measureHalf}
	for _, step := range steps {
		if err := step(&r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// startNodes starts all nodes with one target each, approves the contracts of all services and waits
// until all nodes are ready and agree that all are alive.
func (b *bench) startNodes(size int, r *row) error {
	began := time.Now()
	before := memoryInUse()
	for i := range size {
		if _, err := b.startNode(i); err != nil {
			return err
		}
		if i%startBatchSize == startBatchSize-1 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	b.hosts = b.Hosts()
	var questionnaires []parser.Questionnaire
	for i := range b.services {
		questionnaires = append(questionnaires, newQuestionnaire(i, ""))
	}
	head, err := b.SubmitAndApprove(context.Background(), questionnaires, "bench")
	if err != nil {
		return err
	}
	b.version = head.Version
	if err := builder.AwaitReady(b.hosts, readyTimeout); err != nil {
		return err
	}
	if _, err := b.awaitAgreement(b.hosts, readyTimeout); err != nil {
		return err
	}
	r.startTime = time.Since(began)
	r.startStoreCalls = int(storeCalls(b.Store.Counts()))
	r.memoryMB = float64(memoryInUse()-before) / float64(size) / (1 << 20)
	return nil
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// startNode starts the node with the given number and announces one target to it. The numbers assign
// the nodes to failure domains in turn.
func (b *bench) startNode(i int) (*builder.MeshHost, error) {
	domain := i % domainCount
	region := domain * regionCount / domainCount
	name := fmt.Sprintf("node-%d", i)
	host, err := b.StartHost(name, fmt.Sprintf("zone-%d", domain), fmt.Sprintf("region-%d", region), b.Seeds())
	if err != nil {
		return nil, err
	}
	host.Node.Announce(messenger.Target{
		Service: fmt.Sprintf("service-%d", i%b.services), Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Slots: 6, State: messenger.Serving,
	})
	return host, nil
}

// newQuestionnaire returns the questionnaire of a generated service.
func newQuestionnaire(i int, contact string) parser.Questionnaire {
	name := fmt.Sprintf("service-%d", i)
	q := parser.Questionnaire{
		Service: name, Owner: "owner of " + name, Contact: contact, Zones: []string{"zone-0", "zone-1"}, Slots: 6,
		Operations: []parser.Operation{
			{Name: "show", Method: "GET", Path: "/" + name + "/items/*", Effect: parser.EffectLookup, Work: parser.WorkShort, Wait: parser.Duration{Duration: time.Second}},
			{Name: "book", Method: "POST", Path: "/" + name + "/items", Effect: parser.EffectBook, Work: parser.WorkShort, Wait: parser.Duration{Duration: 2 * time.Second}},
			{Name: "export", Method: "GET", Path: "/" + name + "/export", Effect: parser.EffectLookup, Work: parser.WorkBulk, Wait: parser.Duration{Duration: 10 * time.Second}},
		},
	}
	if i > 0 {
		q.Needs = []string{"service-0"}
	}
	return q
}

// bytesSent returns the bytes of control traffic sent by all nodes so far.
func (b *bench) bytesSent() float64 {
	total := uint64(0)
	for _, host := range b.hosts {
		bytes, _ := host.Node.Traffic()
		total += bytes
	}
	return float64(total)
}

func storeCalls(c keeper.Counts) float64 { return float64(c.Reads() + c.Writes()) }

// measureIdle measures traffic, store calls and CPU time without any events.
func (b *bench) measureIdle(r *row) {
	time.Sleep(settleWindow)
	bytesSent := b.bytesSent()
	before := storeCalls(b.Store.Counts())
	cpu := cpuTime()
	time.Sleep(idleWindow)
	r.cpu = float64((cpuTime() - cpu).Microseconds()) / 1000 / idleWindow.Seconds() / float64(len(b.hosts))
	b.idleRate = (b.bytesSent() - bytesSent) / idleWindow.Seconds()
	b.storeCalls = (storeCalls(b.Store.Counts()) - before) / idleWindow.Seconds()
	r.idleRate = b.idleRate / float64(len(b.hosts))
}

// extraBytes returns the bytes sent per node since the given time, less idle traffic. sentBefore is
// the result of bytesSent at that time.
func (b *bench) extraBytes(sentBefore float64, since time.Time) float64 {
	return (b.bytesSent() - sentBefore - b.idleRate*time.Since(since).Seconds()) / float64(len(b.hosts))
}

// measureChanges approves changes one after another and measures the time until each is in force on
// all nodes.
func (b *bench) measureChanges(r *row) error {
	ctx := context.Background()
	var times []time.Duration
	sentBefore := b.bytesSent()
	before := storeCalls(b.Store.Counts())
	began := time.Now()
	for i := range changeCount {
		changed := newQuestionnaire(i%b.services, fmt.Sprintf("contact %d", i))
		proposal, err := b.Approver.Submit(ctx, []parser.Questionnaire{changed}, nil, "bench", "")
		if err != nil {
			return err
		}
		if i == 0 {
			r.changeBytes, r.configBytes = payloadSizes(&proposal, b.hosts[0])
		}
		result, err := b.Approver.Approve(ctx, proposal.ID, "bench")
		if err != nil {
			return err
		}
		approved := time.Now()
		b.version = result.Head.Version
		if _, err := builder.AwaitVersion(b.hosts, b.version, changeTimeout); err != nil {
			return err
		}
		times = append(times, time.Since(approved))
		time.Sleep(time.Second)
	}
	r.bytesPerChange = b.extraBytes(sentBefore, began) / changeCount
	r.storeCallsPerChange = (storeCalls(b.Store.Counts()) - before -
		b.storeCalls*time.Since(began).Seconds()) / changeCount
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.medianTime = times[len(times)/2]
	r.worstTime = times[len(times)-1]
	return nil
}

// payloadSizes returns the sizes in bytes of the change in the proposal and of the whole
// configuration.
func payloadSizes(proposal *approver.Proposal, host *builder.MeshHost) (changeBytes, configBytes int) {
	_, index := host.Node.Current()
	var delta indexer.Delta
	for i := range proposal.Set {
		delta.Set = append(delta.Set, indexer.Item{Name: proposal.Set[i].Service, Data: proposal.Set[i].Encode()})
	}
	return delta.Size(), indexer.Index{}.Diff(index).Size()
}

// awaitAgreement waits until every given host reports as many nodes alive as there are given hosts,
// and returns how long that took.
func (b *bench) awaitAgreement(hosts []*builder.MeshHost, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	for _, host := range hosts {
		for {
			status := host.Node.Status()
			alive := 0
			for _, domain := range status.Domains {
				alive += domain.Alive
			}
			if alive == len(hosts) {
				break
			}
			if time.Since(began) > timeout {
				return 0, merry.Errorf("%s reports %d nodes alive, expected %d", host.Name, alive, len(hosts))
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(began), nil
}

// measureJoin adds a node and measures the time until it is ready and the traffic of the join.
func (b *bench) measureJoin(r *row) error {
	sentBefore := b.bytesSent()
	began := time.Now()
	host, err := b.startNode(len(b.hosts))
	if err != nil {
		return err
	}
	if err := builder.AwaitReady([]*builder.MeshHost{host}, readyTimeout); err != nil {
		return err
	}
	r.joinTime = time.Since(began)
	if _, err := b.awaitAgreement(append(append([]*builder.MeshHost(nil), b.hosts...), host), readyTimeout); err != nil {
		return err
	}
	time.Sleep(eventWindow - time.Since(began))
	r.bytesPerJoin = b.extraBytes(sentBefore, began)
	_, received := host.Node.Traffic()
	r.joinerBytes = float64(received)
	b.hosts = append(b.hosts, host)
	return nil
}

// measureDeath crashes a node and measures the time until the others agree on it and their traffic.
func (b *bench) measureDeath(r *row) error {
	crashed := b.hosts[len(b.hosts)-1]
	b.hosts = b.hosts[:len(b.hosts)-1]
	sentBefore := b.bytesSent()
	began := time.Now()
	crashed.Crash()
	took, err := b.awaitAgreement(b.hosts, agreementTimeout)
	if err != nil {
		return err
	}
	r.deathTime = took
	time.Sleep(eventWindow - time.Since(began))
	r.bytesPerDeath = b.extraBytes(sentBefore, began)
	return nil
}

// measureOutage approves a change that no reader can read because of a store outage, and measures the
// time from the end of the outage until the change is in force on all nodes.
func (b *bench) measureOutage(r *row) error {
	head, err := b.approveUnread()
	if err != nil {
		return err
	}
	time.Sleep(outageTime)
	b.Store.SetFaults(keeper.Faults{})
	began := time.Now()
	if _, err := builder.AwaitVersion(b.hosts, head.Version, changeTimeout); err != nil {
		return err
	}
	r.outageRecovery = time.Since(began)
	b.version = head.Version
	return nil
}

// approveUnread approves a change and takes the store down before any reader has read it. The readers
// back off during a first outage of one second, so that none of them retries while the store is up for
// the approval. The store is down when approveUnread returns.
func (b *bench) approveUnread() (approver.Head, error) {
	ctx := context.Background()
	b.Store.SetFaults(keeper.Faults{Down: true})
	time.Sleep(time.Second)
	b.Store.SetFaults(keeper.Faults{})
	head, err := b.SubmitAndApprove(ctx, []parser.Questionnaire{newQuestionnaire(0, "after the outage")}, "bench")
	b.Store.SetFaults(keeper.Faults{Down: true})
	return head, err
}

// measureHalf crashes every second node of each failure domain at once and measures the time until
// the others agree on it.
func (b *bench) measureHalf(r *row) error {
	var survivors, crashed []*builder.MeshHost
	for i, host := range b.hosts {
		if (i/domainCount)%2 == 0 {
			survivors = append(survivors, host)
		} else {
			crashed = append(crashed, host)
		}
	}
	for _, host := range crashed {
		host.Crash()
	}
	took, err := b.awaitAgreement(survivors, agreementTimeout)
	if err != nil {
		return err
	}
	r.halfLossTime = took
	b.hosts = survivors
	return nil
}

// PollBytes returns the bytes on the wire of one poll of the head over HTTP, for the baseline in
// which every node polls the store.
func PollBytes() (int, error) {
	store := &keeper.MemoryStore{}
	if _, err := store.Swap(context.Background(), approver.HeadKey, 0, []byte("{}")); err != nil {
		return 0, err
	}
	return measurePoll(store)
}
