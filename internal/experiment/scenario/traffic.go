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

// RequestKind is the kind of a request.
type RequestKind string

// Chat is a streamed chat completion, ServiceCall an at-most-once call to the plain
// service.
const (
	Chat        RequestKind = "chat"
	ServiceCall RequestKind = "call"
)

// Request is one request to be sent.
type Request struct {
	// ArrivalTime is the scheduled time, relative to the start of the run.
	ArrivalTime  time.Duration
	Kind         RequestKind
	Organisation ident.Organisation
	APIKey       string
	Priority     unit.Priority
	Path         string
	Body         []byte
	// IdempotencyKey is set for a ServiceCall.
	IdempotencyKey ident.IdempotencyKey
}

// Organisation is an organisation with its share of the requests.
type Organisation struct {
	Name         ident.Organisation
	APIKey       string
	RequestShare float64
	// PromptPrefixes are the beginnings that the prompts of the organisation
	// share.
	PromptPrefixes []string
}

// Traffic holds the parameters of the traffic of a site.
type Traffic struct {
	Seed uint64
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	// CallShare is the share of requests that are at-most-once calls.
	CallShare float64
	// BurstFactor multiplies the rate during bursts. A factor of 1 or less
	// disables bursts.
	BurstFactor float64
	// MeanAnswerTokens is the mean length of an answer. MeanPromptBytes is the
	// mean length of a prompt without its shared prefix.
	MeanAnswerTokens, MeanPromptBytes int
	// MaxRequests limits the number of requests in a run.
	MaxRequests int
}

// organisationShares are the request shares of the organisations. A few
// organisations send most requests, as at both users.
var organisationShares = []float64{0.28, 0.2, 0.14, 0.08, 0.07, 0.06, 0.05, 0.05, 0.04, 0.03}

const (
	prefixesPerOrganisation = 4
	// The length of a shared prefix is between 1 and 6 KiB.
	minPrefixBytes, maxPrefixBytes = 1 << 10, 6 << 10
	// The mean durations of the two states of the arrival process.
	meanCalmTime, meanBurstTime = 3 * time.Second, 400 * time.Millisecond
	// lengthSigma is the standard deviation of the natural logarithm of a length.
	lengthSigma = 0.6
	// An answer has at least minAnswerTokens tokens and at most maxAnswerFactor
	// times the mean.
	minAnswerTokens, maxAnswerFactor = 4, 6
)

var words = strings.Fields(`order price quote lot tea chest auction grade broker
	sample warehouse invoice margin film print scan negative colour frame retouch
	batch client contract delivery harvest season cargo weight bid reserve`)

// Organisations returns the ten organisations of a site.
func Organisations(seed uint64) []Organisation {
	r := rand.New(rand.NewPCG(seed, 1))
	list := make([]Organisation, len(organisationShares))
	for i, share := range organisationShares {
		o := Organisation{
			Name: ident.Organisation(fmt.Sprintf("organisation-%d", i+1)), APIKey: fmt.Sprintf("key-%d", i+1), RequestShare: share,
		}
		for range prefixesPerOrganisation {
			o.PromptPrefixes = append(o.PromptPrefixes, randomText(r, minPrefixBytes+r.IntN(maxPrefixBytes-minPrefixBytes)))
		}
		list[i] = o
	}
	return list
}

