package main

import (
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/chestnutline/chestnutline/internal/finding"
	"github.com/chestnutline/chestnutline/internal/settings"
	"github.com/chestnutline/chestnutline/internal/standin/batch"
	"github.com/chestnutline/chestnutline/internal/standin/engine"
)

// engineSettings holds the flags of the subcommand engines.
type engineSettings struct {
	Count      int      `env:"CHESTNUT_ENGINE_COUNT" flag:"count" default:"1" help:"number of engines"`
	IP         string   `env:"CHESTNUT_ENGINE_IP" flag:"ip" default:"127.0.0.1" help:"loopback address of all engines"`
	BasePort   int      `env:"CHESTNUT_ENGINE_BASE_PORT" flag:"base-port" default:"9200" help:"port of the first engine; the others follow"`
	Control    string   `env:"CHESTNUT_ENGINE_CONTROL" flag:"control" default:"127.0.0.1:9190" help:"address for faults and counters (ip:port)"`
	DataCentre string   `env:"CHESTNUT_DATA_CENTRE" flag:"data-centre" default:"" help:"data centre, part of the engines' names"`
	Name       string   `env:"CHESTNUT_ENGINE_NAME" flag:"name" default:"engine" help:"start of the engines' names"`
	Models     []string `env:"CHESTNUT_ENGINE_MODELS" flag:"models" default:"" help:"models loaded from the start, model@version or model@version+adapter, with commas between"`

	Scale         float64       `env:"CHESTNUT_ENGINE_SCALE" flag:"scale" default:"1" help:"divides all simulated times"`
	Step          time.Duration `env:"CHESTNUT_ENGINE_STEP" flag:"step" default:"18ms" help:"time of a step without prefill"`
	PrefillRate   float64       `env:"CHESTNUT_ENGINE_PREFILL_RATE" flag:"prefill-rate" default:"160000" help:"prompt tokens a second"`
	ChunkTokens   int           `env:"CHESTNUT_ENGINE_CHUNK_TOKENS" flag:"chunk-tokens" default:"4096" help:"most prompt tokens in a step"`
	MaxBatch      int           `env:"CHESTNUT_ENGINE_MAX_BATCH" flag:"max-batch" default:"128" help:"most sequences in a step"`
	MaxWaiting    int           `env:"CHESTNUT_ENGINE_MAX_WAITING" flag:"max-waiting" default:"1024" help:"most works whose prompt is not yet processed"`
	MemoryTokens  int           `env:"CHESTNUT_ENGINE_MEMORY_TOKENS" flag:"memory-tokens" default:"400000" help:"KV memory in tokens"`
	KeepFinished  time.Duration `env:"CHESTNUT_ENGINE_KEEP_FINISHED" flag:"keep-finished" default:"10s" help:"time for which a finished answer can be resumed, not scaled"`
	EventDelay    time.Duration `env:"CHESTNUT_ENGINE_EVENT_DELAY" flag:"event-delay" default:"500ms" help:"delay of cache events"`
	EventLoss     float64       `env:"CHESTNUT_ENGINE_EVENT_LOSS" flag:"event-loss" default:"0.01" help:"share of cache events lost, 0 to 1"`
	ReportEvery   time.Duration `env:"CHESTNUT_ENGINE_REPORT_EVERY" flag:"report-every" default:"250ms" help:"interval between load reports"`
	ModelLoadTime time.Duration `env:"CHESTNUT_ENGINE_MODEL_LOAD_TIME" flag:"model-load-time" default:"4s" help:"time to load one model"`

	ChecksFencing     bool   `env:"CHESTNUT_ENGINE_CHECKS_FENCING" flag:"checks-fencing" default:"true" help:"refuse orders with an old fencing number (true or false)"`
	ReleaseAtDeadline bool   `env:"CHESTNUT_ENGINE_RELEASE_AT_DEADLINE" flag:"release-at-deadline" default:"false" help:"fail works past their deadline without a cancel (true or false)"`
	Seed              uint64 `env:"CHESTNUT_ENGINE_SEED" flag:"seed" default:"1" help:"seed of the loss of cache events"`
}

// Validate implements settings.Validator.
func (s *engineSettings) Validate() finding.List {
	var findings finding.List
	checkPorts(&findings, s.Count, s.BasePort)
	checkLoopbackIP(&findings, "--ip", s.IP)
	checkLoopback(&findings, "--control", s.Control)
	return append(findings, withFlagPlaces(s.config(0).Validate(), engineFlags)...)
}

// engineFlags maps each checked field of engine.Config and batch.Config to the
// flag that sets it.
var engineFlags = map[string]string{
	"Name": "--name", "Scale": "--scale", "BaseStep": "--step",
	"PrefillRate": "--prefill-rate", "ChunkTokens": "--chunk-tokens",
	"MaxBatch": "--max-batch", "MaxWaiting": "--max-waiting",
	"MemoryTokens": "--memory-tokens", "KeepFinished": "--keep-finished",
	"EventDelay": "--event-delay", "EventLoss": "--event-loss",
	"ReportEvery": "--report-every", "ModelLoadTime": "--model-load-time",
}

// config returns the configuration of the stand-in engine with the index i.
func (s *engineSettings) config(i int) engine.Config {
	name, address := nameAndAddress(s.Name, s.DataCentre, s.IP, s.BasePort, i)
	return engine.Config{
		Name: name, Address: address, Models: s.Models, Scale: s.Scale,
		ReportEvery: s.ReportEvery, ModelLoadTime: s.ModelLoadTime,
		ChecksFencing: s.ChecksFencing, ReleaseAtDeadline: s.ReleaseAtDeadline,
		Batch: s.batch(i),
	}
}

// batch returns the batch settings of the stand-in engine with the index i. Each
// engine has a seed of its own, so that they lose different cache events.
func (s *engineSettings) batch(i int) batch.Config {
	c := batch.DefaultConfig()
	c.MaxBatch, c.MaxWaiting = s.MaxBatch, s.MaxWaiting
	c.BaseStep, c.PrefillRate, c.ChunkTokens = s.Step, s.PrefillRate, s.ChunkTokens
	c.MemoryTokens, c.KeepFinished = s.MemoryTokens, s.KeepFinished
	c.EventDelay, c.EventLoss, c.Seed = s.EventDelay, s.EventLoss, s.Seed+uint64(i)
	return c
}

// enginesCommand returns the subcommand engines.
func enginesCommand() command {
	s := &engineSettings{}
	sub := flaggy.NewSubcommand("engines")
	sub.Description = "runs stand-in engines"
	return command{sub: sub, binding: settings.Bind(sub, s), run: s.run}
}

// run starts the stand-in engines and adds them to the group.
func (s *engineSettings) run(logger log.Interface, group *run.Group) error {
	all := standIns[*engine.Engine]{
		count: s.Count, control: s.Control, controlHandler: engine.ControlHandler, role: "engine", dataCentre: s.DataCentre,
		start: func(i int) (*engine.Engine, error) {
			config := s.config(i)
			config.Log = logger
			return engine.Start(config)
		},
	}
	return all.addTo(logger, group)
}
