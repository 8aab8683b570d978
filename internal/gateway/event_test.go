package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
)

// readEvents reads a body to its end, or to the first error, and returns the events.
func readEvents(body string) (events []string, err error) {
	reader := newEventReader(strings.NewReader(body))
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
		events = append(events, string(e.raw))
	}
}

// TestUnusualLinesOfSoundStreamsAreRead guards against sound streams that are broken off
// because an event does not consist of one id and one line of data.
func TestUnusualLinesOfSoundStreamsAreRead(t *testing.T) {
	longLine := "data: " + strings.Repeat("x", 200<<10) + "\n"
	for name, events := range map[string][]string{
		"version line first":   {"weight-versions: 4\nid: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"},
		"several data lines":   {"id: 0\ndata: a\ndata:\ndata: c\n\n"},
		"comments":             {": hello\n\n", "id: 0\n: within an event\ndata: a\n\n", ":\n\n", ": ünï\t\n\n"},
		"CRLF and no blanks":   {"id:0\r\ndata:a\r\n\r\n", "id:7\r\ndata:b\r\n\r\n"},
		"id last":              {"event: token\ndata: a\nid: 3\n\n"},
		"no value":             {"id: 0\ndata\n\n"},
		"reconnection time":    {"retry: 1000\n\n", "id: 0\ndata: a\n\n"},
		"any bytes as data":    {"id: 0\ndata: \x00\xff\xfe\r: {\n\n"},
		"long line":            {"id: 0\n" + longLine + "\n"},
		"gaps between the ids": {"id: 2\ndata: a\n\n", "id: 9\ndata: b\n\n"},
		"blank lines":          {"\n\r\nid: 2\ndata: a\n\n", "\n: comment\n\n", "\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			read, err := readEvents(strings.Join(events, ""))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read).To(Equal(events))
		})
	}
}

// TestBytesThatAreNoEventAreRejected guards against bytes without meaning that are passed
// on between the events of a stream since they end with a blank line.
func TestBytesThatAreNoEventAreRejected(t *testing.T) {
	const sound = "id: 4\ndata: a\n\n"
	random := rand.New(rand.NewPCG(1, 1))
	noise := make([]byte, 256<<10)
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	for name, bytes := range map[string]string{
		"random bytes":            string(noise),
		"blank line, then zeros":  "\n\r\n" + strings.Repeat("\x00", 100),
		"blank lines without end": strings.Repeat("\n", maxEventBytes+1),
		"zeros without end":       strings.Repeat("\x00", maxEventBytes),
		"letters without end":     strings.Repeat("x", maxEventBytes),
		"comment without end":     ":" + strings.Repeat("x", maxEventBytes),
		"binary comment":          ": \xff\xfe\n\n",
		"event without id":        "data: a\n\n",
		"text":                    "upstream failed\n\n",
		"text with a colon":       "error: upstream failed\n\n",
		"head of a response":      "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno",
		"headers of a response":   "Content-Length: 2\r\nRequest-Id: r\r\n\r\n",
		"the same id again":       sound,
		"a lower id":              "id: 3\ndata: a\n\n",
		"a negative id":           "id: -1\ndata: a\n\n",
		"an id that is none":      "id: x\ndata: a\n\n",
		"a JSON object":           `{"error":"no"}` + "\n\n",
		"an unfinished event":     "id: 5\nda",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			read, err := readEvents(sound + bytes)
			g.Expect(err).To(HaveOccurred())
			g.Expect(read).To(Equal([]string{sound}))
		})
	}
}

// TestBrokenConnectionEndsAStream guards against a reader that takes a broken connection for
// blank lines and reads on forever.
func TestBrokenConnectionEndsAStream(t *testing.T) {
	for _, read := range []string{"", "\n", "id: 0\ndata: a\n\n", "id: 0\nda"} {
		g := NewWithT(t)
		reader := newEventReader(io.MultiReader(strings.NewReader(read), iotest.ErrReader(io.ErrUnexpectedEOF)))
		var err error
		for range 3 {
			if _, err = reader.next(); err != nil {
				break
			}
		}
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), "%q", read)
	}
}
