package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/serve/poison"
)

// TestCrashes guards against a poison request that each daemon sends to more
// endpoints because it has no crash counts of the other daemons, and against one
// crash that is counted twice.
func TestCrashes(t *testing.T) {
	c := qt.New(t)
	g, _, clk := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z", "d": "z"})
	g.Poison.(*poison.Detector).RecordCrash(7, 1)
	raw := g.encodeDatagrams(g.ownLoads(), targets{localCount: localFanout})[0].raw
	m, err := decodeMessage(raw)
	c.Assert(err, qt.IsNil)
	c.Check(m.Crashes, qt.DeepEquals, map[ident.Fingerprint][]ident.Crash{7: {1}})
	clk.Advance(crashReportTime + time.Second)
	raw = g.encodeDatagrams(g.ownLoads(), targets{localCount: localFanout})[0].raw
	m, err = decodeMessage(raw)
	c.Assert(err, qt.IsNil)
	c.Check(m.Crashes, qt.HasLen, 0, qt.Commentf("crash reported for longer than crashReportTime"))

	check := func(f ident.Fingerprint) code.Code {
		return code.Of(g.Poison.(*poison.Detector).Check(f))
	}
	g.handleMessage(&message{From: "b", Incarnation: 1, Sequence: 1, Crashes: map[ident.Fingerprint][]ident.Crash{9: {1}}})
	g.handleMessage(&message{From: "b", Incarnation: 1, Sequence: 2, Crashes: map[ident.Fingerprint][]ident.Crash{9: {1}}})
	c.Check(check(9), qt.Equals, code.Answered)
	g.handleMessage(&message{From: "d", Incarnation: 1, Sequence: 1, Crashes: map[ident.Fingerprint][]ident.Crash{9: {1}}})
	c.Check(check(9), qt.Equals, code.Answered, qt.Commentf("two daemons observed one crash"))
	g.handleMessage(&message{From: "d", Incarnation: 1, Sequence: 2, Crashes: map[ident.Fingerprint][]ident.Crash{9: {1, 2}}})
	c.Check(check(9), qt.Equals, code.PoisonRequest)
	c.Check(check(7), qt.Equals, code.Answered)
}

// TestClearedRequests guards against a restarted daemon that refuses a request although
// equal requests run to their end at all other daemons. The restarted daemon suspects
// the request because servers that ran equal requests crashed for another reason. The
// soak test found this fault with seeds 1 and 3.
func TestClearedRequests(t *testing.T) {
	c := qt.New(t)
	running, _, _ := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z"})
	running.Poison.(*poison.Detector).RecordCompletion(7)
	running.Poison.(*poison.Detector).RecordCrash(7, 1)
	c.Check(running.Poison.CrashReport(crashReportTime), qt.HasLen, 0, qt.Commentf("a completed request is suspected"))
	restarted, _, _ := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z"})
	detector := restarted.Poison.(*poison.Detector)
	for crash := range ident.Crash(3) {
		detector.RecordCrash(7, crash)
	}
	c.Assert(code.Of(detector.Check(7)), qt.Equals, code.PoisonRequest)
	send := func(from, to *Gossip, sequence unit.Sequence) {
		raw := from.encodeDatagrams(from.ownLoads(), targets{localCount: localFanout})[0].raw
		m, err := decodeMessage(raw)
		c.Assert(err, qt.IsNil)
		m.From, m.Sequence = "b", sequence
		to.handleMessage(m)
	}
	send(restarted, running, 1)
	send(running, restarted, 1)
	c.Check(detector.Check(7), qt.IsNil)
}

// TestPartsSuspected guards against a prompt part that crashes servers at one daemon after the
// other, since they hear of its crashes only by and by.
func TestPartsSuspected(t *testing.T) {
	c := qt.New(t)
	g, _, _ := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z", "d": "y"})
	receiver, _, _ := newGossip(c, map[ident.Instance]ident.DataCentre{"b": "z"})
	detectors := []*poison.PartDetector{g.Parts.(*poison.PartDetector), receiver.Parts.(*poison.PartDetector)}
	part := []ident.PromptPart{4}
	for crash := range ident.Crash(3) {
		c.Assert(detectors[0].RecordPartCrash(part, crash+1), qt.IsTrue)
	}
	sequence := g.sequence
	g.PartsSuspected()
	c.Check(g.sequence, qt.Equals, sequence+1, qt.Commentf("the crashes were not sent immediately"))
	datagrams := g.encodeDatagrams(nil, allDaemons)
	c.Assert(datagrams, qt.HasLen, 1)
	c.Check(datagrams[0].addresses, qt.HasLen, 2)
	m, err := decodeMessage(datagrams[0].raw)
	c.Assert(err, qt.IsNil)
	m.From = "b"
	receiver.handleMessage(m)
	c.Check(code.Of(detectors[1].CheckParts(part)), qt.Equals, code.PoisonRequest)
	receiver.handleMessage(&message{From: "b", Incarnation: 1, Sequence: m.Sequence + 1, SoundParts: part})
	c.Check(detectors[1].CheckParts(part), qt.IsNil)
}
