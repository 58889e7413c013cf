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

var seed = flag.Uint64("process.seed", 20261204, "seed for the times of faults and the choice of daemons")

// keyAnswers collects the answers to all calls with one idempotency key.
type keyAnswers struct {
	mu      sync.Mutex
	answers []answer
}

func (a *keyAnswers) add(received answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, received)
}

// runsByKey returns how often the call of each idempotency key ran, summed over the
// instances of the ledger service.
func (s *cluster) runsByKey() (map[string]int64, error) {
	sum := make(map[string]int64)
	for _, p := range s.services {
		var runs map[string]int64
		if err := callJSON(http.MethodGet, p.address+"/runs", nil, &runs); err != nil {
			return nil, err
		}
		for k, n := range runs {
			sum[k] += n
		}
	}
	return sum, nil
}

// randomPause waits for a random time below the limit.
func randomPause(r *rand.Rand, limit time.Duration) {
	<-clk.After(time.Duration(r.Int64N(int64(limit))))
}

// TestAtMostOnce guards against a call that runs twice (promise 7), and against the
// outcome "not run" for a call that ran (promise 6). At random times the platform
// and the service lose answers and a daemon is killed.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := startCluster(t, clusterSize{dataCentres: []string{"a"}, daemons: 4, services: 2})
	const keys, workers = 120, 12
	answersByKey := make([]keyAnswers, keys)
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			r := rand.New(rand.NewPCG(*seed, uint64(w)))
			for k := w; k < keys; k += workers {
				s.sendCalls(r, fmt.Sprintf("key-%d", k), &answersByKey[k])
			}
		})
	}
	allSent := make(chan struct{})
	go func() {
		group.Wait()
		close(allSent)
	}()
	s.injectFaults(rand.New(rand.NewPCG(*seed, workers)), allSent)
	runs, err := s.runsByKey()
	c.Assert(err, qt.IsNil)
	outcomes := make(map[string]int)
	for k := range answersByKey {
		key := fmt.Sprintf("key-%d", k)
		notRun, answered := true, false
		for _, a := range answersByKey[k].answers {
			refused := a.err == nil && a.errorObject.Code != 0 && a.errorObject.Outcome == code.NotRun
			notRun, answered = notRun && refused, answered || a.complete
			c.Check(a.errorObject.Code, qt.Not(qt.Equals), code.UnknownPath, qt.Commentf("a daemon answered before it had its records"))
			outcomes[fmt.Sprintf("%s error %t", a.errorObject.Type, a.err != nil)]++
		}
		c.Check(runs[key] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times: %+v", key, runs[key], answersByKey[k].answers))
		c.Check(notRun && runs[key] > 0, qt.IsFalse, qt.Commentf("%s ran, but the outcome of every answer is not-run: %+v", key, answersByKey[k].answers))
		c.Check(answered && runs[key] == 0, qt.IsFalse, qt.Commentf("%s was answered, but did not run: %+v", key, answersByKey[k].answers))
	}
	t.Logf("seed %d: %d of %d keys ran; answers: %v", *seed, len(runs), keys, outcomes)
	c.Assert(len(runs) > keys/4, qt.IsTrue, qt.Commentf("too few keys ran for the test to be meaningful"))
}

// sendCalls sends a call with the key to two daemons at the same time and then repeats
// the call up to two times. For a quarter of the keys it sends only one
// call.
func (s *cluster) sendCalls(r *rand.Rand, key string, answers *keyAnswers) {
	randomPause(r, 100*time.Millisecond)
	const singleCallDivisor = 4
	if r.IntN(singleCallDivisor) == 0 {
		answers.add(s.daemons[r.IntN(len(s.daemons))].reserve(key))
		return
	}
	order := r.Perm(len(s.daemons))
	var pair sync.WaitGroup
	for _, d := range order[:2] {
		pair.Go(func() { answers.add(s.daemons[d].reserve(key)) })
	}
	pair.Wait()
	for range r.IntN(3) {
		randomPause(r, 100*time.Millisecond)
		answers.add(s.daemons[order[r.IntN(len(order))]].reserve(key))
	}
}

// injectFaults injects faults at random intervals until allSent is closed.
func (s *cluster) injectFaults(r *rand.Rand, allSent <-chan struct{}) {
	for {
		victim := s.daemons[r.IntN(len(s.daemons))]
		for _, fault := range []func(){
			func() { s.setFaults(s.platform, platform.Faults{LoseAnswers: 1 + r.IntN(3)}) },
			func() {
				for _, p := range s.services {
					s.setFaults(p, service.Faults{LoseAnswers: r.IntN(3), DelayMs: r.Int64N(50)})
				}
			},
			func() { s.signal(victim.process, syscall.SIGKILL); <-victim.exited },
			func() { s.startProcess(victim.process) },
		} {
			fault()
			randomPause(r, 400*time.Millisecond)
		}
		select {
		case <-allSent:
			return
		default:
		}
	}
}
