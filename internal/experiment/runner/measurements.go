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

// overheadRate is low enough that requests seldom meet in the engine's batch.
const overheadRate = 100.0

// measureOverhead sends the same traffic to one engine directly and through a daemon,
// in turns, so that whatever else the machine does hits both.
func measureOverhead(ctx context.Context, t *runner) error {
	m := scenario.UniformSite(1, 1, 1, 0)
	// The engine takes no time to the first token, so that what is left is
	// the way there and back.
	m.Engine = scenario.Engine{FirstToken: -1, BlockTime: -1, TokenTime: 2 * time.Millisecond}
	s, err := t.startSite(ctx, "overhead", m)
	if err != nil {
		return err
	}
	defer s.Stop()
	traffic := t.traffic(t.rate(overheadRate), 0)
	traffic.BurstFactor, traffic.MeanAnswerTokens = 1, 16
	requests, err := traffic.Requests(&m)
	if err != nil {
		return err
	}
	var halves [2][]scenario.Request
	for i, q := range requests {
		halves[i%2] = append(halves[i%2], q)
	}
	targets := [2]load.FixedTarget{load.FixedTarget(s.Engines()[0].Address), load.FixedTarget(s.CallerAddresses()[0])}
	var results [2][]load.Result
	var samples []site.Sample
	var group, watch sync.WaitGroup
	watching, stop := context.WithCancel(ctx)
	defer stop()
	start := t.Clock.Now()
	watch.Go(func() { samples = collectSamples(watching, t.Clock, s, start) })
	for i := range halves {
		group.Go(func() {
			g := load.New(load.Options{Clock: t.Clock, Target: targets[i], MaxInFlight: maxInFlight})
			results[i] = g.Run(ctx, start, halves[i])
		})
	}
	group.Wait()
	stop()
	watch.Wait()
	var phases [2]report.Phase
	for i, name := range []string{"direct", "through a daemon"} {
		in := &report.Input{
			Name: name, Site: m.Name, Traffic: traffic, Results: results[i],
			Spans: []report.PhaseSpan{{Name: name, From: warmUp, To: traffic.Duration}},
		}
		in.Traffic.Rate /= 2
		if i == 1 {
			in.Samples = samples
		}
		run := report.New(in)
		t.report.Runs = append(t.report.Runs, run)
		phases[i] = run.Phases[0]
	}
	t.report.Tables = append(t.report.Tables, latencyTable(&phases[0], &phases[1]))
	return nil
}

func latencyTable(direct, daemon *report.Phase) report.Table {
	table := report.Table{
		Title:   "Latency in ms (rows: time to first token, time between tokens)",
		Columns: []string{"direct p50", "daemon p50", "added p50", "direct p99", "daemon p99", "added p99"},
	}
	for _, q := range [][2]report.Quantiles{{direct.FirstToken, daemon.FirstToken}, {direct.TokenGap, daemon.TokenGap}} {
		table.Rows = append(table.Rows, []float64{
			q[0].P50, q[1].P50, q[1].P50 - q[0].P50, q[0].P99, q[1].P99, q[1].P99 - q[0].P99,
		})
	}
	return table
}

// settleTime is the time between the start of a site and the measurement of what
// it uses idle.
const settleTime = 2 * time.Second

// measureSlopes measures idle daemons.
func measureSlopes(ctx context.Context, t *runner) error {
	columns := []string{
		"daemons", "CPU of a daemon, % of a core", "memory of the largest daemon, MB",
		"peer kB/s of a daemon", "platform reads a second", "platform writes a second", "watches",
	}
	perDaemon := report.Table{Title: "Daemons in one data centre, two engines, no requests", Columns: columns, Chart: true}
	for _, n := range []int{2, 4, 8, 16, 32} {
		values, err := t.measureIdle(ctx, scenario.UniformSite(1, n, 2, 0))
		if err != nil {
			return err
		}
		perDaemon.Rows = append(perDaemon.Rows, append([]float64{float64(n)}, values...))
	}
	perDataCentre := report.Table{Title: "Data centres of two daemons and two engines, no requests", Chart: true}
	perDataCentre.Columns = append([]string{"data centres"}, columns[1:]...)
	for _, n := range []int{1, 2, 4, 8} {
		values, err := t.measureIdle(ctx, scenario.UniformSite(n, 2, 2, 0))
		if err != nil {
			return err
		}
		perDataCentre.Rows = append(perDataCentre.Rows, append([]float64{float64(n)}, values...))
	}
	t.report.Tables = append(t.report.Tables, perDaemon, perDataCentre)
	return nil
}

func (t *runner) measureIdle(ctx context.Context, m scenario.Site) ([]float64, error) {
	m.Name = fmt.Sprintf("%s-%d", m.Name, m.ProcessCount())
	s, err := t.startSite(ctx, m.Name, m)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	if err := s.Sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	start := t.Clock.Now()
	before, err := s.Sample(start)
	if err != nil {
		return nil, err
	}
	if err := s.Sleep(ctx, t.Duration); err != nil {
		return nil, err
	}
	after, err := s.Sample(start)
	if err != nil {
		return nil, err
	}
	run := report.New(&report.Input{
		Samples: []site.Sample{before, after}, Spans: []report.PhaseSpan{{From: before.At, To: after.At}},
	})
	p := &run.Phases[0]
	return []float64{
		100 * p.CPU, float64(p.Memory) / 1e6, p.PeerByteRate / 1e3, p.PlatformReadRate, p.PlatformWriteRate, float64(p.PlatformWatches),
	}, nil
}

// measureClaims raises the rate of at-most-once calls.
func measureClaims(ctx context.Context, t *runner) error {
	m := scenario.UniformSite(2, 2, 1, 1)
	s, err := t.startSite(ctx, "claims", m)
	if err != nil {
		return err
	}
	defer s.Stop()
	table := report.Table{
		Title: "At-most-once calls through four daemons in two data centres", Chart: true,
		Columns: []string{
			"calls sent a second", "answered a second", "share answered", "platform writes a second",
			"claim writes a second", "claims in a write", "p50 ms", "p99 ms",
		},
	}
	for i, rate := range []float64{25, 50, 100, 200, 400, 800} {
		traffic := t.traffic(rate, 1)
		traffic.Seed += uint64(i)
		traffic.BurstFactor = 1
		run, err := t.runLoad(ctx, loadRun{
			name: fmt.Sprintf("%.0f calls a second", rate), site: s, traffic: traffic,
			spans: []report.PhaseSpan{{Name: "all", From: warmUp, To: traffic.Duration}},
		})
		if err != nil {
			return err
		}
		table.Rows = append(table.Rows, claimFigures(run))
	}
	t.report.Tables = append(t.report.Tables, table)
	return nil
}

func claimFigures(run *report.Run) []float64 {
	p := &run.Phases[0]
	answered := float64(p.Answered) / float64(max(p.Sent, 1))
	var writes, confirmed, perWrite float64
	if n := len(run.Samples); n > 1 {
		first, last := &run.Samples[0], &run.Samples[n-1]
		for i := range min(len(first.Daemons), len(last.Daemons)) {
			writes += last.Daemons[i].ClaimWrites - first.Daemons[i].ClaimWrites
			confirmed += last.Daemons[i].Claims - first.Daemons[i].Claims
		}
		if writes > 0 {
			perWrite = confirmed / writes
		}
		writes /= (last.At - first.At).Seconds()
	}
	return []float64{float64(p.Sent) / p.Seconds, p.AnswerRate, answered, p.PlatformWriteRate, writes, perWrite, p.CallTime.P50, p.CallTime.P99}
}
