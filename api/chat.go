package api

// Headers of the protocols of callers and backend servers.
const (
	HeaderChat      = "Peridotwinch-Chat"
	HeaderAffinity  = "Peridotwinch-Affinity"
	HeaderRequestID = "Peridotwinch-Request-Id"
	// HeaderSendID identifies one transmission of a request to a backend server or another
	// router, which echoes it in its answers. A retry of the request has another one.
	HeaderSendID       = "Peridotwinch-Send-Id"
	HeaderPriority     = "Peridotwinch-Priority"
	HeaderResumeOffset = "Peridotwinch-Resume-Offset"
	HeaderOutcome      = "Peridotwinch-Outcome"
	// HeaderServerState is the state of the backend server, a ServerState, in each of its
	// answers. A draining server takes no further request. A server that does not run a
	// request may add Retry-After with the seconds for which it wants no other one.
	HeaderServerState = "Peridotwinch-Server-State"
	HeaderRetryAfter  = "Retry-After"
	// HeaderRateLimit is the rate in requests per second that a backend server takes from all
	// routers of its failure domain together, as long as its answers have the header.
	HeaderRateLimit      = "Peridotwinch-Rate-Limit"
	HeaderHop            = "Peridotwinch-Hop"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ChatMessage is one turn of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the supported subset of a chat completion request.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
}

// Validate returns an error for the first field that is not valid, or nil.
func (r *ChatRequest) Validate() *Error {
	if r.Model == "" {
		return FieldErrorf(CodeRequestInvalid, "model", "missing")
	}
	if len(r.Messages) == 0 {
		return FieldErrorf(CodeRequestInvalid, "messages", "at least one message is required")
	}
	if r.MaxTokens < 0 {
		return FieldErrorf(CodeRequestInvalid, "max_tokens", "must not be negative: %d", r.MaxTokens)
	}
	return nil
}

// ChatChoice is an answer to a chat completion request.
type ChatChoice struct {
	Index        int         `json:"index"`
	Message      ChatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// Usage counts the tokens of a request and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// ChatResponse is the response to a request without streaming.
type ChatResponse struct {
	ID      string       `json:"id"`
	Model   string       `json:"model"`
	Choices []ChatChoice `json:"choices"`
	Usage   Usage        `json:"usage"`
}

// ChatChunk is an event of a streamed answer.
type ChatChunk struct {
	ID      string            `json:"id"`
	Choices []ChatChunkChoice `json:"choices"`
	Usage   *Usage            `json:"usage,omitempty"`
}

// ChatChunkChoice carries the next token of a streamed answer.
type ChatChunkChoice struct {
	Index        int         `json:"index"`
	Delta        ChatMessage `json:"delta"`
	FinishReason string      `json:"finish_reason,omitempty"`
}

// StreamEnd is the data of the last event of a streamed answer.
const StreamEnd = "[DONE]"
