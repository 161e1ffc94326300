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
	seeder.Fix("12")
	os.Exit(m.Run())
}

const (
	stepsPerRun  = 50
	healTime     = 3 * time.Minute
	testServices = 6
)

// faults are the kinds of fault that one randomised run may inject.
type faults struct {
	crash, herd, freeze, part, loss bool
}

// world is the mesh of one randomised run with the state that the test expects.
type world struct {
	*network

	faults  faults
	version uint64          // newest version in the store
	stopped map[string]bool // crashed nodes
}

// running returns the nodes that are neither crashed nor frozen.
func (w *world) running() []string {
	var names []string
	for _, name := range w.names() {
		if !w.frozen[name] {
			names = append(names, name)
		}
	}
	return names
}

func (w *world) draw(rt *rapid.T, names []string) string {
	return names[rapid.IntRange(0, len(names)-1).Draw(rt, "machine")]
}

// step performs one random action and lets some time pass.
func (w *world) step(rt *rapid.T) {
	actions := []func(*rapid.T){w.approve, w.approve, w.restart, w.rest}
	if w.faults.crash {
		actions = append(actions, w.crash)
	}
	if w.faults.herd {
		actions = append(actions, w.crashHerd)
	}
	if w.faults.freeze {
		actions = append(actions, w.freeze, w.thaw)
	}
	if w.faults.part {
		actions = append(actions, w.part, func(*rapid.T) { w.heal() })
	}
	if w.faults.loss {
		actions = append(actions, func(rt *rapid.T) { w.loss = rapid.Float64Range(0, 0.3).Draw(rt, "loss") })
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(rt, "action")](rt)
	w.run(time.Duration(rapid.IntRange(1, 30).Draw(rt, "ticks")) * testTick)
	for _, name := range w.names() {
		w.cores[name].table.mustAgree()
	}
}

// approve creates the next version and lets one node read it from the store.
func (w *world) approve(rt *rapid.T) {
	if names := w.running(); len(names) > 0 {
		w.version++
		w.learn(w.draw(rt, names), w.version, testServices)
	}
}

func (w *world) rest(*rapid.T) { w.run(5 * time.Second) }

func (w *world) stop(name string) {
	w.kill(name)
	w.stopped[name] = true
}

func (w *world) crash(rt *rapid.T) {
	if names := w.running(); len(names) > 3 {
		w.stop(w.draw(rt, names))
	}
}

// crashHerd crashes a random subset of the first half of the running nodes at once.
func (w *world) crashHerd(rt *rapid.T) {
	names := w.running()
	for _, name := range names[:len(names)/2] {
		if rapid.Bool().Draw(rt, "crashes") {
			w.stop(name)
		}
	}
}

// restart restarts one of the crashed nodes.
func (w *world) restart(*rapid.T) {
	if names := sortedNames(w.stopped); len(names) > 0 {
		delete(w.stopped, names[0])
		w.revive(names[0])
	}
}

// revive starts a node with the placement that fill gave it.
func (w *world) revive(name string) {
	var number int
	if _, err := fmt.Sscanf(name, "n%d", &number); err != nil {
		panic(err)
	}
	zone := number % testZones
	w.start(name, fmt.Sprintf("z%d", zone), fmt.Sprintf("r%d", zone/2))
}

func (w *world) freeze(rt *rapid.T) {
	if names := w.running(); len(names) > 3 {
		w.pause(w.draw(rt, names))
	}
}

func (w *world) thaw(*rapid.T) { clear(w.frozen) }

func (w *world) part(rt *rapid.T) {
	zone := fmt.Sprintf("z%d", rapid.IntRange(0, testZones-1).Draw(rt, "zone"))
	inside := func(name string) bool { return w.zoneOf(name) == zone }
	w.cut(func(a, b string) bool { return inside(a) != inside(b) })
}

func (w *world) zoneOf(name string) string {
	var number int
	if _, err := fmt.Sscanf(name, "n%d", &number); err != nil {
		panic(err)
	}
	return fmt.Sprintf("z%d", number%testZones)
}

const testZones = 3

// recover ends every fault. It then requires the newest version to be in force everywhere,
// the membership tables to agree and every node to report convergence.
func (w *world) recover(rt *rapid.T) {
	w.heal()
	w.loss = 0
	clear(w.frozen)
	for _, name := range sortedNames(w.stopped) {
		if strings.HasSuffix(name, "0") {
			continue // stays stopped, so that its record must be removed
		}
		w.revive(name)
	}
	w.version++
	w.learn(w.names()[0], w.version, testServices)
	if !w.until(healTime, func() bool { return w.inForce(w.version) }) {
		rt.Fatalf("version %d is not in force everywhere: %v", w.version, w.force)
	}
	if !w.until(healTime, w.agreed) {
		rt.Fatalf("the membership tables do not hold exactly the running nodes: %s", w.disagreement())
	}
	complete := func() bool {
		for _, core := range w.cores {
			if status := core.Status(); !status.Complete() || status.Version != w.version {
				return false
			}
		}
		return true
	}
	if !w.until(healTime, complete) {
		for _, name := range w.names() {
			if status := w.cores[name].Status(); !status.Complete() {
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
				fmt.Fprintf(&text, "%s has %s %s, zone lost %v; ", name, other, m.record.Stamp.Health, n.cores[name].lost(m.record.Host.FailureDomain))
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
		"mass crashes":             {crash: true, herd: true},
		"freezes":                  {freeze: true},
		"partitions":               {part: true},
		"message loss":             {loss: true},
		"crashes and partitions":   {crash: true, part: true},
		"freezes and message loss": {freeze: true, loss: true},
		"mass crashes and freezes": {herd: true, freeze: true},
		"all faults":               {crash: true, herd: true, freeze: true, part: true, loss: true},
	}
	for name, mix := range mixes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				w := &world{
					network: newNetwork(rapid.Uint64().Draw(rt, "seed")),
					faults:  mix,
					stopped: make(map[string]bool),
				}
				w.fill(13, testZones)
				w.run(10 * time.Second)
				for range stepsPerRun {
					w.step(rt)
				}
				w.recover(rt)
			})
		})
	}
}
