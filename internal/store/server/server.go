// Package server serves the in-memory store over HTTP, so that it can replace the platform's
// store as a separate process.
package server

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"

	"clementinerock/internal/store/keeper"
)

// Paths of the HTTP API. Every call is a POST with a JSON Request, answered by a JSON Response.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathSwap   = "/v1/swap"
	PathLease  = "/v1/lease"
	PathWatch  = "/v1/watch"
	PathCounts = "/v1/counts"
	PathFaults = "/v1/faults"
)

const (
	maxWatchDuration = 20 * time.Second // a watch without a change ends with CodeTimeout
	maxRequestBytes  = 2 * keeper.MaxValueBytes
)

// Code is the outcome of a call in a Response.
type Code string

// Outcomes of a call.
const (
	CodeOK       Code = ""
	CodeMissing  Code = "missing"
	CodeConflict Code = "conflict"
	CodeHeld     Code = "held"
	CodeTooLarge Code = "too-large"
	CodeDown     Code = "down"
	CodeLost     Code = "lost"
	CodeLimited  Code = "limited"
	CodeTimeout  Code = "no-news"
	CodeInvalid  Code = "invalid"
)

// Request holds the arguments of a call; each call uses some of them.
type Request struct {
	Key      string        `json:"key"`
	Revision uint64        `json:"revision"`
	Value    []byte        `json:"value"`
	Holder   string        `json:"holder"`
	TTL      time.Duration `json:"ttl"`
	Faults   keeper.Faults `json:"faults"`
}

// Response holds the results of a call.
type Response struct {
	Code    Code           `json:"code"`
	Message string         `json:"message,omitempty"`
	Entry   keeper.Entry   `json:"entry"`
	Entries []keeper.Entry `json:"entries,omitempty"`
	Lease   keeper.Lease   `json:"lease"`
	Counts  keeper.Counts  `json:"counts"`
}

var errorCodes = []struct {
	err  error
	code Code
}{
	{keeper.ErrNotFound, CodeMissing},
	{keeper.ErrConflict, CodeConflict},
	{keeper.ErrLeaseHeld, CodeHeld},
	{keeper.ErrTooLarge, CodeTooLarge},
	{keeper.ErrUnavailable, CodeDown},
	{keeper.ErrResponseLost, CodeLost},
	{keeper.ErrRateLimited, CodeLimited},
	{context.DeadlineExceeded, CodeTimeout},
}

// ErrorOf returns the error for the code of a response, or nil for CodeOK.
func ErrorOf(response *Response) error {
	if response.Code == CodeOK {
		return nil
	}
	for _, mapping := range errorCodes {
		if mapping.code == response.Code {
			return merry.Wrap(mapping.err, merry.PrependMessage("store"))
		}
	}
	return merry.Errorf("store: %s", response.Message)
}

// codeOf returns the code and message to send for an error.
func codeOf(err error) (Code, string) {
	if err == nil {
		return CodeOK, ""
	}
	for _, mapping := range errorCodes {
		if errors.Is(err, mapping.err) {
			return mapping.code, err.Error()
		}
	}
	return CodeInvalid, err.Error()
}

// Server serves a store over HTTP.
type Server struct {
	MemoryStore *keeper.MemoryStore

	app     *fiber.App
	address string
}

// New starts a server that listens on address. The returned function stops it.
func New(store *keeper.MemoryStore, address string) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, merry.Prependf(err, "listen on store address %s", address)
	}
	s := &Server{MemoryStore: store, address: listener.Addr().String()}
	s.app = fiber.New(fiber.Config{BodyLimit: maxRequestBytes})
	s.registerRoutes()
	go func() {
		_ = s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return s, func() { _ = s.app.ShutdownWithTimeout(time.Second) }, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }

type handler func(ctx context.Context, request *Request, response *Response) error

func (s *Server) registerRoutes() {
	s.handle(PathGet, func(ctx context.Context, in *Request, out *Response) (err error) {
		out.Entry, err = s.MemoryStore.Get(ctx, in.Key)
		return err
	})
	s.handle(PathList, func(ctx context.Context, in *Request, out *Response) (err error) {
		out.Entries, err = s.MemoryStore.List(ctx, in.Key)
		return err
	})
	s.handle(PathSwap, func(ctx context.Context, in *Request, out *Response) (err error) {
		out.Entry, err = s.MemoryStore.Swap(ctx, in.Key, in.Revision, in.Value)
		return err
	})
	s.handle(PathLease, func(ctx context.Context, in *Request, out *Response) (err error) {
		out.Lease, err = s.MemoryStore.Lease(ctx, in.Key, in.Holder, in.Value, in.TTL)
		return err
	})
	s.handle(PathWatch, func(ctx context.Context, in *Request, out *Response) (err error) {
		watchCtx, cancel := context.WithTimeout(ctx, maxWatchDuration)
		defer cancel()
		out.Entry, err = s.MemoryStore.Watch(watchCtx, in.Key, in.Revision)
		return err
	})
	s.handle(PathCounts, func(_ context.Context, _ *Request, out *Response) error {
		out.Counts = s.MemoryStore.Counts()
		return nil
	})
	s.handle(PathFaults, func(_ context.Context, in *Request, _ *Response) error {
		s.MemoryStore.SetFaults(in.Faults)
		return nil
	})
}

func (s *Server) handle(path string, serve handler) {
	s.app.Post(path, func(c fiber.Ctx) error {
		var request Request
		var response Response
		if err := c.Bind().JSON(&request); err != nil {
			response.Code, response.Message = CodeInvalid, err.Error()
			return c.JSON(&response)
		}
		err := serve(c.Context(), &request, &response)
		response.Code, response.Message = codeOf(err)
		return c.JSON(&response)
	})
}
