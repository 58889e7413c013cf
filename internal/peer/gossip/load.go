package gossip

import (
	"math"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
)

// endpointLoad is the load of requests in flight at an endpoint.
type endpointLoad struct {
	Requests unit.Requests
	// PendingPrefill counts the prompt tokens of requests without a first event, and Work is the
	// expected work of all requests.
	PendingPrefill unit.Tokens
	Work           time.Duration
}

func (l endpointLoad) plus(other endpointLoad) endpointLoad {
	return endpointLoad{l.Requests + other.Requests, l.PendingPrefill + other.PendingPrefill, l.Work + other.Work}
}

func (l endpointLoad) minus(other endpointLoad) endpointLoad {
	return endpointLoad{l.Requests - other.Requests, l.PendingPrefill - other.PendingPrefill, l.Work - other.Work}
}

// scaled returns the load multiplied by the factor and rounded.
func (l endpointLoad) scaled(factor float64) endpointLoad {
	return endpointLoad{
		unit.Requests(float64(l.Requests)*factor + 0.5), unit.Tokens(float64(l.PendingPrefill)*factor + 0.5),
		time.Duration(float64(l.Work)*factor + 0.5),
	}
}

// dataCentreSum is the load of all daemons of a data centre.
type dataCentreSum struct {
	// Age is the mean time since the daemons had their parts of the load.
	Age   time.Duration
	Loads map[endpointHash]endpointLoad
}

// The units of loads in datagrams. They fit the usual loads of one daemon into a byte, and are
// below what a choice of an endpoint depends on.
const (
	promptUnit unit.Tokens = 64
	workUnit               = 64 * time.Millisecond
)

func encodeCount(n int64) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32))
}

func encodeLoads(loads map[endpointHash]endpointLoad) (endpoints, requests, pendingPrefill, work []uint32) {
	if len(loads) == 0 {
		return nil, nil, nil, nil
	}
	// The four fields share one allocation.
	values := make([]uint32, 4*len(loads))
	n := len(loads)
	endpoints, requests, pendingPrefill, work = values[:n:n], values[n:2*n:2*n], values[2*n:3*n:3*n], values[3*n:]
	i := 0
	for e, l := range loads {
		endpoints[i], requests[i] = uint32(e), encodeCount(int64(l.Requests))
		pendingPrefill[i] = encodeCount(int64((l.PendingPrefill + promptUnit/2) / promptUnit))
		work[i] = encodeCount(int64((l.Work + workUnit/2) / workUnit))
		i++
	}
	return endpoints, requests, pendingPrefill, work
}

// decodeLoads returns the loads by endpoint. A daemon of an earlier version sends the numbers of
// requests alone.
//
// Errors carry code.BadMessage.
func decodeLoads(endpoints, requests, pendingPrefill, work []uint32) (map[endpointHash]endpointLoad, error) {
	n := len(endpoints)
	if len(requests) != n {
		return nil, code.BadMessage.New("datagram: %d numbers of requests for %d endpoints", len(requests), n)
	}
	if len(pendingPrefill) != len(work) || len(work) != 0 && len(work) != n {
		return nil, code.BadMessage.New("datagram: %d values of pending prefill and %d values of work for %d endpoints", len(pendingPrefill), len(work), n)
	}
	loads := make(map[endpointHash]endpointLoad, n)
	for i, e := range endpoints {
		l := endpointLoad{Requests: unit.Requests(requests[i])}
		if len(work) > 0 {
			l.PendingPrefill, l.Work = unit.Tokens(pendingPrefill[i])*promptUnit, time.Duration(work[i])*workUnit
		}
		loads[endpointHash(e)] = loads[endpointHash(e)].plus(l)
	}
	return loads, nil
}

// decodeSum returns the load of the sender's data centre, nil if the datagram has none.
//
// Errors carry code.BadMessage.
func decodeSum(d *Datagram) (*dataCentreSum, error) {
	loads, err := decodeLoads(d.GetSumEndpoints(), d.GetSumRequests(), d.GetSumPendingPrefill(), d.GetSumWork())
	if err != nil || d.GetSumAge() == 0 {
		return nil, err
	}
	return &dataCentreSum{Age: time.Duration(d.GetSumAge()-1) * time.Millisecond, Loads: loads}, nil
}
