package quorum

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/ledger"
)

// Timeouts and backoff of a claim.
const (
	// noMajorityTimeout bounds the total time that a round spends on retries
	// without a majority.
	noMajorityTimeout = 2 * time.Second
	minBackoff        = 5 * time.Millisecond
	maxBackoff        = 200 * time.Millisecond
	mintTimeout       = 2 * time.Second
)

// Claimer implements ledger.Claimer on majorities of replicas. It is safe for
// concurrent use.
type Claimer struct {
	domain string
	// customerGroups holds the groups of the keys that customers choose: one per
	// shard, or a single group without shards.
	customerGroups []*group
	domainGroups   map[string]*group

	mu sync.Mutex
	// granted holds the claim of each attempt that was granted its key.
	granted map[ledger.AttemptID]ledger.ClaimRequest
}

// New returns a claimer for the groups in members.
func New(members Members) *Claimer {
	c := &Claimer{
		domain:       members.Domain,
		domainGroups: make(map[string]*group),
		granted:      make(map[ledger.AttemptID]ledger.ClaimRequest),
	}
	addresses := make(map[string]string)
	for _, member := range members.Fleet {
		addresses[member.Instance] = member.Address
	}
	for domain, replicas := range members.Domains {
		c.domainGroups[domain] = newGroup(ledger.DomainGroup(domain), 0, initialMemberList(replicas), addresses)
	}
	for i, replicas := range members.Shards {
		c.customerGroups = append(c.customerGroups, newGroup(ledger.ShardGroup(i), len(members.Shards), initialMemberList(replicas), addresses))
	}
	if len(members.Shards) == 0 {
		c.customerGroups = []*group{newGroup(ledger.FleetGroup, 0, initialMemberList(members.Fleet), addresses)}
	}
	return c
}

// route returns the group of a key and a request with the fields that derive from
// the key. The group is nil if the key's failure domain has no replicas.
func (c *Claimer) route(key ledger.Key) (*group, ledger.ClaimRequest) {
	request := ledger.ClaimRequest{Key: key.Hash()}
	minted, ok := ledger.ParseMintedKey(key.Value)
	if !ok {
		return c.customerGroups[request.Key.Shard(len(c.customerGroups))], request
	}
	request.Generation = minted.Generation
	request.MintedAt = minted.MintedAt.Unix()
	return c.domainGroups[minted.Domain], request
}

// Claim implements ledger.Claimer. If another attempt has precedence, this one
// releases its own grants and waits until the key is free or completed.
func (c *Claimer) Claim(ctx context.Context, key ledger.Key, attempt ledger.AttemptID, digest ledger.Digest) ledger.Decision {
	g, request := c.route(key)
	if g == nil {
		return ledger.Decision{Verdict: ledger.VerdictUnavailable}
	}
	request.Digest = digest
	contended := false
	for round := uint64(0); ; round++ {
		request.Attempt = roundAttemptID(attempt, round)
		claim := &claim{view: g.currentView(), request: request, contended: contended}
		decision, decided := claim.runRound(ctx)
		contended = claim.contended
		if decision.Verdict == ledger.VerdictGranted {
			c.recordGrant(attempt, request)
		}
		if decided {
			return decision
		}
	}
}

// roundAttemptID returns the attempt ID of a round. Each round needs its own,
// because an attempt ID that released a key cannot claim it again.
func roundAttemptID(attempt ledger.AttemptID, round uint64) ledger.AttemptID {
	if round == 0 {
		return attempt
	}
	input := binary.BigEndian.AppendUint64(attempt[:], round)
	digest := sha256.Sum256(input)
	return ledger.AttemptID(digest[:len(attempt)])
}

func (c *Claimer) recordGrant(attempt ledger.AttemptID, request ledger.ClaimRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted[attempt] = request
}

func (c *Claimer) grantedRequest(key ledger.Key, attempt ledger.AttemptID) (*group, ledger.ClaimRequest, bool) {
	g, _ := c.route(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.granted[attempt]
	return g, request, ok && g != nil
}

// Discard implements ledger.Claimer.
func (c *Claimer) Discard(attempt ledger.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.granted, attempt)
}

// Release implements ledger.Claimer. It returns nil once a majority has the
// release on disk, so that the key can be claimed again. It returns
// CodeClaimLost if the attempt holds no grant, and CodeClaimUnavailable if no
// majority acknowledges the release.
func (c *Claimer) Release(ctx context.Context, key ledger.Key, attempt ledger.AttemptID) error {
	g, request, ok := c.grantedRequest(key, attempt)
	if !ok {
		return notGrantedError()
	}
	if err := g.release(ctx, request); err != nil {
		return err
	}
	c.Discard(attempt)
	return nil
}

// Complete implements ledger.Claimer. It returns nil once a majority has the
// answer on disk. It returns CodeClaimLost if the attempt holds no grant, and
// CodeClaimUnavailable if no majority acknowledges the answer.
func (c *Claimer) Complete(ctx context.Context, key ledger.Key, attempt ledger.AttemptID, answer ledger.Answer) error {
	g, request, ok := c.grantedRequest(key, attempt)
	if !ok {
		return notGrantedError()
	}
	if err := g.complete(ctx, request, answer); err != nil {
		return err
	}
	c.Discard(attempt)
	return nil
}

func notGrantedError() error {
	return api.Errorf(api.CodeClaimLost, "the attempt holds no granted claim")
}

// Mint implements ledger.Claimer. It returns CodeClaimUnavailable if the failure
// domain has no replicas or no majority of them is active.
func (c *Claimer) Mint(ctx context.Context, count int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	g := c.domainGroups[c.domain]
	if g == nil {
		return nil, api.Errorf(api.CodeClaimUnavailable, "failure domain %s has no ledger replica", c.domain)
	}
	generation, ok := g.currentView().generation(ctx)
	if !ok {
		return nil, api.Errorf(api.CodeClaimUnavailable, "no majority of the ledger replicas of failure domain %s is active", c.domain)
	}
	keys := make([]string, count)
	for i := range keys {
		keys[i] = ledger.NewMintedKey(c.domain, generation, time.Now()).String()
	}
	return keys, nil
}
