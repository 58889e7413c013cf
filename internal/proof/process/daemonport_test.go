package process_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cuminbay/internal/peer/twirp"
	"cuminbay/internal/proof/misbehaving"
)

// daemonPortDescriptors is the highest number of descriptors of a daemon, of misbehaving.DescriptorLimit, while
// clients misbehave at its port for other daemons. The others are left for callers, endpoints and the
// platform. manyDescriptors and manyDaemonConnections let in as many clients as only the limit of the
// memory stops. daemonPortMemory is the limit of a daemon's memory, in megabytes.
const (
	daemonPortDescriptors = 128
	daemonPortMemory      = 96
	manyDescriptors       = 512
	manyDaemonConnections = 200
)

// TestDaemonPort guards against clients that fill the memory or the descriptors of daemons through the
// port for other daemons, and against callers that are not served and records that don't arrive
// meanwhile.
func TestDaemonPort(t *testing.T) {
	const message, connections, manyConnections = 1 << 20, 120, 300
	behaviours := misbehaving.DaemonBehaviours(message, connections, manyConnections)
	envelope, err := proto.Marshal(&twirp.Envelope{From: "stranger", DataCentre: "a", Codec: "section/1", Sections: []*twirp.Section{{Name: "config"}, {Name: "member"}}})
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		limits         processLimits
		maxDescriptors int
	}{
		"default connections": {processLimits{memory: daemonPortMemory, descriptors: misbehaving.DescriptorLimit}, daemonPortDescriptors},
		"many connections":    {processLimits{memory: daemonPortMemory, descriptors: manyDescriptors, daemonConnections: manyDaemonConnections}, manyDaemonConnections + daemonPortDescriptors},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 2, services: 1, limits: test.limits})
			for i, behaviour := range slices.Sorted(maps.Keys(behaviours)) {
				t.Run(behaviour, func(t *testing.T) {
					for _, d := range s.daemons {
						clients := misbehaving.Open(clk, misbehaving.Target{
							Address: d.peerAddress, Method: http.MethodPost, Path: twirp.PeerPathPrefix + "Exchange",
							Fields: "Content-Type: application/protobuf\r\n", Body: envelope,
						}, behaviours[behaviour])
						defer clients.Close()
					}
					s.checkDaemonPort(qt.New(t), i, test.maxDescriptors)
				})
			}
		})
	}
}

// checkDaemonPort checks the daemons' memory and descriptors while clients misbehave, and that before
// these leave a record reaches the daemons and ordinary requests are answered.
func (s *cluster) checkDaemonPort(c *qt.C, n, maxDescriptors int) {
	const hold, answerWithin = 1500 * time.Millisecond, 10 * time.Second
	peaks := make(misbehaving.Peaks)
	measure := func() {
		for _, d := range s.daemons {
			c.Assert(peaks.Measure(d.name, d.cmd.Process.Pid), qt.IsNil)
		}
	}
	s.poll(hold, func() bool { measure(); return false })
	key := fmt.Sprintf("key-%d", n)
	exitCode, output := runCommand(fmt.Sprintf(`{"schema":2,"keys":[%q]}`, key), "record", "write", fmt.Sprintf("organisation/o%d", n), "--at", s.daemons[0].operatorAddress)
	c.Assert(exitCode, qt.Equals, 0, qt.Commentf("%s", output))
	for _, d := range s.daemons {
		s.await(answerWithin, d.name+" has the record", func() error { return d.checkKeyKnown(key) })
		s.await(answerWithin, d.name+" answers an ordinary request", func() error {
			if a := d.reserve(fmt.Sprintf("ordinary-%d", clk.Now().UnixNano())); !a.complete {
				return fmt.Errorf("status %d, error %s, %w", a.status, a.errorObject.Type, a.err)
			}
			return nil
		})
	}
	measure()
	for name, peak := range peaks {
		c.Logf("%s: peak %d MB, %d descriptors", name, peak.PeakMemory>>20, peak.Descriptors)
	}
	c.Check(peaks.Check(daemonPortMemory<<20, maxDescriptors), qt.IsNil)
}
