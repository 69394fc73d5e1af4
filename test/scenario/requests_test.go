package scenario

import (
	"net/http"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

func init() {
	commands["live"] = live
}

// live waits until the named daemons are live; they need not be ready.
func live(ts *testscript.TestScript, neg bool, args []string) {
	rejectNegation(ts, neg)
	for _, name := range args {
		platform := clusterOf(ts).Daemons[name].Settings.Listen.Platform
		ts.Check(testcluster.Eventually(func() error { return checkOK("http://" + platform + "/livez") }))
	}
}

// checkOK returns an error unless a GET request for the URL returns status 200.
func checkOK(url string) error {
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
