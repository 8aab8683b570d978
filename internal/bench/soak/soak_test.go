package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// buildGateway builds the gateway program and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "chestnut-gateway")
	build := exec.Command("go", "build", "-o", path, "github.com/chestnutline/chestnutline/cmd/chestnut-gateway")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// soakSeeds are the seeds that CI runs. A seed with which the soak test once failed
// stays in the list, with the cause of the failure.
var soakSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "never failed"},
	{102, "the stand-in counted requests that it refused as run"},
	{1003, "prompts with one part crashed server after server"},
}

// TestShortSoak runs soak tests with fixed seeds. The history and the logs of one
// that fails are kept.
func TestShortSoak(t *testing.T) {
	program := buildGateway(t)
	for _, s := range soakSeeds {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, program, s.seed)
		})
	}
}

// runSoak carries out one soak test and fails if a guarantee was violated.
func runSoak(t *testing.T, program string, seed uint64) {
	g := NewWithT(t)
	directory, err := os.MkdirTemp("", "chestnut-soak-")
	g.Expect(err).NotTo(HaveOccurred())
	c := DefaultConfig()
	c.Seed, c.Length, c.Gateway, c.Directory = seed, 8*time.Second, program, directory
	report, err := Run(context.Background(), c)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%d faults, %d requests, %d served", report.Faults, report.Requests, report.Succeeded)
	if len(report.Violations) > 0 {
		g.Expect(report.History.Write(directory)).To(Succeed())
		t.Fatalf("logs in %s: %v", directory, report.Violations)
	}
	g.Expect(os.RemoveAll(directory)).To(Succeed())
}

func TestInvalidConfigIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := Run(context.Background(), Config{})
	for _, place := range []string{"Length", "Hosts", "Callers", "Engines", "Desks", "FaultEvery", "Gateway", "Directory"} {
		g.Expect(err).To(MatchError(ContainSubstring(place)))
	}
}
