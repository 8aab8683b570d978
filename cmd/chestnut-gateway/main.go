// Command chestnut-gateway is the process that runs on each entry host of the
// users' platform. It receives routed requests and forwards them to engines and
// services.
//
// Exit codes: 0 after a graceful stop, 1 when running failed, 2 for bad flags,
// variables or settings.
package main

import (
	"os"

	"github.com/apex/log"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/daemon"
	"github.com/chestnutline/chestnutline/internal/gateway"
)

func main() {
	var s gateway.Settings
	description := "takes routed requests and forwards them to engines and services"
	os.Exit(daemon.Main("chestnut-gateway", description, &s, func(l log.Interface, g *run.Group) error {
		p, err := gateway.New(s, l)
		if err != nil {
			return err
		}
		return p.AddTo(g)
	}))
}
