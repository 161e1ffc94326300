// Package bodyreader reads the bodies of HTTP messages into memory that is granted before it is read into.
package bodyreader

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"clementinerock/internal/proxy/headchecker"
	"clementinerock/internal/proxy/reserver"
)

const (
	firstSegment  = 4 << 10  // bytes; most bodies without a length fit into it
	secondSegment = 16 << 10 // bytes
	nextSegment   = 64 << 10 // bytes of all further segments

	// maxExtensions is the maximum number of bytes beyond the size in the lines that begin the chunks of a
	// body, so that a body within its limit does not consist of an unlimited number of bytes.
	maxExtensions = 16 << 10

	maxSizeDigits = 8 // of the size of a chunk; larger ones exceed all limits
)

// Errors of a body.
var (
	ErrTooLarge = merry.Sentinel("body too large")
	errChunk    = merry.Sentinel("invalid chunk")
)

// Body is the body of a message. A body that was received without its length may consist of several parts,
// so that no buffer is copied into a larger one.
type Body struct {
	First []byte
	Rest  [][]byte
}

// Size returns the number of bytes.
func (b *Body) Size() int {
	size := len(b.First)
	for _, part := range b.Rest {
		size += len(part)
	}
	return size
}

// Reader reads the body of one message.
type Reader struct {
	Source *bufio.Reader
	Limit  int // maximum size in bytes; 0 for no limit
	Memory *reserver.Reserver
	Owner  reserver.Owner // its class is that of a request unless it is Answer

	body      Body
	size      int    // bytes read so far
	free      []byte // unused part of the last segment
	allocated []int  // sizes of all allocations
}

// Allocate returns the memory for a body whose length is known.
func (r *Reader) Allocate(size int) ([]byte, error) {
	if r.Limit > 0 && size > r.Limit {
		return nil, ErrTooLarge
	}
	return r.allocate(size, size)
}

// allocate allocates memory for a body that has size bytes so far.
func (r *Reader) allocate(n, size int) ([]byte, error) {
	owner := r.Owner
	if owner.Class != reserver.Answer {
		owner.Class = reserver.SizeClass(size)
	}
	began := time.Now()
	data, err := r.Memory.Allocate(owner, n)
	r.Owner.Waited += time.Since(began)
	if err == nil {
		r.allocated = append(r.allocated, n)
	}
	return data, err
}

// Discard drops what was read of a body that is not used.
func (r *Reader) Discard() {
	r.body, r.free = Body{}, nil
	for _, size := range r.allocated {
		r.Memory.Discard(size)
	}
	r.allocated = nil
}

// Exact reads a body whose length is known.
func (r *Reader) Exact(size int) (Body, error) {
	data, err := r.Allocate(size)
	if err != nil {
		return Body{}, err
	}
	return Body{First: data}, r.Fill(data)
}

// Fill reads a body into memory that Allocate returned.
func (r *Reader) Fill(data []byte) error {
	_, err := io.ReadFull(r.Source, data)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// UntilEnd reads a body that ends with the connection.
func (r *Reader) UntilEnd() (Body, error) {
	for {
		if _, err := r.Source.Peek(1); errors.Is(err, io.EOF) {
			return r.whole()
		} else if err != nil {
			return Body{}, err
		}
		if err := r.extend(); err != nil {
			return Body{}, err
		}
		n, err := r.Source.Read(r.free)
		r.advance(n)
		if err != nil && !errors.Is(err, io.EOF) {
			return Body{}, err
		}
		if r.Limit > 0 && r.size > r.Limit {
			return Body{}, ErrTooLarge
		}
	}
}

// Chunked reads a chunked body up to its trailer.
func (r *Reader) Chunked() (Body, error) {
	for extensions := 0; ; {
		line, err := r.Source.ReadSlice('\n')
		if err != nil {
			return Body{}, unexpectedEnd(err)
		}
		size, extension, err := parseChunkLine(line)
		if err != nil {
			return Body{}, err
		}
		if extensions += extension; extensions > maxExtensions {
			return Body{}, ErrTooLarge
		}
		if size == 0 {
			return r.whole()
		}
		if r.Limit > 0 && r.size+size > r.Limit {
			return Body{}, ErrTooLarge
		}
		if err := r.readChunk(size); err != nil {
			return Body{}, unexpectedEnd(err)
		}
	}
}

// readChunk reads the content of a chunk and the line end behind it.
func (r *Reader) readChunk(size int) error {
	for size > 0 {
		if err := r.extend(); err != nil {
			return err
		}
		n, err := r.Source.Read(r.free[:min(size, len(r.free))])
		r.advance(n)
		size -= n
		if err != nil {
			return err
		}
	}
	end, err := r.Source.Peek(2)
	if err != nil {
		return err
	}
	if string(end) != "\r\n" {
		return errChunk
	}
	_, err = r.Source.Discard(len(end))
	return err
}

// extend allocates another segment if the last one is full.
func (r *Reader) extend() error {
	if len(r.free) > 0 {
		return nil
	}
	next := nextSegment
	switch r.size {
	case 0:
		next = firstSegment
	case firstSegment:
		next = secondSegment
	}
	segment, err := r.allocate(next, r.size+next)
	if err != nil {
		return err
	}
	if r.size == 0 {
		r.Owner.Since = time.Now()
	}
	r.free = segment
	if r.body.First == nil {
		r.body.First = segment[:0]
		return nil
	}
	r.body.Rest = append(r.body.Rest, segment[:0])
	return nil
}

// advance records that n bytes were read into the last segment.
func (r *Reader) advance(n int) {
	last := &r.body.First
	if len(r.body.Rest) > 0 {
		last = &r.body.Rest[len(r.body.Rest)-1]
	}
	*last = (*last)[:len(*last)+n]
	r.free = r.free[n:]
	r.size += n
}

// whole returns the complete body. One that fits a segment is returned in one part, since it may be sent
// in one frame.
func (r *Reader) whole() (Body, error) {
	if len(r.body.Rest) == 0 || r.size > nextSegment {
		return r.body, nil
	}
	data, err := r.allocate(r.size, r.size)
	if err != nil {
		return Body{}, err
	}
	n := copy(data, r.body.First)
	for _, part := range r.body.Rest {
		n += copy(data[n:], part)
	}
	r.allocated = r.allocated[:len(r.allocated)-1]
	r.Discard() // the segments
	return Body{First: data}, nil
}

// parseChunkLine returns the size of a chunk and the number of bytes of its extension from the line that
// begins it.
func parseChunkLine(line []byte) (size, extension int, err error) {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return 0, 0, errChunk
	}
	end := bytes.IndexByte(line, ';')
	if end < 0 {
		end = len(line)
	}
	digits, extensions := line[:end], line[end:]
	if headchecker.CheckExtensions(string(extensions)) != nil {
		return 0, 0, errChunk
	}
	trimmed := bytes.TrimRight(digits, " \t")
	if len(trimmed) > maxSizeDigits {
		return 0, 0, errChunk
	}
	parsed, err := strconv.ParseUint(string(trimmed), 16, 32)
	if err != nil {
		return 0, 0, errChunk
	}
	return int(parsed), len(extensions) + len(digits) - len(trimmed), nil
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
