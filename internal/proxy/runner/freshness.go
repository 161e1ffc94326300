package runner

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/proxy/prover"
)

// buildProver makes the node keep a proof of freshness and refuse requests with a key without one.
func (n *Node) buildProver() {
	n.prover = &prover.Prover{
		Limit:   n.Settings.Bounds.KeyRevocation,
		Version: n.Version,
		Keys: func() bool {
			table := n.table.Load()
			return table != nil && len(table.Accounts) > 0
		},
	}
	n.acceptor.Fresh = n.prover.Fresh
	n.deliverer.ProofAge = n.prover.AnnouncedAge
	// Without this, answers of a reader hide from its peers that it reads the store, and with steady traffic
	// they start to read it too. Watches are more frequent with proofs, so that costs more calls.
	n.deliverer.ReadsStore = func() bool { return n.finder.Connected() }
	n.hub.Prover = n.prover
	n.finder.Prover = n.prover
}

// ProveVersion records the proof that the newest configuration in the store at a time was of the given
// version, once that version had its chance to be activated.
func (n *Node) ProveVersion(at time.Duration, version uint64) {
	n.enqueue(func() {
		if n.prover.Prove(at, version) && n.prover.Required() {
			n.hub.Announce() // nodes without a sufficient proof ask this one at once
		}
	})
}

// recordFreshness logs when the proof becomes too old or is young enough again, and updates its metrics.
func (n *Node) recordFreshness() {
	if n.prover == nil || !n.prover.Required() {
		return
	}
	age, proven := n.prover.Age()
	if proven {
		n.Meter.Gauge("proof_age_seconds", age.Seconds())
	}
	fresh := n.prover.Fresh()
	if fresh == n.fresh {
		return
	}
	n.fresh = fresh
	if fresh {
		n.Log.Info("proof: configuration proved to be the newest, requests with a key are served",
			zap.Uint64("version", n.Version()),
			zap.Duration("age", age))
		return
	}
	n.Meter.Add("proof_lost", 1)
	n.Log.Warn("proof: too old, requests with a key are refused",
		zap.Uint64("version", n.Version()),
		zap.Duration("age", age))
}

// dumpProof describes the proof of freshness.
type dumpProof struct {
	Fresh bool    `json:"fresh"` // whether requests with a key are served
	Age   float64 `json:"age"`   // in seconds; 0 if there is no proof
}

// dumpProof returns the description of the proof of freshness, or nil if the node keeps none.
func (n *Node) dumpProof() *dumpProof {
	if n.prover == nil {
		return nil
	}
	d := &dumpProof{Fresh: n.prover.Fresh()}
	if age, ok := n.prover.Age(); ok {
		d.Age = age.Seconds()
	}
	return d
}
