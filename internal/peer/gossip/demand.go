package gossip

import (
	"math"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/demand"
)

// slotScale is the number of units of an encoded load per slot.
const slotScale = 1000

func encodeSlots(s unit.Slots) uint32 {
	return uint32(math.Round(min(max(0, float64(s)*slotScale), math.MaxUint32)))
}

func encodeDemand(d *Datagram, r *demand.Report) {
	d.DemandWindow = encodeAge(r.Window)
	for _, l := range r.Loads {
		d.DemandModels = append(d.DemandModels, uint32(l.Model))
		d.DemandOffered = append(d.DemandOffered, encodeSlots(l.Offered))
		d.DemandRefused = append(d.DemandRefused, encodeSlots(l.Refused))
		d.DemandWaiting = append(d.DemandWaiting, encodeSlots(l.Waiting))
	}
	for _, c := range r.Contention {
		d.ContendedModels = append(d.ContendedModels, uint32(c.Model))
		d.ContendedPriorities = append(d.ContendedPriorities, int32(c.Priority))
		d.ContendedAges = append(d.ContendedAges, encodeAge(c.Age))
	}
}

// decodeDemand returns the demand in a datagram. A daemon of an earlier version sends none.
//
// Errors carry code.BadMessage.
func decodeDemand(d *Datagram) (demand.Report, error) {
	r := demand.Report{Window: time.Duration(d.GetDemandWindow()) * time.Millisecond}
	offered, refused, waiting := d.GetDemandOffered(), d.GetDemandRefused(), d.GetDemandWaiting()
	if n := len(d.GetDemandModels()); len(offered) != n || len(refused) != n || len(waiting) != n {
		return r, code.BadMessage.New("datagram: fields demand_offered, demand_refused and demand_waiting have %d, %d and %d values for %d models", len(offered), len(refused), len(waiting), n)
	}
	for i, model := range d.GetDemandModels() {
		r.Loads = append(r.Loads, demand.ModelLoad{
			Model: demand.ModelHash(model), Offered: unit.Slots(offered[i]) / slotScale,
			Refused: unit.Slots(refused[i]) / slotScale, Waiting: unit.Slots(waiting[i]) / slotScale,
		})
	}
	priorities, ages := d.GetContendedPriorities(), d.GetContendedAges()
	if n := len(d.GetContendedModels()); len(priorities) != n || len(ages) != n {
		return r, code.BadMessage.New("datagram: fields contended_priorities and contended_ages have %d and %d values for %d models", len(priorities), len(ages), n)
	}
	for i, model := range d.GetContendedModels() {
		r.Contention = append(r.Contention, demand.Contention{
			Model: demand.ModelHash(model), Priority: unit.Priority(priorities[i]), Age: time.Duration(ages[i]) * time.Millisecond,
		})
	}
	return r, nil
}
