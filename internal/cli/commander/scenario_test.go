package commander

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"clementinerock/internal/demo/driver"
	"clementinerock/internal/demo/responder"
)

const (
	stepTimeout = 20 * time.Second
	stopTimeout = 40 * time.Second
)

// testBinary is the program under test, its working directory and the address of its store.
type testBinary struct {
	t      *testing.T
	binary string
	dir    string
	store  string
}

func build(t *testing.T) *testBinary {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "clementinerock")
	out, err := exec.Command("go", "build", "-o", binary, "clementinerock").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return &testBinary{t: t, binary: binary, dir: dir, store: freeAddress(t)}
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// run runs a command until it exits and returns its output and exit code.
func (p *testBinary) run(args ...string) (string, int) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, p.binary, args...)
	command.Dir = p.dir
	out, err := command.CombinedOutput()
	if command.ProcessState == nil {
		p.t.Fatalf("%v: %v", args, err)
	}
	return string(out), command.ProcessState.ExitCode()
}

func (p *testBinary) mustRun(args ...string) string {
	p.t.Helper()
	out, code := p.run(args...)
	assert.Equal(p.t, code, 0, "%v: %s", args, out)
	return out
}

// process is a command that runs until it receives a signal.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	output  *bytes.Buffer
}

func (p *testBinary) start(args ...string) *process {
	p.t.Helper()
	d := &process{command: exec.Command(p.binary, args...), done: make(chan struct{}), output: &bytes.Buffer{}}
	d.command.Dir = p.dir
	d.command.Stdout = d.output
	d.command.Stderr = d.output
	assert.NilError(p.t, d.command.Start())
	go func() {
		_ = d.command.Wait() // the exit code is read from ProcessState
		close(d.done)
	}()
	p.t.Cleanup(func() {
		_ = d.command.Process.Kill()
		<-d.done
	})
	return d
}

// stop sends SIGTERM and returns the exit code.
func (d *process) stop(t *testing.T) int {
	t.Helper()
	assert.NilError(t, d.command.Process.Signal(syscall.SIGTERM))
	select {
	case <-d.done:
	case <-time.After(stopTimeout):
		t.Fatal("process did not exit after SIGTERM")
	}
	return d.command.ProcessState.ExitCode()
}

// nodeConfig holds the name and addresses in the settings of a node.
type nodeConfig struct {
	name, control, peer, calls, admin string
}

// writeSettings issues the certificate of a node and writes its settings with free addresses.
func (p *testBinary) writeSettings(name string, peers []string) nodeConfig {
	p.t.Helper()
	n := nodeConfig{name: name, control: freeAddress(p.t), peer: freeAddress(p.t), calls: freeAddress(p.t), admin: freeAddress(p.t)}
	p.mustRun("keys", "machine", name)
	quoted := make([]string, 0, len(peers))
	for _, peer := range peers {
		quoted = append(quoted, fmt.Sprintf("%q", peer))
	}
	text := fmt.Sprintf(`name = %q
zone = "suva"
region = "viti-levu"

[listen]
control = %q
peer = %q
calls = %q
admin = %q

[store]
address = %q

[keys]
authority = "authority.crt"
certificate = "%s.crt"
key = "%s.key"

[peers]
addresses = [%s]
`, name, n.control, n.peer, n.calls, n.admin, p.store, name, name, strings.Join(quoted, ", "))
	assert.NilError(p.t, os.WriteFile(filepath.Join(p.dir, name+".toml"), []byte(text), 0o600))
	return n
}

