package formation

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// lossSeries is a series of servers that are lost for good, some of them together every few
// seconds, in one data centre after the other.
type lossSeries struct {
	random *rand.Rand
	tc     *testCluster
	p      *Planner
	// failedAt has the servers that have failed and that the platform still lists.
	failedAt map[ident.Instance]time.Time
	rounds   int
}

// Times of a loss: the series of losses, and the detection and removal of each.
const (
	lossInterval  = 3 * time.Second
	lossesAtOnce  = 4
	lossRounds    = 9
	detectionTime = 1200 * time.Millisecond
	removalTime   = 4 * time.Second
)

// fail makes joined servers of the next data centre fail.
func (l *lossSeries) fail() {
	dc := ident.DataCentre("z" + string(rune('0'+l.rounds%dataCentres)))
	l.rounds++
	var joined []ident.Instance
	for id, s := range l.tc.servers {
		if s.DataCentre == dc && s.Membership != nil && !s.failed {
			joined = append(joined, id)
		}
	}
	slices.Sort(joined)
	l.random.Shuffle(len(joined), func(i, j int) { joined[i], joined[j] = joined[j], joined[i] })
	for _, id := range joined[:lossesAtOnce] {
		l.tc.servers[id].failed = true
		l.failedAt[id] = l.tc.now
	}
}

// progress has the planner detect failures, and the platform remove the servers, in time.
func (l *lossSeries) progress() {
	for id, at := range l.failedAt {
		switch s := l.tc.servers[id]; {
		case l.tc.now.Sub(at) >= removalTime:
			delete(l.tc.servers, id)
			delete(l.failedAt, id)
		case l.tc.now.Sub(at) >= detectionTime:
			l.p.MarkUnreachable(s.report())
		}
	}
}

// TestSeriesOfLosses guards against the capacity of a model of many servers that shrinks with each
// lost server, as its replicas wait for members. The fleet has to bear the loss of a data centre,
// so servers lost one by one, far fewer than a data centre has, may not cost more.
func TestSeriesOfLosses(t *testing.T) {
	t.Parallel()
	const domains, tolerated = 9, 1.0 / dataCentres
	tests := map[string]uint64{"seed 1": 1, "seed 2": 2, "seed 3": 3}
	for name, seed := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			models := []cluster.Model{
				{Name: "large", ServersPerReplica: 32, InitialShare: 0.5, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: stagedLoadTime},
				{Name: "small", ServersPerReplica: 8, InitialShare: 0.5, TimeFactor: 1, LoadTime: loadTime, StagedLoadTime: stagedLoadTime},
			}
			tc := newTestCluster(domains, 73, models...)
			p := NewPlanner(testOptions(), 10, tc.now)
			for range 80 {
				tc.step(p, true)
			}
			first, served, steps := tc.servingReplicas(), make(map[ident.Model]int), 0
			l := &lossSeries{random: rand.New(rand.NewPCG(seed, 0)), tc: tc, p: p, failedAt: make(map[ident.Instance]time.Time)}
			for l.rounds < lossRounds {
				l.fail()
				for range int(lossInterval / stepInterval) {
					l.progress()
					tc.step(p, false)
					steps++
					for m, n := range tc.servingReplicas() {
						served[m] += n
					}
				}
			}
			for m, n := range first {
				share, left := float64(served[m])/float64(n*steps), float64(tc.servingReplicas()[m])/float64(n)
				t.Logf("%s: %d replicas at first, %.3f of them at the end, %.3f on average", m, n, left, share)
				c.Check(share >= 1-tolerated, qt.IsTrue)
				c.Check(left >= 1-tolerated, qt.IsTrue)
			}
			c.Check(tc.violations, qt.HasLen, 0)
		})
	}
}
