package balance

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/catalog"
	"cuminbay/internal/route/cost"
)

// TestExplain guards against an explanation that differs from the choices of Pick.
func TestExplain(t *testing.T) {
	const picks, tolerance = 4000, 0.04
	for _, choice := range []Choice{ByCount, ByCost} {
		t.Run(string(choice), func(t *testing.T) {
			c := qt.New(t)
			b := New(Options{DataCentre: "d", Daemons: fixedDaemonCount(8), Fleet: fleetSize(8), Limits: noLimits{}, Times: cost.New(), Choice: choice, RemotePenalty: 0.3})
			endpoints := []*catalog.Endpoint{
				testEndpoint{id: "idle", dataCentre: "d", inFlight: 1}.build(), testEndpoint{id: "busy", dataCentre: "d", inFlight: 5}.build(),
				testEndpoint{id: "remote", dataCentre: "e", inFlight: 2}.build(), testEndpoint{id: "slow", dataCentre: "d", inFlight: 3}.build(),
				testEndpoint{id: "full", dataCentre: "d", inFlight: 10}.build(), testEndpoint{id: "failed", dataCentre: "d", avoided: true}.build(),
			}
			for _, e := range endpoints {
				e.Load.SetPeerInFlight(e.Load.InFlight() / 2)
			}
			endpoints[3].Load.RecordCorrection(testStart, time.Second, 0, 1)
			r := Request{MaxUtilisation: 0.9, PromptTokens: 600, OutputTokens: 100, Objective: 250 * time.Millisecond, ObjectiveAt: testStart.Add(200 * time.Millisecond)}
			chosen := make(map[ident.Instance]float64)
			for range picks {
				chosen[b.Pick(testStart, endpoints, r).ID] += 1.0 / picks
			}
			x := b.Explain(testStart, endpoints, r)
			c.Check(x.Choice, qt.Equals, choice)
			for _, candidate := range x.Candidates {
				c.Check(math.Abs(candidate.Probability-chosen[candidate.Endpoint]) < tolerance, qt.IsTrue, qt.Commentf("%s: explained %.3f, chosen %.3f", candidate.Endpoint, candidate.Probability, chosen[candidate.Endpoint]))
			}
			c.Check(x.Candidates[4].Excluded, qt.Equals, NoFreeSlot)
			c.Check(x.Candidates[5].Excluded, qt.Equals, Failed)
		})
	}
}
