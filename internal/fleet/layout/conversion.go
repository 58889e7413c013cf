package layout

import (
	"maps"
	"math"
	"slices"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// minShareFraction is the fraction of its configured share below which a model's share doesn't
// fall, however low its demand is.
const minShareFraction = 0.25

// ApplyDemand replaces the configured shares of the models by their shares of the servers that
// the demand asks for. A model keeps the share of one replica in each of two data centres, or a
// quarter of its configured share if that is less. Without any demand the shares stay.
func (f *Fleet) ApplyDemand(demand map[ident.Model]unit.Slots) {
	total := 0.0
	for _, m := range f.Models {
		total += m.serversAsked(demand)
	}
	if total <= 0 {
		return
	}
	servers := 0
	for i := range f.Domains {
		servers += f.serversOf(&f.Domains[i])
	}
	f.Models, f.followsDemand = slices.Clone(f.Models), true
	for i := range f.Models {
		m := &f.Models[i]
		twoReplicas := float64(2*m.ServersPerReplica) / float64(max(servers, 1))
		m.Share = max(m.serversAsked(demand)/total, min(twoReplicas, m.Share*minShareFraction))
	}
}

// serversOf returns the number of servers of the domain.
func (f *Fleet) serversOf(d *Domain) int {
	servers := d.Spares
	for _, m := range f.Models {
		servers += d.Replicas[m.Name] * m.ServersPerReplica
	}
	return servers
}

// isWanted reports whether the model has replicas, or a share and a domain of enough servers.
func (f *Fleet) isWanted(m Model) bool {
	fits := func(d Domain) bool { return f.serversOf(&d) >= m.ServersPerReplica }
	return f.replicas(m.Name) > 0 || m.Share > 0 && slices.ContainsFunc(f.Domains, fits)
}

// serversAsked returns the demand for the model in servers, up to a factor that all models share.
func (m *Model) serversAsked(demand map[ident.Model]unit.Slots) float64 {
	return float64(demand[m.Name]) * float64(m.ServersPerReplica)
}

// Conversion gives up replicas of one model for replicas of another one in the same domain.
type Conversion struct {
	Domain ident.FabricDomain
	// From is empty if the new replicas are formed of spare servers alone.
	From, To ident.Model
	// Released is the number of replicas given up, and Added the number of those formed.
	Released, Added int
	// Spares is the number of spare servers that the domain gains.
	Spares int
}

// MinGain is the least relative rise of the rating for which replicas are converted. It keeps
// noise of the measured demand from moving replicas.
const MinGain = 0.05

// MaxGivenUp is the share of a model's replicas that conversions may take out of service at a time.
const MaxGivenUp = 1.0 / 3

// maxSteps bounds the conversions that are rated together. In a fleet of many replicas, one
// conversion alone raises the rating by less than MinGain.
const maxSteps = 8

// NextConversion returns the conversion to begin next, or false if conversions don't raise the
// rating by minGain. loads returns the number of loads of weights that a conversion needs, and
// false if it isn't allowed. Among conversions of about the same gain, the one with the fewest
// loads is chosen.
func (f *Fleet) NextConversion(minGain float64, loads func(*Conversion) (int, bool)) (Conversion, bool) {
	before, after := f.rating(), f.clone()
	var first Conversion
	for step := range maxSteps {
		c, found := after.bestConversion(loads)
		if !found {
			break
		}
		after.Apply(&c)
		if step == 0 {
			first = c
		}
		if after.rating() >= before*(1+minGain) {
			return first, true
		}
	}
	return Conversion{}, false
}

// similarGain is the fraction of the highest gain above which conversions are chosen by their loads.
const similarGain = 0.8

// bestConversion returns the allowed conversion of the highest gain, or false if none is a gain.
func (f *Fleet) bestConversion(loads func(*Conversion) (int, bool)) (best Conversion, found bool) {
	type candidate struct {
		Conversion
		gain  float64
		loads int
	}
	var candidates []candidate
	highest := 0.0
	rated := f.newConversionRating()
	for _, c := range f.conversions() {
		gain := rated.gain(&c)
		if gain <= 0 || gain < highest*similarGain {
			continue
		}
		if n, allowed := loads(&c); allowed {
			candidates = append(candidates, candidate{c, gain, n})
			highest = max(highest, gain)
		}
	}
	fewest := 0
	for _, c := range candidates {
		if c.gain >= highest*similarGain && (!found || c.loads < fewest) {
			best, fewest, found = c.Conversion, c.loads, true
		}
	}
	return best, found
}

// conversions returns the possible conversions, as few replicas given up as possible.
func (f *Fleet) conversions() []Conversion {
	var found []Conversion
	for i := range f.Domains {
		d := &f.Domains[i]
		for _, to := range f.Models {
			if c := (Conversion{Domain: d.ID, To: to.Name, Added: 1, Spares: -to.ServersPerReplica}); f.leavesSpares(d, &c) {
				found = append(found, c)
			}
		}
		for _, from := range f.Models {
			if d.Replicas[from.Name] == 0 {
				continue
			}
			for _, to := range f.Models {
				if to.Name != from.Name {
					found = append(found, f.conversionsBetween(d, &from, &to)...)
				}
			}
		}
	}
	return found
}

// donorsFor returns the number of replicas of the one model that have the servers of a replica of the
// other one.
func donorsFor(from, to *Model) int {
	return (to.ServersPerReplica + from.ServersPerReplica - 1) / from.ServersPerReplica
}

// conversionsBetween returns the conversions in the domain that leave the model in as many data
// centres as before, or in two.
func (f *Fleet) conversionsBetween(d *Domain, from, to *Model) []Conversion {
	var found []Conversion
	most := min(donorsFor(from, to), d.Replicas[from.Name], int(MaxGivenUp*float64(f.replicas(from.Name))))
	for released := 1; released <= most && f.staysAvailable(d, from.Name, released); released++ {
		servers := released * from.ServersPerReplica
		for added := max(1, servers/to.ServersPerReplica); ; added++ {
			c := Conversion{Domain: d.ID, From: from.Name, To: to.Name, Released: released, Added: added, Spares: servers - added*to.ServersPerReplica}
			if c.Spares < 0 && !f.leavesSpares(d, &c) {
				break
			}
			found = append(found, c)
		}
	}
	return found
}

// leavesSpares reports whether a conversion that uses spare servers leaves the domain as many as are
// expected to fail. Repairs need them.
func (f *Fleet) leavesSpares(d *Domain, c *Conversion) bool {
	members := f.serversOf(d) - d.Spares - c.Spares
	return float64(d.Spares+c.Spares) >= math.Ceil(lossShare*float64(members))
}

// staysAvailable reports whether the model keeps replicas in two data centres, or in as many as it
// has them in, when the domain gives up the number of replicas.
func (f *Fleet) staysAvailable(d *Domain, m ident.Model, released int) bool {
	byDataCentre := f.replicasByDataCentre(m)
	before, after := 0, 0
	for dc, n := range byDataCentre {
		if n > 0 {
			before++
		}
		if dc == d.DataCentre {
			n -= released
		}
		if n > 0 {
			after++
		}
	}
	return after >= min(before, 2)
}

// Gain returns the relative rise of the rating by the conversion.
func (f *Fleet) Gain(c *Conversion) float64 {
	rated := f.newConversionRating()
	return rated.gain(c)
}

// Apply changes the fleet's replicas and spare servers as the conversion does.
func (f *Fleet) Apply(c *Conversion) {
	for i := range f.Domains {
		if d := &f.Domains[i]; d.ID == c.Domain {
			d.Replicas = maps.Clone(d.Replicas)
			if d.Replicas == nil {
				d.Replicas = make(map[ident.Model]int)
			}
			d.Replicas[c.From] -= c.Released
			d.Replicas[c.To] += c.Added
			d.Spares += c.Spares
		}
	}
}

// clone returns a copy that Apply may change.
func (f *Fleet) clone() *Fleet {
	c := *f
	c.Domains = slices.Clone(f.Domains)
	return &c
}

// rating rates the fleet for conversions.
func (f *Fleet) rating() float64 {
	return f.newConversionRating().before
}

// conversionRating rates conversions of a fleet.
type conversionRating struct {
	*search
	plan   plan
	before float64
}

func (f *Fleet) newConversionRating() *conversionRating {
	s := newRating(f, f.isWanted)
	r := &conversionRating{search: s}
	for i := range f.Domains {
		r.plan = append(r.plan, s.newComposition(s.replicasAfter(&f.Domains[i], Change{}), f.Domains[i].Spares))
	}
	r.before = s.rateLowest(r.plan)
	return r
}

// gain returns the relative rise of the rating by the conversion.
func (r *conversionRating) gain(c *Conversion) float64 {
	i := slices.IndexFunc(r.domains, func(d Domain) bool { return d.ID == c.Domain })
	if i < 0 || len(r.models) == 0 {
		return 0
	}
	d, kept := &r.domains[i], r.plan[i]
	counts := slices.Clone(kept.replicas)
	for j, m := range r.models {
		switch m.Name {
		case c.From:
			counts[j] -= c.Released
		case c.To:
			counts[j] += c.Added
		}
	}
	r.plan[i] = r.newComposition(counts, max(0, d.Spares+c.Spares))
	after := r.rateLowest(r.plan)
	r.plan[i] = kept
	if r.before <= 0 {
		return after
	}
	return after/r.before - 1
}
