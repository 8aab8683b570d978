// Command review-kit runs one scenario of the review against processes of the project.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
)

// scenarios holds the scenario of each case by its name.
var scenarios = map[string]func(*kit){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-kit SCENARIO FOLDER")
		os.Exit(2)
	}
	run := scenarios[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(2)
	}
	run(newKit(os.Args[2]))
}

// maxKept bounds what a consumer keeps of one answer.
const maxKept = 64 << 20

func readAll(response *http.Response) ([]byte, error) {
	return io.ReadAll(io.LimitReader(response.Body, maxKept))
}
