// Program rig plays the cases of the review that are scripts. It starts the gateways as the
// deploy file does, with stand-ins of the platform's store, of servers and of consumers, and
// judges what these have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

func main() {
	cases := map[string]func(r *rig, trouble bool) []string{
		"scale-in": scaleIn, "storm": storm, "paths": paths,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	r := newRig()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		check(errors.New("ended from outside, or after too long"))
	}()
	broken := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		r.note("BROKEN %s", line)
	}
	if len(broken) == 0 {
		r.note("the rule held")
	}
	r.end()
	r.writeRecord(os.Args[2])
	if len(broken) > 0 {
		for i, line := range broken {
			if i < 5 {
				fmt.Println("BROKEN", line)
			}
		}
		fmt.Println(len(broken), "in all")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
