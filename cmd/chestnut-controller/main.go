// Command chestnut-controller gives the engines of a data centre their orders
// to load and unload models. It runs on every entry host; only the one that
// holds the data centre's lease gives orders.
//
// Exit codes: 0 after a graceful stop, 1 when running failed, 2 for invalid
// flags, variables or arguments.
package main

import (
	"os"

	"github.com/apex/log"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/controller/process"
	"github.com/chestnutline/chestnutline/internal/daemon"
)

func main() {
	var s process.Settings
	description := "gives the engines of a data centre their orders, while it holds the lease"
	os.Exit(daemon.Main("chestnut-controller", description, &s, func(l log.Interface, g *run.Group) error {
		p, err := process.New(s, l)
		if err != nil {
			return err
		}
		return p.AddTo(g)
	}))
}
