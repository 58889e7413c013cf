package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/cost"
)

// TestAdmittedShare guards against requests that are refused although there is room, against more requests
// than the room is expected for while counts are old, and against an explanation that differs. Three
// replicas have 10 slots, of which 9 may be used.
func TestAdmittedShare(t *testing.T) {
	const picks, tolerance = 4000, 0.03
	usual := cost.New().Predict(cost.Profile{Model: "m", PromptTokens: testEngine.MeanPrompt}, testEngine)
	tests := map[string]struct {
		// peers is the number of the other daemons' requests at each replica, and age that of the counts.
		peers unit.Requests
		age   time.Duration
		// offered is the offered load in requests a second, zero if it isn't known.
		offered float64
		// least and most bound the share of the requests that get a replica.
		least, most float64
	}{
		"recent counts, free slots":           {peers: 5, offered: 1000, least: 1, most: 1},
		"recent counts, all used":             {peers: 9, offered: 10, least: 0, most: 0},
		"old counts, free slots, little load": {peers: 5, age: 200 * time.Millisecond, offered: 20, least: 1, most: 1},
		"old counts, too many requests":       {peers: 7, age: 200 * time.Millisecond, offered: 150, least: 0.1, most: 0.9},
		"old counts, unknown load":            {peers: 5, age: 200 * time.Millisecond, least: 1, most: 1},
		"old counts, overfilled":              {peers: 30, age: 200 * time.Millisecond, offered: 150, least: 0, most: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			model := cost.New()
			var endpoints []*catalog.Endpoint
			for _, id := range []ident.Instance{"a", "b", "c"} {
				e := testEndpoint{id: id}.build()
				e.Load.SetPeerInFlight(test.peers)
				e.Load.SetPeerCountedAt(testStart.Add(-test.age))
				endpoints = append(endpoints, e)
			}
			run := model.StartRun(testStart.Add(-time.Second), endpoints[0], cost.Profile{Model: "m"}, usual)
			run.FirstEvent(testStart.Add(-800 * time.Millisecond))
			run.Completed(testStart.Add(-300 * time.Millisecond))
			run.End()
			b := New(Options{Daemons: fixedDaemonCount(8), Fleet: fleetSize(8), Limits: noLimits{}, Times: model, Demand: simulatedDemand(test.offered * usual.Work.Seconds()), Choice: ByCost, RemotePenalty: 0.3})
			r := Request{MaxUtilisation: 0.9, PromptTokens: 600, OutputTokens: 100, Objective: 250 * time.Millisecond, ObjectiveAt: testStart.Add(200 * time.Millisecond)}
			got := 0.0
			for range picks {
				if r.Draw = rand.Float64(); b.Pick(testStart, endpoints, r) != nil {
					got += 1.0 / picks
				}
			}
			c.Check(got >= test.least-tolerance && got <= test.most+tolerance, qt.IsTrue, qt.Commentf("%.3f of the requests", got))
			admitted := b.Explain(testStart, endpoints, r).Admitted
			c.Check(math.Abs(admitted-got) < tolerance, qt.IsTrue, qt.Commentf("explained %.3f, got %.3f", admitted, got))
			if r.Draw = 0; test.most > 0 {
				c.Check(b.Pick(testStart, endpoints, r), qt.IsNotNil, qt.Commentf("a request that goes before all others"))
			}
		})
	}
}

// TestCacheFullCount guards against a metric that counts an endpoint more than once for a choice.
func TestCacheFullCount(t *testing.T) {
	b := New(Options{Daemons: fixedDaemonCount(1), Fleet: fleetSize(1), Limits: noLimits{}, Times: cost.New(), Choice: ByCost, RemotePenalty: 0.3})
	var endpoints []*catalog.Endpoint
	for _, id := range []ident.Instance{"a", "b", "c"} {
		e := testEndpoint{id: id, inFlight: 1}.build()
		e.Load.AddReserved(testEngine.KVCapacity)
		endpoints = append(endpoints, e)
	}
	c := qt.New(t)
	c.Check(b.Pick(testStart, endpoints, Request{MaxUtilisation: 0.9, PromptTokens: 600}), qt.IsNil)
	c.Check(b.cacheFull.Load(), qt.Equals, int64(len(endpoints)))
}
