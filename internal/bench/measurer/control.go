// Package measurer measures whole meshes of real nodes on loopback and prints
// tables: convergence and control traffic, and the call path.
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
	zoneCount     = 10
	regionCount   = 4
	changes       = 20
	idleWindow    = 20 * time.Second
	settleWindow  = 20 * time.Second
	eventWindow   = 12 * time.Second
	readyTimeout  = time.Minute
	changeTimeout = 14 * time.Second // stated target
	healTimeout   = 2 * time.Minute
	outage        = 10 * time.Second
	startBatch    = 25 // nodes started at once
	pollEvery     = 5 * time.Millisecond
)

// Control measures convergence and control traffic.
type Control struct {
	Sizes    []int // numbers of nodes
	Services int
	Out      io.Writer
}

// row is the result for one number of nodes.
type row struct {
	nodes      int
	start      time.Duration // from the first node's start to all ready
	memory     float64       // MB of the process per node
	idle       float64       // bytes sent per node and second
	median     time.Duration
	worst      time.Duration
	cpu        float64 // processor time in ms per node and second, while idle
	storeStart int     // store calls until all were ready, the approval's own included
	perChange  float64 // bytes sent per node, idle traffic taken off
	difference int     // bytes of a change's payload
	blob       int     // bytes of the whole configuration
	storeCalls float64 // per change, idle calls taken off
	joinTime   time.Duration
	perJoin    float64 // bytes sent per node already there
	joinOwn    float64 // bytes received by the joining node
	deathTime  time.Duration
	perDeath   float64
	half       time.Duration // from the death of half the nodes to agreement
	away       time.Duration // from the end of a store outage to the pending change in force
}

// Run measures each size and prints the table.
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
			r.nodes, r.start.Seconds(), r.memory, r.idle, r.cpu, r.storeStart, r.median.Milliseconds(), r.worst.Milliseconds(), r.perChange, r.difference,
			r.blob, r.storeCalls, r.joinTime.Milliseconds(), r.perJoin, r.joinOwn, r.deathTime.Seconds(), r.perDeath, r.half.Seconds(), r.away.Milliseconds())
	}
	_ = w.Flush()
}

// bench is one mesh under measurement.
type bench struct {
	*builder.Mesh

	services int
	hosts    []*builder.MeshHost
	version  uint64
	idle     float64 // bytes sent per second by all nodes
	calls    float64 // store calls per second
}

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

