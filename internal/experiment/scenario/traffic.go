package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// Kind says what a request asks for.
type Kind string

// The kinds: a streamed chat completion and a call that may run once.
const (
	Chat Kind = "chat"
	Call Kind = "call"
)

// Request is one request of the traffic.
type Request struct {
	// At is the time of its arrival from the start of the run.
	At           time.Duration
	Kind         Kind
	Organisation ident.Organisation
	Bearer       string
	Priority     unit.Priority
	Path         string
	Body         []byte
	// Key is set for a Call.
	Key ident.RequestKey
}

// Organisation is a customer with its share of the requests.
type Organisation struct {
	Name   ident.Organisation
	Bearer string
	Share  float64
	// Prefixes are the starts that its prompts share.
	Prefixes []string
}

// Traffic sets the traffic of a site.
type Traffic struct {
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate   float64
	Length time.Duration
	// CallShare is the share of calls that may run once.
	CallShare float64
	// Burst multiplies the rate during bursts; 1 or less has none.
	Burst float64
	// MeanAnswer and MeanPrompt are the mean tokens of an answer and the mean
	// bytes of the part of a prompt that isn't shared.
	MeanAnswer, MeanPrompt int
	// MaxRequests bounds the requests of a run.
	MaxRequests int
}

// shares has a few large organisations, as both users have.
var shares = []float64{0.28, 0.2, 0.14, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03}

const (
	prefixesEach = 4
	// The bytes of a shared prefix, from 1 to 6 kB.
	leastPrefix, mostPrefix = 1 << 10, 6 << 10
	// The mean times of the two states of the arrival rate.
	calmTime, burstTime = 3 * time.Second, 400 * time.Millisecond
	// The spread of the log-normal lengths, in natural logarithms.
	lengthSpread           = 0.6
	leastAnswer, mostFacor = 4, 6
)

var words = strings.Fields(`order price quote lot tea chest auction grade broker
	sample warehouse invoice margin film print scan negative colour frame retouch
	batch client contract delivery harvest season cargo weight bid reserve`)

// Organisations returns the ten customers of a site.
func Organisations(seed uint64) []Organisation {
	r := rand.New(rand.NewPCG(seed, 1))
	list := make([]Organisation, len(shares))
	for i, share := range shares {
		o := Organisation{
			Name: ident.Organisation(fmt.Sprintf("organisation-%d", i+1)), Bearer: fmt.Sprintf("key-%d", i+1), Share: share,
		}
		for range prefixesEach {
			o.Prefixes = append(o.Prefixes, text(r, leastPrefix+r.IntN(mostPrefix-leastPrefix)))
		}
		list[i] = o
	}
	return list
}

// text returns words of about the given number of bytes.
func text(r *rand.Rand, size int) string {
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(words[r.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

// logNormal returns a length with the given mean.
func logNormal(r *rand.Rand, mean int) int {
	mu := math.Log(float64(mean)) - lengthSpread*lengthSpread/2
	return int(math.Exp(mu + lengthSpread*r.NormFloat64()))
}

// Requests returns the traffic of a site in the order of arrival. The same
// site and settings give the same requests.
func (t Traffic) Requests(s *Site) ([]Request, error) {
	g := &generator{
		Traffic: t, site: s, organisations: Organisations(t.Seed),
		rand: rand.New(rand.NewPCG(t.Seed, 2)), arrivals: newArrivals(t),
	}
	var list []Request
	for {
		at := g.arrivals.next()
		if at >= t.Length || len(list) >= t.MaxRequests {
			return list, nil
		}
		request, err := g.request(at)
		if err != nil {
			return nil, err
		}
		list = append(list, request)
	}
}

type generator struct {
	Traffic
	site          *Site
	organisations []Organisation
	rand          *rand.Rand
	arrivals      *arrivals
	number        int
}

func (g *generator) request(at time.Duration) (Request, error) {
	g.number++
	o := g.organisation()
	q := Request{At: at, Kind: Chat, Organisation: o.Name, Bearer: o.Bearer}
	if g.rand.Float64() < g.CallShare {
		q.Kind, q.Path = Call, "/"+string(g.site.Service)+"/reserve"
		q.Key = ident.RequestKey(fmt.Sprintf("call-%d-%d-%d", g.Seed, g.number, g.rand.Uint64()))
		q.Body = []byte(`{"lot":` + strconv.Itoa(g.number) + `}`)
		return q, nil
	}
	q.Path = "/v1/chat/completions"
	q.Priority = g.priority()
	body, err := json.Marshal(map[string]any{
		"model": g.model(), "stream": true, "max_tokens": g.answer(),
		"messages": []map[string]string{
			{"role": "system", "content": o.Prefixes[g.rand.IntN(len(o.Prefixes))]},
			{"role": "user", "content": strconv.Itoa(g.number) + " " + text(g.rand, logNormal(g.rand, g.MeanPrompt))},
		},
	})
	q.Body = body
	return q, err
}

func (g *generator) answer() int {
	return min(max(logNormal(g.rand, g.MeanAnswer), leastAnswer), g.MeanAnswer*mostFacor)
}

// priority gives one request in ten precedence and one in five less.
func (g *generator) priority() unit.Priority {
	switch x := g.rand.Float64(); {
	case x < 0.1:
		return 2
	case x < 0.8:
		return 1
	default:
		return 0
	}
}

func (g *generator) organisation() *Organisation {
	x := g.rand.Float64()
	for i := range g.organisations {
		if x -= g.organisations[i].Share; x < 0 {
			return &g.organisations[i]
		}
	}
	return &g.organisations[0]
}

func (g *generator) model() ident.Model {
	x := g.rand.Float64()
	for _, d := range g.site.Deployments {
		if x -= d.Share; x < 0 {
			return d.Model
		}
	}
	return g.site.Deployments[0].Model
}

// arrivals is a Poisson process whose rate alternates between a calm state and
// bursts, with the given mean.
type arrivals struct {
	rand        *rand.Rand
	calm, burst float64
	bursting    bool
	now, change time.Duration
}

func newArrivals(t Traffic) *arrivals {
	a := &arrivals{rand: rand.New(rand.NewPCG(t.Seed, 3)), calm: t.Rate}
	if t.Burst > 1 {
		both := (calmTime + burstTime).Seconds()
		a.calm = t.Rate * both / (calmTime.Seconds() + t.Burst*burstTime.Seconds())
		a.burst = a.calm * t.Burst
	}
	a.change = a.exponential(calmTime.Seconds())
	return a
}

func (a *arrivals) exponential(mean float64) time.Duration {
	return time.Duration(a.rand.ExpFloat64() * mean * float64(time.Second))
}

func (a *arrivals) next() time.Duration {
	for {
		rate := a.calm
		if a.bursting {
			rate = a.burst
		}
		if step := a.exponential(1 / rate); a.burst == 0 || a.now+step < a.change {
			a.now += step
			return a.now
		}
		// The process has no memory, so it starts anew at the change.
		a.now, a.bursting = a.change, !a.bursting
		mean := calmTime
		if a.bursting {
			mean = burstTime
		}
		a.change = a.now + a.exponential(mean.Seconds())
	}
}
