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

// overhead sends the same traffic to one engine directly and through a daemon,
// in turns, so that whatever else the machine does hits both.
func overhead(ctx context.Context, t *trial) error {
	m := scenario.Plain(1, 1, 1, 0)
	// The engine takes no time to the first token, so that what is left is
	// the way there and back.
	m.Engine = scenario.Engine{FirstToken: -1, BlockTime: -1, TokenTime: 2 * time.Millisecond}
	s, err := t.start(ctx, "overhead", m)
	if err != nil {
		return err
	}
	defer s.Stop()
	traffic := t.traffic(t.rate(overheadRate), 0)
	traffic.Burst, traffic.MeanAnswer = 1, 16
	requests, err := traffic.Requests(&m)
	if err != nil {
		return err
	}
	var halves [2][]scenario.Request
	for i, q := range requests {
		halves[i%2] = append(halves[i%2], q)
	}
	targets := [2]load.Direct{load.Direct(s.Engines()[0].Address), load.Direct(s.Callers()[0])}
	var results [2][]load.Result
	var samples []site.Sample
	var group, watch sync.WaitGroup
	watching, stop := context.WithCancel(ctx)
	defer stop()
	start := t.Clock.Now()
	watch.Go(func() { samples = sample(watching, t.Clock, s, start) })
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
			Spans: []report.Span{{Name: name, From: warmUp, To: traffic.Length}},
		}
		in.Traffic.Rate /= 2
		if i == 1 {
			in.Samples = samples
		}
		run := report.New(in)
		t.report.Runs = append(t.report.Runs, run)
		phases[i] = run.Phases[0]
	}
	t.report.Tables = append(t.report.Tables, difference(&phases[0], &phases[1]))
	return nil
}

func difference(direct, daemon *report.Phase) report.Table {
	table := report.Table{
		Title:   "Latency in ms (rows: time to first token, time between tokens)",
		Columns: []string{"direct p50", "daemon p50", "added p50", "direct p99", "daemon p99", "added p99"},
	}
	for _, q := range [][2]report.Quantiles{{direct.FirstToken, daemon.FirstToken}, {direct.Between, daemon.Between}} {
		table.Rows = append(table.Rows, []float64{
			q[0].P50, q[1].P50, q[1].P50 - q[0].P50, q[0].P99, q[1].P99, q[1].P99 - q[0].P99,
		})
	}
	return table
}

// settle is the time between the start of a site and the measurement of what
// it uses idle.
const settle = 2 * time.Second

// slopes measures idle daemons.
func slopes(ctx context.Context, t *trial) error {
	columns := []string{
		"daemons", "CPU of a daemon, % of a core", "memory of the largest daemon, MB",
		"peer kB/s of a daemon", "platform reads a second", "platform writes a second", "watches",
	}
	one := report.Table{Title: "Daemons in one data centre, two engines, no requests", Columns: columns, Chart: true}
	for _, n := range []int{2, 4, 8, 16, 32} {
		values, err := t.idle(ctx, scenario.Plain(1, n, 2, 0))
		if err != nil {
			return err
		}
		one.Rows = append(one.Rows, append([]float64{float64(n)}, values...))
	}
	several := report.Table{Title: "Data centres of two daemons and two engines, no requests", Chart: true}
	several.Columns = append([]string{"data centres"}, columns[1:]...)
	for _, n := range []int{1, 2, 4, 8} {
		values, err := t.idle(ctx, scenario.Plain(n, 2, 2, 0))
		if err != nil {
			return err
		}
		several.Rows = append(several.Rows, append([]float64{float64(n)}, values...))
	}
	t.report.Tables = append(t.report.Tables, one, several)
	return nil
}

func (t *trial) idle(ctx context.Context, m scenario.Site) ([]float64, error) {
	m.Name = fmt.Sprintf("%s-%d", m.Name, m.Processes())
	s, err := t.start(ctx, m.Name, m)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	if err := s.Sleep(ctx, settle); err != nil {
		return nil, err
	}
	start := t.Clock.Now()
	before, err := s.Sample(start)
	if err != nil {
		return nil, err
	}
	if err := s.Sleep(ctx, t.Length); err != nil {
		return nil, err
	}
	after, err := s.Sample(start)
	if err != nil {
		return nil, err
	}
	run := report.New(&report.Input{
		Samples: []site.Sample{before, after}, Spans: []report.Span{{From: before.At, To: after.At}},
	})
	p := &run.Phases[0]
	return []float64{
		100 * p.CPU, float64(p.Memory) / 1e6, p.PeerBytes / 1e3, p.Reads, p.Writes, float64(p.Watches),
	}, nil
}

// claims raises the rate of at-most-once calls.
func claims(ctx context.Context, t *trial) error {
	m := scenario.Plain(2, 2, 1, 1)
	s, err := t.start(ctx, "claims", m)
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
		traffic.Burst = 1
		run, err := t.run(ctx, drive{
			name: fmt.Sprintf("%.0f calls a second", rate), site: s, traffic: traffic,
			spans: []report.Span{{Name: "all", From: warmUp, To: traffic.Length}},
		})
		if err != nil {
			return err
		}
		table.Rows = append(table.Rows, claimRow(run))
	}
	t.report.Tables = append(t.report.Tables, table)
	return nil
}

func claimRow(run *report.Run) []float64 {
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
	return []float64{float64(p.Sent) / p.Seconds, p.Requests, answered, p.Writes, writes, perWrite, p.Calls.P50, p.Calls.P99}
}
