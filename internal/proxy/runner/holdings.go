package runner

import (
	"time"

	"go.uber.org/zap"

	"clementinerock/internal/proxy/acceptor"
	"clementinerock/internal/proxy/carrier"
)

// holdings are the calls that the node holds, by stage. A call that was canceled or has its answer is in
// none of them.
type holdings struct {
	Requests int             `json:"requests"` // requests of clients without a response
	Stages   acceptor.Stages `json:"stages"`   // the same by what they wait for
	Sent     carrier.Holding `json:"sent"`     // calls of this node at other nodes
	Served   carrier.Holding `json:"served"`   // calls of other nodes, in whatever state
	Waiting  int             `json:"waiting"`  // calls that wait for a slot of the target
	Running  int             `json:"running"`  // calls that hold a slot of the target
}

func (n *Node) holdings() holdings {
	state := n.deliverer.State()
	h := holdings{
		Requests: n.acceptor.OpenRequests(),
		Stages:   n.acceptor.Stages(),
		Waiting:  state.Waiting,
		Running:  state.InUse,
	}
	for _, l := range n.hub.Links() {
		sent, served := l.Held()
		h.Sent.Calls += sent.Calls
		h.Sent.Bytes += sent.Bytes
		h.Served.Calls += served.Calls
		h.Served.Bytes += served.Bytes
	}
	return h
}

// recordHoldings updates the metrics of the calls that the node holds.
func (n *Node) recordHoldings() {
	h := n.holdings()
	n.Meter.Gauge("held_requests", float64(h.Requests))
	n.Meter.Gauge("held_requests_queued", float64(h.Stages.Queued))
	n.Meter.Gauge("held_requests_reading", float64(h.Stages.Reading))
	n.Meter.Gauge("held_requests_forwarded", float64(h.Stages.Forwarded))
	n.Meter.Gauge("held_requests_responding", float64(h.Stages.Responding))
	n.Meter.Gauge("held_sent_calls", float64(h.Sent.Calls))
	n.Meter.Gauge("held_sent_bytes", float64(h.Sent.Bytes))
	n.Meter.Gauge("held_served_calls", float64(h.Served.Calls))
	n.Meter.Gauge("held_served_bytes", float64(h.Served.Bytes))
	n.Meter.Gauge("held_waiting_calls", float64(h.Waiting))
	n.Meter.Gauge("held_running_calls", float64(h.Running))
	n.Meter.Gauge("client_connections", float64(n.acceptor.Conns()))
	n.memory.Record()
}

// reportOverdue logs and counts, once, what is still held when the grace time of a shutdown is over. The counters
// appear in the dump and the last report of the metrics; before, the gauges of recordHoldings show the same.
func (n *Node) reportOverdue(elapsed time.Duration) {
	if n.overdue {
		return
	}
	n.overdue = true
	h := n.holdings()
	arriving := n.acceptor.IdleTime() < minIdleTime
	n.Log.Warn("node: grace time over, ends with what it holds",
		zap.Duration("after", elapsed),
		zap.Int("requests", h.Requests),
		zap.Int("queued", h.Stages.Queued),
		zap.Int("reading", h.Stages.Reading),
		zap.Int("forwarded", h.Stages.Forwarded),
		zap.Int("responding", h.Stages.Responding),
		zap.Int("served", h.Served.Calls),
		zap.Int("running", h.Running),
		zap.Int("waiting", h.Waiting),
		zap.Bool("arriving", arriving))
	n.Meter.Add("stop_overdue", 1)
	n.Meter.Add("stop_overdue_requests_queued", int64(h.Stages.Queued))
	n.Meter.Add("stop_overdue_requests_reading", int64(h.Stages.Reading))
	n.Meter.Add("stop_overdue_requests_forwarded", int64(h.Stages.Forwarded))
	n.Meter.Add("stop_overdue_requests_responding", int64(h.Stages.Responding))
	n.Meter.Add("stop_overdue_served_calls", int64(h.Served.Calls))
	n.Meter.Add("stop_overdue_running_calls", int64(h.Running))
	n.Meter.Add("stop_overdue_waiting_calls", int64(h.Waiting))
	if arriving {
		n.Meter.Add("stop_overdue_arriving", 1)
	}
}