// eventually retries a command until it succeeds.
func (p *testBinary) eventually(args ...string) string {
	p.t.Helper()
	deadline := time.Now().Add(stepTimeout)
	for {
		out, code := p.run(args...)
		if code == 0 {
			return out
		}
		if time.Now().After(deadline) {
			p.t.Fatalf("%v still fails: %s", args, out)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (p *testBinary) questionnaires() []string {
	p.t.Helper()
	var files []string
	for _, name := range []string{"slotboard", "pickupdesk", "spreadlog"} {
		path, err := filepath.Abs(filepath.Join("..", "..", "..", "examples", "viti", name+".toml"))
		assert.NilError(p.t, err)
		files = append(files, path)
	}
	return files
}

var proposalPattern = regexp.MustCompile(`proposal ([0-9a-f]+)`)

// submit submits questionnaires and returns the ID of the proposal.
func (p *testBinary) submit(files ...string) string {
	p.t.Helper()
	out := p.mustRun(append([]string{"questionnaire", "submit", "-store", p.store, "-author", "ana"}, files...)...)
	return proposalPattern.FindStringSubmatch(out)[1]
}

// TestScenario runs three nodes and a store as separate processes: a version is approved, a node
// shuts down under load without failing calls, and a node starts while the store is down.
func TestScenario(t *testing.T) {
	p := build(t)
	store := p.start("store", "-listen", p.store)
	p.eventually("history", "-store", p.store)
	p.mustRun("keys", "authority")
	first := p.writeSettings("suva-1", nil)
	second := p.writeSettings("suva-2", []string{first.control})
	third := p.writeSettings("suva-3", []string{first.control})
	var processes []*process
	for _, n := range []nodeConfig{first, second, third} {
		p.mustRun("node", "-settings", n.name+".toml", "-check")
		processes = append(processes, p.start("node", "-settings", n.name+".toml"))
	}
	var targets []*responder.Target
	for i, service := range []string{"slotboard", "pickupdesk", "pickupdesk"} {
		admin := []string{first.admin, second.admin, third.admin}[i]
		target, stop, err := responder.New(responder.Config{Service: service, Slots: 6, Admin: admin})
		assert.NilError(t, err)
		t.Cleanup(stop)
		targets = append(targets, target)
	}

	id := p.submit(p.questionnaires()...)
	assert.Assert(t, strings.Contains(p.mustRun("plan", "-store", p.store, id), "service slotboard is added"))
	p.mustRun("approve", "-store", p.store, "-author", "ana", "-wait", "-admin", second.admin, id)
	status := p.eventually("status", "-admin", third.admin)
	assert.Assert(t, strings.Contains(status, "version 1 in force on 3 of 3 nodes"), status)

	t.Log("a graceful shutdown under load fails no calls")
	d := &driver.Driver{
		Addresses: []string{first.calls, second.calls},
		Kinds:     driver.Mixes["viti"][:2],
		Seed:      1,
	}
	loadDone := make(chan *driver.Window)
	go func() { loadDone <- d.Run(4*time.Second, 150) }()
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, processes[2].stop(t), 0, processes[2].output.String())
	window := <-loadDone
	executions := make(map[string]int)
	for _, target := range targets {
		target.AddExecutions(executions)
	}
	for _, tally := range window.Tallies() {
		assert.Equal(t, tally.Answered, tally.Sent(), "%s: %+v", tally.Kind.Name, tally)
	}
	assert.Assert(t, !d.Audit(executions).HasViolations())

	t.Log("the version stays in force while the store is down, and a node can start")
	assert.Equal(t, store.stop(t), 0)
	fourth := p.writeSettings("suva-4", []string{first.control, second.control})
	p.start("node", "-settings", "suva-4.toml")
	status = p.eventually("status", "-admin", fourth.admin)
	assert.Assert(t, strings.Contains(status, "version 1 in force on 3 of 3 nodes"), status)
	_, code := p.run("history", "-store", p.store)
	assert.Equal(t, code, exitFailure)
	assert.Assert(t, strings.Contains(p.mustRun("dump", "-admin", fourth.admin), `"suva-4"`))
	assert.Equal(t, processes[0].stop(t), 0)
}

// TestInvalidInput checks the exit code and error message for invalid input and failed calls.
func TestInvalidInput(t *testing.T) {
	p := build(t)
	p.mustRun("keys", "authority")
	n := p.writeSettings("suva-1", nil)
	valid, err := os.ReadFile(filepath.Join(p.dir, "suva-1.toml"))
	assert.NilError(t, err)
	write := func(name, text string) string {
		path := filepath.Join(p.dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	occupied, err := net.Listen("tcp", n.calls)
	assert.NilError(t, err)
	defer func() { _ = occupied.Close() }()
	questionnaire, err := os.ReadFile(p.questionnaires()[0])
	assert.NilError(t, err)

	cases := map[string]struct {
		args []string
		code int
		want string
	}{
		"unknown setting": {
			[]string{"node", "-check", "-settings", write("a.toml", string(valid)+"\n[shape]\nround = true\n")},
			exitInvalid, "a.toml:22: shape: found an unknown key",
		},
		"several errors": {
			[]string{"node", "-check", "-settings", write("b.toml", strings.NewReplacer(`"suva"`, `"Suva"`, n.peer, "here").Replace(string(valid)))},
			exitInvalid, `b.toml: listen.peer: found "here"; allowed: an IP address with a port`,
		},
		"port in use": {
			[]string{"node", "-settings", "suva-1.toml"},
			exitFailure, "listen on calls address " + n.calls,
		},
		"certificate of another host": {
			[]string{"node", "-check", "-settings", write("c.toml", strings.Replace(string(valid), `"suva-1"`, `"suva-9"`, 1))},
			exitInvalid, `keys.certificate: found the name "suva-1"; allowed: "suva-9"`,
		},
		"store unreachable at approval": {
			[]string{"approve", "-store", p.store, "-author", "ana", "123"},
			exitFailure, "read proposal 123",
		},
		"malformed questionnaire": {
			[]string{"questionnaire", "check", write("d.toml", "service = \n")},
			exitInvalid, "d.toml:1",
		},
		"invalid answer": {
			[]string{"questionnaire", "check", write("e.toml", strings.Replace(string(questionnaire), `"lookup"`, `"peek"`, 1))},
			exitInvalid, `e.toml: operation[0].effect: found "peek"; allowed: lookup, book or pay`,
		},
		"needed service without a contract": {
			[]string{"questionnaire", "check", p.questionnaires()[1]},
			exitInvalid, "needs service slotboard, which has no contract",
		},
		"unknown command": {[]string{"aprove"}, exitUsage, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			out, code := p.run(test.args...)
			assert.Equal(t, code, test.code, out)
			assert.Assert(t, strings.Contains(out, test.want), out)
		})
	}
}

// TestDemoDetectsBrokenGuarantee falsifies the counts of the targets and requires the check of the
// demo to fail.
func TestDemoDetectsBrokenGuarantee(t *testing.T) {
	var out bytes.Buffer
	code := Main([]string{"clementinerock", "demo", "-sabotage"}, &out, &out)
	assert.Equal(t, code, exitInvalid, out.String())
	assert.Assert(t, strings.Contains(out.String(), "demo: broken: work was lost or doubled"), out.String())
}
