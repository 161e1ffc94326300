package runner

import (
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/compiler"
	"clementinerock/internal/mesh/gossiper"
)

// State is the dump of a node's process.
type State struct {
	Control              gossiper.State   `json:"control"`
	Status               gossiper.Status  `json:"status"`
	IsReader             bool             `json:"reader"`
	Routes               int              `json:"routes"`
	Targets              []TargetState    `json:"targets"`
	Attempts             int              `json:"attemptsRemembered"`
	CallsOpen            int              `json:"callsOpen"`
	ControlBytesSent     uint64           `json:"controlBytesSent"`
	ControlBytesReceived uint64           `json:"controlBytesReceived"`
	Counts               map[string]int64 `json:"counts"`
}

// TargetState is what the callers' side knows of a target.
type TargetState struct {
	Service  string        `json:"service"`
	Node     string        `json:"node"`
	Address  string        `json:"address"`
	InFlight int           `json:"inFlight"`
	Latency  time.Duration `json:"latencyNs"`
	Load     float64       `json:"load"`
	Ejected  bool          `json:"ejected"`
}

// Dump returns the state of the whole process.
func (n *Node) Dump() State {
	var state State
	n.runInLoop(func(c *control) {
		state.Control = c.core.Dump()
		state.Status = c.core.Status()
	})
	state.IsReader = n.reader.HoldsLease()
	snapshot := n.front.Snapshot()
	now := time.Now()
	for _, targets := range snapshot.Targets {
		for _, t := range targets {
			state.Targets = append(state.Targets, TargetState{
				Service: t.Service, Node: t.Node, Address: t.Listen,
				InFlight: t.InFlight(), Latency: t.Latency(now), Load: t.Load(now), Ejected: t.Ejected(now),
			})
		}
	}
	for _, contract := range n.contracts() {
		state.Routes += len(contract.Routes)
	}
	state.Attempts = n.back.Attempts()
	state.CallsOpen = n.front.OpenCalls()
	state.ControlBytesSent, state.ControlBytesReceived = n.Traffic()
	state.Counts = n.metrics.Totals()
	return state
}

func (n *Node) contracts() []compiler.Contract {
	contracts, err := approver.Contracts(n.current.Load().index)
	if err != nil {
		return nil
	}
	return contracts
}
