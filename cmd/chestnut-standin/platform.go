package main

import (
	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/logevent"
	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/internal/standin/platform"
)

// platformCommand returns the subcommand platform.
func platformCommand() command {
	s := &platform.Config{}
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "runs a stand-in of the platform's object API and host list"
	return command{
		sub: sub, binding: settings.Bind(sub, s),
		extraCheck: func() finding.List {
			var findings finding.List
			checkLoopback(&findings, "--listen", s.Listen)
			return findings
		},
		run: func(logger log.Interface, group *run.Group) error { return runPlatform(*s, logger, group) },
	}
}

// runPlatform adds the server of the stand-in platform to the group.
func runPlatform(config platform.Config, logger log.Interface, group *run.Group) error {
	address, err := addServer(group, config.Listen, platform.NewServer(config).Handler())
	if err != nil {
		return err
	}
	logevent.StandinsStarted.Emit(logger, log.Fields{
		"role": "platform", "count": 1, "first": address, "control": address, "data_centre": "",
	})
	return nil
}
