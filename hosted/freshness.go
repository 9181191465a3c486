package hosted

import (
	"context"
	"slices"
	"time"

	"siskincove/freshness"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
)

const (
	// proverTask is the key under which instances are ranked for asking the store.
	proverTask = "prover"
	// splitShare is the divisor of the number of instances of which more must have died within splitDuration for a partition. Retries
	// of dead instances renew the time.
	splitShare    = 5
	splitDuration = 30 * time.Second
	// askedProvers is how many of the first provers an instance asks.
	askedProvers = 3
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

// needsProofs reports whether instances ask for proofs.
func (i *Instance) needsProofs() bool {
	<-i.initialized
	return i.withdrawal() > 0
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

// provers implements freshness.Sources. The provers are instances ranked over all failure domains, of which the first asks the store.
// The head of a failure domain is the first of those that follow the configuration there.
type provers struct{ instance *Instance }

// Rank returns this instance's place among the provers, and whether it is the head of its failure domain.
func (p provers) Rank() (rank int, head bool) {
	own := p.instance.options.Settings.Instance
	isOwn := func(m member.Instance) bool { return m.ID == own.ID }
	if rank = slices.IndexFunc(p.first(freshness.Provers), isOwn); rank < 0 {
		rank = freshness.Provers
	}
	return rank, slices.ContainsFunc(p.followers(1), isOwn)
}

func (p provers) first(n int) []member.Instance {
	return p.instance.members.HighestRanked(proverTask, "", n)
}

func (p provers) followers(n int) []member.Instance {
	own := p.instance.options.Settings.Instance
	return p.instance.members.HighestRanked(followerTask+own.Domain, own.Domain, n)
}

// Peers returns the addresses of the followers of this instance's failure domain, to which traffic is free, and of the first provers;
// for the head of a domain, the provers come first.
func (p provers) Peers() []string {
	asked := [][]member.Instance{p.followers(followersPerDomain), p.first(askedProvers)}
	if _, head := p.Rank(); head {
		slices.Reverse(asked)
	}
	var out []string
	for _, m := range slices.Concat(asked...) {
		if m.ID != p.instance.options.Settings.Instance.ID && !slices.Contains(out, m.Address) {
			out = append(out, m.Address)
		}
	}
	return out
}

// Split reports whether many instances have died lately, as a partition looks from one side.
func (p provers) Split() bool {
	all, lost := p.instance.members.Instances(), 0
	now := p.instance.options.Clock.Now()
	for _, m := range all {
		if m.State == member.Dead && now.Sub(m.Since) < splitDuration {
			lost++
		}
	}
	return lost*splitShare > len(all)
}

// AskPeer asks a peer for its directory, with which it sends its proof.
func (p provers) AskPeer(ctx context.Context, address string) error {
	offer, err := p.instance.inquire(ctx, address, p.instance.directory.Versions(), true)
	if err == nil {
		p.instance.directory.Accept(offer)
		p.instance.fetcher.announce(offer.Pending(), address, p.instance.members.DomainOf(address))
	}
	return err
}

// AskStore asks the store whether the configuration is the newest.
func (p provers) AskStore(ctx context.Context) error { return p.instance.directory.Confirm(ctx) }
