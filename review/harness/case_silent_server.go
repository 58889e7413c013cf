package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cuminbay/platform/standin"
)

func init() { testCases["silent-server"] = playSilentServer }

// playSilentServer stops a daemon as planned while the only replica of a model, which is sound,
// is silent for a second. The rule is broken if a stream that the daemon has read and passed on
// ends without its last event.
func playSilentServer(c *cluster, trouble bool) (bool, error) {
	const (
		streams   = 6
		budget    = 8 * time.Second
		silence   = time.Second
		intoDrain = 200 * time.Millisecond
		intoRun   = 120 * time.Millisecond
		// settle lets the first window of the retry budget pass, in which it is small.
		settle = 11 * time.Second
	)
	servers := addReplica(c)
	c.configure(len(servers), route{name: "draft", kind: "stream", service: engineName, attempts: 2, timeout: budget})
	daemons, err := c.addDaemons("kirtipur", 2)
	if err != nil {
		return false, err
	}
	stopped := daemons[0]
	if err := c.waitUntil("the replica serves", func() bool { return c.streamComplete(daemons[1], "first") }); err != nil {
		return false, err
	}
	c.clock.Sleep(settle)
	var channels []*channel
	for i := range streams {
		ch, err := c.open(stopped)
		if err != nil {
			return false, err
		}
		defer ch.close()
		if kept := ch.send(fmt.Sprintf("kept-%d", i), "/draft/1", "x", budget); !kept.complete || kept.status != http.StatusOK {
			return false, fmt.Errorf("a stream before the stop failed: %s", kept)
		}
		channels = append(channels, ch)
	}
	c.record.printf("daemon %s: SIGTERM", stopped.name)
	if err := stopped.command.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	c.clock.Sleep(intoDrain)
	answers := make([]answer, streams)
	var running sync.WaitGroup
	for i, ch := range channels {
		running.Go(func() { answers[i] = ch.send(fmt.Sprintf("stream-%d", i), "/draft/1", "x", budget) })
	}
	c.clock.Sleep(intoRun)
	if trouble {
		c.record.printf("servers: silent for %s", silence)
		for _, s := range servers {
			s.PauseFor(silence)
		}
	}
	running.Wait()
	lost := 0
	for i, a := range answers {
		if a.complete && (a.status != http.StatusOK || eventCount(a.body) == standin.EventCount()) {
			continue
		}
		lost++
		c.record.printf("LOST: stream-%d got %d of %d events, %s", i, eventCount(a.body), standin.EventCount(), a)
	}
	return lost > 0, nil
}

// addReplica starts the servers of one replica of the model.
func addReplica(c *cluster) []*standin.Server {
	const members = 3
	runs := standin.NewRunLog()
	var servers []*standin.Server
	for i := range members {
		s := standin.NewServer(c.clock, c.store, runs, fmt.Sprintf("i-%d", i), engineName, "kirtipur", "domain-1")
		servers = append(servers, s)
		c.onClose(s.Crash)
	}
	return servers
}

// streamComplete reports whether a stream through the daemon is answered completely.
func (c *cluster) streamComplete(d *daemon, id string) bool {
	a := c.sendOnce(d, fmt.Sprintf("%s-%d", id, c.clock.Now().UnixNano()), "/draft/1", "x", time.Second)
	return a.status == http.StatusOK && a.complete && eventCount(a.body) == standin.EventCount()
}
