package forward

import (
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// demandMeter measures the load that callers offer.
type demandMeter interface {
	// RecordArrival counts a request of a caller, with the time for which it would occupy a
	// slot of a replica a quarter of whose slots are in use.
	RecordArrival(service ident.Service, model ident.Model, work time.Duration)
	// RecordRefusal counts a request that is refused for lack of slots.
	RecordRefusal(service ident.Service, model ident.Model, priority unit.Priority, work time.Duration)
	// RecordWaitStart and RecordWaitEnd record that a request waits for a slot, and for how long.
	RecordWaitStart(service ident.Service, model ident.Model, priority unit.Priority)
	RecordWaitEnd(service ident.Service, model ident.Model, priority unit.Priority, waited time.Duration)
}

// recordRefusal counts the request if the error refuses it for lack of slots. Of a request that
// was passed on, the daemon that answers the caller counts the refusal.
func (x *exchange) recordRefusal(err error) {
	if err == nil || x.route == nil || x.request.Relayed != nil {
		return
	}
	switch code.Of(err) {
	case code.Overloaded, code.NoReplica:
		x.Demand.RecordRefusal(x.service, x.request.Model, x.priority(), x.estimate.Work)
	}
}
