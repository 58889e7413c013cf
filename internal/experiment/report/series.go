package report

import (
	"time"

	"cuminbay/internal/experiment/load"
	"cuminbay/internal/experiment/scenario"
)

// binWidth is the width of the points of a time series.
const binWidth = 500 * time.Millisecond

// Bin has the figures of the requests sent in one interval; its tokens are
// those that arrived in it.
type Bin struct {
	At       float64 `json:"at"`
	P50      float64 `json:"p50"`
	P95      float64 `json:"p95"`
	Between  float64 `json:"betweenP95"`
	Answered int     `json:"answered"`
	Refused  int     `json:"refused"`
	CutOff   int     `json:"cutOff"`
	Failed   int     `json:"failed"`
	Tokens   int     `json:"tokens"`

	first, between recorder
}

func newSeries(results []load.Result, length time.Duration) []Bin {
	bins := make([]Bin, int((length+binWidth-1)/binWidth))
	for i := range bins {
		bins[i].At = (time.Duration(i) * binWidth).Seconds()
		bins[i].first, bins[i].between = newRecorder(), newRecorder()
	}
	at := func(d time.Duration) *Bin { return &bins[min(int(d/binWidth), len(bins)-1)] }
	for i := range results {
		r := &results[i]
		at(r.At).add(r)
		if r.Tokens == 0 {
			continue
		}
		now := r.At + r.Lag + r.FirstToken
		at(now).Tokens++
		for _, g := range r.Gaps {
			now += g
			at(now).Tokens++
			at(now).between.add(g)
		}
	}
	for i := range bins {
		b := &bins[i]
		b.P50, b.P95, b.Between = b.first.milliseconds(50), b.first.milliseconds(95), b.between.milliseconds(95)
	}
	return bins
}

func (b *Bin) add(r *load.Result) {
	switch {
	case r.Unsent:
	case r.Whole:
		b.Answered++
	case r.CutOff():
		b.CutOff++
	case r.Refused():
		b.Refused++
	default:
		b.Failed++
	}
	if r.Kind == scenario.Chat && r.Begun && r.FirstToken > 0 {
		b.first.add(r.FirstToken)
	}
}
