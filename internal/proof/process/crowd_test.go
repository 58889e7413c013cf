package process_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/proof/crowd"
)

// The daemon's limits in TestCrowd: megabytes of memory and file descriptors. descriptorBound leaves
// some descriptors for endpoints, the platform and other daemons.
const (
	crowdMemory      = 96
	crowdDescriptors = 256
	descriptorBound  = 240
)

// TestCrowd guards against callers that fill the memory or the descriptors of a daemon with requests
// that don't end or answers that they don't read, and against ordinary callers that are not served
// meanwhile.
func TestCrowd(t *testing.T) {
	const fields = "Authorization: Bearer demo-key\r\n"
	const body = 2 << 20
	targets := map[string]func(d *daemon) crowd.Target{
		"generation": func(d *daemon) crowd.Target {
			return crowd.Target{Address: d.callerAddress, Path: "/v1/chat/completions"}
		},
		"plain service": func(d *daemon) crowd.Target {
			return crowd.Target{Address: d.callerAddress, Path: "/ledger/reserve"}
		},
		"unknown path": func(d *daemon) crowd.Target { return crowd.Target{Address: d.callerAddress, Path: "/none"} },
		"health":       func(d *daemon) crowd.Target { return crowd.Target{Address: d.callerAddress, Path: "/health"} },
	}
	behaviours := crowd.Behaviours(body, 120, 300)
	for name, targetOf := range targets {
		t.Run(name, func(t *testing.T) {
			s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 1, services: 1, limits: processLimits{memory: crowdMemory, descriptors: crowdDescriptors, maxBody: body}})
			target := targetOf(s.daemons[0])
			target.Method, target.Fields = http.MethodPost, fields
			for _, behaviour := range slices.Sorted(maps.Keys(behaviours)) {
				t.Run(behaviour, func(t *testing.T) {
					s.checkCrowd(qt.New(t), target, behaviours[behaviour])
				})
			}
		})
	}
}

// checkCrowd checks the daemon's memory and descriptors while the crowd is connected, and that an
// ordinary request and a health check are answered before it leaves.
func (s *cluster) checkCrowd(c *qt.C, target crowd.Target, b crowd.Behaviour) {
	const hold, answerWithin = 1500 * time.Millisecond, 10 * time.Second
	d := s.daemons[0]
	present := crowd.Open(clk, target, b)
	defer present.Close()
	var peak crowd.Usage
	measure := func() {
		u, err := crowd.UsageOf(d.cmd.Process.Pid)
		c.Assert(err, qt.IsNil)
		peak.PeakMemory, peak.Descriptors = u.PeakMemory, max(peak.Descriptors, u.Descriptors)
	}
	s.poll(hold, func() bool { measure(); return false })
	s.await(answerWithin, "ordinary request answered", func() error {
		if a := d.reserve(fmt.Sprintf("ordinary-%d", clk.Now().UnixNano())); !a.complete {
			return fmt.Errorf("status %d, error %s, %w", a.status, a.errorObject.Type, a.err)
		}
		return nil
	})
	s.await(answerWithin, "health check answered", func() error {
		if a := d.send(http.MethodGet, "/health", ""); a.status != http.StatusOK {
			return fmt.Errorf("status %d", a.status)
		}
		return nil
	})
	measure()
	c.Logf("peak %d MB, %d descriptors", peak.PeakMemory>>20, peak.Descriptors)
	c.Check(peak.PeakMemory <= crowdMemory<<20, qt.IsTrue, qt.Commentf("resident memory reached %d MB of %d", peak.PeakMemory>>20, crowdMemory))
	c.Check(peak.Descriptors <= descriptorBound, qt.IsTrue, qt.Commentf("%d descriptors were open, the bound is %d", peak.Descriptors, descriptorBound))
}
