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
	At          float64 `json:"at"`
	P50         float64 `json:"p50"`
	P95         float64 `json:"p95"`
	TokenGapP95 float64 `json:"betweenP95"`
	Answered    int     `json:"answered"`
	Refused     int     `json:"refused"`
	CutOff      int     `json:"cutOff"`
	Failed      int     `json:"failed"`
	Tokens      int     `json:"tokens"`

	firstToken, tokenGap durationHistogram
}

func newSeries(results []load.Result, length time.Duration) []Bin {
	bins := make([]Bin, int((length+binWidth-1)/binWidth))
	for i := range bins {
		bins[i].At = (time.Duration(i) * binWidth).Seconds()
		bins[i].firstToken, bins[i].tokenGap = newDurationHistogram(), newDurationHistogram()
	}
	binAt := func(d time.Duration) *Bin { return &bins[min(int(d/binWidth), len(bins)-1)] }
	for i := range results {
		r := &results[i]
		binAt(r.At).add(r)
		if r.Tokens == 0 {
			continue
		}
		now := r.At + r.Lag + r.FirstToken
		binAt(now).Tokens++
		for _, g := range r.Gaps {
			now += g
			binAt(now).Tokens++
			binAt(now).tokenGap.add(g)
		}
	}
	for i := range bins {
		b := &bins[i]
		b.P50, b.P95, b.TokenGapP95 = b.firstToken.milliseconds(50), b.firstToken.milliseconds(95), b.tokenGap.milliseconds(95)
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
		b.firstToken.add(r.FirstToken)
	}
}
