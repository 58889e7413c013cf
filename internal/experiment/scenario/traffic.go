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
	APIKey       string
	Priority     unit.Priority
	Path         string
	Body         []byte
	// IdempotencyKey is set for a Call.
	IdempotencyKey ident.RequestKey
}

// Organisation is a customer with its share of the requests.
type Organisation struct {
	Name   ident.Organisation
	APIKey string
	Share  float64
	// Prefixes are the starts that its prompts share.
	Prefixes []string
}

// Traffic sets the traffic of a site.
type Traffic struct {
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate     float64
	Duration time.Duration
	// CallShare is the share of calls that may run once.
	CallShare float64
	// BurstFactor multiplies the rate during bursts; 1 or less has none.
	BurstFactor float64
	// MeanAnswerTokens and MeanPrompt are the mean tokens of an answer and the mean
	// bytes of the part of a prompt that isn't shared.
	MeanAnswerTokens, MeanPromptBytes int
	// MaxRequests bounds the requests of a run.
	MaxRequests int
}

// organisationShares has a few large organisations, as both users have.
var organisationShares = []float64{0.28, 0.2, 0.14, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03}

const (
	prefixesPerOrganisation = 4
	// The bytes of a shared prefix, from 1 to 6 kB.
	minPrefixBytes, maxPrefixBytes = 1 << 10, 6 << 10
	// The mean times of the two states of the arrival rate.
	meanCalmTime, meanBurstTime = 3 * time.Second, 400 * time.Millisecond
	// The spread of the log-normal lengths, in natural logarithms.
	lengthSigma                      = 0.6
	minAnswerTokens, maxAnswerFactor = 4, 6
)

var words = strings.Fields(`order price quote lot tea chest auction grade broker
	sample warehouse invoice margin film print scan negative colour frame retouch
	batch client contract delivery harvest season cargo weight bid reserve`)

// Organisations returns the ten customers of a site.
func Organisations(seed uint64) []Organisation {
	r := rand.New(rand.NewPCG(seed, 1))
	list := make([]Organisation, len(organisationShares))
	for i, share := range organisationShares {
		o := Organisation{
			Name: ident.Organisation(fmt.Sprintf("organisation-%d", i+1)), APIKey: fmt.Sprintf("key-%d", i+1), Share: share,
		}
		for range prefixesPerOrganisation {
			o.Prefixes = append(o.Prefixes, randomText(r, minPrefixBytes+r.IntN(maxPrefixBytes-minPrefixBytes)))
		}
		list[i] = o
	}
	return list
}

// randomText returns words of about the given number of bytes.
func randomText(r *rand.Rand, size int) string {
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(words[r.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

// logNormal returns a length with the given mean.
func logNormal(r *rand.Rand, mean int) int {
	mu := math.Log(float64(mean)) - lengthSigma*lengthSigma/2
	return int(math.Exp(mu + lengthSigma*r.NormFloat64()))
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
		if at >= t.Duration || len(list) >= t.MaxRequests {
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
	requestCount  int
}

func (g *generator) request(at time.Duration) (Request, error) {
	g.requestCount++
	o := g.organisation()
	q := Request{At: at, Kind: Chat, Organisation: o.Name, APIKey: o.APIKey}
	if g.rand.Float64() < g.CallShare {
		q.Kind, q.Path = Call, "/"+string(g.site.Service)+"/reserve"
		q.IdempotencyKey = ident.RequestKey(fmt.Sprintf("call-%d-%d-%d", g.Seed, g.requestCount, g.rand.Uint64()))
		q.Body = []byte(`{"lot":` + strconv.Itoa(g.requestCount) + `}`)
		return q, nil
	}
	q.Path = "/v1/chat/completions"
	q.Priority = g.priority()
	body, err := json.Marshal(map[string]any{
		"model": g.model(), "stream": true, "max_tokens": g.answerTokens(),
		"messages": []map[string]string{
			{"role": "system", "content": o.Prefixes[g.rand.IntN(len(o.Prefixes))]},
			{"role": "user", "content": strconv.Itoa(g.requestCount) + " " + randomText(g.rand, logNormal(g.rand, g.MeanPromptBytes))},
		},
	})
	q.Body = body
	return q, err
}

func (g *generator) answerTokens() int {
	return min(max(logNormal(g.rand, g.MeanAnswerTokens), minAnswerTokens), g.MeanAnswerTokens*maxAnswerFactor)
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
	rand                *rand.Rand
	calmRate, burstRate float64
	bursting            bool
	now, nextChange     time.Duration
}

func newArrivals(t Traffic) *arrivals {
	a := &arrivals{rand: rand.New(rand.NewPCG(t.Seed, 3)), calmRate: t.Rate}
	if t.BurstFactor > 1 {
		cycle := (meanCalmTime + meanBurstTime).Seconds()
		a.calmRate = t.Rate * cycle / (meanCalmTime.Seconds() + t.BurstFactor*meanBurstTime.Seconds())
		a.burstRate = a.calmRate * t.BurstFactor
	}
	a.nextChange = a.exponential(meanCalmTime.Seconds())
	return a
}

func (a *arrivals) exponential(mean float64) time.Duration {
	return time.Duration(a.rand.ExpFloat64() * mean * float64(time.Second))
}

func (a *arrivals) next() time.Duration {
	for {
		rate := a.calmRate
		if a.bursting {
			rate = a.burstRate
		}
		if step := a.exponential(1 / rate); a.burstRate == 0 || a.now+step < a.nextChange {
			a.now += step
			return a.now
		}
		// The process has no memory, so it starts anew at the change.
		a.now, a.bursting = a.nextChange, !a.bursting
		mean := meanCalmTime
		if a.bursting {
			mean = meanBurstTime
		}
		a.nextChange = a.now + a.exponential(mean.Seconds())
	}
}
