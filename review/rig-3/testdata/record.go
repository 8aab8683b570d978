package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	w     *bufio.Writer
	lines int
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, w: bufio.NewWriter(file)}, nil
}

// log writes one line.
func (r *record) log(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, arguments...)
}

// line writes one line, up to a number of lines. The caller holds mu.
func (r *record) line(format string, arguments ...any) {
	const maxLines = 5000
	if r.lines++; r.lines > maxLines {
		return
	}
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.w, format+"\n", arguments...)
}

// say writes a line and prints it.
func (r *record) say(format string, arguments ...any) {
	r.mu.Lock()
	r.lines = 0
	r.line(format, arguments...)
	r.mu.Unlock()
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) addRun(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("run     %s at %s: %s %s tenant=%s", x.id, x.server, x.method, x.target, x.tenant)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
