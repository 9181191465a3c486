package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/freshness"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
)

const (
	// rankedProvers is how many instances of a failure domain are ranked for questions to the store; the others share the last rank.
	rankedProvers = 16
	// provedDomains is how many other failure domains an instance asks for a proof.
	provedDomains = 2
)

// newFreshness returns the keeper of the proof that the configuration is the newest.
func (i *Instance) newFreshness() *freshness.Keeper {
	return freshness.New(freshness.Options{
		Clock: i.options.Clock, Logger: i.options.Logger, Withdrawal: i.withdrawal, InForce: func() uint64 { return i.directory.InForce() },
		Sources: provers{i}, OnIsolated: func(isolated bool) { i.callers.Redirect(isolated) },
	})
}

// withdrawal returns how long after the acknowledgement of a configuration requests of a key that it withdraws may run; 0 if there is
// no limit or the configuration has no keys.
func (i *Instance) withdrawal() time.Duration {
	bound := i.settings.Load().Keys.Withdrawal.Std()
	if bound <= 0 {
		return 0
	}
	if catalog := i.directory.Catalog(); catalog != nil && !catalog.HasWorkspaces() {
		return 0
	}
	return bound
}

// recordConfirmation records that the store knew no configuration newer than a version when a question was sent to it.
func (i *Instance) recordConfirmation(version uint64, sent time.Time, era uint64) {
	<-i.initialized
	i.freshness.RecordRead(freshness.Proof{Version: version, At: sent}, era)
}

// addConfirmed adds to a reply to a heartbeat the age of this instance's proof. The version of the configuration has to be added
// afterwards, as it may not be older than that of the proof.
func (i *Instance) addConfirmed(h *wire.Heartbeat) {
	if _, age, proven := i.freshness.Claim(); proven {
		micros := peer.Micros(age)
		h.Confirmed = &micros
	}
}

// recordConfirmed records the proof in a heartbeat if that is a reply to one sent at sentAt. Other heartbeats prove nothing, since they
// may have been delayed for any time.
func (i *Instance) recordConfirmed(h *wire.Heartbeat, sentAt time.Time) {
	if sentAt.IsZero() {
		return
	}
	i.freshness.RecordReply()
	if h.Confirmed != nil {
		i.freshness.Record(freshness.Proof{Version: h.GetConfiguration(), At: sentAt.Add(-peer.Duration(h.GetConfirmed()))})
	}
}

// addOffered adds this instance's proof to an offer.
func (i *Instance) addOffered(o *wire.Offer) {
	if proof, age, proven := i.freshness.Claim(); proven {
		micros := peer.Micros(age)
		o.Latest, o.Confirmed = proof.Version, &micros
	}
}

// recordOffered records the proof in an offer that answers a question sent at sentAt.
func (i *Instance) recordOffered(o *wire.Offer, sentAt time.Time) {
	i.freshness.RecordReply()
	if o != nil && o.Confirmed != nil {
		i.freshness.Record(freshness.Proof{Version: o.GetLatest(), At: sentAt.Add(-peer.Duration(o.GetConfirmed()))})
	}
}

// provers implements freshness.Sources: the instances that follow the configuration for their failure domain prove it to the
// others.
type provers struct{ instance *Instance }

// Rank returns this instance's place among those of its failure domain.
func (p provers) Rank() int {
	own := p.instance.options.Settings.Instance
	all := p.ranked(own.Domain, rankedProvers)
	if at := slices.IndexFunc(all, func(m member.Instance) bool { return m.ID == own.ID }); at >= 0 {
		return at
	}
	return rankedProvers
}

func (p provers) ranked(domain string, n int) []member.Instance {
	return p.instance.members.HighestRanked(followerTask+domain, domain, n)
}

// Peers returns the addresses of the followers of this instance's failure domain, and after them the first ones of some other domains.
func (p provers) Peers() []string {
	own := p.instance.options.Settings.Instance
	asked := p.ranked(own.Domain, followersPerDomain)
	for _, domain := range p.otherDomains() {
		if len(asked) < followersPerDomain+provedDomains {
			asked = append(asked, p.ranked(domain, 1)...)
		}
	}
	var out []string
	for _, m := range asked {
		if m.ID != own.ID && !slices.Contains(out, m.Address) {
			out = append(out, m.Address)
		}
	}
	return out
}

// otherDomains returns the other failure domains in an order that differs between instances.
func (p provers) otherDomains() []string {
	own := p.instance.options.Settings.Instance
	var out []string
	for domain, region := range p.instance.regions() {
		if name := region + "/" + domain; name != own.Domain {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return rotated(out, func(n int) int { return int(xxhash.Sum64String(own.ID) % uint64(n)) })
}

// AskPeer asks a peer for its directory, with which it sends its proof.
func (p provers) AskPeer(ctx context.Context, address string) error {
	offer, err := p.instance.inquire(ctx, address, p.instance.directory.Versions(), true)
	if err == nil {
		p.instance.directory.Accept(offer)
	}
	return err
}

// AskStore asks the store whether the configuration is the newest.
func (p provers) AskStore(ctx context.Context) error { return p.instance.directory.Confirm(ctx) }