// randomText returns random words, at least size bytes in total.
func randomText(r *rand.Rand, size int) string {
	var b strings.Builder
	for b.Len() < size {
		b.WriteString(words[r.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

// logNormalLength returns a length from a log-normal distribution with the given mean.
func logNormalLength(r *rand.Rand, mean int) int {
	mu := math.Log(float64(mean)) - lengthSigma*lengthSigma/2
	return int(math.Exp(mu + lengthSigma*r.NormFloat64()))
}

// Requests returns the requests to a site in the order of arrival. The requests
// depend only on the site and the parameters.
func (t Traffic) Requests(s *SiteSpec) ([]Request, error) {
	g := &requestGenerator{
		Traffic: t, site: s, organisations: Organisations(t.Seed),
		rand: rand.New(rand.NewPCG(t.Seed, 2)), arrivals: newArrivals(t),
	}
	var list []Request
	for {
		arrivalTime := g.arrivals.nextArrival()
		if arrivalTime >= t.Duration || len(list) >= t.MaxRequests {
			return list, nil
		}
		request, err := g.newRequest(arrivalTime)
		if err != nil {
			return nil, err
		}
		list = append(list, request)
	}
}

// requestGenerator generates the requests of a run one after the other.
type requestGenerator struct {
	Traffic
	site          *SiteSpec
	organisations []Organisation
	rand          *rand.Rand
	arrivals      *arrivals
	requestCount  int
}

func (g *requestGenerator) newRequest(arrivalTime time.Duration) (Request, error) {
	g.requestCount++
	o := g.pickOrganisation()
	request := Request{ArrivalTime: arrivalTime, Kind: Chat, Organisation: o.Name, APIKey: o.APIKey}
	if g.rand.Float64() < g.CallShare {
		request.Kind, request.Path = ServiceCall, "/"+string(g.site.Service)+"/reserve"
		request.IdempotencyKey = ident.IdempotencyKey(fmt.Sprintf("call-%d-%d-%d", g.Seed, g.requestCount, g.rand.Uint64()))
		request.Body = []byte(`{"lot":` + strconv.Itoa(g.requestCount) + `}`)
		return request, nil
	}
	request.Path = "/v1/chat/completions"
	request.Priority = g.pickPriority()
	body, err := json.Marshal(map[string]any{
		"model": g.pickModel(), "stream": true, "max_tokens": g.pickAnswerTokens(),
		"messages": []map[string]string{
			{"role": "system", "content": o.PromptPrefixes[g.rand.IntN(len(o.PromptPrefixes))]},
			{"role": "user", "content": strconv.Itoa(g.requestCount) + " " + randomText(g.rand, logNormalLength(g.rand, g.MeanPromptBytes))},
		},
	})
	request.Body = body
	return request, err
}

func (g *requestGenerator) pickAnswerTokens() int {
	return min(max(logNormalLength(g.rand, g.MeanAnswerTokens), minAnswerTokens), g.MeanAnswerTokens*maxAnswerFactor)
}

// pickPriority returns a high priority for one request in ten and a low priority for
// one request in five.
func (g *requestGenerator) pickPriority() unit.Priority {
	switch draw := g.rand.Float64(); {
	case draw < 0.1:
		return 2
	case draw < 0.8:
		return 1
	default:
		return 0
	}
}

func (g *requestGenerator) pickOrganisation() *Organisation {
	remaining := g.rand.Float64()
	for i := range g.organisations {
		if remaining -= g.organisations[i].RequestShare; remaining < 0 {
			return &g.organisations[i]
		}
	}
	return &g.organisations[0]
}

func (g *requestGenerator) pickModel() ident.Model {
	remaining := g.rand.Float64()
	for _, d := range g.site.Deployments {
		if remaining -= d.AnswerShare; remaining < 0 {
			return d.Model
		}
	}
	return g.site.Deployments[0].Model
}

// arrivals is a Poisson process whose rate alternates between a calm state and
// bursts. The mean rate is Traffic.Rate.
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

func (a *arrivals) nextArrival() time.Duration {
	for {
		rate := a.calmRate
		if a.bursting {
			rate = a.burstRate
		}
		if interval := a.exponential(1 / rate); a.burstRate == 0 || a.now+interval < a.nextChange {
			a.now += interval
			return a.now
		}
		// The exponential distribution is memoryless, so the time to the next
		// arrival can be drawn anew at the change of the rate.
		a.now, a.bursting = a.nextChange, !a.bursting
		mean := meanCalmTime
		if a.bursting {
			mean = meanBurstTime
		}
		a.nextChange = a.now + a.exponential(mean.Seconds())
	}
}
