package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"cuminbay/internal/experiment/site"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// pageRun is a run with the charts and table rows of the page.
type pageRun struct {
	*Run
	Charts []template.HTML
	Rows   []pageRow
}

type pageRow struct {
	Name   string
	Values []string
}

type pageTable struct {
	Table
	Text   [][]string
	Charts []template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	view := struct {
		*Report
		Started string
		Runs    []pageRun
		Tables  []pageTable
	}{Report: r, Started: r.Machine.Started.Format(time.RFC1123)}
	for _, run := range r.Runs {
		p := pageRun{Run: run, Charts: run.charts()}
		for _, f := range phaseFigures() {
			values := make([]string, len(run.Phases))
			for i := range run.Phases {
				values[i] = f.value(&run.Phases[i])
			}
			p.Rows = append(p.Rows, pageRow{f.name, values})
		}
		view.Runs = append(view.Runs, p)
	}
	for _, t := range r.Tables {
		p := pageTable{Table: t}
		for _, values := range t.Rows {
			text := make([]string, len(values))
			for i, v := range values {
				text[i] = fmt.Sprintf("%.4g", v)
			}
			p.Text = append(p.Text, text)
		}
		if t.HasChart {
			p.Charts = t.charts()
		}
		view.Tables = append(view.Tables, p)
	}
	return pageTemplate.Execute(w, view)
}

// renderChart returns the chart as SVG for the page. The chart escapes all texts, so
// that the template need not escape the SVG.
func renderChart(c *chart) template.HTML {
	return template.HTML(c.svg()) //nolint:gosec // see above
}

// charts returns a chart of each further column over the first column.
func (t *Table) charts() []template.HTML {
	var list []template.HTML
	for n, name := range t.Columns[1:] {
		l := line{colour: n % colourCount}
		for _, values := range t.Rows {
			l.points = append(l.points, point{values[0], values[n+1]})
		}
		list = append(list, renderChart(&chart{title: name, xLabel: t.Columns[0], lines: []line{l}}))
	}
	return list
}

// charts returns the charts of the run.
func (r *Run) charts() []template.HTML {
	list := []*chart{
		{title: "Time to first token, ms, by the time of sending", logarithmic: true, lines: []line{
			r.binLine("median", 0, func(b *Bin) float64 { return b.P50 }), r.binLine("p95", 3, func(b *Bin) float64 { return b.P95 }),
		}},
		r.distributionChart(),
		{title: "Time between tokens, ms", lines: []line{r.binLine("p95", 1, func(b *Bin) float64 { return b.TokenGapP95 })}},
		r.outcomeChart(),
		r.replicaChart(),
		{title: "Tokens a second", lines: []line{
			r.binLine("", 2, func(b *Bin) float64 { return float64(b.Tokens) / binWidth.Seconds() }),
		}},
		r.strandedChart(),
		r.platformChart(),
	}
	var rendered []template.HTML
	for _, c := range list {
		if c.xLabel == "" {
			c.xLabel = "seconds"
			c.bands, c.markers = r.bands(), r.markers()
		}
		rendered = append(rendered, renderChart(c))
	}
	return rendered
}

func (r *Run) bands() []band {
	var list []band
	for i := range r.Phases {
		p := &r.Phases[i]
		list = append(list, band{p.Name, p.From, p.From + p.Seconds})
	}
	return list
}

func (r *Run) markers() []marker {
	var list []marker
	for _, e := range r.Events {
		list = append(list, marker{e.At.Seconds(), e.Name})
	}
	return list
}

// binLine returns a line that shows one value of each bin over time.
func (r *Run) binLine(name string, colour int, value func(b *Bin) float64) line {
	l := line{name: name, colour: colour}
	for i := range r.Series {
		l.points = append(l.points, point{r.Series[i].At, value(&r.Series[i])})
	}
	return l
}

// outcomeChart shows the rates of requests by result, stacked.
func (r *Run) outcomeChart() *chart {
	stacked := []struct {
		name   string
		colour int
		value  func(b *Bin) int
	}{
		{"failed", 5, func(b *Bin) int { return b.Answered + b.Refused + b.CutOff + b.Failed }},
		{"cut off", 3, func(b *Bin) int { return b.Answered + b.Refused + b.CutOff }},
		{"refused", 1, func(b *Bin) int { return b.Answered + b.Refused }},
		{"answered", 2, func(b *Bin) int { return b.Answered }},
	}
	c := &chart{title: "Requests a second by result"}
	for _, s := range stacked {
		l := r.binLine(s.name, s.colour, func(b *Bin) float64 { return float64(s.value(b)) / binWidth.Seconds() })
		l.filled = true
		c.lines = append(c.lines, l)
	}
	return c
}

// distributionChart shows the distribution of the time to the first token in each
// phase: the quantile over the share of requests.
func (r *Run) distributionChart() *chart {
	c := &chart{title: "Distribution of the time to first token, ms", xLabel: "% of requests", logarithmic: true}
	for i := range r.Phases {
		l := line{name: r.Phases[i].Name, colour: i % colourCount}
		for n, v := range r.Phases[i].firstTokenDistribution {
			percentage := float64(2 * n)
			switch n {
			case 50:
				percentage = 99
			case 51:
				percentage = 99.9
			}
			if v > 0 {
				l.points = append(l.points, point{percentage, v})
			}
		}
		c.lines = append(c.lines, l)
	}
	return c
}

// observationLine returns a line of a count over time, summed over the data centres.
func (r *Run) observationLine(name string, colour int, count func(c *site.DataCentreState) int) line {
	l := line{name: name, colour: colour}
	for i := range r.Observations {
		sum := 0
		for j := range r.Observations[i].DataCentres {
			sum += count(&r.Observations[i].DataCentres[j])
		}
		l.points = append(l.points, point{r.Observations[i].At.Seconds(), float64(sum)})
	}
	return l
}

func (r *Run) replicaChart() *chart {
	return &chart{title: "Replicas of all data centres", lines: []line{
		r.observationLine("target", 4, func(c *site.DataCentreState) int { return c.TargetReplicas }),
		r.observationLine("possible", 1, func(c *site.DataCentreState) int { return c.PossibleReplicas }),
		r.observationLine("serving", 2, func(c *site.DataCentreState) int { return c.ServingReplicas }),
	}}
}

func (r *Run) strandedChart() *chart {
	return &chart{title: "Live accelerators outside serving replicas", lines: []line{
		r.observationLine("all", 4, func(c *site.DataCentreState) int { return max(c.StrandedAccelerators, 0) }),
		r.observationLine("usable by a target replica", 3, func(c *site.DataCentreState) int { return max(c.StrandedAccelerators-c.SpareAccelerators, 0) }),
	}}
}

// platformChart shows the rates of platform calls between successive samples.
func (r *Run) platformChart() *chart {
	reads, writes := line{name: "reads", colour: 0}, line{name: "writes", colour: 3}
	for i := 1; i < len(r.Samples); i++ {
		a, b := &r.Samples[i-1], &r.Samples[i]
		seconds := (b.At - a.At).Seconds()
		if seconds <= 0 || b.PlatformCalls.Reads < a.PlatformCalls.Reads {
			continue
		}
		reads.points = append(reads.points, point{b.At.Seconds(), float64(b.PlatformCalls.Reads-a.PlatformCalls.Reads) / seconds})
		writes.points = append(writes.points, point{b.At.Seconds(), float64(b.PlatformCalls.Writes-a.PlatformCalls.Writes) / seconds})
	}
	return &chart{title: "Platform calls a second", lines: []line{reads, writes}}
}
