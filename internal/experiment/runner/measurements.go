package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cuminbay/internal/experiment/load"
	"cuminbay/internal/experiment/report"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/experiment/site"
)

// overheadRate, in requests per second, is low enough that the engine seldom batches
// requests.
const overheadRate = 100.0

// measureOverhead sends every other request directly to an engine and the remaining
// requests to the same engine through a daemon. Both halves are sent at the same time, so
// that other load on the machine affects both.
func measureOverhead(ctx context.Context, r *runner) error {
	spec := scenario.UniformSite(1, 1, 1, 0)
	// The engine sends the first token without delay, so that the time to the
	// first token is the time of the transport.
	spec.EngineTiming = scenario.EngineTiming{FirstToken: -1, BlockTime: -1, TokenTime: 2 * time.Millisecond}
	s, err := r.startSite(ctx, "overhead", spec)
	if err != nil {
		return err
	}
	defer s.Stop()
	traffic := r.traffic(r.rate(overheadRate), 0)
	traffic.BurstFactor, traffic.MeanAnswerTokens = 1, 16
	requests, err := traffic.Requests(&spec)
	if err != nil {
		return err
	}
	var halves [2][]scenario.Request
	for i, request := range requests {
		halves[i%2] = append(halves[i%2], request)
	}
	targets := [2]load.FixedTarget{load.FixedTarget(s.Engines()[0].Address), load.FixedTarget(s.CallerAddresses()[0])}
	var results [2][]load.Result
	var samples []site.Sample
	var loadGroup, backgroundGroup sync.WaitGroup
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	start := r.Clock.Now()
	backgroundGroup.Go(func() { samples = collectSamples(backgroundCtx, r.Clock, s, start) })
	for i := range halves {
		loadGroup.Go(func() {
			g := load.New(load.Options{Clock: r.Clock, Picker: targets[i], MaxInFlight: maxInFlight})
			results[i] = g.Run(ctx, start, halves[i])
		})
	}
	loadGroup.Wait()
	stopBackground()
	backgroundGroup.Wait()
	var phases [2]report.Phase
	for i, name := range []string{"direct", "through a daemon"} {
		input := &report.Input{
			Name: name, Site: spec.Name, Traffic: traffic, Results: results[i],
			Spans: []report.PhaseSpan{{Name: name, From: warmUp, To: traffic.Duration}},
		}
		input.Traffic.Rate /= 2
		if i == 1 {
			input.Samples = samples
		}
		run := report.NewRun(input)
		r.report.Runs = append(r.report.Runs, run)
		phases[i] = run.Phases[0]
	}
	r.report.Tables = append(r.report.Tables, latencyTable(&phases[0], &phases[1]))
	return nil
}

// latencyTable compares the latencies of direct requests with the latencies of
// requests through a daemon.
func latencyTable(direct, throughDaemon *report.Phase) report.Table {
	table := report.Table{
		Title:   "Latency in ms (rows: time to first token, time between tokens)",
		Columns: []string{"direct p50", "daemon p50", "added p50", "direct p99", "daemon p99", "added p99"},
	}
	for _, pair := range [][2]report.Quantiles{{direct.FirstToken, throughDaemon.FirstToken}, {direct.TokenGap, throughDaemon.TokenGap}} {
		table.Rows = append(table.Rows, []float64{
			pair[0].P50, pair[1].P50, pair[1].P50 - pair[0].P50, pair[0].P99, pair[1].P99, pair[1].P99 - pair[0].P99,
		})
	}
	return table
}

// settleTime is the time between the start of a site and the measurement of its idle
// usage.
const settleTime = 2 * time.Second

