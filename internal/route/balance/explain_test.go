package balance

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/cost"
)

// TestExplain guards against an explanation that differs from the choices of Pick, and against one that
// counts or admits a request.
func TestExplain(t *testing.T) {
	const picks, tolerance = 4000, 0.04
	mixed := []testEndpoint{
		{id: "idle", dataCentre: "d", inFlight: 1},
		{id: "busy", dataCentre: "d", inFlight: 5},
		{id: "remote", dataCentre: "e", inFlight: 2},
		{id: "slow", dataCentre: "d", inFlight: 3},
		{id: "full", dataCentre: "d", inFlight: 10},
		{id: "failed", dataCentre: "d", avoided: true},
	}
	tests := map[string]struct {
		endpoints []testEndpoint
		prompt    unit.Tokens
		excluded  map[ident.Instance]Exclusion
		// tooSmall is the endpoint whose KV cache has no room, which matters by cost.
		tooSmall ident.Instance
		none     bool
	}{
		"mixed":                {endpoints: mixed, prompt: 600, excluded: map[ident.Instance]Exclusion{"full": NoFreeSlot, "failed": Failed}},
		"equal":                {endpoints: []testEndpoint{{id: "a", dataCentre: "d"}, {id: "b", dataCentre: "d"}, {id: "c", dataCentre: "d"}}, prompt: 600},
		"plain, nearly equal":  {endpoints: []testEndpoint{{id: "a", dataCentre: "d", plain: true}, {id: "b", dataCentre: "d", plain: true}, {id: "c", dataCentre: "d", plain: true, inFlight: 1}}, prompt: 600},
		"all avoided":          {endpoints: []testEndpoint{{id: "a", dataCentre: "d", avoided: true, inFlight: 4}, {id: "b", dataCentre: "d", avoided: true}}, prompt: 600},
		"cold":                 {endpoints: []testEndpoint{{id: "cold", dataCentre: "d", coldFor: time.Second}, {id: "warm", dataCentre: "d", inFlight: 5}}, prompt: 600, excluded: map[ident.Instance]Exclusion{"cold": AtColdRate}},
		"all cold":             {endpoints: []testEndpoint{{id: "cold", dataCentre: "d", coldFor: time.Second}}, prompt: 600, excluded: map[ident.Instance]Exclusion{"cold": AtColdRate}, none: true},
		"all full":             {endpoints: []testEndpoint{{id: "a", dataCentre: "d", inFlight: 9}, {id: "b", dataCentre: "d", inFlight: 10}}, prompt: 600, excluded: map[ident.Instance]Exclusion{"a": NoFreeSlot, "b": NoFreeSlot}, none: true},
		"larger than the rest": {endpoints: []testEndpoint{{id: "a", dataCentre: "d", inFlight: 4}, {id: "b", dataCentre: "d"}}, prompt: 50_000, tooSmall: "a"},
	}
	for name, test := range tests {
		for _, choice := range []Choice{ByCount, ByCost} {
			t.Run(name+" by "+string(choice), func(t *testing.T) {
				c := qt.New(t)
				b := New(Options{DataCentre: "d", Daemons: fixedDaemonCount(8), Fleet: fleetSize(8), Limits: noLimits{}, Times: cost.New(), Choice: choice, RemotePenalty: 0.3, PlainQueueRatio: 1, ColdRateFraction: 0.9})
				endpoints := make([]*catalog.Endpoint, len(test.endpoints))
				for i, e := range test.endpoints {
					endpoints[i] = e.build()
					endpoints[i].Load.SetPeerInFlight(endpoints[i].Load.InFlight() / 2)
					if e.id == "slow" {
						endpoints[i].Load.RecordCorrection(testStart, time.Second, 0, 1)
					}
				}
				r := Request{MaxUtilisation: 0.9, PromptTokens: test.prompt, OutputTokens: 100, Objective: 250 * time.Millisecond, ObjectiveAt: testStart.Add(200 * time.Millisecond)}
				x := b.Explain(testStart, endpoints, r)
				c.Check([]int64{b.cacheFull.Load(), b.none.Load(), b.drawn.Load(), b.leastUtilised.Load()}, qt.DeepEquals, []int64{0, 0, 0, 0})
				chosen := make(map[ident.Instance]float64)
				for range picks {
					if e := b.Pick(testStart, endpoints, r); e != nil {
						chosen[e.ID] += 1.0 / picks
					}
				}
				c.Check(len(chosen) == 0, qt.Equals, test.none)
				for _, candidate := range x.Candidates {
					c.Check(math.Abs(candidate.Probability-chosen[candidate.Endpoint]) < tolerance, qt.IsTrue, qt.Commentf("%s: explained %.3f, chosen %.3f", candidate.Endpoint, candidate.Probability, chosen[candidate.Endpoint]))
					want := test.excluded[candidate.Endpoint]
					if choice == ByCost && candidate.Endpoint == test.tooSmall {
						want = CacheFull
					}
					c.Check(candidate.Excluded, qt.Equals, want, qt.Commentf("%s", candidate.Endpoint))
				}
			})
		}
	}
}

// TestPeerAge guards against counts whose age is left out, or that seem new although none were received,
// also from a daemon of an older build.
func TestPeerAge(t *testing.T) {
	c := qt.New(t)
	b := New(Options{DataCentre: "d", Daemons: fixedDaemonCount(8), Fleet: fleetSize(8), Limits: noLimits{}, Times: cost.New(), Choice: ByCost})
	known, unknown := testEndpoint{id: "known"}.build(), testEndpoint{id: "unknown"}.build()
	known.Load.SetPeerCountedAt(testStart.Add(-120 * time.Millisecond))
	x := b.Explain(testStart, []*catalog.Endpoint{known, unknown}, Request{MaxUtilisation: 0.9})
	c.Check(x.Candidates[0].PeerAge, qt.Equals, int64(120))
	c.Check(x.Candidates[1].PeerAge, qt.Equals, int64(-1))
	var older Explanation
	c.Assert(json.Unmarshal([]byte(`{"candidates":[{"endpoint":"e"},{"endpoint":"f","peer_age_ms":0}]}`), &older), qt.IsNil)
	c.Check(older.Candidates[0].PeerAge, qt.Equals, int64(-1))
	c.Check(older.Candidates[1].PeerAge, qt.Equals, int64(0))
}
