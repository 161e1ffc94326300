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
	"clementinerock/internal/proxy/releaser"
	"clementinerock/internal/proxy/throttler"
	"clementinerock/internal/proxy/tracker"
	"clementinerock/platform"
)

const (
	adminIdleTimeout = 10 * time.Second
	adminBufferSize  = 4 << 10 // in bytes

	// reportTimeout is the time after which a report is answered without an acknowledgement. Targets
	// wait for a second.
	reportTimeout = 800 * time.Millisecond

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
		switch verdict, stored := n.applyReport(report); {
		case verdict == tracker.Foreign:
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		case verdict == tracker.Unconfirmed, !stored:
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(platform.AckBody)
	})
}

// applyReport applies a report and returns when it may be acknowledged, because the target relies on that.
// For a departure it waits until it is stored, so that it stays in effect if this process ends; stored
// is false if that has not happened within reportTimeout. A heartbeat first waits for the departures
// that earlier processes stored.
func (n *Node) applyReport(report tracker.Report) (verdict tracker.Verdict, stored bool) {
	timer := time.NewTimer(reportTimeout)
	defer timer.Stop()
	if report.State == tracker.Serving {
		select {
		case <-n.retainer.Loaded():
		case <-timer.C:
		}
		verdict, _ = n.observe(report)
		return verdict, true
	}
	verdict, done := n.observe(report)
	if verdict == tracker.Foreign {
		return verdict, false
	}
	select {
	case <-done:
		return verdict, true
	case <-timer.C:
		n.Log.Warn("target: departure in effect but not stored yet, so not acknowledged",
			zap.String("id", report.ID),
			zap.Int64("born", report.Born),
			zap.String("state", report.State.String()))
		return verdict, false
	}
}

// observe passes a report to the control goroutine and waits until it is applied. The returned channel
// is closed when all departures of the target are stored.
func (n *Node) observe(report tracker.Report) (tracker.Verdict, <-chan struct{}) {
	verdicts := make(chan tracker.Verdict, 1)
	var stored <-chan struct{}
	n.enqueue(func() {
		before := n.target.Current
		verdict := n.target.Observe(report, time.Now())
		current := n.target.Current
		if verdict == tracker.Accepted {
			n.deliverer.Update(current, time.Now())
		}
		if departures := n.target.Departures(); len(departures) > 0 {
			stored = n.retainer.Save(departures)
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
	return <-verdicts, stored
}

// restoreDepartures applies the departures that earlier processes of this node acknowledged, and
// returns when it is done or the node has stopped.
func (n *Node) restoreDepartures(departures []tracker.Departure) {
	done := make(chan struct{})
	n.enqueue(func() {
		defer close(done)
		received := len(n.target.Departures()) > 0
		n.target.Restore(departures, time.Now())
		if n.target.Current.State != tracker.Unreported {
			n.deliverer.Update(n.target.Current, time.Now())
		}
		if received {
			n.retainer.Save(n.target.Departures())
		}
		n.Log.Info("target: departures loaded", zap.Int("departures", len(departures)))
	})
	select {
	case <-done:
	case <-n.ended:
	}
}

// dump is the state of the process as it is written in JSON.
type dump struct {
	Node       string              `json:"node"`
	Started    time.Time           `json:"started"`
	Stopping   bool                `json:"stopping"`
	Version    uint64              `json:"version"`
	Target     tracker.Report      `json:"target"`
	Departures []tracker.Departure `json:"departures"`
	Serving    bool                `json:"serving"`
	Slots      int                 `json:"slots"`
	InUse      int                 `json:"use"`
	Waiting    int                 `json:"waiting"`
	MeanMillis float64             `json:"mean"`
	Held       holdings            `json:"held"`
	StoreEra   uint64              `json:"storeEra"`
	Proof      *dumpProof          `json:"proof,omitempty"` // nil if nodes keep no proofs of freshness
	Throttle   *throttler.Dump     `json:"throttle,omitempty"`
	Links      []dumpLink          `json:"links"`
	Counts     map[string]int64    `json:"counts"`
	Dropped    int64               `json:"dropped"`
	Rollouts   []releaser.Status   `json:"rollouts,omitempty"`
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
	type target struct {
		report     tracker.Report
		departures []tracker.Departure
	}
	targets := make(chan target, 1)
	n.enqueue(func() { targets <- target{report: n.target.Current, departures: n.target.Departures()} })
	state := n.deliverer.State()
	current := <-targets
	d := dump{
		Node:       n.self.Node,
		Started:    n.started,
		Stopping:   n.stopping.Load(),
		Version:    n.Version(),
		Target:     current.report,
		Departures: current.departures,
		Serving:    state.Serving,
		Slots:      state.Slots,
		InUse:      state.InUse,
		Waiting:    state.Waiting,
		Held:       n.holdings(),
		MeanMillis: float64(state.Mean) / float64(time.Millisecond),
		Counts:     n.Meter.Totals(),
		Dropped:    n.Dropped(),
	}
	d.Proof = n.dumpProof()
	d.StoreEra = n.currentStoreEra()
	if n.releaser != nil {
		d.Rollouts = n.releaser.Statuses()
	}
	if n.throttler != nil {
		throttle := n.throttler.Dump()
		d.Throttle = &throttle
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

// serveMetrics serves the metrics, the state dump and explanations of requests.
func (n *Node) serveMetrics() (func(), error) {
	metrics := fasthttpadaptor.NewFastHTTPHandler(n.Meter.Handler())
	return serveAt(n.Settings.Metrics, func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			metrics(ctx)
		case PathExplain:
			n.serveExplain(ctx)
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