// measureIdleUsage measures the resource usage of idle daemons, by the number of daemons
// and by the number of data centres.
func measureIdleUsage(ctx context.Context, r *runner) error {
	columns := []string{
		"daemons", "CPU of a daemon, % of a core", "memory of the largest daemon, MB",
		"peer kB/s of a daemon", "platform reads a second", "platform writes a second", "watches",
	}
	perDaemon := report.Table{Title: "Daemons in one data centre, two engines, no requests", Columns: columns, HasChart: true}
	for _, n := range []int{2, 4, 8, 16, 32} {
		values, err := r.measureIdle(ctx, scenario.UniformSite(1, n, 2, 0))
		if err != nil {
			return err
		}
		perDaemon.Rows = append(perDaemon.Rows, append([]float64{float64(n)}, values...))
	}
	perDataCentre := report.Table{Title: "Data centres of two daemons and two engines, no requests", HasChart: true}
	perDataCentre.Columns = append([]string{"data centres"}, columns[1:]...)
	for _, n := range []int{1, 2, 4, 8} {
		values, err := r.measureIdle(ctx, scenario.UniformSite(n, 2, 2, 0))
		if err != nil {
			return err
		}
		perDataCentre.Rows = append(perDataCentre.Rows, append([]float64{float64(n)}, values...))
	}
	r.report.Tables = append(r.report.Tables, perDaemon, perDataCentre)
	return nil
}

// measureIdle starts a site and returns its idle usage as a row of measureIdleUsage,
// without the first column.
func (r *runner) measureIdle(ctx context.Context, spec scenario.SiteSpec) ([]float64, error) {
	spec.Name = fmt.Sprintf("%s-%d", spec.Name, spec.ProcessCount())
	s, err := r.startSite(ctx, spec.Name, spec)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	if err := s.Sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	start := r.Clock.Now()
	before, err := s.TakeSample(start)
	if err != nil {
		return nil, err
	}
	if err := s.Sleep(ctx, r.Duration); err != nil {
		return nil, err
	}
	after, err := s.TakeSample(start)
	if err != nil {
		return nil, err
	}
	run := report.NewRun(&report.Input{
		Samples: []site.Sample{before, after}, Spans: []report.PhaseSpan{{From: before.At, To: after.At}},
	})
	p := &run.Phases[0]
	return []float64{
		100 * p.CPU, float64(p.Memory) / 1e6, p.PeerByteRate / 1e3, p.PlatformReadRate, p.PlatformWriteRate, float64(p.PlatformWatches),
	}, nil
}

// measureClaims measures at-most-once calls and their platform writes at increasing
// rates.
func measureClaims(ctx context.Context, r *runner) error {
	spec := scenario.UniformSite(2, 2, 1, 1)
	s, err := r.startSite(ctx, "claims", spec)
	if err != nil {
		return err
	}
	defer s.Stop()
	table := report.Table{
		Title: "At-most-once calls through four daemons in two data centres", HasChart: true,
		Columns: []string{
			"calls sent a second", "answered a second", "share answered", "platform writes a second",
			"claim writes a second", "claims per write", "p50 ms", "p99 ms",
		},
	}
	for i, rate := range []float64{25, 50, 100, 200, 400, 800} {
		traffic := r.traffic(rate, 1)
		traffic.Seed += uint64(i)
		traffic.BurstFactor = 1
		run, err := r.runLoad(ctx, loadRun{
			name: fmt.Sprintf("%.0f calls a second", rate), site: s, traffic: traffic,
			spans: []report.PhaseSpan{{Name: "all", From: warmUp, To: traffic.Duration}},
		})
		if err != nil {
			return err
		}
		table.Rows = append(table.Rows, claimFigures(run))
	}
	r.report.Tables = append(r.report.Tables, table)
	return nil
}

// claimFigures returns the row of measureClaims for one run.
func claimFigures(run *report.Run) []float64 {
	p := &run.Phases[0]
	answeredShare := float64(p.Answered) / float64(max(p.Sent, 1))
	var writes, confirmed, perWrite float64
	if n := len(run.Samples); n > 1 {
		first, last := &run.Samples[0], &run.Samples[n-1]
		for i := range min(len(first.Daemons), len(last.Daemons)) {
			writes += last.Daemons[i].ClaimWrites - first.Daemons[i].ClaimWrites
			confirmed += last.Daemons[i].ConfirmedClaims - first.Daemons[i].ConfirmedClaims
		}
		if writes > 0 {
			perWrite = confirmed / writes
		}
		writes /= (last.At - first.At).Seconds()
	}
	return []float64{float64(p.Sent) / p.Seconds, p.AnswerRate, answeredShare, p.PlatformWriteRate, writes, perWrite, p.CallTime.P50, p.CallTime.P99}
}
