package gateway

import (
	"os"

	"github.com/chestnutline/chestnutline/internal/backpressure"
	"github.com/chestnutline/chestnutline/internal/balance"
	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/httpcall"
	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/platform"
)

// Settings holds the settings of the process itself. What the platform defines
// for this host, such as its addresses and limits, is in the platform's
// settings file.
type Settings struct {
	File     string `env:"CHESTNUTLINE_SETTINGS" flag:"settings" help:"path of the platform's settings file (TOML)"`
	Metrics  string `env:"CHESTNUT_METRICS" flag:"metrics" default:"127.0.0.1:9464" help:"address of metrics and state dump (ip:port)"`
	Policy   string `env:"CHESTNUT_POLICY" flag:"policy" default:"predict" help:"placement: predict, or plain for comparisons"`
	LogLevel string `env:"CHESTNUT_LOG_LEVEL" flag:"log-level" default:"info" help:"least level logged: debug, info, warn or error"`

	// platformSettings is the content of File; Validate reads it.
	platformSettings platform.Settings
	// upstreamDialer opens the connections to servers; nil means a plain one.
	upstreamDialer httpcall.Dialer
	// slowCallers bounds what callers that read slowly cost; nil means the default.
	slowCallers *backpressure.Limits
}

// slowCallerLimits returns the limits for callers that read slowly.
func (s *Settings) slowCallerLimits() backpressure.Limits {
	if s.slowCallers != nil {
		return *s.slowCallers
	}
	return backpressure.Default()
}

// Level returns the name of the least severe level that is logged. It
// implements daemon.Settings.
func (s *Settings) Level() string { return s.LogLevel }

// Validate reads the platform's settings file and returns every problem of the
// settings. It implements settings.Validator.
func (s *Settings) Validate() finding.List {
	var findings finding.List
	settings.CheckAddress(&findings, "--metrics", s.Metrics)
	if policy := balance.Policy(s.Policy); policy != balance.PolicyPredict && policy != balance.PolicyPlain {
		findings.Add("--policy", "must be predict or plain, not "+s.Policy)
	}
	if s.File == "" {
		findings.Add("--settings", "is missing; it or "+platform.SettingsVariable+" names the platform's settings file")
		return findings
	}
	if _, err := os.Stat(s.File); err != nil {
		findings.Add("--settings", err.Error())
		return findings
	}
	platformSettings, err := platform.ReadSettings(s.File)
	if err != nil {
		findings.Add("--settings", err.Error())
	}
	s.platformSettings = platformSettings
	return findings
}
