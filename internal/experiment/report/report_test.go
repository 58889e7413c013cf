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

func input() *report.Input {
	centre := func(at time.Duration, serving, stranded int) site.Observation {
		return site.Observation{At: at, DataCentres: []site.DataCentreState{
			{DataCentre: "a", TargetReplicas: 4, PossibleReplicas: 3, ServingReplicas: serving, StrandedAccelerators: stranded, SpareAccelerators: 2},
		}}
	}
	return &report.Input{
		Name: "<run>", Traffic: scenario.Traffic{Duration: 4 * time.Second},
		Spans: []report.PhaseSpan{{Name: "before", To: 2 * time.Second}, {Name: "after", From: 2 * time.Second, To: 4 * time.Second}},
		Results: []load.Result{
			{At: 0, Kind: scenario.Chat, Code: code.Answered, Begun: true, Whole: true, Tokens: 2, FirstToken: 10 * time.Millisecond, Gaps: []time.Duration{time.Millisecond}},
			{At: time.Second, Kind: scenario.Chat, Code: code.NoReplica, Outcome: code.NotRun, Retries: 1},
			{At: 3 * time.Second, Kind: scenario.Chat, Code: code.CutOff, Outcome: code.Unknown, Begun: true},
		},
		Observations: []site.Observation{centre(0, 4, 2), centre(time.Second, 4, 2), centre(3*time.Second, 1, 6), centre(4*time.Second, 3, 2)},
		Samples: []site.Sample{
			{At: 0, Calls: site.PlatformCalls{Reads: 10}, Daemons: []site.Usage{{Instance: "d", PID: 1, CPU: 1, PeerBytes: 100}, {Instance: "e", PID: 2, CPU: 9}}},
			{At: 2 * time.Second, Calls: site.PlatformCalls{Reads: 30}, Daemons: []site.Usage{{Instance: "d", PID: 1, CPU: 1.5, PeerBytes: 300}, {Instance: "e", PID: 3}}},
		},
	}
}

// TestNew guards against requests, downtime and use being counted in the wrong
// phase, and against a daemon that was restarted spoiling the means.
func TestNew(t *testing.T) {
	phases := report.New(input()).Phases
	tests := map[string]struct {
		got, want any
	}{
		"sent before":          {phases[0].Sent, 2},
		"refused before":       {phases[0].Refused, 1},
		"repeated":             {phases[0].Retried, 1},
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
		"peer bytes of it":     {phases[0].PeerByteRate, 100.0},
		"no samples for after": {phases[1].PlatformReadRate, 0.0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, test.got, qt.Equals, test.want) })
	}
}

// TestWrite guards against a page that loads something from elsewhere or takes
// names as markup, and against figures missing in one form.
func TestWrite(t *testing.T) {
	r := &report.Report{
		Experiment: "move", Runs: []*report.Run{report.New(input())},
		Tables: []report.Table{{Title: "slope", Columns: []string{"daemons", "memory"}, Rows: [][]float64{{1, 2}, {3, 4}}, Chart: true}},
	}
	var text, page, raw bytes.Buffer
	qt.Assert(t, r.WriteText(&text), qt.IsNil)
	qt.Assert(t, r.WriteHTML(&page), qt.IsNil)
	qt.Assert(t, r.WriteJSON(&raw), qt.IsNil)
	tests := map[string]struct {
		text, part string
		absent     bool
	}{
		"refusals in text": {text: text.String(), part: "3001 no-replica: 1"},
		"table in text":    {text: text.String(), part: "daemons"},
		"JSON":             {text: raw.String(), part: `"avoidableDowntime": 2`},
		"charts":           {text: page.String(), part: "<svg"},
		"table on page":    {text: page.String(), part: "slope"},
		"escaped name":     {text: page.String(), part: "<run>", absent: true},
		"no script":        {text: page.String(), part: "<script", absent: true},
		"no address":       {text: page.String(), part: "http", absent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { qt.Assert(t, strings.Contains(test.text, test.part), qt.Equals, !test.absent) })
	}
}
