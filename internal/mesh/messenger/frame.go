package messenger

import (
	"encoding/binary"
	"io"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/s2"
)

const (
	frameHeaderBytes = 4
	compressedFlag   = 1 << 31
	compressMinBytes = 512 // smaller messages are not compressed
)

// ErrTooLarge is returned for a message over MaxMessageBytes.
var ErrTooLarge = merry.Sentinel("message too large")

// EncodeFrame returns the encoded message, preceded by its length. A message of
// compressMinBytes or more is compressed if that makes it smaller.
func EncodeFrame(m *Message) ([]byte, error) {
	data, err := m.Encode()
	if err != nil {
		return nil, err
	}
	if len(data) > MaxMessageBytes {
		return nil, ErrTooLarge
	}
	flag := uint32(0)
	if len(data) >= compressMinBytes {
		if packed := s2.EncodeBetter(nil, data); len(packed) < len(data) {
			data = packed
			flag = compressedFlag
		}
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data))|flag)
	return append(frame, data...), nil
}

// ReadFrame reads one message. It returns io.EOF at the end of the stream.
func ReadFrame(r io.Reader) (Message, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Message{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	packed := length&compressedFlag != 0
	length &^= compressedFlag
	if length > MaxMessageBytes {
		return Message{}, ErrTooLarge
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return Message{}, err
	}
	if !packed {
		return Decode(data)
	}
	size, err := s2.DecodedLen(data)
	if err != nil {
		return Message{}, merry.Prepend(err, "decompress message")
	}
	if size > MaxMessageBytes {
		return Message{}, ErrTooLarge
	}
	plain, err := s2.Decode(nil, data)
	if err != nil {
		return Message{}, merry.Prepend(err, "decompress message")
	}
	return Decode(plain)
}
