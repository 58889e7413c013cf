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
	d.DemandModels, d.DemandOffered, d.DemandRefused, d.DemandWaiting = encodeModelLoads(r.Loads)
	for _, c := range r.Contention {
		d.ContendedModels = append(d.ContendedModels, uint32(c.Model))
		d.ContendedPriorities = append(d.ContendedPriorities, int32(c.Priority))
		d.ContendedAges = append(d.ContendedAges, encodeAge(c.Age))
	}
	if sum := r.DataCentre; sum != nil {
		d.SumDemandLive, d.SumDemandHeard = uint32(sum.Live), uint32(sum.Heard)
		d.SumDemandModels, d.SumDemandOffered, d.SumDemandRefused, d.SumDemandWaiting = encodeModelLoads(sum.Loads)
	}
}

func encodeModelLoads(loads []demand.ModelLoad) (models, offered, refused, waiting []uint32) {
	for _, l := range loads {
		models = append(models, uint32(l.Model))
		offered = append(offered, encodeSlots(l.Offered))
		refused = append(refused, encodeSlots(l.Refused))
		waiting = append(waiting, encodeSlots(l.Waiting))
	}
	return models, offered, refused, waiting
}

// decodeModelLoads returns the demand by model.
//
// Errors carry code.BadMessage.
func decodeModelLoads(models, offered, refused, waiting []uint32) ([]demand.ModelLoad, error) {
	if n := len(models); len(offered) != n || len(refused) != n || len(waiting) != n {
		return nil, code.BadMessage.New("datagram: %d values of offered, %d of refused and %d of waiting demand for %d models", len(offered), len(refused), len(waiting), n)
	}
	var loads []demand.ModelLoad
	for i, model := range models {
		loads = append(loads, demand.ModelLoad{
			Model: demand.ModelHash(model), Offered: unit.Slots(offered[i]) / slotScale,
			Refused: unit.Slots(refused[i]) / slotScale, Waiting: unit.Slots(waiting[i]) / slotScale,
		})
	}
	return loads, nil
}

// decodeDemand returns the demand in a datagram. A daemon of an earlier version sends none.
//
// Errors carry code.BadMessage.
func decodeDemand(d *Datagram) (demand.Report, error) {
	r := demand.Report{Window: time.Duration(d.GetDemandWindow()) * time.Millisecond}
	var err error
	if r.Loads, err = decodeModelLoads(d.GetDemandModels(), d.GetDemandOffered(), d.GetDemandRefused(), d.GetDemandWaiting()); err != nil {
		return r, err
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
	sums, err := decodeModelLoads(d.GetSumDemandModels(), d.GetSumDemandOffered(), d.GetSumDemandRefused(), d.GetSumDemandWaiting())
	if heard := d.GetSumDemandHeard(); err == nil && heard > 0 {
		r.DataCentre = &demand.DataCentreDemand{Live: int(d.GetSumDemandLive()), Heard: int(heard), Loads: sums}
	}
	return r, err
}
