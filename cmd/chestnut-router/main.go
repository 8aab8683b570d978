// Command chestnut-router runs an entry host, which accepts callers' requests
// and routes them to engines and services.
//
// Exit codes: 0 after a graceful stop; 1 if running failed or the drain limit
// passed; 2 for invalid flags, variables or arguments.
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
