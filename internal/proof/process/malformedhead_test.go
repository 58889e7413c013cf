package process_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/standin/engine"
	"cuminbay/internal/standin/service"
)

// TestMalformedHead guards against callers that get an answer with a malformed head, and against an error that
// says that a call was not run although a service has run it.
func TestMalformedHead(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\n"
		chat = `{"model":"assistant","stream":%t,"messages":[{"role":"user","content":"x"}]}`
	)
	heads := map[string]string{
		"status 000":                        "HTTP/1.1 000 X\r\n",
		"status 099":                        "HTTP/1.1 099 X\r\n",
		"name with a blank":                 ok + "Odd Name: 1\r\n",
		"name with a blank, interim answer": "HTTP/1.1 103 X\r\nOdd Name: 1\r\n\r\n" + ok,
		"name with a control byte":          ok + "Odd\x01Name: 1\r\n",
		"blank before a colon":              ok + "Odd : 1\r\n",
	}
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 1, engines: 4, replicas: 2, services: 2})
	d := s.daemons[0]
	setHead := func(start string) {
		for _, p := range s.services {
			s.setFaults(p, service.Faults{Head: start})
		}
		for _, p := range s.engines {
			s.setFaults(p, engine.Faults{Head: start})
		}
	}
	for name, start := range heads {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			setHead(start)
			defer setHead("")
			key := fmt.Sprintf("key %s", name)
			answers := map[string]answer{
				"stream":  d.chat("x"),
				"answer":  d.send(http.MethodPost, "/v1/chat/completions", fmt.Sprintf(chat, false)),
				"read":    d.send(http.MethodGet, "/ledger/lots/1", ""),
				"reserve": d.reserve(key),
			}
			for call, a := range answers {
				comment := qt.Commentf("%s: %+v", call, a)
				c.Check(a.err, qt.IsNil, comment)
				c.Check(a.complete, qt.IsFalse, comment)
				c.Check(a.text, qt.Equals, "", comment)
				c.Check(a.errorObject.Code == 0 || a.errorObject.Code == code.Internal, qt.IsFalse, comment)
			}
			runs, err := s.runsByKey()
			c.Assert(err, qt.IsNil)
			c.Check(runs[key] <= 1, qt.IsTrue, qt.Commentf("%d runs", runs[key]))
			if runs[key] > 0 {
				c.Check(answers["reserve"].errorObject.Code.Spec().Outcome, qt.Equals, code.Unknown)
			}
		})
		s.await(10*time.Second, "requests to sound endpoints answered", func() error {
			if a := d.reserve(fmt.Sprintf("sound-%d", clk.Now().UnixNano())); !a.complete {
				return fmt.Errorf("status %d, error %s, %w", a.status, a.errorObject.Type, a.err)
			}
			a := d.chat("sound")
			return a.checkComplete("sound")
		})
	}
}
