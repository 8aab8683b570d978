package bench

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/chestnutline/chestnutline/intent"
	"github.com/chestnutline/chestnutline/internal/bench/client"
	"github.com/chestnutline/chestnutline/internal/bench/fleet"
	"github.com/chestnutline/chestnutline/internal/bench/report"
	"github.com/chestnutline/chestnutline/internal/bench/workload"
	"github.com/chestnutline/chestnutline/internal/standin/answer"
)

const routerProgram = "chestnut-router"

// TestMain runs the fake router if the test binary was started under the name of
// the router program.
func TestMain(m *testing.M) {
	if filepath.Base(os.Args[0]) == routerProgram {
		os.Exit(runFakeRouter())
	}
	os.Exit(m.Run())
}

// buildPrograms creates a directory that contains the stand-ins and the fake
// router, which is a link to the test binary.
func buildPrograms(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	build := exec.Command("go", "build", "-o", directory, "github.com/chestnutline/chestnutline/cmd/chestnut-standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building the stand-ins: %v\n%s", err, out)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(self, filepath.Join(directory, routerProgram)); err != nil {
		t.Fatal(err)
	}
	return directory
}

// acceptAllSubmitter accepts every configuration without storing it.
type acceptAllSubmitter struct{}

func (acceptAllSubmitter) Submit(_ context.Context, _ string, _ *intent.Configuration, base uint64) (uint64, error) {
	return base + 1, nil
}

func newOptions(t *testing.T, directory, policy string) Options {
	return Options{
		Policy: policy, Seed: 1, Load: 0.2, Duration: 4 * time.Second,
		Engine: workload.Engine{
			BaseStepSeconds: 0.018, PrefillRate: 160_000, ChunkTokens: 4_096,
			MemoryTokens: 400_000, MaxBatch: 128,
		},
		Token: answer.AnswerToken, Submitter: acceptAllSubmitter{},
		Programs: directory, Logs: t.TempDir(), Progress: io.Discard,
		Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
}

// printLogs prints the logs of the started processes.
func printLogs(t *testing.T, directory string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil && len(text) > 0 {
			t.Logf("%s:\n%s", filepath.Base(file), text)
		}
	}
}

// TestDemoAcceptsOnlyCorrectRouter guards against a demonstration that misses a
// fault: a correct router must pass, and each router that breaks one promise must
// fail.
func TestDemoAcceptsOnlyCorrectRouter(t *testing.T) {
	directory := buildPrograms(t)
	for _, policy := range []string{policyCorrect, policyRunTwice, policyMixAnswers, policyDenyRun, policySkipRun} {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			o := newOptions(t, directory, policy)
			err := Demo(context.Background(), o, &out)
			if (err == nil) != (policy == policyCorrect) {
				t.Errorf("demo ended with %v:\n%s", err, out.String())
				printLogs(t, o.Logs)
			}
		})
	}
}

func TestRunReportContainsMeasures(t *testing.T) {
	o := newOptions(t, buildPrograms(t), policyCorrect)
	o.Deployment = workload.Moderation().WithSize(2, 4, 4)
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.TTFTSeconds[report.ClassAll] == nil || r.ShortSlowdownP95 == nil || r.InTimeShareWeighted == nil || r.StoreCallsPerSecond == nil {
		t.Errorf("the report lacks measures: %+v", r)
	}
	if *r.AnswersMixed != 0 || *r.ActionsDoneTwice != 0 || *r.FalseNotRun != 0 || *r.MemoryLeftBytes != 0 {
		t.Errorf("faults were reported for a correct router: %+v", r)
	}
	if r.ConfigReverted != nil || r.LeavingQuietSeconds != nil {
		t.Error("measures of scenarios are reported without one")
	}
}

// TestCountersRevealFaultsHiddenFromCallers guards against two faults that only
// the counters of the stand-ins show: an action that ran twice, also under a
// changed key, and a request that ran although its caller was told that it had
// not.
func TestCountersRevealFaultsHiddenFromCallers(t *testing.T) {
	outcomes := []client.Outcome{
		{Request: &workload.Request{IdempotencyKey: "a"}, ProblemOutcome: client.ProblemNotRun, RequestID: "r1"},
		{Request: &workload.Request{IdempotencyKey: "a"}, IsRepeat: true, ProblemOutcome: client.ProblemUnknown, RequestID: "r2"},
		{Request: &workload.Request{IdempotencyKey: "b"}, ProblemOutcome: client.ProblemNotRun, RequestID: "r3"},
		{Request: &workload.Request{}, Result: client.Delivered, RequestID: "r4"},
	}
	counts := fleet.Counts{Services: []fleet.ServiceCounters{
		{RunsByKind: map[string]int{"order": 1}, RunsByRequest: map[string]int{"r1": 1}, RunsByKey: map[string]int{"a": 1}},
		{RunsByKind: map[string]int{"order": 1}, RunsByRequest: map[string]int{"r2": 1, "r4": 1}, RunsByKey: map[string]int{"a": 1}},
	}}
	var r report.Report
	checkCounters(&r, workload.OrderDesk(), counts, outcomes)
	if *r.ActionsDoneTwice != 1 || *r.FalseNotRun != 1 {
		t.Errorf("twice %d, false not_run %d", *r.ActionsDoneTwice, *r.FalseNotRun)
	}
	for i, key := range []string{"x", "y"} {
		counts.Services[i].RunsByKey = map[string]int{key: 1}
	}
	checkCounters(&r, workload.OrderDesk(), counts, outcomes[:2])
	if *r.ActionsDoneTwice != 1 {
		t.Errorf("twice %d although one key was used and two actions ran", *r.ActionsDoneTwice)
	}
}

func TestFalseNotRunIsUnmeasuredWithoutCommonIDs(t *testing.T) {
	var r report.Report
	checkCounters(&r, workload.OrderDesk(), fleet.Counts{}, []client.Outcome{
		{Request: &workload.Request{}, Result: client.Delivered, RequestID: "r1"},
	})
	if r.FalseNotRun != nil || len(r.Notes) != 1 {
		t.Errorf("false not_run %v, notes %v", r.FalseNotRun, r.Notes)
	}
}

// TestReversionIsDetectedAcrossHostReplacement guards against missing a host
// whose replaced router becomes ready with an older version. A router that is not
// ready yet may have any version.
func TestReversionIsDetectedAcrossHostReplacement(t *testing.T) {
	watcher := &versionWatcher{latestStatus: make(map[string]fleet.RouterStatus), highestVersion: make(map[string]uint64)}
	watcher.recordStatus("h", fleet.RouterStatus{ConfigVersion: 5, Ready: true})
	watcher.dropStatus("h")
	watcher.recordStatus("h", fleet.RouterStatus{ConfigVersion: 0})
	watcher.recordStatus("h", fleet.RouterStatus{ConfigVersion: 5, Ready: true})
	if n, _ := watcher.Reverted(); n != 0 {
		t.Fatalf("%d reversions of a host that learns its version before it is ready", n)
	}
	watcher.recordStatus("h", fleet.RouterStatus{ConfigVersion: 4, Ready: true})
	if n, _ := watcher.Reverted(); n != 1 {
		t.Fatalf("%d reversions seen of one", n)
	}
}
