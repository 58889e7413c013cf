// Package runner holds the named experiments: each starts sites, runs load on
// them, injects faults and reports.
package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"cuminbay/internal/experiment/load"
	"cuminbay/internal/experiment/report"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/experiment/site"
	"cuminbay/internal/kernel/clock"
)

// Options are the settings of an experiment.
type Options struct {
	Clock clock.Clock
	// Binaries is the directory of the programs, Directory the one that gets
	// settings and logs.
	Binaries, Directory string
	Command             string
	// Site is a user's site, where the experiment takes one.
	Site string
	Seed uint64
	// Rate is in requests a second; zero takes the experiment's own.
	Rate float64
	// Duration is the time of load of each run.
	Duration time.Duration
	// Progress gets a line for each step.
	Progress io.Writer
}

// experiment runs and adds to the report.
type experiment struct {
	purpose string
	run     func(ctx context.Context, t *runner) error
}

var experiments = map[string]experiment{
	"overhead": {"latency that a daemon adds: the same engine is called directly and through one daemon, in turns", measureOverhead},
	"policies": {"selection policies random2 and estimate under the same load, seed and faults", comparePolicies},
	"move":     {"a data centre leaves and returns under load", moveDataCentre},
	"failures": {"an engine dies, another is paused, a daemon dies, a fabric domain goes down, the platform is down", injectFailures},
	"slopes":   {"what an idle daemon uses by the number of daemons and of data centres", measureSlopes},
	"claims":   {"at-most-once calls and the platform writes that they need at rising load", measureClaims},
}

// Names lists the experiments.
func Names() []string {
	return []string{"overhead", "policies", "move", "failures", "slopes", "claims"}
}

type runner struct {
	Options
	report *report.Report
}

// Run runs a named experiment. The report has what was measured also if there
// is an error.
func Run(ctx context.Context, name string, o Options) (*report.Report, error) {
	e, known := experiments[name]
	if !known {
		return nil, fmt.Errorf("experiment %q: not one of %s", name, strings.Join(Names(), ", "))
	}
	t := &runner{Options: o, report: &report.Report{
		Experiment: name, Command: o.Command, Purpose: e.purpose,
		Machine: report.Machine{Started: o.Clock.Now(), CPUs: runtime.NumCPU(), Load: loadAverage()},
	}}
	return t.report, e.run(ctx, t)
}

func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

func (t *runner) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Progress, format+"\n", args...)
}

// startSite starts a site in a directory of its own.
func (t *runner) startSite(ctx context.Context, name string, m scenario.Site, environment ...string) (*site.Site, error) {
	directory := filepath.Join(t.Directory, name)
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return nil, err
	}
	t.progressf("%s: starting %d processes", name, m.ProcessCount())
	start := t.Clock.Now()
	s, err := site.Start(ctx, site.Options{
		Clock: t.Clock, Binaries: t.Binaries, Directory: directory, Environment: environment,
	}, m)
	if err == nil {
		t.progressf("%s: complete after %.1f s", name, t.Clock.Since(start).Seconds())
	}
	return s, err
}

// rate returns the rate of the experiment.
func (t *runner) rate(fallback float64) float64 {
	if t.Rate > 0 {
		return t.Rate
	}
	return fallback
}

const (
	// maxRequests and maxInFlight bound every run.
	maxRequests = 50000
	maxInFlight = 2000
	// warmUp is the time of load before the first phase.
	warmUp         = 3 * time.Second
	sampleInterval = time.Second
)

// traffic returns the traffic of a run.
func (t *runner) traffic(rate, callShare float64) scenario.Traffic {
	return scenario.Traffic{
		Seed: t.Seed, Rate: rate, Duration: t.Duration + warmUp, CallShare: callShare, BurstFactor: 2.5,
		MeanAnswerTokens: 40, MeanPromptBytes: 600, MaxRequests: maxRequests,
	}
}

// loadRun is one run of load with faults.
type loadRun struct {
	name    string
	site    *site.Site
	traffic scenario.Traffic
	faults  []site.Fault
	spans   []report.PhaseSpan
	retries int
}

// runLoad runs the load and adds the figures to the report.
func (t *runner) runLoad(ctx context.Context, d loadRun) (*report.Run, error) {
	requests, err := d.traffic.Requests(&d.site.Spec)
	if err != nil {
		return nil, err
	}
	t.progressf("%s: %d requests in %s", d.name, len(requests), d.traffic.Duration)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := load.NewBalancer(t.Clock, d.site.CallerAddresses())
	start := t.Clock.Now()
	in := &report.Input{Name: d.name, Site: d.site.Spec.Name, Traffic: d.traffic, Spans: d.spans}
	var group sync.WaitGroup
	watching, stop := context.WithCancel(ctx)
	group.Go(func() { balancer.Run(watching) })
	group.Go(func() { in.Observations = d.site.Observe(watching, start) })
	group.Go(func() { in.Samples = collectSamples(watching, t.Clock, d.site, start) })
	group.Go(func() { in.Events = d.site.Inject(watching, start, d.faults) })
	generator := load.New(load.Options{Clock: t.Clock, Target: balancer, Retries: d.retries, MaxInFlight: maxInFlight})
	in.Results = generator.Run(ctx, start, requests)
	stop()
	group.Wait()
	run := report.New(in)
	t.report.Runs = append(t.report.Runs, run)
	return run, ctx.Err()
}

// collectSamples reads what the daemons use, once a second.
func collectSamples(ctx context.Context, clk clock.Clock, s *site.Site, start time.Time) []site.Sample {
	var list []site.Sample
	ticker := clk.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		// A daemon that is paused or dies meanwhile is missing in the sample.
		if v, err := s.Sample(start); err == nil || len(v.Daemons) > 0 {
			list = append(list, v)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return list
		}
	}
}

// timeAt returns the time at a share of the length after the warm-up.
func (t *runner) timeAt(share float64) time.Duration {
	return warmUp + time.Duration(share*float64(t.Duration))
}
