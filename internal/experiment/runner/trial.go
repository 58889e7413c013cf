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
	// Length is the time of load of each run.
	Length time.Duration
	// Progress gets a line for each step.
	Progress io.Writer
}

// experiment runs and adds to the report.
type experiment struct {
	purpose string
	run     func(ctx context.Context, t *trial) error
}

var experiments = map[string]experiment{
	"overhead": {"latency that a daemon adds: the same engine is called directly and through one daemon, in turns", overhead},
	"policies": {"selection policies random2 and estimate under the same load, seed and faults", policies},
	"move":     {"a data centre leaves and returns under load", move},
	"failures": {"an engine dies, another is paused, a daemon dies, a fabric domain goes down, the platform is down", failures},
	"slopes":   {"what an idle daemon uses by the number of daemons and of data centres", slopes},
	"claims":   {"at-most-once calls and the platform writes that they need at rising load", claims},
}

// Names lists the experiments.
func Names() []string {
	return []string{"overhead", "policies", "move", "failures", "slopes", "claims"}
}

type trial struct {
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
	t := &trial{Options: o, report: &report.Report{
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

func (t *trial) say(format string, args ...any) {
	_, _ = fmt.Fprintf(t.Progress, format+"\n", args...)
}

// start starts a site in a directory of its own.
func (t *trial) start(ctx context.Context, name string, m scenario.Site, environment ...string) (*site.Site, error) {
	directory := filepath.Join(t.Directory, name)
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return nil, err
	}
	t.say("%s: starting %d processes", name, m.Processes())
	began := t.Clock.Now()
	s, err := site.Start(ctx, site.Options{
		Clock: t.Clock, Binaries: t.Binaries, Directory: directory, Environment: environment,
	}, m)
	if err == nil {
		t.say("%s: complete after %.1f s", name, t.Clock.Since(began).Seconds())
	}
	return s, err
}

// rate returns the rate of the experiment.
func (t *trial) rate(own float64) float64 {
	if t.Rate > 0 {
		return t.Rate
	}
	return own
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
func (t *trial) traffic(rate, callShare float64) scenario.Traffic {
	return scenario.Traffic{
		Seed: t.Seed, Rate: rate, Length: t.Length + warmUp, CallShare: callShare, Burst: 2.5,
		MeanAnswer: 40, MeanPrompt: 600, MaxRequests: maxRequests,
	}
}

// drive is one run of load with faults.
type drive struct {
	name    string
	site    *site.Site
	traffic scenario.Traffic
	faults  []site.Fault
	spans   []report.Span
	retries int
}

// run runs the load and adds the figures to the report.
func (t *trial) run(ctx context.Context, d drive) (*report.Run, error) {
	requests, err := d.traffic.Requests(&d.site.Model)
	if err != nil {
		return nil, err
	}
	t.say("%s: %d requests in %s", d.name, len(requests), d.traffic.Length)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := load.NewBalancer(t.Clock, d.site.Callers())
	start := t.Clock.Now()
	in := &report.Input{Name: d.name, Site: d.site.Model.Name, Traffic: d.traffic, Spans: d.spans}
	var group sync.WaitGroup
	watching, stop := context.WithCancel(ctx)
	group.Go(func() { balancer.Run(watching) })
	group.Go(func() { in.Looks = d.site.Watch(watching, start) })
	group.Go(func() { in.Samples = sample(watching, t.Clock, d.site, start) })
	group.Go(func() { in.Events = d.site.Inject(watching, start, d.faults) })
	generator := load.New(load.Options{Clock: t.Clock, Target: balancer, Retries: d.retries, MaxInFlight: maxInFlight})
	in.Results = generator.Run(ctx, start, requests)
	stop()
	group.Wait()
	run := report.New(in)
	t.report.Runs = append(t.report.Runs, run)
	return run, ctx.Err()
}

// sample reads what the daemons use, once a second.
func sample(ctx context.Context, clk clock.Clock, s *site.Site, start time.Time) []site.Sample {
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

// part returns the time at a share of the length after the warm-up.
func (t *trial) part(share float64) time.Duration {
	return warmUp + time.Duration(share*float64(t.Length))
}
