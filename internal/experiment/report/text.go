package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// figure is a named figure that is shown for every phase.
type figure struct {
	name  string
	value func(p *Phase) string
}

// formatShare formats a number as a percentage of another, with the number itself.
func formatShare(n, total int) string {
	if total == 0 {
		return "0"
	}
	return fmt.Sprintf("%.2f%% (%d)", 100*float64(n)/float64(total), n)
}

func formatQuantiles(q Quantiles) string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f / %.1f / %.1f", q.P50, q.P95, q.P99)
}

func formatCodes(counts map[string]int) string {
	names := slices.Sorted(maps.Keys(counts))
	for i, n := range names {
		names[i] = fmt.Sprintf("%s: %d", n, counts[n])
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

const (
	kilobyte = 1e3
	megabyte = 1e6
)

// phaseFigures returns the figures of a phase, in the order of the text and the page.
func phaseFigures() []figure {
	return []figure{
		{"seconds", func(p *Phase) string { return fmt.Sprintf("%.1f", p.Seconds) }},
		{"requests sent", func(p *Phase) string { return fmt.Sprint(p.Sent) }},
		{"time to first token, p50 / p95 / p99 ms", func(p *Phase) string { return formatQuantiles(p.FirstToken) }},
		{"time between tokens, p50 / p95 / p99 ms", func(p *Phase) string { return formatQuantiles(p.TokenGap) }},
		{"at-most-once calls, p50 / p95 / p99 ms", func(p *Phase) string { return formatQuantiles(p.CallTime) }},
		{"refused as not run", func(p *Phase) string { return formatShare(p.Refused, p.Sent) }},
		{"cut off", func(p *Phase) string { return formatShare(p.CutOff, p.Sent) }},
		{"failed otherwise", func(p *Phase) string { return formatShare(p.Failed, p.Sent) }},
		{"results by code", func(p *Phase) string { return formatCodes(p.Codes) }},
		{"repeated by the caller", func(p *Phase) string { return formatShare(p.Retried, p.Sent) }},
		{"first codes of the repeated requests", func(p *Phase) string { return formatCodes(p.RetriedCodes) }},
		{"answers a second", func(p *Phase) string { return fmt.Sprintf("%.1f", p.AnswerRate) }},
		{"tokens a second", func(p *Phase) string { return fmt.Sprintf("%.0f", p.TokenRate) }},
		{"replica downtime, all / avoidable replica-s", func(p *Phase) string {
			return fmt.Sprintf("%.1f / %.1f", p.Downtime, p.AvoidableDowntime)
		}},
		{"accelerators stranded, all / avoidable s", func(p *Phase) string {
			return fmt.Sprintf("%.1f / %.1f", p.Stranded, p.AvoidableStranded)
		}},
		{"platform reads / writes a second, watches", func(p *Phase) string {
			return fmt.Sprintf("%.1f / %.1f, %d", p.PlatformReadRate, p.PlatformWriteRate, p.PlatformWatches)
		}},
		{"CPU of a daemon, % of a core", func(p *Phase) string { return fmt.Sprintf("%.2f", 100*p.CPU) }},
		{"memory of the largest daemon, MB", func(p *Phase) string { return fmt.Sprintf("%.1f", float64(p.Memory)/megabyte) }},
		{"peer kB/s of a daemon, both directions", func(p *Phase) string { return fmt.Sprintf("%.2f", p.PeerByteRate/kilobyte) }},
		{"generator lag, p50 / p95 / p99 ms", func(p *Phase) string { return formatQuantiles(p.SendLag) }},
		{"not sent, as too many were in flight", func(p *Phase) string { return fmt.Sprint(p.Unsent) }},
	}
}

// WriteText writes the report as text with aligned columns.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s: %s\n%s\n%d CPUs, load average %s at the start, %s\n",
		r.Experiment, r.Purpose, r.Command, r.Machine.CPUs, r.Machine.Load, r.Machine.Started.Format(time.RFC3339))
	for _, run := range r.Runs {
		run.writeText(t)
	}
	for i := range r.Tables {
		r.Tables[i].writeText(t)
	}
	return t.Flush()
}

func (r *Run) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n%s: site %s, seed %d, %.0f requests a second\n", r.Name, r.Site, r.Seed, r.Rate)
	for _, e := range r.Events {
		_, _ = fmt.Fprintf(w, "at %.1f s: %s %s\n", e.At.Seconds(), e.Name, e.Error)
	}
	for _, p := range r.Problems {
		_, _ = fmt.Fprintf(w, "problem: %s\n", p)
	}
	for i := range r.Phases {
		_, _ = fmt.Fprintf(w, "\t%s", r.Phases[i].Name)
	}
	_, _ = fmt.Fprintln(w)
	for _, f := range phaseFigures() {
		_, _ = fmt.Fprint(w, f.name)
		for i := range r.Phases {
			_, _ = fmt.Fprintf(w, "\t%s", f.value(&r.Phases[i]))
		}
		_, _ = fmt.Fprintln(w)
	}
}

func (t *Table) writeText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n%s\n%s\n", t.Title, strings.Join(t.Columns, "\t"))
	for _, values := range t.Rows {
		for i, v := range values {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprintf(w, "%.4g", v)
		}
		_, _ = fmt.Fprintln(w)
	}
}
