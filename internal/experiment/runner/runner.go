// Package runner runs the named experiments. An experiment starts one or more sites,
// generates load, injects faults and returns a report.
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

// Options configure an experiment.
type Options struct {
	Clock clock.Clock
	// BinaryDir is the directory of the programs, WorkDir the directory for
	// settings and logs.
	BinaryDir, WorkDir string
	// Command is the command line, for the report.
	Command string
	// Site is the name of a user's site, for experiments that run on one.
	Site string
	Seed uint64
	// Rate is in requests per second. Zero selects the default of the
	// experiment.
	Rate float64
	// Duration is the duration of the load of each run, without the warm-up.
	Duration time.Duration
	// Progress receives a line for each step.
	Progress io.Writer
}

// experiment is a named experiment. run adds its results to the report of the runner.
type experiment struct {
	purpose string
	run     func(ctx context.Context, r *runner) error
}

var experiments = map[string]experiment{
	"overhead": {"latency that a daemon adds: requests go alternately to an engine directly and through a daemon", measureOverhead},
	"policies": {"selection policies random2 and estimate under the same load, seed and faults", comparePolicies},
	"move":     {"a data centre is drained and restored under load", drainDataCentre},
	"failures": {"one fault at a time: an engine killed, an engine paused, a daemon killed, a fabric domain down, the platform down", injectFailures},
	"slopes":   {"resource usage of an idle daemon by the number of daemons and of data centres", measureIdleUsage},
	"claims":   {"at-most-once calls and their platform writes at increasing rates", measureClaims},
}

// Names returns the names of the experiments.
func Names() []string {
	return []string{"overhead", "policies", "move", "failures", "slopes", "claims"}
}

// runner is a running experiment with the report that it fills.
type runner struct {
	Options
	report *report.Report
}

// Run runs the experiment with the given name. If the experiment fails, Run returns
// the report of the completed runs together with the error.
func Run(ctx context.Context, name string, o Options) (*report.Report, error) {
	e, known := experiments[name]
	if !known {
		return nil, fmt.Errorf("unknown experiment %q, expected one of %s", name, strings.Join(Names(), ", "))
	}
	r := &runner{Options: o, report: &report.Report{
		Experiment: name, Command: o.Command, Purpose: e.purpose,
		Machine: report.Machine{Started: o.Clock.Now(), CPUs: runtime.NumCPU(), Load: loadAverage()},
	}}
	return r.report, e.run(ctx, r)
}

func loadAverage() string {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(raw))[:3], " ")
}

func (r *runner) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.Progress, format+"\n", args...)
}

// startSite starts a site with a subdirectory of WorkDir for its files.
func (r *runner) startSite(ctx context.Context, name string, spec scenario.SiteSpec, environment ...string) (*site.Site, error) {
	directory := filepath.Join(r.WorkDir, name)
	if err := os.MkdirAll(directory, 0o750); err != nil {
		return nil, err
	}
	r.progressf("%s: starting %d processes", name, spec.ProcessCount())
	start := r.Clock.Now()
	s, err := site.Start(ctx, site.Options{
		Clock: r.Clock, BinaryDir: r.BinaryDir, WorkDir: directory, Environment: environment,
	}, spec)
	if err == nil {
		r.progressf("%s: all replicas serving after %.1f s", name, r.Clock.Since(start).Seconds())
	}
	return s, err
}

// rate returns the rate of the options, or the fallback if none is set.
func (r *runner) rate(fallback float64) float64 {
	if r.Rate > 0 {
		return r.Rate
	}
	return fallback
}

const (
	// maxRequests and maxInFlight limit the load of every run.
	maxRequests = 50000
	maxInFlight = 2000
	// warmUp is the duration of the load before the first phase.
	warmUp = 3 * time.Second
	// sampleInterval is the interval between two samples of resource usage.
	sampleInterval = time.Second
)

// traffic returns the traffic parameters of a run.
func (r *runner) traffic(rate, callShare float64) scenario.Traffic {
	return scenario.Traffic{
		Seed: r.Seed, Rate: rate, Duration: r.Duration + warmUp, CallShare: callShare, BurstFactor: 2.5,
		MeanAnswerTokens: 40, MeanPromptBytes: 600, MaxRequests: maxRequests,
	}
}

// loadRun describes one run of load with faults.
type loadRun struct {
	name    string
	site    *site.Site
	traffic scenario.Traffic
	faults  []site.Fault
	spans   []report.PhaseSpan
	retries int
}

// runLoad sends the load, injects the faults and adds the figures to the report.
func (r *runner) runLoad(ctx context.Context, l loadRun) (*report.Run, error) {
	requests, err := l.traffic.Requests(&l.site.Spec)
	if err != nil {
		return nil, err
	}
	r.progressf("%s: %d requests in %s", l.name, len(requests), l.traffic.Duration)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	balancer := load.NewBalancer(r.Clock, l.site.CallerAddresses())
	start := r.Clock.Now()
	input := &report.Input{Name: l.name, Site: l.site.Spec.Name, Traffic: l.traffic, Spans: l.spans}
	var group sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	group.Go(func() { balancer.Run(backgroundCtx) })
	group.Go(func() { input.Observations = l.site.CollectObservations(backgroundCtx, start) })
	group.Go(func() { input.Samples = collectSamples(backgroundCtx, r.Clock, l.site, start) })
	group.Go(func() { input.Events = l.site.InjectFaults(backgroundCtx, start, l.faults) })
	generator := load.New(load.Options{Clock: r.Clock, Picker: balancer, Retries: l.retries, MaxInFlight: maxInFlight})
	input.Results = generator.Run(ctx, start, requests)
	stopBackground()
	group.Wait()
	run := report.NewRun(input)
	r.report.Runs = append(r.report.Runs, run)
	return run, ctx.Err()
}

// collectSamples samples the resource usage of the daemons until the context ends.
func collectSamples(ctx context.Context, clk clock.Clock, s *site.Site, start time.Time) []site.Sample {
	var list []site.Sample
	ticker := clk.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		// A sample may lack a daemon that was paused or killed meanwhile.
		if sample, err := s.TakeSample(start); err == nil || len(sample.Daemons) > 0 {
			list = append(list, sample)
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return list
		}
	}
}

// timeAt returns the time of the run at which the given share of the duration after
// the warm-up has passed.
func (r *runner) timeAt(share float64) time.Duration {
	return warmUp + time.Duration(share*float64(r.Duration))
}
