package wire

import (
	"bytes"
	"io"
	"reflect"
	"testing"

	"github.com/pkg/errors"
)

// sampleMessages returns messages of every kind but TopicMessage. Of the two
// heartbeats, one has few fields set and the other one has all of them.
func sampleMessages() []Message {
	member := Member{Host: "lim-a-1", DataCentre: "lim-a", Address: "127.0.0.1:7001", Incarnation: 1764800000000, Refutation: 2, State: Suspect}
	return []Message{
		Hello{Address: "127.0.0.1:7001"},
		Ping{},
		Pong{},
		Heartbeat{Host: "lim-a-1", Incarnation: 7, TableHash: 9, ConfigVersion: 11},
		Heartbeat{
			Host: "lim-a-1", Incarnation: 1764800000000, Refutation: 1, State: Leaving, Probe: true,
			TableHash: 1 << 31, ConfigVersion: 1 << 40, Members: []Member{member, member},
			Loads:            []UpstreamLoad{{Upstream: "engine-17", Requests: 3, PrefillTokens: 900_000, MemoryTokens: 1_000_000}},
			HasUpstreamLists: true, SuspectedUpstreams: []string{"engine-1"}, LeavingUpstreams: []string{"engine-2", "engine-3"},
			Contacts: []Contact{{DataCentre: "lim-b", AgeMillis: 1200}},
		},
		SyncRequest{Host: "lim-a-1", Sections: []SectionSummary{{DataCentre: "lim-b", Hash: 5, VersionSum: 1 << 50}}},
		SyncOffer{Host: "lim-a-1", DataCentre: "lim-b", EntryHashes: []uint32{1, 1 << 31}},
		SyncFetch{Host: "lim-a-1", DataCentre: "lim-b", EntryHashes: []uint32{1 << 31}},
		SyncReply{Host: "lim-a-1", Members: []Member{member}},
	}
}

func encodeFrame(t testing.TB, m Message) []byte {
	t.Helper()
	frame, err := AppendFrame(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestReadFrameReturnsWrittenMessagesInOrder(t *testing.T) {
	var stream bytes.Buffer
	for _, m := range sampleMessages() {
		if err := WriteFrame(&stream, m); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range sampleMessages() {
		got, err := ReadFrame(&stream)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %#v, %v; want %#v", got, err, want)
		}
	}
	if _, err := ReadFrame(&stream); err != io.EOF {
		t.Fatalf("at the end: got %v, want io.EOF", err)
	}
}

func TestReadFrameRejectsTruncatedFrames(t *testing.T) {
	for _, m := range sampleMessages() {
		frame := encodeFrame(t, m)
		for n := 1; n < len(frame); n++ {
			if _, err := ReadFrame(bytes.NewReader(frame[:n])); !errors.Is(err, ErrTruncated) {
				t.Fatalf("%T cut to %d of %d bytes: got %v, want ErrTruncated", m, n, len(frame), err)
			}
		}
	}
}

func TestReadFrameRejectsInvalidFrames(t *testing.T) {
	heartbeat := encodeFrame(t, Heartbeat{Host: "h"})
	cases := []struct {
		name  string
		frame []byte
		want  error
	}{
		{"length zero", []byte{0, 0, 0, 0}, ErrFrameSize},
		{"length beyond the bound", []byte{0, 1, 0, 1, Version, byte(kindPing)}, ErrFrameSize},
		{"length of four gigabytes", []byte{0xff, 0xff, 0xff, 0xff, Version, byte(kindPing)}, ErrFrameSize},
		{"unknown version", []byte{0, 0, 0, 2, Version + 1, byte(kindPing)}, ErrVersion},
		{"unknown kind", []byte{0, 0, 0, 2, Version, 99}, ErrKind},
		{"bytes left over", []byte{0, 0, 0, 3, Version, byte(kindPing), 0}, ErrMalformed},
		{"empty heartbeat", []byte{0, 0, 0, 2, Version, byte(kindHeartbeat)}, ErrMalformed},
		{"huge string", []byte{0, 0, 0, 7, Version, byte(kindHello), 0xdb, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		{"huge list", []byte{0, 0, 0, 8, Version, byte(kindSyncReply), 0xa0, 0xdd, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		{"negative incarnation", withByteAt(heartbeat, HeaderBytes+2, 0xff), ErrMalformed},
		{"state out of range", withByteAt(heartbeat, HeaderBytes+4, 9), ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if m, err := ReadFrame(bytes.NewReader(c.frame)); !errors.Is(err, c.want) {
				t.Fatalf("got %#v, %v; want %v", m, err, c.want)
			}
		})
	}
}

// withByteAt returns a copy of the frame with one byte changed.
func withByteAt(frame []byte, index int, value byte) []byte {
	changed := bytes.Clone(frame)
	changed[index] = value
	return changed
}

func TestSizeEqualsFrameLength(t *testing.T) {
	long := Heartbeat{Host: string(make([]byte, 40)), Members: make([]Member, 20), ConfigVersion: 300, TableHash: 200}
	for _, m := range append(sampleMessages(), long) {
		if got, want := Size(m), len(encodeFrame(t, m)); got != want {
			t.Errorf("%T: got %d bytes, want %d", m, got, want)
		}
	}
}

func TestAppendFrameRejectsOversizedMessage(t *testing.T) {
	long := make([]Member, MaxFrameBytes)
	if _, err := AppendFrame(nil, SyncReply{Members: long}); !errors.Is(err, ErrFrameSize) {
		t.Fatalf("got %v, want ErrFrameSize", err)
	}
}

// FuzzReadFrame checks that ReadFrame returns for any input, and that a message
// it accepts is the same after it was encoded and decoded again.
func FuzzReadFrame(f *testing.F) {
	for _, m := range sampleMessages() {
		f.Add(encodeFrame(f, m))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, Version, byte(kindPing)})
	f.Add([]byte{0, 0, 0, 7, Version, byte(kindHello), 0xdb, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		again, err := ReadFrame(bytes.NewReader(encodeFrame(t, m)))
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("accepted %#v, then %#v, %v", m, again, err)
		}
	})
}
