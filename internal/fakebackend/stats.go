package fakebackend

import (
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/internal/httpx"
)

// Stats are a stand-in's counters since its start and its present load.
type Stats struct {
	Submitted    int `json:"submitted"`
	Completed    int `json:"completed"`
	Cancelled    int `json:"cancelled"`
	PromptTokens int `json:"promptTokens"`
	CachedTokens int `json:"cachedTokens"`
	// InFlight counts the requests that the server holds now.
	InFlight    int `json:"inFlight"`
	Running     int `json:"running"`
	Waiting     int `json:"waiting"`
	CacheTokens int `json:"cacheTokens"`
	// AfterDraining counts requests that came after draining was announced, and
	// LatestAfterDrainingMS is how long after it the last of them came.
	AfterDraining         int   `json:"afterDraining"`
	LatestAfterDrainingMS int64 `json:"latestAfterDrainingMs"`
}

func (s *Server) showStats(w http.ResponseWriter, _ *http.Request) {
	stats := s.driver.stats()
	stats.InFlight = int(s.inFlight.Load())
	httpx.WriteJSON(w, http.StatusOK, &stats)
}

func (d *driver) noteLate(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.AfterDraining++
	d.counters.LatestAfterDrainingMS = after.Milliseconds()
}
