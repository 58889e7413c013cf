package plan

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/report"
	"cuminbay/internal/domain/unit"
)

// TestDrainer guards against a replica that is dissolved with requests in
// flight before the drain limit, or before every daemon has been informed that it
// is draining.
func TestDrainer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	observed := newObservations(now)
	d := &drainer{propagationTime: 3 * time.Second, timeout: 30 * time.Second, draining: map[ident.Replica]*drainingReplica{}}
	replicas := []report.Replica{{ID: "r", Epoch: 1, Draining: true, Members: []report.Member{{Instance: "a"}}}}
	runRound := func(running unit.Requests) (bool, int) {
		now = now.Add(time.Second)
		observed.addReport(&report.Report{Instance: "a", Incarnation: 1, Sequence: unit.Sequence(now.Unix()), Running: running}, now)
		idle, timedOut := d.updateDraining(replicas, observed, now)
		return idle["r"], len(timedOut)
	}
	for i, running := range []unit.Requests{0, 0, 0, 0, 1, 0, 0} {
		idle, _ := runRound(running)
		c.Assert(idle, qt.Equals, i == 3 || i == 6)
	}
	timeouts := 0
	for range 30 {
		_, timedOut := runRound(1)
		timeouts += timedOut
	}
	c.Assert(timeouts, qt.Equals, 1)
}

// TestOrderRetry guards against orders that are repeated without a delay. It also
// guards against a retry delay that applies to another order for the same
// instance, or to the same order when it is issued again after it was carried out.
func TestOrderRetry(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000, 0)
	retry := newOrderRetry(time.Second, 30*time.Second)
	order := func(e unit.Epoch) []Order {
		return []Order{{To: report.Member{Instance: "a"}, Order: report.Order{Membership: report.Membership{Replica: "r", Epoch: e}}}}
	}
	c.Assert(retry.dueOrders(order(1), now), qt.HasLen, 1)
	c.Assert(retry.dueOrders(order(1), now), qt.HasLen, 0)
	c.Assert(retry.dueOrders(order(2), now), qt.HasLen, 1)
	c.Assert(retry.dueOrders(order(2), now.Add(2*time.Second)), qt.HasLen, 1)
	c.Assert(retry.dueOrders(nil, now.Add(2*time.Second)), qt.HasLen, 0)
	c.Assert(retry.dueOrders(order(2), now.Add(2*time.Second)), qt.HasLen, 1)
}
