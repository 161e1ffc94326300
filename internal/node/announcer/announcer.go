// Package announcer serves the admin interface of a node. Targets announce themselves to it, and
// operators read status, metrics and a dump of the node's state.
package announcer

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"

	"clementinerock/internal/config/parser"
	"clementinerock/internal/mesh/gossiper"
	"clementinerock/internal/mesh/messenger"
	"clementinerock/internal/node/runner"
)

// Paths of the admin interface.
const (
	PathTargets = "/v1/targets"
	PathStatus  = "/v1/status"
	PathReady   = "/v1/ready"
	PathDump    = "/v1/dump"
	PathMetrics = "/metrics"
)

// Node is the part of a node that the admin interface uses.
type Node interface {
	Announce(target messenger.Target)
	Withdraw(address string)
	Status() gossiper.Status
	Dump() runner.State
	Ready() bool
}

// Announcement registers a target and describes its state. A target repeats it every few seconds
// while it runs.
type Announcement struct {
	Service string                `json:"service"`
	Address string                `json:"address"`
	Slots   int                   `json:"slots"`
	State   messenger.TargetState `json:"state"`
}

// StateGone is the state in the last announcement of a target, which withdraws it.
const StateGone messenger.TargetState = "gone"

// Check returns an error for the first invalid field of the announcement.
func (a *Announcement) Check() error {
	fieldError := func(field string, found any, allowed string) error {
		return parser.FieldError{File: "announcement", Field: field, Found: fmt.Sprintf("%#v", found), Allowed: allowed}
	}
	if !parser.ValidName(a.Service) {
		return fieldError("service", a.Service, "the name of a service")
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fieldError("address", a.Address, "an IP address with a port")
	}
	if a.Slots < 1 || a.Slots > parser.MaxSlots {
		return fieldError("slots", a.Slots, fmt.Sprintf("1 to %d", parser.MaxSlots))
	}
	switch a.State {
	case messenger.Warming, messenger.Serving, messenger.Draining, StateGone:
		return nil
	}
	return fieldError("state", a.State, "warming, serving, draining or gone")
}

// errorResponse is the response body of a rejected announcement.
type errorResponse struct {
	Error string `json:"error"`
}

// New serves the admin interface on address and returns the address in use. The clean-up function
// stops it.
func New(address string, node Node, metrics http.Handler) (string, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, merry.Prependf(err, "listen on admin address %s", address)
	}
	app := fiber.New(fiber.Config{})
	app.Post(PathTargets, func(c fiber.Ctx) error { return announce(c, node) })
	app.Get(PathStatus, func(c fiber.Ctx) error { return c.JSON(node.Status()) })
	app.Get(PathDump, func(c fiber.Ctx) error { return c.JSON(node.Dump()) })
	app.Get(PathReady, func(c fiber.Ctx) error { return ready(c, node) })
	app.Get(PathMetrics, adaptor.HTTPHandler(metrics))
	go func() {
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return listener.Addr().String(), func() { _ = app.ShutdownWithTimeout(time.Second) }, nil
}

func announce(c fiber.Ctx, node Node) error {
	var a Announcement
	if err := c.Bind().JSON(&a); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(errorResponse{err.Error()})
	}
	if err := a.Check(); err != nil {
		return c.Status(fiber.StatusBadRequest).JSON(errorResponse{err.Error()})
	}
	if a.State == StateGone {
		node.Withdraw(a.Address)
		return c.SendStatus(fiber.StatusNoContent)
	}
	node.Announce(messenger.Target{Service: a.Service, Address: a.Address, Slots: a.Slots, State: a.State})
	return c.SendStatus(fiber.StatusNoContent)
}

func ready(c fiber.Ctx, node Node) error {
	if !node.Ready() {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	return c.SendStatus(fiber.StatusNoContent)
}
