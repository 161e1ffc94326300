package carrier

import (
	"iter"

	"github.com/valyala/fasthttp"
)

// Header is one header line.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  []byte
	Value []byte
}

// CopyHeaders copies all headers but those that drop names, in canonical spelling.
func CopyHeaders(all iter.Seq2[[]byte, []byte], drop func(name string) bool) []Header {
	var headers []Header
	for name, value := range all {
		if drop(string(name)) {
			continue
		}
		headers = append(headers, Header{
			Name:  append([]byte(nil), name...),
			Value: append([]byte(nil), value...),
		})
	}
	return headers
}

// HopByHop reports whether a header, in canonical spelling, concerns one connection only.
func HopByHop(name string) bool {
	switch name {
	case fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTransferEncoding,
		fasthttp.HeaderUpgrade, "Te", "Trailer", fasthttp.HeaderContentLength:
		return true
	}
	return false
}
