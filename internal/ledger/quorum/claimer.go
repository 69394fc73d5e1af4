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

// Times of a claim.
const (
	// unavailableAfter is how long a claim looks for a majority.
	unavailableAfter = 2 * time.Second
	minPause         = 5 * time.Millisecond
	maxPause         = 200 * time.Millisecond
	mintTimeout      = 2 * time.Second
)

// Claimer implements ledger.Claimer with majorities of replicas.
type Claimer struct {
	domain string
	// customers holds the groups of customers' own keys: one a shard, or one.
	customers []*group
	domains   map[string]*group

	mu sync.Mutex
	// granted holds what each attempt that may dispatch has claimed.
	granted map[ledger.AttemptID]ledger.ClaimRequest
}

// New returns a claimer of the groups.
func New(members Members) *Claimer {
	c := &Claimer{
		domain:  members.Domain,
		domains: make(map[string]*group),
		granted: make(map[ledger.AttemptID]ledger.ClaimRequest),
	}
	addresses := make(map[string]string)
	for _, one := range members.Fleet {
		addresses[one.Instance] = one.Address
	}
	for domain, replicas := range members.Domains {
		c.domains[domain] = newGroup(ledger.DomainGroup(domain), 0, listOf(replicas), addresses)
	}
	for i, replicas := range members.Shards {
		c.customers = append(c.customers, newGroup(ledger.ShardGroup(i), len(members.Shards), listOf(replicas), addresses))
	}
	if len(members.Shards) == 0 {
		c.customers = []*group{newGroup(ledger.FleetGroup, 0, listOf(members.Fleet), addresses)}
	}
	return c
}

// route returns the group of a key, nil for a failure domain without replicas,
// and the claim's fields that follow from the key.
func (c *Claimer) route(key ledger.Key) (*group, ledger.ClaimRequest) {
	request := ledger.ClaimRequest{Key: key.Hash()}
	minted, ok := ledger.ParseMintedKey(key.Value)
	if !ok {
		return c.customers[request.Key.Shard(len(c.customers))], request
	}
	request.Generation = minted.Generation
	request.MintedAt = minted.MintedAt.Unix()
	return c.domains[minted.Domain], request
}

// Claim implements ledger.Claimer. Where a rival is ahead, the attempt gives its
// own grants back and waits until the key is free or finished.
func (c *Claimer) Claim(ctx context.Context, key ledger.Key, attempt ledger.AttemptID, digest ledger.Digest) ledger.Decision {
	g, request := c.route(key)
	if g == nil {
		return ledger.Decision{Verdict: ledger.VerdictUnavailable}
	}
	request.Digest = digest
	for round := uint64(0); ; round++ {
		request.Attempt = derive(attempt, round)
		claim := &claim{view: g.now(), request: request}
		decision, decided := claim.round(ctx)
		if decision.Verdict == ledger.VerdictGranted {
			c.remember(attempt, request)
		}
		if decided {
			return decision
		}
	}
}

// derive returns the ID that the replicas see in a round: an ID that released a
// key cannot claim it again.
func derive(attempt ledger.AttemptID, round uint64) ledger.AttemptID {
	if round == 0 {
		return attempt
	}
	raw := binary.BigEndian.AppendUint64(attempt[:], round)
	digest := sha256.Sum256(raw)
	return ledger.AttemptID(digest[:len(attempt)])
}

func (c *Claimer) remember(attempt ledger.AttemptID, request ledger.ClaimRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted[attempt] = request
}

func (c *Claimer) recall(key ledger.Key, attempt ledger.AttemptID) (*group, ledger.ClaimRequest, bool) {
	g, _ := c.route(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok := c.granted[attempt]
	return g, request, ok && g != nil
}

// Forget implements ledger.Claimer.
func (c *Claimer) Forget(attempt ledger.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.granted, attempt)
}

// Release implements ledger.Claimer. It returns nil once a majority has the
// release on disk, so that the key can be claimed again.
func (c *Claimer) Release(ctx context.Context, key ledger.Key, attempt ledger.AttemptID) error {
	g, request, ok := c.recall(key, attempt)
	if !ok {
		return notGranted()
	}
	if err := g.release(ctx, request); err != nil {
		return err
	}
	c.Forget(attempt)
	return nil
}

// Complete implements ledger.Claimer. It returns nil once a majority has the
// answer on disk.
func (c *Claimer) Complete(ctx context.Context, key ledger.Key, attempt ledger.AttemptID, answer ledger.Answer) error {
	g, request, ok := c.recall(key, attempt)
	if !ok {
		return notGranted()
	}
	if err := g.complete(ctx, request, answer); err != nil {
		return err
	}
	c.Forget(attempt)
	return nil
}

func notGranted() error {
	return api.Errorf(api.CodeClaimLost, "the attempt holds no key")
}

// Mint implements ledger.Claimer.
func (c *Claimer) Mint(ctx context.Context, count int) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, mintTimeout)
	defer cancel()
	own := c.domains[c.domain]
	if own == nil {
		return nil, api.Errorf(api.CodeClaimUnavailable, "the failure domain %s has no ledger replica", c.domain)
	}
	generation, ok := own.now().generation(ctx)
	if !ok {
		return nil, api.Errorf(api.CodeClaimUnavailable, "no ledger replica of %s is active", c.domain)
	}
	keys := make([]string, count)
	for i := range keys {
		keys[i] = ledger.NewMintedKey(c.domain, generation, time.Now()).String()
	}
	return keys, nil
}
