package gateway

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// freeAnswerBytes is what a request may hold of its answer without a charge: it is a
	// part of what each request costs.
	freeAnswerBytes = 16 << 10
	// firstPieceBytes and bufferPieceBytes are the sizes of the first and of the further
	// pieces in which an answer is buffered. Most answers fit into the first one.
	firstPieceBytes  = 4 << 10
	bufferPieceBytes = 16 << 10
)

// errNoMemory is the error of an answer that had to give way because the host has no memory
// left.
var errNoMemory = errors.New("no memory left for the answer")

// holding is a share of the host's memory; see memory.Holding.
type holding interface {
	Grow(bytes int64) error
	Release()
}

// heldMemory charges what a request holds of its answer to the host's memory. The share is
// opened with the first charge.
type heldMemory struct {
	// open opens a share; nil stands for memory without a limit. giveWay is called when
	// another holder needs the memory more.
	open    func(giveWay func()) holding
	giveWay func()

	mu    sync.Mutex
	share holding
}

// Grow and Release make a heldMemory the memory of a connection between hosts.
func (m *heldMemory) Grow(bytes int64) error { return m.grow(bytes) }

// Release ends all charges.
func (m *heldMemory) Release() { m.release() }

// grow charges more bytes, before they are held. It returns an error if there is no room.
func (m *heldMemory) grow(bytes int64) error {
	if m.open == nil || bytes <= 0 {
		return nil
	}
	m.mu.Lock()
	if m.share == nil {
		m.share = m.open(m.giveWay)
	}
	share := m.share
	m.mu.Unlock()
	// The budget may call giveWay, which must not meet the lock.
	return share.Grow(bytes)
}

// release ends all charges.
func (m *heldMemory) release() {
	m.mu.Lock()
	share := m.share
	m.share = nil
	m.mu.Unlock()
	if share != nil {
		share.Release()
	}
}

// bufferedBody is the beginning of an answer in pieces, or all of it.
type bufferedBody struct {
	pieces [][]byte
	size   int
	// whole is true if the answer ended within the limit and there was memory for it.
	whole bool
}

// readBuffered reads an answer until it ends, reaches the limit or finds no memory. It
// charges each piece before it reads it.
func readBuffered(r io.Reader, limit int, memory *heldMemory) (bufferedBody, error) {
	var b bufferedBody
	for next := firstPieceBytes; b.size < limit; next = bufferPieceBytes {
		if b.size >= freeAnswerBytes && memory.grow(bufferPieceBytes) != nil {
			return b, nil
		}
		piece, err := readPiece(r, min(next, limit-b.size))
		b.size += len(piece)
		b.pieces = append(b.pieces, piece)
		if errors.Is(err, io.EOF) {
			b.whole = true
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
	return b, nil
}

// readPiece reads up to size bytes. Unlike io.ReadFull, it keeps the end of an answer apart
// from its break.
func readPiece(r io.Reader, size int) ([]byte, error) {
	piece := make([]byte, 0, size)
	for len(piece) < size {
		n, err := r.Read(piece[len(piece):size])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}
