package twirp

import (
	"context"
	"fmt"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/fleet/member"
	"cuminbay/internal/kernel/timeline"
)

// codecName names the encoding of digests and deltas. An envelope with another codec
// is answered without sections.
const codecName = "section/1"

// activeExchanges holds the daemons with which an exchange is in progress, so that
// this daemon has at most one outstanding exchange with a stalled daemon.
type activeExchanges struct {
	mu    sync.Mutex
	peers map[ident.Instance]bool
}

// begin adds the daemon. It returns false if an exchange with the daemon is already in
// progress.
func (a *activeExchanges) begin(id ident.Instance) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[ident.Instance]bool)
	}
	if a.peers[id] {
		return false
	}
	a.peers[id] = true
	return true
}

func (a *activeExchanges) end(id ident.Instance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.peers, id)
}

// startExchanges starts the exchanges of one interval and closes the connections to
// daemons that are no longer in the member list.
func (p *Plugin) startExchanges(context.Context) {
	peers := p.members.Peers()
	addresses := make(map[string]bool, len(peers))
	for _, peer := range peers {
		addresses[peer.Address] = true
	}
	p.clients.closeExcept(addresses)
	for _, m := range p.chooseTargets(peers) {
		if !p.activeExchanges.begin(m.Instance) {
			continue
		}
		p.Go(func(ctx context.Context) {
			defer p.activeExchanges.end(m.Instance)
			if err := p.exchange(ctx, m); err != nil {
				p.deps.Log.Debug().Err(err).Str("peer", string(m.Instance)).Msg("peer-exchange-failed")
			}
		})
	}
}

// chooseTargets returns up to Fanout random live daemons of this data centre, and one
// daemon of another data centre, which is chosen in rotation. It adds an unreachable
// daemon of this data centre, if there is one, so that the two sides of a partition
// connect again. The unreachable daemon does not replace a live daemon, since
// attestations would then spread too slowly. If fewer than Fanout daemons are live,
// unreachable daemons make up the number.
func (p *Plugin) chooseTargets(peers []member.Peer) []member.Peer {
	var live, unreachable []member.Peer
	remote := make(map[ident.DataCentre][]member.Peer)
	for _, peer := range peers {
		switch {
		case peer.Address == "" || peer.Instance == p.self:
		case peer.DataCentre != p.dataCentre:
			remote[peer.DataCentre] = append(remote[peer.DataCentre], peer)
		case peer.Alive:
			live = append(live, peer)
		default:
			unreachable = append(unreachable, peer)
		}
	}
	p.shuffle(live)
	p.shuffle(unreachable)
	targets := live
	if fanout := p.settings.Fanout; len(live)+len(unreachable) > fanout {
		targets = live[:min(len(live), fanout)]
		targets = append(targets, unreachable[:min(len(unreachable), max(1, fanout-len(targets)))]...)
	} else {
		targets = append(targets, unreachable...)
	}
	if len(remote) == 0 {
		return targets
	}
	dataCentres := make([]string, 0, len(remote))
	for d := range remote {
		dataCentres = append(dataCentres, string(d))
	}
	sort.Strings(dataCentres)
	if p.remoteIndex == 0 {
		p.remoteIndex = p.random.IntN(len(dataCentres))
	}
	p.remoteIndex++
	return append(targets, p.chooseRemote(remote[ident.DataCentre(dataCentres[p.remoteIndex%len(dataCentres)])]))
}

// chooseRemote returns a random daemon. In nine of ten calls on average it chooses among
// the live daemons only, if there are any.
func (p *Plugin) chooseRemote(peers []member.Peer) member.Peer {
	p.shuffle(peers)
	const anyPeerChanceDivisor = 10
	if p.random.IntN(anyPeerChanceDivisor) > 0 {
		for _, m := range peers {
			if m.Alive {
				return m
			}
		}
	}
	return peers[0]
}

