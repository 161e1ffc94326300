// Package player runs the demo: it starts a whole deployment in one process, approves its
// questionnaires, and sends calls while a version changes, a target drains and a node shuts down.
package player

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/demo/builder"
	"clementinerock/internal/demo/driver"
	"clementinerock/internal/mesh/messenger"
)

const (
	startTimeout       = 10 * time.Second
	settleTime         = 1500 * time.Millisecond // pause between the start of the nodes and the first proposal
	convergenceTimeout = 14 * time.Second        // required convergence time
	loadDuration       = 8 * time.Second
	changeAt           = 2 * time.Second // changeAt, drainAt and stopAt count from the start of the load
	drainAt            = 4 * time.Second
	stopAt             = 5 * time.Second
	callsPerSecond     = 400
	statusTimeout      = 5 * time.Second
	statusPollInterval = 20 * time.Millisecond
)

// ErrCheckFailed is returned if the demo ran but one of its checks failed.
var ErrCheckFailed = merry.Sentinel("a check of the demo failed")

// Demo is one run of the demo.
type Demo struct {
	Mesh string // name of the deployment
	Seed uint64
	Out  io.Writer
	Log  *zap.Logger

	// Sabotage adds an execution to every request that the targets counted, to test that the demo
	// detects calls that ran twice.
	Sabotage bool
}

// run is the state of a running demo.
type run struct {
	*Demo

	mesh      *builder.Mesh
	driver    *driver.Driver
	window    *driver.Window
	converged []convergence
	failures  []string // failed checks
}

// convergence holds the time and the control traffic that a version took to reach all nodes.
type convergence struct {
	version      uint64
	slowest      time.Duration // time until the last node had the version in force
	bytesPerNode uint64        // control bytes sent per node in that time
}

// Run runs the demo and returns ErrCheckFailed if a check failed.
func (d *Demo) Run() error {
	deployment, ok := builder.Deployments[d.Mesh]
	if !ok {
		return merry.Errorf("no deployment %q; there are viti and bellenblaas", d.Mesh)
	}
	mesh, cleanup, err := builder.New(deployment, builder.Options{Seed: d.Seed, Log: d.Log})
	if err != nil {
		return err
	}
	defer cleanup()
	r := &run{Demo: d, mesh: mesh}
	if err := r.startMesh(); err != nil {
		return err
	}
	if err := r.runLoad(); err != nil {
		return err
	}
	return r.checkAndReport()
}

func (r *run) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.Out, format+"\n", args...) // errors are ignored: the output is only read at a terminal
}

// startMesh starts the nodes and targets and approves the first version.
func (r *run) startMesh() error {
	deployment := r.mesh.Deployment
	r.printf("demo: starting %s in zones %v", deployment.Name, deployment.FailureDomains)
	if err := r.mesh.StartAll(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	questionnaires, err := builder.Questionnaires(deployment.Name)
	if err != nil {
		return err
	}
	ctx := context.Background()
	proposal, err := r.mesh.Approver.Submit(ctx, questionnaires, nil, "demo", "first version")
	if err != nil {
		return err
	}
	plan, err := r.mesh.Approver.Plan(ctx, proposal.ID)
	if err != nil {
		return err
	}
	r.printf("demo: proposal %s would change:", proposal.ID)
	for _, line := range plan {
		r.printf("  %s", line)
	}
	began := time.Now()
	sent := r.bytesSent()
	result, err := r.mesh.Approver.Approve(ctx, proposal.ID, "demo")
	if err != nil {
		return err
	}
	return r.recordConvergence(result.Head, began, sent, true)
}

func (r *run) bytesSent() uint64 {
	total := uint64(0)
	for _, host := range r.mesh.Hosts() {
		sent, _ := host.Node.Traffic()
		total += sent
	}
	return total
}

// recordConvergence waits until every node has the version in force and records how long that took,
// or a failed check. If verbose is set, it prints the time of each node.
func (r *run) recordConvergence(head approver.Head, began time.Time, sent uint64, verbose bool) error {
	hosts := r.mesh.Hosts()
	reached, err := builder.AwaitVersion(hosts, head.Version, convergenceTimeout)
	if err != nil {
		r.failures = append(r.failures, err.Error())
		return nil
	}
	c := convergence{version: head.Version, bytesPerNode: (r.bytesSent() - sent) / uint64(len(hosts))}
	for i, at := range reached {
		c.slowest = max(c.slowest, at.Sub(began))
		if verbose {
			r.printf("  version %d in force on %-28s after %s", head.Version, hosts[i].Name, at.Sub(began).Round(time.Millisecond))
		}
	}
	r.converged = append(r.converged, c)
	return builder.AwaitReady(hosts, startTimeout)
}

// runLoad sends calls while the version changes, a target drains and a node shuts down.
func (r *run) runLoad() error {
	r.driver = &driver.Driver{
		NetworkDelay: r.mesh.Deployment.ClientDelay,
		Kinds:        driver.Mixes[r.mesh.Deployment.Name],
		Seed:         r.Seed,
	}
	for _, host := range r.mesh.Hosts()[1:] {
		r.driver.Addresses = append(r.driver.Addresses, host.Node.CallAddress())
	}
	r.printf("demo: sending %d calls a second for %s", callsPerSecond, loadDuration)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		r.window = r.driver.Run(loadDuration, callsPerSecond)
	}()
	time.Sleep(changeAt)
	if err := r.changeVersion(); err != nil {
		return err
	}
	time.Sleep(drainAt - changeAt)
	target := r.mesh.Targets()[2]
	r.printf("demo: target %s of %s drains", target.Address(), target.Service())
	if err := target.Announce(messenger.Draining); err != nil {
		return err
	}
	time.Sleep(stopAt - drainAt)
	first := r.mesh.Hosts()[0]
	r.printf("demo: node %s leaves", first.Name)
	if err := first.Node.Leave(); err != nil {
		r.failures = append(r.failures, err.Error())
	}
	first.Stop()
	<-loaded
	return nil
}

