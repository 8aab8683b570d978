package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/chestnutline/chestnutline/internal/engine"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/settings"
)

// programVariable is the environment variable that makes the test binary run the
// program instead of the tests.
const programVariable = "CHESTNUT_STANDIN_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		os.Exit(execute(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program with the arguments, for
// at most a minute.
func programCommand(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	c := exec.CommandContext(ctx, os.Args[0], args...)
	c.Env = append(os.Environ(), programVariable+"=1")
	return c
}

func exitCode(err error) int {
	if exit, ok := err.(*exec.ExitError); ok {
		return exit.ExitCode()
	}
	return 0
}

// TestAllInvalidSettingsAreReported checks that one run reports the problems of
// all settings, not only the first.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	cases := map[string][]string{
		"engines --count 0 --ip 8.8.8.8 --scale 0 --step 0s": {"--count:", "--ip:", "--scale:", "--step:"},
		"services --service bakery --control nowhere":        {"--service:", "--control:"},
		"platform --writes-per-second -1 --listen 8.8.8.8:1": {"--writes-per-second:", "--listen:"},
		"engines --count many --event-loss none":             {"--count:", "--event-loss:"},
		"engines --unheard-of 3":                             {"Unknown arguments"},
		"":                                                   {"subcommand"},
	}
	for line, wanted := range cases {
		out, err := programCommand(t, strings.Fields(line)...).CombinedOutput()
		if code := exitCode(err); code != settings.ExitUsage {
			t.Errorf("%q: exit code %d", line, code)
		}
		for _, want := range wanted {
			if !strings.Contains(string(out), want) {
				t.Errorf("%q: no %q in %s", line, want, out)
			}
		}
	}
}

// freePort returns a port that was free when it was looked up; another process
// may take it before it is used.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return port
}

func TestEnginesServeAndStopCleanly(t *testing.T) {
	c := programCommand(t, "engines", "--base-port", freePort(t), "--control", "127.0.0.1:0", "--models", "judge@1")
	logs, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(logs)
	var started struct {
		Fields struct {
			First string `json:"first"`
		} `json:"fields"`
	}
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &started) != nil {
		t.Fatalf("first line of the log: %s", lines.Text())
	}
	client := engine.NewHTTPClient(httpcall.DefaultConfig())
	defer client.Close()
	status, err := client.Status(context.Background(), started.Fields.First)
	if err != nil || len(status.Models) != 1 {
		t.Fatalf("status %+v, %v", status, err)
	}
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v", err)
	}
}
