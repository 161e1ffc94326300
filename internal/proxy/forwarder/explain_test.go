package forwarder

import (
	"maps"
	"math"
	"net"
	"reflect"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"clementinerock/internal/proxy/budgeter"
	"clementinerock/internal/proxy/carrier"
	"clementinerock/internal/proxy/exposer"
	"clementinerock/internal/proxy/matcher"
	"clementinerock/internal/proxy/prober"
	"clementinerock/internal/proxy/splitter"
)

// fakePeer is another node, which announces a fixed state and counts the calls that it gets.
type fakePeer struct {
	state carrier.State
	calls atomic.Int64
}

func (p *fakePeer) Serve(_ *carrier.Call, answer func(*carrier.Answer)) carrier.Delivery {
	p.calls.Add(1)
	answer(&carrier.Answer{Outcome: carrier.Refused})
	return nil
}
func (p *fakePeer) Void([]byte, uint64) bool           { return false }
func (p *fakePeer) State() carrier.State               { return p.state }
func (p *fakePeer) Version() uint64                    { return 1 }
func (p *fakePeer) UpdateSince(uint64) *matcher.Update { return nil }
func (p *fakePeer) Receive(*matcher.Update, func())    {}

// startPeer starts the links of a node.
func startPeer(t *testing.T, self carrier.Peer, server *fakePeer) *carrier.Hub {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	self.Address, self.Started = listener.Addr().String(), time.Now().UnixNano()
	assert.NilError(t, listener.Close())
	h := &carrier.Hub{Self: self, Server: server, Log: zap.NewNop(), AddPeers: func([]carrier.Peer) {}}
	stop, err := h.Start()
	assert.NilError(t, err)
	t.Cleanup(stop)
	return h
}

// linkedForwarder returns a forwarder with links to nodes that announce the given states. Names that begin with
// "near" are in its failure domain.
func linkedForwarder(t *testing.T, states map[string]carrier.State) (*Forwarder, map[string]*fakePeer) {
	t.Helper()
	f := newForwarder(&fakeTarget{})
	f.Service, f.FailureDomain = "other", "z0"
	f.Hub = startPeer(t, carrier.Peer{Node: "n", FailureDomain: "z0", Service: "other"}, &fakePeer{})
	peers := make(map[string]carrier.Peer)
	servers := make(map[string]*fakePeer)
	var known []carrier.Peer
	for name, state := range states {
		domain := "z1"
		if name[:4] == "near" {
			domain = "z0"
		}
		servers[name] = &fakePeer{state: state}
		h := startPeer(t, carrier.Peer{Node: name, FailureDomain: domain, Service: "s"}, servers[name])
		peers[h.Self.Address] = h.Self
		known = append(known, h.Self)
	}
	f.Hub.SetPeers(peers, known)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.Hub.LinksTo("s")) < len(states) {
			return poll.Continue("not all links are up")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	return f, servers
}

var explainedStates = map[string]carrier.State{
	"near": {Serving: true, Slots: 4, InUse: 1, Mean: 10 * time.Millisecond, TargetVersion: "v1"},
	"far1": {Serving: true, Slots: 4, Mean: 9 * time.Millisecond, TargetVersion: "v1"},
	"far2": {Slots: 4, TargetVersion: "v1"},
	"far3": {Serving: true, Slots: 1, InUse: 1, Waiting: 200, Mean: 10 * time.Millisecond, Waits: []int{9000, 9000}, TargetVersion: "v1"},
}

// TestExplainAgreesWithChoice guards against an explanation that names other targets than the forwarder chooses.
func TestExplainAgreesWithChoice(t *testing.T) {
	for name, even := range map[string]bool{"lowest score": false, "by weight": true} {
		t.Run(name, func(t *testing.T) {
			f, _ := linkedForwarder(t, explainedStates)
			f.EvenLoad = even
			e := f.Explain(newRequest("r", true), false)[0]
			assert.Equal(t, e.Even, even)
			assert.Equal(t, e.Share, 1.0)
			assert.Equal(t, len(e.Targets), len(explainedStates))
			chosen := make(map[string]float64)
			for range 1000 {
				to, ok := f.pick(&progress{Request: newRequest("r", true), service: "s"})
				assert.Assert(t, ok)
				chosen[to.node] += 0.001
			}
			for i := range e.Targets {
				target := &e.Targets[i]
				assert.Assert(t, math.Abs(target.Probability-chosen[target.Node]) < 0.15, "%+v, chosen %g", target, chosen[target.Node])
				assert.Equal(t, target.SameDomain, target.Node == "near")
				assert.Equal(t, target.Slots, explainedStates[target.Node].Slots)
				assert.Equal(t, target.Busy, explainedStates[target.Node].InUse)
			}
			reasons := make(map[string]string)
			for _, target := range e.Targets {
				reasons[target.Node] = target.Reason
			}
			assert.Equal(t, reasons["near"], "")
			assert.Equal(t, reasons["far1"], "")
			assert.Equal(t, reasons["far2"], reasonNotServing)
			assert.Assert(t, len(reasons["far3"]) > 0)
		})
	}
}