func (p *Plugin) shuffle(peers []member.Peer) {
	p.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// exchange sends the digests of the sections, merges the deltas in the answer, and
// sends the deltas that the other daemon lacks in a second call.
func (p *Plugin) exchange(ctx context.Context, peer member.Peer) error {
	request := p.newEnvelope()
	for _, name := range p.sectionNames {
		if s := p.sections[name]; p.sharesWith(s, peer.DataCentre) {
			request.Sections = append(request.Sections, &Section{Name: name, Digest: s.Digest()})
		}
	}
	answer, err := p.send(ctx, peer, request)
	if err != nil {
		return err
	}
	p.observeTimestamp(answer)
	if answer.GetFrom() != string(peer.Instance) {
		// Another daemon now has the address. Its answer must not count as contact
		// with the previous daemon.
		p.metrics.failedCalls.WithLabelValues("exchange").Inc()
		return fmt.Errorf("peer: daemon %s answered at the address of daemon %s", answer.GetFrom(), peer.Instance)
	}
	pushRequest := p.newEnvelope()
	pushRequest.Push = true
	for _, remoteSection := range answer.GetSections() {
		s := p.sections[remoteSection.GetName()]
		if s == nil || !p.sharesWith(s, peer.DataCentre) {
			continue
		}
		p.merge(s, peer.Instance, remoteSection.GetDelta())
		if delta := s.Delta(remoteSection.GetDigest()); len(delta) > 0 {
			pushRequest.Sections = append(pushRequest.Sections, &Section{Name: remoteSection.GetName(), Delta: delta})
		}
	}
	p.contacts.RecordContact(peer.Instance)
	if len(pushRequest.GetSections()) == 0 {
		return nil
	}
	_, err = p.send(ctx, peer, pushRequest)
	return err
}

func (p *Plugin) send(ctx context.Context, peer member.Peer, request *Envelope) (*Envelope, error) {
	var answer *Envelope
	err := p.call(ctx, peer.Address, "exchange", request, func(ctx context.Context, c Peer) (proto.Message, error) {
		var err error
		answer, err = c.Exchange(ctx, request)
		return answer, err
	})
	return answer, err
}

func (p *Plugin) newEnvelope() *Envelope {
	return &Envelope{
		From: string(p.self), DataCentre: string(p.dataCentre), Stamp: uint64(p.hybridClock.Now()), Codec: codecName,
	}
}

// sharesWith reports whether the section is exchanged with the data centre.
func (p *Plugin) sharesWith(s section, dataCentre ident.DataCentre) bool {
	return s.IsGlobal() || dataCentre == p.dataCentre
}

// handleEnvelope merges the received deltas and returns the answer: the digests of
// this daemon's sections and the deltas that the sender lacks. Unknown sections are
// ignored, since the sender may have another version.
func (p *Plugin) handleEnvelope(request *Envelope) *Envelope {
	answer := p.newEnvelope()
	p.observeTimestamp(request)
	if request.GetCodec() != codecName {
		return answer
	}
	from := ident.Instance(request.GetFrom())
	for _, remoteSection := range request.GetSections() {
		s := p.sections[remoteSection.GetName()]
		if s == nil || !p.sharesWith(s, ident.DataCentre(request.GetDataCentre())) {
			continue
		}
		p.merge(s, from, remoteSection.GetDelta())
		if !request.GetPush() {
			answer.Sections = append(answer.Sections, &Section{
				Name: remoteSection.GetName(), Delta: s.Delta(remoteSection.GetDigest()), Digest: s.Digest(),
			})
		}
	}
	p.contacts.RecordContact(from)
	return answer
}

// merge merges a delta into the section. If the section refuses the delta, merge
// counts and logs the error.
func (p *Plugin) merge(s section, from ident.Instance, delta []byte) {
	if len(delta) == 0 {
		return
	}
	if err := s.Merge(from, delta); err != nil {
		p.metrics.refusals.WithLabelValues(s.Section()).Inc()
		p.deps.Log.Warn().Err(err).Str("section", s.Section()).Str("from", string(from)).Msg("peer-delta-refused")
	}
}

// observeTimestamp advances the hybrid clock past the sender's timestamp.
func (p *Plugin) observeTimestamp(envelope *Envelope) {
	if err := p.hybridClock.Observe(timeline.Timestamp(envelope.GetStamp())); err != nil {
		p.metrics.refusals.WithLabelValues("stamp").Inc()
		p.deps.Log.Warn().Err(err).Str("from", envelope.GetFrom()).Msg("peer-stamp-refused")
	}
}
