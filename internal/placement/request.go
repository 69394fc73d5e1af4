package placement

// PromptPart is a part of a prompt, either shared with other requests or unique to
// one.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that its placement depends on.
type Request struct {
	// Parts are the parts of the prompt in order; empty for a request without a
	// prompt.
	Parts []PromptPart
	// Exclude lists the IDs of the servers to which the request was sent before.
	Exclude []string
	// Domain is the failure domain of the router.
	Domain string
	// Retryable requests may be retried, so they may be sent to a suspect server to
	// test whether it has recovered.
	Retryable bool
}

// Key returns the ID of the part that determines the placement of the prompt, and
// false if there is no prompt. It is the last part shared with other requests,
// because a server that caches this part also caches the prefix before it.
func (r *Request) Key() (uint64, bool) {
	switch n := len(r.Parts); n {
	case 0:
		return 0, false
	case 1:
		return r.Parts[0].ID, true
	default:
		return r.Parts[n-2].ID, true
	}
}
