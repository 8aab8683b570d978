// Package wire implements the protocol between hosts: versioned,
// length-prefixed frames on a byte stream, each of which holds one typed
// message encoded in msgpack.
//
// A frame consists of a length of four bytes (big endian, the number of bytes
// that follow), one byte with the protocol version, one byte with the kind of
// the message, and the message. Input from the network is untrusted: a frame
// that is oversized, truncated, of an unknown version or kind, or whose message
// exceeds a limit is rejected with an error, and memory is allocated only in
// proportion to the bytes that have arrived. After an error the position in the
// stream is undefined, so the caller must close the stream.
package wire

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

const (
	// Version is the protocol version that every frame carries. Frames of any
	// other version are rejected.
	Version = 1
	// MaxFrameBytes is the maximum value of a frame's length, which counts the
	// bytes after the length itself.
	MaxFrameBytes = 64 << 10
	// HeaderBytes is the size of a frame's header: length, version and kind.
	HeaderBytes = lengthBytes + envelopeBytes

	lengthBytes = 4
	// envelopeBytes is the size of version and kind, which the length counts.
	envelopeBytes = 2
	// readChunkBytes is the most memory that is allocated before the bytes for
	// it have arrived.
	readChunkBytes = 4 << 10
)

// Errors that ReadFrame, WriteFrame and AppendFrame return, wrapped with
// details.
var (
	// ErrFrameSize reports that the length of a frame is out of bounds.
	ErrFrameSize = errors.New("frame length out of bounds")
	// ErrVersion reports that a frame has an unknown protocol version.
	ErrVersion = errors.New("unknown protocol version")
	// ErrKind reports that a frame has, or a message would need, an unknown
	// message kind.
	ErrKind = errors.New("unknown message kind")
	// ErrTruncated reports that the stream ended within a frame.
	ErrTruncated = errors.New("frame truncated")
	// ErrMalformed reports that a message cannot be decoded or exceeds a limit.
	ErrMalformed = errors.New("malformed message")
)

// AppendFrame encodes the message as a frame and appends it to b. On an error
// it returns b unchanged.
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

// WriteFrame encodes the message as one frame and writes it in a single call of
// Write.
func WriteFrame(w io.Writer, m Message) error {
	frame, err := AppendFrame(nil, m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return errors.Wrapf(err, "write %T", m)
}

// ReadFrame reads one frame and decodes its message. It returns io.EOF when the
// stream ends between two frames, and ErrTruncated when it ends within one.
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

// readLength reads the length of the next frame and checks its bounds.
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

// readBody reads the size bytes that follow the length. It grows the buffer
// only as bytes arrive, so that a false length cannot claim much memory.
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
