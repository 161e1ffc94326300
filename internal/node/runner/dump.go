package runner

import (
	"time"

	"clementinerock/internal/config/approver"
	"clementinerock/internal/config/compiler"
	"clementinerock/internal/mesh/gossiper"
)

// State is the state of a node in a dump.
type State struct {
	Control              gossiper.State   `json:"control"`
	Status               gossiper.Status  `json:"status"`
	IsReader             bool             `json:"reader"` // whether the node holds a reader lease
	Routes               int              `json:"routes"`
	Targets              []TargetState    `json:"targets"`
	Attempts             int              `json:"attemptsRemembered"`
	CallsOpen            int              `json:"callsOpen"`
	ControlBytesSent     uint64           `json:"controlBytesSent"`
	ControlBytesReceived uint64           `json:"controlBytesReceived"`
	Counts               map[string]int64 `json:"counts"`
}

// TargetState is the state of one target as measured by Front.
type TargetState struct {
	Service  string        `json:"service"`
	Node     string        `json:"node"`
	Address  string        `json:"address"`
	InFlight int           `json:"inFlight"`
	Latency  time.Duration `json:"latencyNs"`
	Load     float64       `json:"load"`
	Ejected  bool          `json:"ejected"`
}

// Dump returns a copy of the state of the node for inspection.
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

// contracts decodes the contracts of the version in force. It returns nil if that fails.
func (n *Node) contracts() []compiler.Contract {
	contracts, err := approver.Contracts(n.current.Load().index)
	if err != nil {
		return nil
	}
	return contracts
}
