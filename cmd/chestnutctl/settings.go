package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/chestnutline/chestnutline/internal/configuration"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/platform"
)

// noSettings is the settings struct of commands without flags of their own.
type noSettings struct{}

// diffSettings holds the flags of diff.
type diffSettings struct {
	Platform string `env:"CHESTNUT_PLATFORM" flag:"platform" help:"base URL of the platform's object API, required"`
}

// Validate implements settings.Validator.
func (s *diffSettings) Validate() finding.List {
	var l finding.List
	checkPlatform(&l, s.Platform)
	return l
}

// submitSettings holds the flags of submit.
type submitSettings struct {
	Platform string        `env:"CHESTNUT_PLATFORM" flag:"platform" help:"base URL of the platform's object API, required"`
	Admin    []string      `env:"CHESTNUTCTL_ADMIN" flag:"admin" help:"admin addresses of all hosts (ip:port, separated by commas)"`
	Base     uint64        `env:"CHESTNUTCTL_BASE" flag:"base" default:"0" help:"version that the change is based on; 0 for the first"`
	Author   string        `env:"CHESTNUTCTL_AUTHOR" flag:"author" help:"who makes the change, required"`
	Note     string        `env:"CHESTNUTCTL_NOTE" flag:"note" help:"what the change is for"`
	Wait     time.Duration `env:"CHESTNUTCTL_WAIT" flag:"wait" default:"60s" help:"longest time to wait until the version is in force everywhere (duration such as 60s); 0s does not wait"`
}

// Validate implements settings.Validator.
func (s *submitSettings) Validate() finding.List {
	var l finding.List
	checkPlatform(&l, s.Platform)
	checkAdmin(&l, s.Admin)
	if len(s.Admin) == 0 && s.Wait > 0 {
		l.Add("--admin", "is missing; name the hosts' admin addresses, or give --wait 0s not to wait for them")
	}
	if s.Author == "" || len(s.Author) > configuration.MaxAuthorBytes {
		l.Add("--author", fmt.Sprintf("has %d bytes; use 1 to %d", len(s.Author), configuration.MaxAuthorBytes))
	}
	if len(s.Note) > configuration.MaxNoteBytes {
		l.Add("--note", fmt.Sprintf("has %d bytes; use at most %d", len(s.Note), configuration.MaxNoteBytes))
	}
	if s.Wait < 0 {
		l.Add("--wait", "must not be negative")
	}
	return l
}

// statusSettings holds the flags of status.
type statusSettings struct {
	Platform string   `env:"CHESTNUT_PLATFORM" flag:"platform" help:"base URL of the platform's object API, required"`
	Admin    []string `env:"CHESTNUTCTL_ADMIN" flag:"admin" help:"admin addresses of all hosts (ip:port, separated by commas)"`
}

// Validate implements settings.Validator.
func (s *statusSettings) Validate() finding.List {
	var l finding.List
	checkPlatform(&l, s.Platform)
	checkAdmin(&l, s.Admin)
	return l
}

// hostSettings holds the flags of dump and account, which only ask hosts.
type hostSettings struct {
	Admin []string `env:"CHESTNUTCTL_ADMIN" flag:"admin" help:"admin addresses of all hosts (ip:port, separated by commas), required"`
}

// Validate implements settings.Validator.
func (s *hostSettings) Validate() finding.List {
	var l finding.List
	checkAdmin(&l, s.Admin)
	if len(s.Admin) == 0 {
		l.Add("--admin", "is missing; name the hosts' admin addresses")
	}
	return l
}

// checkPlatform adds a finding if the base URL of the object API is missing or invalid.
func checkPlatform(l *finding.List, url string) {
	if url == "" {
		l.Add("--platform", "is missing; give the object API's base URL, such as http://10.0.0.1:7000")
		return
	}
	if _, err := platform.NewClient(platform.ClientConfig{BaseURL: url}); err != nil {
		l.Add("--platform", err.Error())
	}
}

// checkAdmin adds a finding for each admin address that is not of the form ip:port.
func checkAdmin(l *finding.List, addresses []string) {
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			l.Add("--admin", fmt.Sprintf("%q must be ip:port", address))
		}
	}
}
