package scenario

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/status"
	"peridotwinch.example/peridotwinch/internal/testbed"
)

func init() {
	commands["live"] = live
	commands["healthy"] = healthy
}

// healthy waits until no named daemon reports anything degraded: a router is
// ready with a configuration that it asked for, before its watch is open.
func healthy(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg)
	for _, name := range args {
		peer := settings.Peer{Instance: name, Address: bedOf(ts).Daemons[name].Settings.Listen.Peers}
		ts.Check(testbed.Eventually(func() error { return checkHealthy(peer) }))
	}
}

func checkHealthy(peer settings.Peer) error {
	for _, daemon := range status.AskAll(context.Background(), []settings.Peer{peer}) {
		for _, degraded := range daemon.Degraded {
			return errors.Wrap(degraded, peer.Instance)
		}
	}
	return nil
}

// live waits until the named daemons answer, ready or not.
func live(ts *testscript.TestScript, neg bool, args []string) {
	refuseNegation(ts, neg)
	for _, name := range args {
		platform := bedOf(ts).Daemons[name].Settings.Listen.Platform
		ts.Check(testbed.Eventually(func() error { return answers("http://" + platform + "/livez") }))
	}
}

func answers(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}