// changeVersion approves a new version under load, in which the first operation has a longer wait.
func (r *run) changeVersion() error {
	questionnaires, err := builder.Questionnaires(r.mesh.Deployment.Name)
	if err != nil {
		return err
	}
	changed := questionnaires[:1]
	changed[0].Operations[0].Wait.Duration += 500 * time.Millisecond
	began := time.Now()
	sent := r.bytesSent()
	head, err := r.mesh.SubmitAndApprove(context.Background(), changed, "demo")
	if err != nil {
		return err
	}
	r.printf("demo: version %d approved under load", head.Version)
	return r.recordConvergence(head, began, sent, false)
}

// checkAndReport prints the results and checks that no work was lost or doubled, that every client
// received its own answer, that no call was cut and that all nodes report convergence.
func (r *run) checkAndReport() error {
	executions := make(map[string]int)
	for _, target := range r.mesh.Targets() {
		target.AddExecutions(executions)
	}
	if r.Sabotage {
		for id := range executions {
			executions[id]++
		}
	}
	audit := r.driver.Audit(executions)
	wrong, failed := r.printTable()
	r.printf("work by the targets' own count: lost %d, run twice %d, refused yet run %d", audit.Lost, audit.Doubled, audit.Denied)
	if audit.HasViolations() {
		r.failures = append(r.failures, fmt.Sprintf("work was lost or doubled: %+v", audit))
	}
	if wrong > 0 {
		r.failures = append(r.failures, fmt.Sprintf("%d callers got another answer than their own", wrong))
	}
	if failed > 0 {
		r.failures = append(r.failures, fmt.Sprintf("%d calls were cut", failed))
	}
	inForce, nodes, version := r.reportedConvergence()
	if inForce != nodes {
		r.failures = append(r.failures, "the reported convergence is incomplete")
	}
	verdict := "every promise checked held"
	if len(r.failures) > 0 {
		verdict = fmt.Sprintf("%d promises broken", len(r.failures))
		for _, failure := range r.failures {
			r.printf("demo: broken: %s", failure)
		}
	}
	r.printf("demo: version %d in force on %d of %d nodes; %s", version, inForce, nodes, verdict)
	if len(r.failures) > 0 {
		return ErrCheckFailed
	}
	return nil
}

// printTable prints the convergence times and the outcomes of each kind of call. It returns the
// number of wrong answers and of failed calls.
func (r *run) printTable() (wrong, failed int64) {
	for _, c := range r.converged {
		r.printf("version %d: in force everywhere after %s, %d control bytes sent per node meanwhile", c.version, c.slowest.Round(time.Millisecond), c.bytesPerNode)
	}
	w := tabwriter.NewWriter(r.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "call\tsent\tanswered\trefused\tunknown\tcut\twrong\tlate\tp50 ms\tp99 ms\t")
	for _, t := range r.window.Tallies() {
		wrong += t.Wrong
		failed += t.Failed
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", t.Kind.Name, t.Sent(), t.Answered, t.Refused,
			t.Unknown, t.Failed, t.Wrong, t.Late, millis(t.Quantile(50)), millis(t.Quantile(99)))
	}
	_ = w.Flush()
	return wrong, failed
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reportedConvergence returns the convergence that a node reports, once it is complete or
// statusTimeout has passed.
func (r *run) reportedConvergence() (inForce, nodes int, version uint64) {
	node := r.mesh.Hosts()[1].Node
	deadline := time.Now().Add(statusTimeout)
	for {
		status := node.Status()
		if status.Complete() || time.Now().After(deadline) {
			return status.InForce, status.Nodes, status.Version
		}
		time.Sleep(statusPollInterval)
	}
}
