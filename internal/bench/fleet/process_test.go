package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const exitTimeout = 20 * time.Second

// TestCloseEndsEveryProcess guards against processes that survive the bench
// because they ignore SIGTERM or are suspended.
func TestCloseEndsEveryProcess(t *testing.T) {
	s := NewProcesses(t.TempDir())
	var all []*Process
	for name, script := range map[string]string{
		"willing":  "sleep 600",
		"stubborn": "trap '' TERM; while :; do sleep 0.1; done",
	} {
		p, err := s.Start(name, "/bin/sh", "-c", script)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
	}
	paused, err := s.Start("paused", "/bin/sleep", "600")
	if err != nil {
		t.Fatal(err)
	}
	if err := paused.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	s.Close(time.Second)
	for _, p := range append(all, paused) {
		if !p.Wait(exitTimeout) {
			t.Errorf("%s still runs", p.Name)
		}
	}
	if _, err := s.Start("late", "/bin/true"); err == nil {
		t.Error("a process was started after Close")
	}
}

func TestProcessOutputIsWrittenToLog(t *testing.T) {
	directory := t.TempDir()
	s := NewProcesses(directory)
	p, err := s.Start("speaker", "/bin/sh", "-c", "echo out; echo err >&2; exit 3")
	if err != nil {
		t.Fatal(err)
	}
	if !p.Wait(exitTimeout) || p.Err() == nil {
		t.Fatalf("ended with %v, want exit code 3", p.Err())
	}
	s.Close(time.Second)
	data, err := os.ReadFile(filepath.Join(directory, "speaker.log"))
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(data), "out") || !strings.Contains(string(data), "err") {
		t.Fatalf("log is %q", data)
	}
}

func TestAddressBlocksAreDistinct(t *testing.T) {
	first, err := NewAddressBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := NewAddressBlock()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if first.number == second.number {
		t.Fatalf("both runs have block %d", first.number)
	}
}
