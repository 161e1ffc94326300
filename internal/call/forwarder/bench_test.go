package forwarder_test

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"clementinerock/internal/config/compiler"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/demo/responder"
)

// BenchmarkCall measures the time and allocations of one call through Front and Back to a target
// that answers at once. The case "straight" is the baseline without a mesh. Both include the client
// and the target.
func BenchmarkCall(b *testing.B) {
	m := newTestMesh(b.Cleanup, []compiler.Contract{
		contract("book", parser.EffectBook, "POST", 5*time.Second),
	})
	target, stop, err := responder.New(responder.Config{Service: "book", Slots: 100})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(stop)
	m.add(m.nodes[0], "book", target.Address(), 100)
	for name, address := range map[string]string{"straight": target.Address(), "mesh": m.address} {
		b.Run(name, func(b *testing.B) {
			client := &fasthttp.HostClient{Addr: address}
			request := fasthttp.AcquireRequest()
			response := fasthttp.AcquireResponse()
			request.Header.SetMethod("POST")
			request.SetRequestURI("http://" + address + "/book")
			request.Header.Set(responder.HeaderRequestID, "1")
			request.Header.Set(responder.HeaderWorkTime, "0")
			b.ReportAllocs()
			for b.Loop() {
				if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
					b.Fatal(err, response.StatusCode())
				}
			}
		})
	}
}
