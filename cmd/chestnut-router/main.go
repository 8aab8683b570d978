// Command chestnut-router is the entry host's process: callers come in here.
//
// Exit codes: 0 after a graceful stop, 1 when running failed or the drain limit
// passed, 2 for bad flags, variables or arguments.
package main

import (
	"os"

	"github.com/apex/log"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/daemon"
	"github.com/chestnutline/chestnutline/internal/host"
)

func main() {
	var s host.Settings
	description := "takes callers' requests and routes them to engines and services"
	os.Exit(daemon.Main("chestnut-router", description, &s, func(l log.Interface, g *run.Group) error {
		p, err := host.New(s, l)
		if err != nil {
			return err
		}
		return p.AddTo(g)
	}))
}
