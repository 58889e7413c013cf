package report

import (
	"time"

	"cuminbay/internal/experiment/load"
	"cuminbay/internal/experiment/scenario"
)

// binWidth is the time that each point of a time series covers.
const binWidth = 500 * time.Millisecond

// Bin holds the figures of the requests that were scheduled in one interval of a
// run. Tokens and TokenGapP95 are of the tokens that arrived in the interval.
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

func newSeries(results []load.Result, duration time.Duration) []Bin {
	bins := make([]Bin, int((duration+binWidth-1)/binWidth))
	for i := range bins {
		bins[i].At = (time.Duration(i) * binWidth).Seconds()
		bins[i].firstToken, bins[i].tokenGap = newDurationHistogram(), newDurationHistogram()
	}
	binAt := func(d time.Duration) *Bin { return &bins[min(int(d/binWidth), len(bins)-1)] }
	for i := range results {
		r := &results[i]
		binAt(r.ScheduledAt).addResult(r)
		if r.Tokens == 0 {
			continue
		}
		arrivedAt := r.ScheduledAt + r.SendLag + r.FirstTokenTime
		binAt(arrivedAt).Tokens++
		for _, g := range r.TokenGaps {
			arrivedAt += g
			binAt(arrivedAt).Tokens++
			binAt(arrivedAt).tokenGap.add(g)
		}
	}
	for i := range bins {
		b := &bins[i]
		b.P50, b.P95, b.TokenGapP95 = b.firstToken.milliseconds(50), b.firstToken.milliseconds(95), b.tokenGap.milliseconds(95)
	}
	return bins
}

func (b *Bin) addResult(r *load.Result) {
	switch {
	case r.Unsent:
	case r.Complete:
		b.Answered++
	case r.CutOff():
		b.CutOff++
	case r.Refused():
		b.Refused++
	default:
		b.Failed++
	}
	if r.Kind == scenario.Chat && r.Started && r.FirstTokenTime > 0 {
		b.firstToken.add(r.FirstTokenTime)
	}
}
