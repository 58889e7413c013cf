package site

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
)

// Fault is something done to the site at a time of the run.
type Fault struct {
	At    time.Duration
	Name  string
	Apply func(s *Site) error
}

// Event is a fault that was injected.
type Event struct {
	At    time.Duration `json:"at"`
	Name  string        `json:"name"`
	Error string        `json:"error,omitempty"`
}

// Inject injects the faults at their times and returns what was done.
func (s *Site) Inject(ctx context.Context, start time.Time, faults []Fault) []Event {
	var events []Event
	for _, f := range faults {
		if err := s.Sleep(ctx, start.Add(f.At).Sub(s.Clock.Now())); err != nil {
			return events
		}
		e := Event{At: s.Clock.Since(start), Name: f.Name}
		if err := f.Apply(s); err != nil {
			e.Error = err.Error()
		}
		events = append(events, e)
	}
	return events
}

func (s *Site) process(id ident.Instance) (*process, error) {
	p := s.processes[id]
	if p == nil {
		return nil, fmt.Errorf("no process %s", id)
	}
	return p, nil
}

func (s *Site) withProcess(id ident.Instance, apply func(p *process) error) error {
	p, err := s.process(id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return apply(p)
}

// Kill ends a process without notice.
func Kill(id ident.Instance) func(*Site) error {
	return func(s *Site) error { return s.withProcess(id, (*process).kill) }
}

// Restart starts a process that was killed.
func Restart(id ident.Instance) func(*Site) error {
	return func(s *Site) error { return s.withProcess(id, (*process).start) }
}

// Pause stops a process as a long pause of its machine would.
func Pause(id ident.Instance) func(*Site) error {
	return func(s *Site) error {
		return s.withProcess(id, func(p *process) error { return p.signal(syscall.SIGSTOP) })
	}
}

// Continue ends a pause.
func Continue(id ident.Instance) func(*Site) error {
	return func(s *Site) error {
		return s.withProcess(id, func(p *process) error { return p.signal(syscall.SIGCONT) })
	}
}

// EachEngine does something to every engine of a fabric domain.
func EachEngine(domain ident.FabricDomain, fault func(ident.Instance) func(*Site) error) func(*Site) error {
	return func(s *Site) error {
		for i := range s.engines {
			if s.engines[i].Domain != domain {
				continue
			}
			if err := fault(s.engines[i].Instance)(s); err != nil {
				return err
			}
		}
		return nil
	}
}

// Drain takes a data centre out of service.
func Drain(c ident.DataCentre) func(*Site) error {
	return func(s *Site) error { return s.drain(c, fasthttp.MethodPut, true) }
}

// Restore returns a data centre to service.
func Restore(c ident.DataCentre) func(*Site) error {
	return func(s *Site) error { return s.drain(c, fasthttp.MethodDelete, false) }
}

func (s *Site) drain(c ident.DataCentre, method string, out bool) error {
	var err error
	for _, d := range s.operatorDaemons(c) {
		if err = s.control.do(method, "http://"+d.OperatorAddress+"/drain/datacentre/"+string(c), nil, nil); err == nil {
			s.mu.Lock()
			s.drained[c] = out
			s.mu.Unlock()
			return nil
		}
	}
	return err
}

// PlatformDown makes the platform cut every connection.
func PlatformDown(s *Site) error {
	return s.control.do(fasthttp.MethodPut, "http://"+s.platform+"/faults", map[string]any{"down": "refuse"}, nil)
}

// PlatformUp ends every fault of the platform.
func PlatformUp(s *Site) error {
	return s.control.do(fasthttp.MethodPut, "http://"+s.platform+"/faults", map[string]any{}, nil)
}

// MakeFirstEngineCold makes the first engine's caches cold without notice.
func MakeFirstEngineCold(s *Site) error {
	return s.control.do(fasthttp.MethodPut, "http://"+s.engines[0].Address+"/faults", map[string]any{"coldNow": true}, nil)
}
