package settings

// Prefill configures the placement of prompts by the work of their prefill.
type Prefill struct {
	// Balance makes long and short prompts of a pool prefer different servers if they differ by
	// at least a factor of 4.
	Balance bool `json:"balance,omitempty"`
}
