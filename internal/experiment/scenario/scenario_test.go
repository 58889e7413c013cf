package scenario_test

import (
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/experiment/scenario"
)

// TestPossibleReplicas guards against counting downtime that no planner could avoid,
// and against missing avoidable downtime.
func TestPossibleReplicas(t *testing.T) {
	tests := map[string]struct {
		site              scenario.SiteSpec
		livePerDomain     []int
		replicas, engines int
	}{
		"all live":             {site: scenario.Shrestha(), livePerDomain: []int{5, 4}, replicas: 4, engines: 8},
		"one spare down":       {site: scenario.Shrestha(), livePerDomain: []int{4, 4}, replicas: 4, engines: 8},
		"one left per domain":  {site: scenario.Shrestha(), livePerDomain: []int{3, 3}, replicas: 2, engines: 4},
		"one domain down":      {site: scenario.Shrestha(), livePerDomain: []int{0, 4}, replicas: 2, engines: 4},
		"larger replica first": {site: scenario.Revelado(), livePerDomain: []int{5}, replicas: 1, engines: 4},
		"two replica sizes":    {site: scenario.Revelado(), livePerDomain: []int{10}, replicas: 3, engines: 8},
		"nothing live":         {site: scenario.Revelado(), livePerDomain: []int{0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			replicas, engines := test.site.PossibleReplicas(test.livePerDomain)
			qt.Check(t, replicas, qt.Equals, test.replicas)
			qt.Check(t, engines, qt.Equals, test.engines)
		})
	}
}

// TestRequests guards against traffic that differs between two runs with the same
// seed, and against bursts that change the mean rate.
func TestRequests(t *testing.T) {
	tests := map[string]struct {
		burstFactor, callShare float64
	}{
		"constant rate": {burstFactor: 1, callShare: 0.1},
		"bursts":        {burstFactor: 3, callShare: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			site := scenario.Revelado()
			traffic := scenario.Traffic{
				Seed: 7, Rate: 50, Duration: 200 * time.Second, CallShare: test.callShare, BurstFactor: test.burstFactor,
				MeanAnswerTokens: 40, MeanPromptBytes: 100, MaxRequests: 100_000,
			}
			first, err := traffic.Requests(&site)
			c.Assert(err, qt.IsNil)
			second, err := traffic.Requests(&site)
			c.Assert(err, qt.IsNil)
			// quicktest's DeepEquals would take minutes for so many elements.
			c.Assert(reflect.DeepEqual(first, second), qt.IsTrue)
			c.Assert(len(first) > 8500 && len(first) < 11500, qt.IsTrue, qt.Commentf("got %d requests, expected about 10,000", len(first)))
			calls := 0
			for i := range first {
				c.Assert(i == 0 || first[i].ArrivalTime >= first[i-1].ArrivalTime, qt.IsTrue)
				if first[i].Kind == scenario.ServiceCall {
					calls++
				}
			}
			share := float64(calls) / float64(len(first))
			c.Assert(share >= test.callShare*0.8 && share <= test.callShare*1.2, qt.IsTrue, qt.Commentf("share of service calls: %v", share))
		})
	}
}
