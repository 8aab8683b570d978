// Package wire is the protocol between hosts: versioned, length-prefixed
// frames on a byte stream, each holding one typed message in msgpack.
//
// A frame is a length of four bytes (big endian, counting what follows), one
// byte of protocol version, one byte of message kind and the message. Input
// from the network is untrusted: a frame that is oversized, truncated, of an
// unknown version or kind, or whose message breaks a bound is refused with an
// error, and memory is only taken in proportion to bytes that arrived. After
// an error the stream has no defined position and must be closed.
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

const (
	// Version is the protocol version of every frame.
	Version = 1
	// MaxFrameBytes bounds what follows a frame's length.
	MaxFrameBytes = 64 << 10
	// HeaderBytes is the size of length, version and kind.
	HeaderBytes = lengthBytes + envelopeBytes

	lengthBytes   = 4
	envelopeBytes = 2
	// readChunkBytes bounds the memory taken ahead of the bytes that arrive.
	readChunkBytes = 4 << 10
)

// Errors of ReadFrame and WriteFrame.
var (
	// ErrFrameSize says that a frame's length is out of bounds.
	ErrFrameSize = errors.New("frame length out of bounds")
	// ErrVersion says that a frame has an unknown protocol version.
	ErrVersion = errors.New("unknown protocol version")
	// ErrKind says that a frame has an unknown message kind.
	ErrKind = errors.New("unknown message kind")
	// ErrTruncated says that the stream ended within a frame.
	ErrTruncated = errors.New("frame truncated")
	// ErrMalformed says that a message cannot be decoded or breaks a bound.
	ErrMalformed = errors.New("malformed message")
)

// AppendFrame appends the message's frame to b.
func AppendFrame(b []byte, m Message) ([]byte, error) {
	var body bytes.Buffer
	if err := encode(&body, m); err != nil {
		return b, err
	}
	size := envelopeBytes + body.Len()
	if size > MaxFrameBytes {
		return b, errors.Wrapf(ErrFrameSize, "encode %T of %d bytes", m, size)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	b = append(b, Version, byte(m.kind()))
	return append(b, body.Bytes()...), nil
}

// WriteFrame writes the message as one frame in a single Write.
func WriteFrame(w io.Writer, m Message) error {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return errors.Wrapf(err, "write %T", m)
}

// ReadFrame reads one frame. It returns io.EOF when the stream ends between
// frames.
func ReadFrame(r io.Reader) (Message, error) {
	size, err := readLength(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r, size)
	if err != nil {
		return nil, err
	}
	if body[0] != Version {
		return nil, errors.Wrapf(ErrVersion, "read frame of version %d", body[0])
	}
	return decode(kind(body[1]), body[envelopeBytes:])
}

func readLength(r io.Reader) (int, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return 0, errors.Wrap(ErrTruncated, "read frame length")
		}
		return 0, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size < envelopeBytes || size > MaxFrameBytes {
		return 0, errors.Wrapf(ErrFrameSize, "read frame of %d bytes, at most %d accepted", size, MaxFrameBytes)
	}
	return int(size), nil
}

func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, readChunkBytes))
	for len(body) < size {
		start := len(body)
		body = append(body, make([]byte, min(size-start, readChunkBytes))...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return nil, errors.Wrapf(ErrTruncated, "read frame of %d bytes", size)
			}
			return nil, errors.Wrap(err, "read frame")
		}
	}
	return body, nil
}
