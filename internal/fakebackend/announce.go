package fakebackend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"peridotwinch.example/peridotwinch/api"
)

// announceTimeout bounds one announcement request.
const announceTimeout = 500 * time.Millisecond

// runAnnouncements announces the server at every AnnounceEvery, and at once on a signal
// on announceNow, until ctx ends.
func (s *Server) runAnnouncements(ctx context.Context) {
	ticker := time.NewTicker(s.config.AnnounceEvery)
	defer ticker.Stop()
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.announceNow:
		}
	}
}

// announce posts to the configured routers in order until one accepts the announcement.
func (s *Server) announce(ctx context.Context) {
	raw, _ := json.Marshal(s.announcement(time.Now()))
	for _, router := range s.config.Announce {
		if err := post(ctx, router, raw); err == nil {
			return
		}
		s.log.Debug().Str("router", router).Msg("router did not accept the announcement")
	}
}

// announcement returns the announcement for time now, with the next sequence number.
func (s *Server) announcement(now time.Time) *api.Announcement {
	s.sequence++
	load, events := s.driver.report(now, int(s.inFlight.Load()))
	return &api.Announcement{
		Address: s.Address(), Incarnation: s.incarnation, Sequence: s.sequence,
		Pool: s.config.Pool, Models: s.orders.loadedModels(), State: s.state(),
		Slots: s.config.Slots, Load: load,
		ChecksFencing: s.config.ChecksFencing, CacheEvents: events,
	}
}

func post(ctx context.Context, router string, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/announcements", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return api.DecodeError(resp)
	}
	return nil
}
