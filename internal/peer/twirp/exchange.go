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

// codec names the encoding of digests and deltas. A daemon answers an envelope
// of another codec without sections.
const codec = "section/1"

// activeExchanges holds the daemons with an exchange in progress, so that a stalled one
// has at most one call of this daemon outstanding.
type activeExchanges struct {
	mu    sync.Mutex
	peers map[ident.Instance]bool
}

func (b *activeExchanges) begin(id ident.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = make(map[ident.Instance]bool)
	}
	if b.peers[id] {
		return false
	}
	b.peers[id] = true
	return true
}

func (b *activeExchanges) end(id ident.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, id)
}

// startExchanges starts the exchanges of one interval.
func (p *Plugin) startExchanges(context.Context) {
	peers := p.members.Peers()
	addresses := make(map[string]bool, len(peers))
	for _, m := range peers {
		addresses[m.Address] = true
	}
	p.clients.closeExcept(addresses)
	for _, m := range p.chooseTargets(peers) {
		if !p.active.begin(m.Instance) {
			continue
		}
		p.Go(func(ctx context.Context) {
			defer p.active.end(m.Instance)
			if err := p.exchange(ctx, m); err != nil {
				p.deps.Log.Debug().Err(err).Str("peer", string(m.Instance)).Msg("peer-exchange-failed")
			}
		})
	}
}

// chooseTargets returns random daemons of the own data centre and one of another; the
// other data centres take turns. One daemon that looks dead is added, if there is
// one, so that the two sides of a partition find each other again; it must not
// take the place of a live one, since attestations would then spread too slowly.
func (p *Plugin) chooseTargets(peers []member.Peer) []member.Peer {
	var live, dead []member.Peer
	remote := make(map[ident.DataCentre][]member.Peer)
	for _, m := range peers {
		switch {
		case m.Address == "" || m.Instance == p.self:
		case m.DataCentre != p.dataCentre:
			remote[m.DataCentre] = append(remote[m.DataCentre], m)
		case m.Alive:
			live = append(live, m)
		default:
			dead = append(dead, m)
		}
	}
	p.shuffle(live)
	p.shuffle(dead)
	chosen := live
	if fanout := p.settings.Fanout; len(live)+len(dead) > fanout {
		chosen = live[:min(len(live), fanout)]
		chosen = append(chosen, dead[:min(len(dead), max(1, fanout-len(chosen)))]...)
	} else {
		chosen = append(chosen, dead...)
	}
	if len(remote) == 0 {
		return chosen
	}
	dataCentres := make([]string, 0, len(remote))
	for d := range remote {
		dataCentres = append(dataCentres, string(d))
	}
	sort.Strings(dataCentres)
	if p.remoteTurn == 0 {
		p.remoteTurn = p.random.IntN(len(dataCentres))
	}
	p.remoteTurn++
	return append(chosen, p.chooseRemote(remote[ident.DataCentre(dataCentres[p.remoteTurn%len(dataCentres)])]))
}

// chooseRemote returns a random daemon, a live one nine times in ten if there is one.
func (p *Plugin) chooseRemote(peers []member.Peer) member.Peer {
	p.shuffle(peers)
	const deadShare = 10
	if p.random.IntN(deadShare) > 0 {
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

// exchange sends the digests, merges the answer, and sends what the other
// daemon lacks.
func (p *Plugin) exchange(ctx context.Context, m member.Peer) error {
	request := p.envelope()
	for _, name := range p.sectionNames {
		if s := p.sections[name]; p.sharesWith(s, m.DataCentre) {
			request.Sections = append(request.Sections, &Section{Name: name, Digest: s.Digest()})
		}
	}
	answer, err := p.send(ctx, m, request)
	if err != nil {
		return err
	}
	p.observeStamp(answer)
	if answer.GetFrom() != string(m.Instance) {
		// The address has passed to another daemon, which must not keep
		// the one before alive.
		p.metrics.failed.WithLabelValues("exchange").Inc()
		return fmt.Errorf("peer: %s answered at the address of %s", answer.GetFrom(), m.Instance)
	}
	push := p.envelope()
	push.Push = true
	for _, theirs := range answer.GetSections() {
		s := p.sections[theirs.GetName()]
		if s == nil || !p.sharesWith(s, m.DataCentre) {
			continue
		}
		p.merge(s, m.Instance, theirs.GetDelta())
		if delta := s.Delta(theirs.GetDigest()); len(delta) > 0 {
			push.Sections = append(push.Sections, &Section{Name: theirs.GetName(), Delta: delta})
		}
	}
	p.contacts.RecordContact(m.Instance)
	if len(push.GetSections()) == 0 {
		return nil
	}
	_, err = p.send(ctx, m, push)
	return err
}

func (p *Plugin) send(ctx context.Context, m member.Peer, e *Envelope) (*Envelope, error) {
	var answer *Envelope
	err := p.call(ctx, m.Address, "exchange", e, func(ctx context.Context, c Peer) (proto.Message, error) {
		var err error
		answer, err = c.Exchange(ctx, e)
		return answer, err
	})
	return answer, err
}

func (p *Plugin) envelope() *Envelope {
	return &Envelope{
		From: string(p.self), DataCentre: string(p.dataCentre), Stamp: uint64(p.hybridClock.Now()), Codec: codec,
	}
}

// sharesWith reports whether the section is exchanged with that data centre.
func (p *Plugin) sharesWith(s section, with ident.DataCentre) bool {
	return s.Global() || with == p.dataCentre
}

// handleEnvelope merges the deltas received and returns the digests, and the deltas
// that the sender lacks. Sections that this daemon doesn't know are ignored:
// the sender may be of another version.
func (p *Plugin) handleEnvelope(request *Envelope) *Envelope {
	answer := p.envelope()
	p.observeStamp(request)
	if request.GetCodec() != codec {
		return answer
	}
	from := ident.Instance(request.GetFrom())
	for _, theirs := range request.GetSections() {
		s := p.sections[theirs.GetName()]
		if s == nil || !p.sharesWith(s, ident.DataCentre(request.GetDataCentre())) {
			continue
		}
		p.merge(s, from, theirs.GetDelta())
		if !request.GetPush() {
			answer.Sections = append(answer.Sections, &Section{
				Name: theirs.GetName(), Delta: s.Delta(theirs.GetDigest()), Digest: s.Digest(),
			})
		}
	}
	p.contacts.RecordContact(from)
	return answer
}

// merge passes a delta on. A bad one is counted and skipped.
func (p *Plugin) merge(s section, from ident.Instance, delta []byte) {
	if len(delta) == 0 {
		return
	}
	if err := s.Merge(from, delta); err != nil {
		p.metrics.refused.WithLabelValues(s.Section()).Inc()
		p.deps.Log.Warn().Err(err).Str("section", s.Section()).Str("from", string(from)).Msg("peer-delta-refused")
	}
}

// observeStamp moves the hybrid clock past the sender's.
func (p *Plugin) observeStamp(e *Envelope) {
	if err := p.hybridClock.Observe(timeline.Timestamp(e.GetStamp())); err != nil {
		p.metrics.refused.WithLabelValues("stamp").Inc()
		p.deps.Log.Warn().Err(err).Str("from", e.GetFrom()).Msg("peer-stamp-refused")
	}
}