// startNodes starts all nodes with one target each and approves the services.
func (b *bench) startNodes(size int, r *row) error {
	began := time.Now()
	before := heap()
	for i := range size {
		if _, err := b.startNode(i); err != nil {
			return err
		}
		if i%startBatch == startBatch-1 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	b.hosts = b.Hosts()
	var questionnaires []parser.Questionnaire
	for i := range b.services {
		questionnaires = append(questionnaires, questionnaire(i, ""))
	}
	head, err := b.SubmitAndApprove(context.Background(), questionnaires, "bench")
	if err != nil {
		return err
	}
	b.version = head.Version
	if err := builder.AwaitReady(b.hosts, readyTimeout); err != nil {
		return err
	}
	if _, err := b.awaitAgreed(b.hosts, readyTimeout); err != nil {
		return err
	}
	r.start = time.Since(began)
	r.storeStart = int(calls(b.Store.Counts()))
	r.memory = float64(heap()-before) / float64(size) / (1 << 20)
	return nil
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func (b *bench) startNode(i int) (*builder.MeshHost, error) {
	zone := i % zoneCount
	region := zone * regionCount / zoneCount
	name := fmt.Sprintf("node-%d", i)
	host, err := b.StartHost(name, fmt.Sprintf("zone-%d", zone), fmt.Sprintf("region-%d", region), b.Seeds())
	if err != nil {
		return nil, err
	}
	host.Node.Announce(messenger.Target{
		Service: fmt.Sprintf("service-%d", i%b.services), Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Slots: 6, State: messenger.Serving,
	})
	return host, nil
}

// questionnaire returns the answers of one generated service.
func questionnaire(i int, contact string) parser.Questionnaire {
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

func (b *bench) sent() float64 {
	total := uint64(0)
	for _, host := range b.hosts {
		bytes, _ := host.Node.Traffic()
		total += bytes
	}
	return float64(total)
}

func calls(c keeper.Counts) float64 { return float64(c.Reads() + c.Writes()) }

func (b *bench) measureIdle(r *row) {
	time.Sleep(settleWindow)
	sent := b.sent()
	before := calls(b.Store.Counts())
	cpu := cpuTime()
	time.Sleep(idleWindow)
	r.cpu = float64((cpuTime() - cpu).Microseconds()) / 1000 / idleWindow.Seconds() / float64(len(b.hosts))
	b.idle = (b.sent() - sent) / idleWindow.Seconds()
	b.calls = (calls(b.Store.Counts()) - before) / idleWindow.Seconds()
	r.idle = b.idle / float64(len(b.hosts))
}

// extra returns the bytes sent per node beyond idle traffic since a mark.
func (b *bench) extra(mark float64, since time.Time) float64 {
	return (b.sent() - mark - b.idle*time.Since(since).Seconds()) / float64(len(b.hosts))
}

func (b *bench) measureChanges(r *row) error {
	ctx := context.Background()
	var times []time.Duration
	mark := b.sent()
	before := calls(b.Store.Counts())
	began := time.Now()
	for i := range changes {
		changed := questionnaire(i%b.services, fmt.Sprintf("contact %d", i))
		proposal, err := b.Approver.Submit(ctx, []parser.Questionnaire{changed}, nil, "bench", "")
		if err != nil {
			return err
		}
		if i == 0 {
			r.difference, r.blob = payload(&proposal, b.hosts[0])
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
	r.perChange = b.extra(mark, began) / changes
	r.storeCalls = (calls(b.Store.Counts()) - before - b.calls*time.Since(began).Seconds()) / changes
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.median = times[len(times)/2]
	r.worst = times[len(times)-1]
	return nil
}

// payload returns the bytes of a change and of the whole configuration.
func payload(proposal *approver.Proposal, host *builder.MeshHost) (difference, blob int) {
	_, index := host.Node.Current()
	var delta indexer.Delta
	for i := range proposal.Set {
		delta.Set = append(delta.Set, indexer.Item{Name: proposal.Set[i].Service, Data: proposal.Set[i].Encode()})
	}
	return delta.Size(), indexer.Index{}.Diff(index).Size()
}

// awaitAgreed waits until every given node knows all of them alive and nobody
// else.
func (b *bench) awaitAgreed(hosts []*builder.MeshHost, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	for _, host := range hosts {
		for {
			status := host.Node.Status()
			alive := 0
			for _, zone := range status.Domains {
				alive += zone.Alive
			}
			if alive == len(hosts) {
				break
			}
			if time.Since(began) > timeout {
				return 0, merry.Errorf("%s knows %d of %d nodes", host.Name, alive, len(hosts))
			}
			time.Sleep(pollEvery)
		}
	}
	return time.Since(began), nil
}

func (b *bench) measureJoin(r *row) error {
	mark := b.sent()
	began := time.Now()
	host, err := b.startNode(len(b.hosts))
	if err != nil {
		return err
	}
	if err := builder.AwaitReady([]*builder.MeshHost{host}, readyTimeout); err != nil {
		return err
	}
	r.joinTime = time.Since(began)
	if _, err := b.awaitAgreed(append(append([]*builder.MeshHost(nil), b.hosts...), host), readyTimeout); err != nil {
		return err
	}
	time.Sleep(eventWindow - time.Since(began))
	r.perJoin = b.extra(mark, began)
	_, received := host.Node.Traffic()
	r.joinOwn = float64(received)
	b.hosts = append(b.hosts, host)
	return nil
}

func (b *bench) measureDeath(r *row) error {
	victim := b.hosts[len(b.hosts)-1]
	b.hosts = b.hosts[:len(b.hosts)-1]
	mark := b.sent()
	began := time.Now()
	victim.Crash()
	took, err := b.awaitAgreed(b.hosts, healTimeout)
	if err != nil {
		return err
	}
	r.deathTime = took
	time.Sleep(eventWindow - time.Since(began))
	r.perDeath = b.extra(mark, began)
	return nil
}

// measureOutage approves a change while the readers can't reach the store.
func (b *bench) measureOutage(r *row) error {
	head, err := b.approveUnseen()
	if err != nil {
		return err
	}
	time.Sleep(outage)
	b.Store.SetFaults(keeper.Faults{})
	began := time.Now()
	if _, err := builder.AwaitVersion(b.hosts, head.Version, changeTimeout); err != nil {
		return err
	}
	r.away = time.Since(began)
	b.version = head.Version
	return nil
}

// approveUnseen commits a change and takes the store down before readers see it:
// the faults start while the approval's last write is delayed.
func (b *bench) approveUnseen() (approver.Head, error) {
	ctx := context.Background()
	b.Store.SetFaults(keeper.Faults{Down: true})
	time.Sleep(time.Second)
	b.Store.SetFaults(keeper.Faults{})
	head, err := b.SubmitAndApprove(ctx, []parser.Questionnaire{questionnaire(0, "after the outage")}, "bench")
	b.Store.SetFaults(keeper.Faults{Down: true})
	return head, err
}

// measureHalf ends half of the nodes at once and waits for the rest to agree.
func (b *bench) measureHalf(r *row) error {
	var rest, lost []*builder.MeshHost
	for i, host := range b.hosts {
		if (i/zoneCount)%2 == 0 {
			rest = append(rest, host)
		} else {
			lost = append(lost, host)
		}
	}
	for _, host := range lost {
		host.Crash()
	}
	took, err := b.awaitAgreed(rest, healTimeout)
	if err != nil {
		return err
	}
	r.half = took
	b.hosts = rest
	return nil
}

// PollBytes returns the bytes on the wire of one poll of the head over HTTP, for
// the baseline in which every node polls the store.
func PollBytes() (int, error) {
	store := &keeper.MemoryStore{}
	if _, err := store.Swap(context.Background(), approver.HeadKey, 0, []byte("{}")); err != nil {
		return 0, err
	}
	return pollOnce(store)
}
