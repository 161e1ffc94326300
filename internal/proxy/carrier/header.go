package carrier

import (
	"iter"

	"github.com/valyala/fasthttp"
)

// Header is one HTTP header field.
type Header struct {
	_     struct{} `cbor:",toarray"`
	Name  []byte
	Value []byte
}

// CopyHeaders copies the headers for which drop reports false. drop gets the header's name in
// canonical form.
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

// HopByHop reports whether the header with a name in canonical form applies to a single
// connection only.
func HopByHop(name string) bool {
	switch name {
	case fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderTransferEncoding,
		fasthttp.HeaderUpgrade, "Te", "Trailer", fasthttp.HeaderContentLength:
		return true
	}
	return false
}
