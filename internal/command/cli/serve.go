package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"cuminbay/internal/kernel/budget"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/logging"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/kernel/timeline"
)

// settingsFlags are the flags for the settings file.
type settingsFlags struct {
	File string   `short:"c" long:"settings" required:"true" env:"CUMINBAY_SETTINGS" value-name:"FILE" description:"the settings file"`
	Set  []string `long:"set" value-name:"PATH=VALUE" description:"override a setting, as in openai.listen=127.0.0.1:80"`
}

type serveCommand struct {
	settingsFlags
	streams Streams
}

// startTimeout bounds the start of all plug-ins.
const startTimeout = 30 * time.Second

// Execute runs a daemon until it receives SIGTERM or SIGINT.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Read(c.File, c.Set)
	if err != nil {
		return err
	}
	limitMemory(s.Daemon.Memory)
	logWriter := logging.NewAsyncWriter(c.streams.Out)
	defer logWriter.Close() //nolint:errcheck // Close never fails
	deps, err := newDeps(s, logWriter)
	if err != nil {
		return err
	}
	kernel, err := plugin.New(deps)
	if err != nil {
		return err
	}
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	if err := startKernel(kernel); err != nil {
		return err
	}
	deps.Timeline.Record("daemon-started", string(s.Daemon.Instance), "dataCentre", string(s.Daemon.DataCentre))
	stopSignal := c.waitForStop(deps, stopSignals, reloadSignals)
	deps.Timeline.Record("daemon-stopping", string(s.Daemon.Instance), "signal", stopSignal.String())
	ctx, cancel := context.WithTimeout(context.Background(), s.Daemon.StopLimit.Duration)
	defer cancel()
	err = kernel.Stop(ctx)
	deps.Pool.StopAndWait()
	deps.Timeline.Record("daemon-stopped", string(s.Daemon.Instance))
	return err
}

// waitForStop returns the signal that stops the daemon. On SIGHUP it checks the
// settings file and logs the result; changed settings take effect at the next
// start.
func (c *serveCommand) waitForStop(deps *plugin.Deps, stopSignals, reloadSignals <-chan os.Signal) os.Signal {
	for {
		select {
		case stopSignal := <-stopSignals:
			return stopSignal
		case <-reloadSignals:
			if _, err := settings.Read(c.File, c.Set); err != nil {
				deps.Log.Error().Err(err).Str("file", c.File).Msg("settings-rejected")
				continue
			}
			deps.Log.Info().Str("file", c.File).Msg("settings-read")
		}
	}
}

// goMemoryFraction is the fraction of the memory setting that becomes the memory
// limit of the Go runtime. The remainder is for memory that the runtime does not
// count, such as the program itself and the operating system's buffers, and for
// exceeding the runtime's limit, which is soft.
const goMemoryFraction = 0.6

func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(float64(megabytes<<20) * goMemoryFraction))
	}
}

func startKernel(kernel *plugin.Kernel) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return kernel.Start(ctx)
}

func newDeps(s *settings.Settings, logWriter *logging.AsyncWriter) (*plugin.Deps, error) {
	clk := clock.Real()
	log, err := logging.New(logWriter, s.Daemon.LogLevel, clk)
	if err != nil {
		return nil, err
	}
	log = log.With().Str("process", string(s.Daemon.Instance)).Logger()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "cuminbay_log_lines_dropped_total", Help: "Log lines dropped because standard output was too slow.",
	}, func() float64 { return float64(logWriter.Dropped()) }))
	callers, err := budget.FromSettings(s, clk, log)
	if err == nil {
		err = callers.Register(registry)
	}
	if err != nil {
		return nil, err
	}
	return &plugin.Deps{
		Budget:   callers,
		Settings: s,
		Clock:    clk,
		Log:      log,
		Metrics:  registry,
		Timeline: timeline.NewRecorder(timeline.RecorderOptions{
			HybridClock: timeline.NewHybridClock(clk),
			Process:     s.Daemon.Instance,
			Log:         log,
			Capacity:    s.Daemon.Events,
		}),
		Pool: pond.NewPool(s.Daemon.Workers),
	}, nil
}
