package gateway

import (
	"os"

	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/platform"
)

// Settings are the process's own; what the platform tells is in its file.
type Settings struct {
	File     string `env:"CHESTNUTLINE_SETTINGS" flag:"settings" help:"path of the platform's settings file (TOML)"`
	Metrics  string `env:"CHESTNUT_METRICS" flag:"metrics" default:"127.0.0.1:9464" help:"address of metrics and state dump (ip:port)"`
	Policy   string `env:"CHESTNUT_POLICY" flag:"policy" default:"predict" help:"placement: predict, or plain for comparisons"`
	LogLevel string `env:"CHESTNUT_LOG_LEVEL" flag:"log-level" default:"info" help:"least level logged: debug, info, warn or error"`

	// surroundings is the content of File.
	surroundings platform.Settings
}

// Level implements daemon.Settings.
func (s *Settings) Level() string { return s.LogLevel }

// Validate implements settings.Validator; it reads the settings file.
func (s *Settings) Validate() finding.List {
	var l finding.List
	settings.CheckAddress(&l, "--metrics", s.Metrics)
	if p := balance.Policy(s.Policy); p != balance.PolicyPredict && p != balance.PolicyPlain {
		l.Add("--policy", "must be predict or plain, not "+s.Policy)
	}
	if s.File == "" {
		l.Add("--settings", "is missing; it or "+platform.SettingsVariable+" names the platform's settings file")
		return l
	}
	if _, err := os.Stat(s.File); err != nil {
		l.Add("--settings", err.Error())
		return l
	}
	read, err := platform.ReadSettings(s.File)
	if err != nil {
		l.Add("--settings", err.Error())
	}
	s.surroundings = read
	return l
}
