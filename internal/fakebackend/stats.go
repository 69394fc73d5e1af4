package fakebackend

import (
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Stats are a fake backend's counters since its start and its current load.
type Stats struct {
	Submitted    int `json:"submitted"`
	Completed    int `json:"completed"`
	Cancelled    int `json:"cancelled"`
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	// InFlight is the number of requests in progress.
	InFlight    int `json:"inFlight"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	CacheTokens int `json:"cacheTokens"`
	// AfterDraining counts the requests that arrived after draining began;
	// LatestAfterDrainingMS is the time from then to the last of them.
	AfterDraining         int   `json:"afterDraining"`
	LatestAfterDrainingMS int64 `json:"latestAfterDrainingMs"`
}

func (s *Server) showStats(w http.ResponseWriter, _ *http.Request) {
	stats := s.driver.stats()
	stats.InFlight = int(s.inFlight.Load())
	httpx.WriteJSON(w, http.StatusOK, &stats)
}

func (d *driver) recordRequestWhileDraining(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.AfterDraining++
	d.counters.LatestAfterDrainingMS = after.Milliseconds()
}
