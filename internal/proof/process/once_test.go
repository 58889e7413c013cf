package process_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/standin/platform"
	"cuminbay/internal/standin/service"
)

var seed = flag.Uint64("process.seed", 20261204, "seed of the moments of faults and of the daemons chosen")

// attempts are the answers to one key.
type attempts struct {
	mu  sync.Mutex
	all []answer
}

func (a *attempts) add(x answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

// ran returns how often each key ran, at all instances of the ledger.
func (s *site) ran() (map[string]int64, error) {
	sum := make(map[string]int64)
	for _, p := range s.services {
		var runs map[string]int64
		if err := call(http.MethodGet, p.address+"/runs", nil, &runs); err != nil {
			return nil, err
		}
		for k, n := range runs {
			sum[k] += n
		}
	}
	return sum, nil
}

// pause waits for a part of the time, chosen by the seed.
func pause(r *rand.Rand, most time.Duration) {
	<-clk.After(time.Duration(r.Int64N(int64(most))))
}

// TestAtMostOnce guards against a call that runs twice (promise 7) and against
// "not run" being said of one that ran (promise 6), with answers lost at
// random moments, by the platform and the service, and a daemon killed.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := start(t, layout{centres: []string{"a"}, daemons: 4, services: 2})
	const keys, workers = 120, 12
	sent := make([]attempts, keys)
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			r := rand.New(rand.NewPCG(*seed, uint64(w)))
			for k := w; k < keys; k += workers {
				s.sendKey(r, fmt.Sprintf("key-%d", k), &sent[k])
			}
		})
	}
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	s.disturb(rand.New(rand.NewPCG(*seed, workers)), ended)
	runs, err := s.ran()
	c.Assert(err, qt.IsNil)
	outcomes := make(map[string]int)
	for k := range sent {
		key := fmt.Sprintf("key-%d", k)
		notRun, answered := true, false
		for _, a := range sent[k].all {
			refused := a.err == nil && a.fault.Code != 0 && a.fault.Outcome == code.NotRun
			notRun, answered = notRun && refused, answered || a.done
			c.Check(a.fault.Code, qt.Not(qt.Equals), code.UnknownPath, qt.Commentf("of a daemon without its records"))
			outcomes[fmt.Sprintf("%s error %t", a.fault.Type, a.err != nil)]++
		}
		c.Check(runs[key] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times: %+v", key, runs[key], sent[k].all))
		c.Check(notRun && runs[key] > 0, qt.IsFalse, qt.Commentf("%s ran but every answer was not-run: %+v", key, sent[k].all))
		c.Check(answered && runs[key] == 0, qt.IsFalse, qt.Commentf("%s was answered but did not run: %+v", key, sent[k].all))
	}
	t.Logf("seed %d: %d of %d keys ran; answers: %v", *seed, len(runs), keys, outcomes)
	c.Assert(len(runs) > keys/4, qt.IsTrue, qt.Commentf("too few keys ran for the test to mean something"))
}

// sendKey sends the key to two daemons at the same moment and repeats it to up
// to two more. A quarter of the keys is sent only once.
func (s *site) sendKey(r *rand.Rand, key string, sent *attempts) {
	pause(r, 100*time.Millisecond)
	const quarter = 4
	if r.IntN(quarter) == 0 {
		sent.add(s.daemons[r.IntN(len(s.daemons))].reserve(key))
		return
	}
	order := r.Perm(len(s.daemons))
	var pair sync.WaitGroup
	for _, d := range order[:2] {
		pair.Go(func() { sent.add(s.daemons[d].reserve(key)) })
	}
	pair.Wait()
	for range r.IntN(3) {
		pause(r, 100*time.Millisecond)
		sent.add(s.daemons[order[r.IntN(len(order))]].reserve(key))
	}
}

// disturb causes faults at random moments until all keys are sent.
func (s *site) disturb(r *rand.Rand, ended <-chan struct{}) {
	for {
		victim := s.daemons[r.IntN(len(s.daemons))]
		for _, fault := range []func(){
			func() { s.faults(s.platform, platform.Faults{LoseAnswers: 1 + r.IntN(3)}) },
			func() {
				for _, p := range s.services {
					s.faults(p, service.Faults{LoseAnswers: r.IntN(3), DelayMs: r.Int64N(50)})
				}
			},
			func() { s.signal(victim.process, syscall.SIGKILL); <-victim.ended },
			func() { s.run(victim.process) },
		} {
			fault()
			pause(r, 400*time.Millisecond)
		}
		select {
		case <-ended:
			return
		default:
		}
	}
}
