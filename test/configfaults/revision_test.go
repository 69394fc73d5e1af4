package configfaults

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// metric sums the values of the lines of a daemon's metrics that start with a prefix.
func (g *group) metric(name, prefix string) (float64, bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.bed.Daemons[name].Settings.Listen.Platform + "/metrics")
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	total, found := 0.0, false
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if !strings.HasPrefix(scanner.Text(), prefix) {
			continue
		}
		_, raw, _ := strings.Cut(scanner.Text(), " ")
		value, err := strconv.ParseFloat(raw, 64)
		if err == nil {
			total += value
			found = true
		}
	}
	return total, found
}

// startWatchers follows the revisions of a watch and of each router. The
// functions that it returns end that and check that no revision ever fell and
// that the highest one arrived.
func (r *race) startWatchers() []func() {
	checks := []func(){r.watchEvents()}
	for _, router := range r.routers {
		checks = append(checks, r.watchRouter(router))
	}
	return checks
}

func (r *race) watchEvents() func() {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var last uint64
	var fell bool
	seen := map[uint64]bool{}
	ended := make(chan error, 1)
	go func() {
		ended <- r.client(r.controls...).Watch(ctx, api.KindPools, "", 0, func(event *api.Event) error {
			mu.Lock()
			defer mu.Unlock()
			fell = fell || event.Revision < last
			last = event.Revision
			if event.Type == api.EventChange {
				fell = fell || seen[event.Revision]
				seen[event.Revision] = true
			}
			return nil
		})
	}()
	return func() {
		want := r.revision()
		r.Eventually(func() uint64 { mu.Lock(); defer mu.Unlock(); return last }, patience, "50ms").Should(BeNumerically(">=", want))
		cancel()
		<-ended
		r.Expect(fell).To(BeFalse(), "the revision of a watch fell")
		for revision := uint64(1); revision <= want; revision++ {
			r.Expect(seen).To(HaveKey(revision), "a watch missed a change")
		}
	}
}

const patience = "60s"

func (r *race) revision() uint64 {
	return r.list(r.client(r.controls...)).Revision
}

func (r *race) watchRouter(name string) func() {
	stop := make(chan struct{})
	finished := make(chan struct{})
	var fell bool
	go func() {
		defer close(finished)
		last := 0.0
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if revision, ok := r.metric(name, "peridotwinch_router_config_revision"); ok {
				fell = fell || revision < last
				last = revision
			}
		}
	}()
	return func() {
		want := float64(r.revision())
		r.Eventually(func() float64 {
			revision, _ := r.metric(name, "peridotwinch_router_config_revision")
			return revision
		}, patience, "50ms").Should(BeNumerically(">=", want))
		close(stop)
		<-finished
		r.Expect(fell).To(BeFalse(), "the revision of router %s fell", name)
	}
}