// TestExplainRefusal checks that a request that no target may get is explained with the reason and the retry delay
// that its client would get.
func TestExplainRefusal(t *testing.T) {
	tests := map[string]struct {
		states  map[string]carrier.State
		account string
		reason  string
		millis  float64 // retry delay without its random part
	}{
		"no target": {map[string]carrier.State{"far2": explainedStates["far2"]}, "", reasonNoTarget, 100},
		"all full":  {map[string]carrier.State{"far3": explainedStates["far3"]}, "", "all full", 2000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, _ := linkedForwarder(t, test.states)
			e := f.Explain(newRequest("r", true), false)[0]
			assert.Equal(t, len(e.Refusals), 1)
			assert.Equal(t, e.Refusals[0].Reason, test.reason)
			assert.Equal(t, e.Refusals[0].Probability, 1.0)
			assert.Equal(t, e.Refusals[0].RetryAfterMillis, test.millis)
			result := f.Forward(newRequest("r", true))
			assert.Equal(t, result.Verdict, Refused)
			assert.Equal(t, millis(result.RetryAfter), test.millis)
		})
	}
}

// TestExplainRollout checks that an explanation names the targets whose versions get no requests, or only a share.
func TestExplainRollout(t *testing.T) {
	tests := map[string]struct {
		phase    exposer.Phase
		old, new string // reasons of the targets of both versions
	}{
		"running":     {exposer.Running, "", reasonShare},
		"promoting":   {exposer.Promoting, reasonVersion, ""},
		"rolled back": {exposer.RolledBack, "", reasonVersion},
	}
	states := map[string]carrier.State{"far1": explainedStates["far1"], "far2": {Serving: true, Slots: 4, TargetVersion: "v2"}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, _ := linkedForwarder(t, states)
			f.Registry = &exposer.Registry{Share: 0.1}
			// The new version gets requests in the first second of each 1.5 s before the deadline.
			f.Registry.Merge(&exposer.Rollout{Service: "s", Version: "v2", Order: 1, Phase: test.phase, Remaining: 14900 * time.Millisecond}, time.Now())
			e := f.Explain(newRequest("r", true), false)[0]
			assert.Equal(t, e.Rollout.Phase, test.phase.String())
			assert.Equal(t, e.Rollout.Version, "v2")
			assert.Equal(t, e.Rollout.Share > 0, test.phase == exposer.Running)
			for _, target := range e.Targets {
				want := test.old
				if target.Version == "v2" {
					want = test.new
				}
				assert.Equal(t, target.Reason, want, target.Version)
				if target.Reason == reasonVersion {
					assert.Equal(t, target.Probability, 0.0)
				}
			}
		})
	}
}

// recordingMeter counts what is recorded.
type recordingMeter struct{ records atomic.Int64 }

func (m *recordingMeter) Add(string, int64)             { m.records.Add(1) }
func (m *recordingMeter) Observe(string, time.Duration) { m.records.Add(1) }

// history is the state of a forwarder that choices depend on.
type history struct {
	Budgets      map[string]budgeter.Budget
	Probers      map[string]prober.Prober
	Splitters    map[string]splitter.Splitter
	MaxRemaining map[string]time.Duration
	Refusals     map[accountService]time.Time
	Versions     int // services whose versions the registry has recorded
}

// historyOf returns a copy of the state. Splitters replace their slice when they change.
func historyOf(f *Forwarder) history {
	h := history{
		Budgets: make(map[string]budgeter.Budget), Probers: make(map[string]prober.Prober),
		Splitters: make(map[string]splitter.Splitter), MaxRemaining: maps.Clone(f.maxRemaining), Refusals: maps.Clone(f.accountRefusals.ends),
		Versions: reflect.ValueOf(f.Registry).Elem().FieldByName("versions").Len(),
	}
	for name, b := range f.budgets {
		h.Budgets[name] = *b
	}
	for name, p := range f.probers {
		h.Probers[name] = *p
	}
	for name, s := range f.splitters {
		h.Splitters[name] = *s
	}
	return h
}

// TestExplainChangesNothing guards against an explanation that uses up retry budget, refusals that are remembered or
// the room of versions, that records measurements, writes log lines or sends calls.
func TestExplainChangesNothing(t *testing.T) {
	for name, used := range map[string]bool{"after requests": true, "before the first request": false} {
		t.Run(name, func(t *testing.T) {
			f, servers := linkedForwarder(t, explainedStates)
			f.Registry = &exposer.Registry{Share: 0.1}
			request := newRequest("r", true)
			request.Account = "a"
			request.Route.WeightedServices = []matcher.WeightedService{{Service: "s", Weight: 1}, {Service: "none", Weight: 1}}
			if used {
				for range 20 {
					f.Forward(request)
				}
				f.splitters = nil // the oldest refusal decides, and either service may have refused first
				f.recordRefused(&progress{Request: request, service: "none"})
				f.recordAccountRefused(&progress{Request: request, service: "s"})
			}
			core, logs := observer.New(zapcore.DebugLevel)
			meter := &recordingMeter{}
			f.Log, f.Meter = zap.New(core), meter
			calls := func() (sum int64) {
				for _, s := range servers {
					sum += s.calls.Load()
				}
				return sum
			}
			before, callsBefore := historyOf(f), calls()
			for range 3 {
				explanations := f.Explain(request, true)
				assert.Equal(t, len(explanations), 2)
				if used {
					assert.Equal(t, explanations[1].Share, 1.0, "the request returns to the service that refused it")
				}
			}
			assert.Assert(t, reflect.DeepEqual(before, historyOf(f)))
			assert.Equal(t, calls(), callsBefore)
			assert.Equal(t, meter.records.Load(), int64(0))
			assert.Equal(t, logs.Len(), 0)
			assert.Assert(t, slices.Equal(request.ID, []byte("r")))
		})
	}
}
