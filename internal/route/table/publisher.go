package table

import (
	"reflect"
	"sync"
	"sync/atomic"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Publisher holds the current table. Readers take it without a lock.
type Publisher struct {
	current atomic.Pointer[Table]

	mu            sync.Mutex
	loads         map[ident.Endpoint]*Load
	localFraction LimitFraction
}

// NewPublisher returns a publisher of an empty table.
func NewPublisher() *Publisher {
	p := &Publisher{loads: make(map[ident.Endpoint]*Load)}
	p.current.Store(New(0, nil))
	return p
}

// Current returns the current table.
func (p *Publisher) Current() *Table {
	return p.current.Load()
}

// Publish replaces the table if the endpoints differ from the current ones,
// and reports whether they did. It sets the Load of each endpoint; an endpoint
// keeps its Load for as long as requests to it are in flight.
func (p *Publisher) Publish(endpoints []Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.current.Load()
	next := make([]*Endpoint, 0, len(endpoints))
	same := len(endpoints) == len(old.endpoints)
	for i := range endpoints {
		e := endpoints[i]
		e.Load = p.loadOf(e.ID)
		e.stop = stopSignalOf(old.byID[e.ID], &e)
		if e.Protocol == Engine && e.Load.limitFraction == nil {
			e.Load.limitFraction = &p.localFraction
		}
		e.Load.SetReported(e.Reported)
		e.Reported = Counts{}
		if before := old.byID[e.ID]; before != nil && reflect.DeepEqual(*before, e) {
			next = append(next, before)
			continue
		}
		same = false
		next = append(next, &e)
	}
	if same {
		return false
	}
	t := New(old.generation+1, next)
	// Who takes a place looks at the current table after that. With this
	// order either forget sees the place or the taker sees the new table.
	p.current.Store(t)
	p.dropIdleLoads(t)
	return true
}

// LocalLimitFraction returns the part of the limits of local engines that is in use. It
// applies to engines that are published later too.
func (p *Publisher) LocalLimitFraction() *LimitFraction {
	return &p.localFraction
}

func (p *Publisher) loadOf(id ident.Endpoint) *Load {
	l := p.loads[id]
	if l == nil {
		l = new(Load)
		p.loads[id] = l
	}
	return l
}

// dropIdleLoads drops the loads of endpoints that are gone and idle.
func (p *Publisher) dropIdleLoads(t *Table) {
	for id, l := range p.loads {
		if t.byID[id] == nil && l.InFlight() == 0 {
			delete(p.loads, id)
		}
	}
}

// EndpointInFlight returns the requests in flight to an endpoint that may no longer be
// in the table.
func (p *Publisher) EndpointInFlight(id ident.Endpoint) unit.Requests {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.loads[id]; l != nil {
		return l.InFlight()
	}
	return 0
}
