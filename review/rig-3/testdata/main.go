// Command rig runs the cases of the scripts: it starts the project's program, stand-ins of
// the platform and of servers, and consumers.
package main

import (
	"flag"
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"crowd": crowd, "parts": parts,
}

// Exit codes.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

func main() {
	name := flag.String("case", "", "the case to run")
	dir := flag.String("dir", ".", "the folder of record.txt")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := run(rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		rec.say("the case couldn't run: %v", err)
		code = exitNotRun
	case broken:
		rec.say("the rule was broken")
		code = exitBroken
	default:
		rec.say("the rule held")
	}
	rec.close()
	os.Exit(code)
}
