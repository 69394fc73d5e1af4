package settings

// Warmup bounds the requests to backend servers that are warming up. In any second such a server gets,
// from all routers together, at most overage times the rate that its pool states for it, plus slack.
type Warmup struct {
	// Overage is the factor of the rate; zero sets no bound.
	Overage float64 `json:"overage,omitempty"`
	// Slack is the number of requests beyond that.
	Slack float64 `json:"slack,omitempty"`
}

// Upper limits of the settings of warm-ups, against typing errors.
const (
	maxWarmupOverage = 100
	maxWarmupSlack   = 10_000
)

func (v *validator) warmup(w Warmup) {
	if w.Overage < 0 || w.Overage > maxWarmupOverage {
		v.add("warmup.overage", "must be from 0 to %d: %v", maxWarmupOverage, w.Overage)
	}
	if w.Slack < 0 || w.Slack > maxWarmupSlack {
		v.add("warmup.slack", "must be from 0 to %d: %v", maxWarmupSlack, w.Slack)
	}
}
