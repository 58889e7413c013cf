package process_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/proof/misbehaving"
)

// The daemon's limits in TestMisbehavingClients: megabytes of memory and file descriptors.
// descriptorBound leaves some descriptors for endpoints, the platform and other daemons.
const (
	memoryLimit     = 96
	descriptorLimit = 256
	descriptorBound = 240
)

// TestMisbehavingClients guards against callers that fill the memory or the descriptors of a daemon
// with requests that don't end or answers that they don't read, and against ordinary callers that are not served
// meanwhile.
func TestMisbehavingClients(t *testing.T) {
	const fields = "Authorization: Bearer demo-key\r\n"
	const body = 2 << 20
	targets := map[string]func(d *daemon) misbehaving.Target{
		"generation": func(d *daemon) misbehaving.Target {
			return misbehaving.Target{Address: d.callerAddress, Path: "/v1/chat/completions"}
		},
		"plain service": func(d *daemon) misbehaving.Target {
			return misbehaving.Target{Address: d.callerAddress, Path: "/ledger/reserve"}
		},
		"unknown path": func(d *daemon) misbehaving.Target { return misbehaving.Target{Address: d.callerAddress, Path: "/none"} },
		"health": func(d *daemon) misbehaving.Target {
			return misbehaving.Target{Address: d.callerAddress, Path: "/health"}
		},
	}
	behaviours := misbehaving.Behaviours(body, 120, 300)
	for name, targetOf := range targets {
		t.Run(name, func(t *testing.T) {
			s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 1, services: 1, limits: processLimits{memory: memoryLimit, descriptors: descriptorLimit, maxBody: body}})
			target := targetOf(s.daemons[0])
			target.Method, target.Fields = http.MethodPost, fields
			for _, behaviour := range slices.Sorted(maps.Keys(behaviours)) {
				t.Run(behaviour, func(t *testing.T) {
					s.checkMisbehavingClients(qt.New(t), target, behaviours[behaviour])
				})
			}
		})
	}
}

// checkMisbehavingClients checks the daemon's memory and descriptors while the clients are connected,
// and that an ordinary request and a health check are answered before they disconnect.
func (s *cluster) checkMisbehavingClients(c *qt.C, target misbehaving.Target, b misbehaving.Behaviour) {
	const hold, answerWithin = 1500 * time.Millisecond, 10 * time.Second
	d := s.daemons[0]
	clients := misbehaving.Open(clk, target, b)
	defer clients.Close()
	var peak misbehaving.Usage
	measure := func() {
		u, err := misbehaving.UsageOf(d.cmd.Process.Pid)
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
	c.Check(peak.PeakMemory <= memoryLimit<<20, qt.IsTrue, qt.Commentf("resident memory reached %d MB of %d", peak.PeakMemory>>20, memoryLimit))
	c.Check(peak.Descriptors <= descriptorBound, qt.IsTrue, qt.Commentf("%d descriptors were open, the bound is %d", peak.Descriptors, descriptorBound))
}
