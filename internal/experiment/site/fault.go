package site

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
)

// Fault is a change applied to the site at a scheduled time of the run, such as a
// killed process or a drain.
type Fault struct {
	At    time.Duration
	Name  string
	Apply func(s *Site) error
}

// InjectedFault records that a fault was injected, and the error if it failed.
type InjectedFault struct {
	At    time.Duration `json:"at"`
	Name  string        `json:"name"`
	Error string        `json:"error,omitempty"`
}

// InjectFaults injects the faults at their times, relative to start, and returns a
// record of each. It returns early if the context ends.
func (s *Site) InjectFaults(ctx context.Context, start time.Time, faults []Fault) []InjectedFault {
	var injected []InjectedFault
	for _, f := range faults {
		if err := s.Sleep(ctx, start.Add(f.At).Sub(s.Clock.Now())); err != nil {
			return injected
		}
		e := InjectedFault{At: s.Clock.Since(start), Name: f.Name}
		if err := f.Apply(s); err != nil {
			e.Error = err.Error()
		}
		injected = append(injected, e)
	}
	return injected
}

func (s *Site) process(id ident.Instance) (*process, error) {
	p := s.processes[id]
	if p == nil {
		return nil, fmt.Errorf("site has no process for instance %s", id)
	}
	return p, nil
}

// withProcess applies a function to the process of an instance under the lock.
func (s *Site) withProcess(id ident.Instance, apply func(p *process) error) error {
	p, err := s.process(id)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return apply(p)
}

// Kill returns a fault that kills a process.
func Kill(id ident.Instance) func(*Site) error {
	return func(s *Site) error { return s.withProcess(id, (*process).kill) }
}

// Restart returns a fault that starts a killed process again.
func Restart(id ident.Instance) func(*Site) error {
	return func(s *Site) error { return s.withProcess(id, (*process).start) }
}

// Pause returns a fault that suspends a process, as a long pause of its machine
// would.
func Pause(id ident.Instance) func(*Site) error {
	return func(s *Site) error {
		return s.withProcess(id, func(p *process) error { return p.signal(syscall.SIGSTOP) })
	}
}

// Continue returns a fault that resumes a suspended process.
func Continue(id ident.Instance) func(*Site) error {
	return func(s *Site) error {
		return s.withProcess(id, func(p *process) error { return p.signal(syscall.SIGCONT) })
	}
}

// EachEngine returns a fault that applies another fault to every engine of a fabric
// domain.
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

// Drain returns a fault that drains a data centre.
func Drain(dataCentre ident.DataCentre) func(*Site) error {
	return func(s *Site) error { return s.drain(dataCentre, fasthttp.MethodPut, true) }
}

// Restore returns a fault that restores a drained data centre.
func Restore(dataCentre ident.DataCentre) func(*Site) error {
	return func(s *Site) error { return s.drain(dataCentre, fasthttp.MethodDelete, false) }
}

// drain sets the drain status of a data centre through the first daemon that accepts
// the call.
func (s *Site) drain(dataCentre ident.DataCentre, method string, drained bool) error {
	var err error
	for _, d := range s.operatorDaemons(dataCentre) {
		if err = s.control.do(method, "http://"+d.OperatorAddress+"/drain/datacentre/"+string(dataCentre), nil, nil); err == nil {
			s.mu.Lock()
			s.drained[dataCentre] = drained
			s.mu.Unlock()
			return nil
		}
	}
	return err
}

// PlatformDown makes the platform close every connection.
func PlatformDown(s *Site) error {
	return s.control.do(fasthttp.MethodPut, "http://"+s.platform+"/faults", map[string]any{"down": "refuse"}, nil)
}

// PlatformUp disables all faults of the platform.
func PlatformUp(s *Site) error {
	return s.control.do(fasthttp.MethodPut, "http://"+s.platform+"/faults", map[string]any{}, nil)
}

// MakeFirstEngineCold makes the first engine cold while it serves.
func MakeFirstEngineCold(s *Site) error {
	return s.control.do(fasthttp.MethodPut, "http://"+s.engines[0].Address+"/faults", map[string]any{"coldNow": true}, nil)
}
