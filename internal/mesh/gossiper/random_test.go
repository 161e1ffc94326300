package gossiper

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clementinerock/internal/check/seeder"
)

// TestMain sets the seed of the randomised tests unless one is given on the command line.
func TestMain(m *testing.M) {
	seeder.SetDefaults("12")
	os.Exit(m.Run())
}

const (
	stepsPerRun     = 50
	recoveryTimeout = 3 * time.Minute
	testServices    = 6
)

// faults are the kinds of fault that one randomised run may inject.
type faults struct {
	crash, massCrash, freeze, partition, loss bool
}

// randomMesh is the mesh of one randomised run with the state that the test expects.
type randomMesh struct {
	*network

	faults  faults
	version uint64          // newest version in the store
	stopped map[string]bool // crashed nodes
}

// running returns the nodes that are neither crashed nor frozen.
func (m *randomMesh) running() []string {
	var names []string
	for _, name := range m.names() {
		if !m.frozen[name] {
			names = append(names, name)
		}
	}
	return names
}

func (m *randomMesh) drawNode(rt *rapid.T, names []string) string {
	return names[rapid.IntRange(0, len(names)-1).Draw(rt, "host")]
}

// step performs one random action and lets some time pass.
func (m *randomMesh) step(rt *rapid.T) {
	actions := []func(*rapid.T){m.approve, m.approve, m.restart, m.idle}
	if m.faults.crash {
		actions = append(actions, m.crash)
	}
	if m.faults.massCrash {
		actions = append(actions, m.crashMany)
	}
	if m.faults.freeze {
		actions = append(actions, m.freeze, m.unfreeze)
	}
	if m.faults.partition {
		actions = append(actions, m.partition, func(*rapid.T) { m.heal() })
	}
	if m.faults.loss {
		actions = append(actions, func(rt *rapid.T) { m.loss = rapid.Float64Range(0, 0.3).Draw(rt, "loss") })
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(rt, "action")](rt)
	m.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "ticks")) * testTick)
	for _, name := range m.names() {
		m.cores[name].table.checkIndexes()
	}
}

// approve creates the next version and lets one node read it from the store.
func (m *randomMesh) approve(rt *rapid.T) {
	if names := m.running(); len(names) > 0 {
		m.version++
		m.readVersion(m.drawNode(rt, names), m.version, testServices)
	}
}

func (m *randomMesh) idle(*rapid.T) { m.run(5 * time.Second) }

func (m *randomMesh) stop(name string) {
	m.kill(name)
	m.stopped[name] = true
}

func (m *randomMesh) crash(rt *rapid.T) {
	if names := m.running(); len(names) > 3 {
		m.stop(m.drawNode(rt, names))
	}
}

// crashMany crashes a random subset of the first half of the running nodes at once.
func (m *randomMesh) crashMany(rt *rapid.T) {
	names := m.running()
	for _, name := range names[:len(names)/2] {
		if rapid.Bool().Draw(rt, "crashes") {
			m.stop(name)
		}
	}
}

// restart restarts one of the crashed nodes.
func (m *randomMesh) restart(*rapid.T) {
	if names := sortedNames(m.stopped); len(names) > 0 {
		delete(m.stopped, names[0])
		m.startAgain(names[0])
	}
}

// startAgain starts a node in the failure domain that startNodes gave it.
func (m *randomMesh) startAgain(name string) {
	var number int
	if _, err := fmt.Sscanf(name, "n%d", &number); err != nil {
		panic(err)
	}
	domain := number % testDomains
	m.start(name, fmt.Sprintf("z%d", domain), fmt.Sprintf("r%d", domain/2))
}

func (m *randomMesh) freeze(rt *rapid.T) {
	if names := m.running(); len(names) > 3 {
		m.pause(m.drawNode(rt, names))
	}
}

func (m *randomMesh) unfreeze(*rapid.T) { clear(m.frozen) }

func (m *randomMesh) partition(rt *rapid.T) {
	domain := fmt.Sprintf("z%d", rapid.IntRange(0, testDomains-1).Draw(rt, "failure domain"))
	inside := func(name string) bool { return m.domainOf(name) == domain }
	m.partitionBy(func(a, b string) bool { return inside(a) != inside(b) })
}

func (m *randomMesh) domainOf(name string) string {
	var number int
	if _, err := fmt.Sscanf(name, "n%d", &number); err != nil {
		panic(err)
	}
	return fmt.Sprintf("z%d", number%testDomains)
}

const testDomains = 3

// requireRecovery ends every fault. It then requires the newest version to be in force
// everywhere, the membership tables to agree and every node to report convergence.
func (m *randomMesh) requireRecovery(rt *rapid.T) {
	m.heal()
	m.loss = 0
	clear(m.frozen)
	for _, name := range sortedNames(m.stopped) {
		if strings.HasSuffix(name, "0") {
			continue // stays stopped, so that its record must be removed
		}
		m.startAgain(name)
	}
	m.version++
	m.readVersion(m.names()[0], m.version, testServices)
	if !m.runUntil(recoveryTimeout, func() bool { return m.inForce(m.version) }) {
		rt.Fatalf("version %d is not in force everywhere: %v", m.version, m.active)
	}
	if !m.runUntil(recoveryTimeout, m.agreed) {
		rt.Fatalf("the membership tables do not hold exactly the running nodes: %s", m.disagreement())
	}
	complete := func() bool {
		for _, core := range m.cores {
			if status := core.Status(); !status.Complete() || status.Version != m.version {
				return false
			}
		}
		return true
	}
	if !m.runUntil(recoveryTimeout, complete) {
		for _, name := range m.names() {
			if status := m.cores[name].Status(); !status.Complete() {
				rt.Fatalf("%s reports %+v", name, status)
			}
		}
	}
}

// disagreement describes how the tables differ from the running nodes.
func (n *network) disagreement() string {
	var text strings.Builder
	for _, name := range n.names() {
		for _, m := range n.cores[name].table.members {
			other := m.record.Host.Name
			if m.present() && (!n.cores[name].usable(m.key) || n.cores[other] == nil) {
				fmt.Fprintf(&text, "%s has %s %s, failure domain lost %v; ", name, other, m.record.Stamp.Health, n.cores[name].domainLost(m.record.Host.FailureDomain))
			}
		}
		for _, other := range n.names() {
			if m := n.cores[name].table.get(other); m == nil || !m.present() {
				fmt.Fprintf(&text, "%s lacks %s; ", name, other)
			}
		}
	}
	return text.String()
}

// TestRandomFaults injects random faults of one mix into a mesh of 13 nodes, checks the
// invariants after each step, and requires the mesh to recover when the faults end.
func TestRandomFaults(t *testing.T) {
	mixes := map[string]faults{
		"none":                     {},
		"crashes":                  {crash: true},
		"mass crashes":             {crash: true, massCrash: true},
		"freezes":                  {freeze: true},
		"partitions":               {partition: true},
		"message loss":             {loss: true},
		"crashes and partitions":   {crash: true, partition: true},
		"freezes and message loss": {freeze: true, loss: true},
		"mass crashes and freezes": {massCrash: true, freeze: true},
		"all faults":               {crash: true, massCrash: true, freeze: true, partition: true, loss: true},
	}
	for name, mix := range mixes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				m := &randomMesh{
					network: newNetwork(rapid.Uint64().Draw(rt, "seed")),
					faults:  mix,
					stopped: make(map[string]bool),
				}
				m.startNodes(13, testDomains)
				m.run(10 * time.Second)
				for range stepsPerRun {
					m.step(rt)
				}
				m.requireRecovery(rt)
			})
		})
	}
}
