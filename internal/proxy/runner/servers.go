package runner

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.uber.org/zap"

	"clementinerock/internal/node/recorder"
	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
)

const (
	adminIdleTimeout = 10 * time.Second
	adminBufferSize  = 4 << 10 // in bytes

	// shutdownTimeout is the time limit for closing a server's connections when the process ends.
	shutdownTimeout = 20 * time.Millisecond
)

// serveAt serves HTTP on an address. The clean-up function shuts the server down.
func serveAt(address string, handler fasthttp.RequestHandler) (func(), error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, merry.Prependf(err, "listen on %s", address)
	}
	server := &fasthttp.Server{
		Handler:               handler,
		IdleTimeout:           adminIdleTimeout,
		ReadBufferSize:        adminBufferSize,
		WriteBufferSize:       adminBufferSize,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	go func() {
		_ = server.Serve(listener) // ends when the listener is closed
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(ctx) // remaining connections end with the process
	}, nil
}

// serveReady serves the platform's readiness probe.
func (n *Node) serveReady() (func(), error) {
	return serveAt(n.Settings.Ready, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != platform.PathReady {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		if !n.ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
}

// serveControl receives the heartbeats and leave messages of the target.
func (n *Node) serveControl() (func(), error) {
	return serveAt(n.Settings.Control, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != platform.PathReports {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		args := func(name string) string { return string(ctx.QueryArgs().Peek(name)) }
		report, err := platform.DecodeReport(args, ctx.PostBody())
		if err != nil {
			n.Log.Warn("target: report refused", recorder.Err(err))
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		if n.applyReport(report) == tracker.Foreign {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(platform.AckBody)
	})
}

// applyReport passes a report to the control goroutine and waits until it is applied, because the
// target relies on the acknowledgement.
func (n *Node) applyReport(report tracker.Report) tracker.Verdict {
	verdicts := make(chan tracker.Verdict, 1)
	n.enqueue(func() {
		before := n.target.Current
		verdict := n.target.Observe(report, time.Now())
		current := n.target.Current
		if verdict == tracker.Accepted {
			n.deliverer.Update(current, time.Now())
		}
		if verdict != tracker.Accepted || before.State != current.State || before.ID != current.ID {
			n.Log.Info("target: report "+verdict.String(),
				zap.String("id", report.ID),
				zap.String("state", report.State.String()),
				zap.Uint64("sequence", report.Sequence),
				zap.Int64("born", report.Born),
				zap.String("service", report.Service),
				zap.String("address", report.Address),
				zap.String("before", before.ID+" "+before.State.String()))
		}
		verdicts <- verdict
	})
	return <-verdicts
}

// dump is the state of the process as it is written in JSON.
type dump struct {
	Node       string           `json:"node"`
	Started    time.Time        `json:"started"`
	Stopping   bool             `json:"stopping"`
	Version    uint64           `json:"version"`
	Target     tracker.Report   `json:"target"`
	Serving    bool             `json:"serving"`
	Slots      int              `json:"slots"`
	InUse      int              `json:"use"`
	Waiting    int              `json:"waiting"`
	MeanMillis float64          `json:"mean"`
	Links      []dumpLink       `json:"links"`
	Counts     map[string]int64 `json:"counts"`
	Dropped    int64            `json:"dropped"`
}

// dumpLink describes a link and the node at its other end.
type dumpLink struct {
	Node          string  `json:"node"`
	FailureDomain string  `json:"zone"`
	Service       string  `json:"service"`
	Serving       bool    `json:"serving"`
	Suspect       bool    `json:"suspect"` // whether the other node does not answer pings
	Busy          int     `json:"busy"`    // calls that hold or wait for a slot of that node's target
	Open          int     `json:"open"`    // calls of this node without an answer so far
	Version       uint64  `json:"version"`
	Age           float64 `json:"age"` // seconds since the state of that node arrived
}

// dump returns the current state.
func (n *Node) dump() dump {
	targets := make(chan tracker.Report, 1)
	n.enqueue(func() { targets <- n.target.Current })
	state := n.deliverer.State()
	d := dump{
		Node:       n.self.Node,
		Started:    n.started,
		Stopping:   n.stopping.Load(),
		Version:    n.Version(),
		Target:     <-targets,
		Serving:    state.Serving,
		Slots:      state.Slots,
		InUse:      state.InUse,
		Waiting:    state.Waiting,
		MeanMillis: float64(state.Mean) / float64(time.Millisecond),
		Counts:     n.Meter.Totals(),
		Dropped:    n.Dropped(),
	}
	for _, l := range n.hub.Links() {
		state, open, _, age := l.State()
		d.Links = append(d.Links, dumpLink{
			Node:          l.Peer.Node,
			FailureDomain: l.Peer.FailureDomain,
			Service:       l.Peer.Service,
			Serving:       state.Serving,
			Suspect:       l.Suspect(),
			Busy:          state.InUse + state.Waiting,
			Open:          open,
			Version:       state.Version,
			Age:           age.Seconds(),
		})
	}
	return d
}

// serveMetrics serves the metrics and the state dump.
func (n *Node) serveMetrics() (func(), error) {
	metrics := fasthttpadaptor.NewFastHTTPHandler(n.Meter.Handler())
	return serveAt(n.Settings.Metrics, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			metrics(ctx)
		case "/v1/dump":
			ctx.SetContentType("application/json")
			if err := json.NewEncoder(ctx).Encode(n.dump()); err != nil {
				n.Log.Warn("node: writing the state dump failed", recorder.Err(err))
			}
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	})
}
