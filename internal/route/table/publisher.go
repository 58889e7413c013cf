package table

import (
	"reflect"
	"sync"
	"sync/atomic"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Publisher holds the current table. Readers get the table without a lock.
type Publisher struct {
	current atomic.Pointer[Table]

	mu                 sync.Mutex
	loads              map[ident.Endpoint]*Load
	localLimitFraction LimitFraction
}

// NewPublisher returns a publisher with an empty table.
func NewPublisher() *Publisher {
	p := &Publisher{loads: make(map[ident.Endpoint]*Load)}
	p.current.Store(New(0, nil))
	return p
}

// Current returns the current table.
func (p *Publisher) Current() *Table {
	return p.current.Load()
}

// Publish replaces the table if the endpoints differ from the current ones, and reports
// whether it did. It sets the Load of each endpoint. The Load of an endpoint stays the same at
// least while requests to the endpoint are in flight.
func (p *Publisher) Publish(endpoints []Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	next := make([]*Endpoint, 0, len(endpoints))
	unchanged := len(endpoints) == len(old.endpoints)
	for i := range endpoints {
		e := endpoints[i]
		e.Load = p.loadOf(e.ID)
		e.stopSignal = stopSignalOf(old.byID[e.ID], &e)
		if e.Protocol == Engine && e.Load.limitFraction == nil {
			e.Load.limitFraction = &p.localLimitFraction
		}
		e.Load.SetReportedCounts(e.ReportedCounts)
		e.ReportedCounts = RequestCounts{}
		if previous := old.byID[e.ID]; previous != nil && reflect.DeepEqual(*previous, e) {
			next = append(next, previous)
			continue
		}
		unchanged = false
		next = append(next, &e)
	}
	if unchanged {
		return false
	}
	t := New(old.generation+1, next)
	// A caller that acquires a slot checks the current table afterwards. In
	// this order, either dropIdleLoads counts the slot or the caller gets the
	// new table.
	p.current.Store(t)
	p.dropIdleLoads(t)
	return true
}

// LocalLimitFraction returns the fraction of the limits of local engines that is in use.
// It also applies to engines that are published later.
func (p *Publisher) LocalLimitFraction() *LimitFraction {
	return &p.localLimitFraction
}

func (p *Publisher) loadOf(id ident.Endpoint) *Load {
	l := p.loads[id]
	if l == nil {
		l = new(Load)
		p.loads[id] = l
	}
	return l
}

// dropIdleLoads drops the loads of endpoints that are not in the table and have no
// requests in flight.
func (p *Publisher) dropIdleLoads(t *Table) {
	for id, l := range p.loads {
		if t.byID[id] == nil && l.InFlight() == 0 {
			delete(p.loads, id)
		}
	}
}

// EndpointInFlight returns the number of requests in flight to an endpoint, which may
// have left the table.
func (p *Publisher) EndpointInFlight(id ident.Endpoint) unit.Requests {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		return l.InFlight()
	}
	return 0
}
