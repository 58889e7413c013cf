package report_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/experiment/load"
	"cuminbay/internal/experiment/report"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/experiment/site"
)

func newInput() *report.Input {
	observation := func(at time.Duration, serving, stranded int) site.Observation {
		return site.Observation{At: at, DataCentres: []site.DataCentreState{
			{DataCentre: "a", TargetReplicas: 4, PossibleReplicas: 3, ServingReplicas: serving, StrandedAccelerators: stranded, SpareAccelerators: 2},
		}}
	}
	return &report.Input{
		Name: "<run>", Traffic: scenario.Traffic{Duration: 4 * time.Second},
		Spans: []report.PhaseSpan{{Name: "before", To: 2 * time.Second}, {Name: "after", From: 2 * time.Second, To: 4 * time.Second}},
		Results: []load.Result{
			{ScheduledAt: 0, Kind: scenario.Chat, Code: code.Answered, Started: true, Complete: true, Tokens: 2, FirstTokenTime: 10 * time.Millisecond, TokenGaps: []time.Duration{time.Millisecond}},
			{ScheduledAt: time.Second, Kind: scenario.Chat, Code: code.NoReplica, Outcome: code.NotRun, Retries: 1},
			{ScheduledAt: 3 * time.Second, Kind: scenario.Chat, Code: code.CutOff, Outcome: code.Unknown, Started: true},
		},
		Observations: []site.Observation{observation(0, 4, 2), observation(time.Second, 4, 2), observation(3*time.Second, 1, 6), observation(4*time.Second, 3, 2)},
		Samples: []site.Sample{
			{At: 0, PlatformCalls: site.PlatformCalls{Reads: 10}, Daemons: []site.Usage{{Instance: "d", PID: 1, CPU: 1, PeerBytes: 100}, {Instance: "e", PID: 2, CPU: 9}}},
			{At: 2 * time.Second, PlatformCalls: site.PlatformCalls{Reads: 30}, Daemons: []site.Usage{{Instance: "d", PID: 1, CPU: 1.5, PeerBytes: 300}, {Instance: "e", PID: 3}}},
		},
	}
}

// TestNewRun guards against counting requests, downtime and usage in the wrong phase,
// and against means that include a daemon that was restarted during the phase.
func TestNewRun(t *testing.T) {
	phases := report.NewRun(newInput()).Phases
	tests := map[string]struct {
		got, want any
	}{
		"sent before":          {phases[0].Sent, 2},
		"refused before":       {phases[0].Refused, 1},
		"retried":              {phases[0].Retried, 1},
		"code":                 {phases[0].Codes["3001 no-replica"], 1},
		"cut off after":        {phases[1].CutOff, 1},
		"tokens before":        {phases[0].TokenRate, 1.0},
		"first token":          {phases[0].FirstToken.Count, int64(1)},
		"downtime before":      {phases[0].Downtime, 3.0},
		"avoidable before":     {phases[0].AvoidableDowntime, 2.0},
		"downtime after":       {phases[1].Downtime, 4.0},
		"stranded after":       {phases[1].Stranded, 8.0},
		"usable stranded":      {phases[1].AvoidableStranded, 4.0},
		"reads":                {phases[0].PlatformReadRate, 10.0},
		"CPU of one daemon":    {phases[0].CPU, 0.25},
		"peer byte rate":       {phases[0].PeerByteRate, 100.0},
		"no samples for after": {phases[1].PlatformReadRate, 0.0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.got, qt.Equals, test.want) })
	}
}

// TestWrite guards against a page that loads external resources or does not escape
// names, and against figures that are missing in one of the formats.
func TestWrite(t *testing.T) {
	r := &report.Report{
		Experiment: "move", Runs: []*report.Run{report.NewRun(newInput())},
		Tables: []report.Table{{Title: "slope", Columns: []string{"daemons", "memory"}, Rows: [][]float64{{1, 2}, {3, 4}}, HasChart: true}},
	}
	var text, page, jsonText bytes.Buffer
	qt.Assert(t, r.WriteText(&text), qt.IsNil)
	qt.Assert(t, r.WriteHTML(&page), qt.IsNil)
	qt.Assert(t, r.WriteJSON(&jsonText), qt.IsNil)
	tests := map[string]struct {
		output, substring string
		absent            bool
	}{
		"refusals in text":     {output: text.String(), substring: "3001 no-replica: 1"},
		"table in text":        {output: text.String(), substring: "daemons"},
		"JSON":                 {output: jsonText.String(), substring: `"avoidableDowntime": 2`},
		"charts":               {output: page.String(), substring: "<svg"},
		"table on page":        {output: page.String(), substring: "slope"},
		"escaped name":         {output: page.String(), substring: "<run>", absent: true},
		"no script":            {output: page.String(), substring: "<script", absent: true},
		"no external resource": {output: page.String(), substring: "http", absent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, strings.Contains(test.output, test.substring), qt.Equals, !test.absent)
		})
	}
}
