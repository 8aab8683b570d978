package promise

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// programs is the directory with the programs under test, which run builds.
var programs string

// module is the root directory of the module, relative to this package.
const module = "../.."

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the programs under test, runs the tests and returns the exit code.
func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "promise-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "making a directory for the programs:", err)
		return 1
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory, "./cmd/chestnut-router", "./cmd/chestnut-standin")
	build.Dir = module
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
		return 1
	}
	programs = directory
	return m.Run()
}
