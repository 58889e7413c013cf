package poison_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/serve/poison"
)

// TestPeers guards against a suspicion being counted twice when it comes back
// through a peer, not adding up across daemons, or outliving its time.
func TestPeers(t *testing.T) {
	c := qt.New(t)
	clk := clockwork.NewFakeClock()
	a := poison.New(poison.Options{Self: "a", Clock: clk, Lifetime: time.Minute, Limit: 2})
	b := poison.New(poison.Options{Self: "b", Clock: clk, Lifetime: time.Minute, Limit: 2})
	a.Suspect(1)
	c.Assert(b.Merge("a", a.Delta(b.Digest())), qt.IsNil)
	c.Assert(a.Delta(b.Digest()), qt.IsNil)
	c.Assert(b.Merge("a", a.Digest()), qt.IsNil)
	c.Assert(b.Check(1), qt.IsNil)
	b.Suspect(1)
	c.Assert(code.Of(b.Check(1)), qt.Equals, code.PoisonRequest)
	clk.Advance(time.Minute)
	c.Assert(b.Check(1), qt.IsNil)
}
