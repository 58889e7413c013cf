package cli

import (
	_ "embed" // The page's template is a file in the same folder.
	"hash/fnv"
	"html/template"
	"io"
	"sort"
	"time"

	"cuminbay/internal/caller/operator"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/kernel/timeline"
)

//go:embed timeline.html
var pageText string

var pageTemplate = template.Must(template.New("timeline").Parse(pageText))

// timelinePage is the data of the template: a column for each process and a row
// for each event.
type timelinePage struct {
	Processes    []ident.Instance
	Rows         []pageRow
	Unresponsive []operator.UnresponsiveDaemon
	From, To     string
}

type pageRow struct {
	Time    string
	Since   string
	Hue     int
	Event   timeline.Event
	Details string
}

const pageTimeLayout = "2006-01-02 15:04:05.000"

func writePage(w io.Writer, t operator.Timeline) error {
	p := timelinePage{Unresponsive: t.Unresponsive, Processes: sortedProcesses(t.Events)}
	var previous time.Time
	for i, e := range t.Events {
		eventTime := e.Timestamp.Time().UTC()
		r := pageRow{
			Time: eventTime.Format(pageTimeLayout), Event: e, Details: e.FormatFields(), Hue: eventHue(e.Name),
		}
		if i == 0 {
			p.From = r.Time
		} else {
			r.Since = "+" + eventTime.Sub(previous).String()
		}
		previous = eventTime
		p.To = r.Time
		p.Rows = append(p.Rows, r)
	}
	return pageTemplate.Execute(w, p)
}

func sortedProcesses(events []timeline.Event) []ident.Instance {
	included := make(map[ident.Instance]bool)
	var names []ident.Instance
	for _, e := range events {
		if !included[e.Process] {
			included[e.Process] = true
			names = append(names, e.Process)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// eventHue returns the hue, in degrees, in which events with the name are shown.
func eventHue(name string) int {
	const degrees = 360
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % degrees)
}
