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

// sumMetric returns the sum of a daemon's metrics whose lines start with a prefix. It returns
// false if there are none.
func (g *group) sumMetric(name, prefix string) (float64, bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.cluster.Daemons[name].Settings.Listen.Platform + "/metrics")
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

// startWatchers observes the revisions of a watch and of each router. Each returned function
// stops one observation and checks that the revision never decreased and that the highest one
// arrived.
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
	var decreased bool
	seen := map[uint64]bool{}
	finished := make(chan error, 1)
	go func() {
		finished <- r.client(r.controls...).Watch(ctx, api.KindPools, "", 0, func(event *api.Event) error {
			mu.Lock()
			defer mu.Unlock()
			decreased = decreased || event.Revision < last
			last = event.Revision
			if event.Type == api.EventChange {
				decreased = decreased || seen[event.Revision]
				seen[event.Revision] = true
			}
			return nil
		})
	}()
	return func() {
		want := r.revision()
		r.Eventually(func() uint64 { mu.Lock(); defer mu.Unlock(); return last }, waitTimeout, "50ms").Should(BeNumerically(">=", want))
		cancel()
		<-finished
		r.Expect(decreased).To(BeFalse(), "the revision of a watch decreased or repeated")
		for revision := uint64(1); revision <= want; revision++ {
			r.Expect(seen).To(HaveKey(revision), "a watch missed a change")
		}
	}
}

const waitTimeout = "60s"

func (r *race) revision() uint64 {
	return r.listPools(r.client(r.controls...)).Revision
}

func (r *race) watchRouter(name string) func() {
	stop := make(chan struct{})
	finished := make(chan struct{})
	var decreased bool
	go func() {
		defer close(finished)
		last := 0.0
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if revision, ok := r.sumMetric(name, "peridotwinch_router_config_revision"); ok {
				decreased = decreased || revision < last
				last = revision
			}
		}
	}()
	return func() {
		want := float64(r.revision())
		r.Eventually(func() float64 {
			revision, _ := r.sumMetric(name, "peridotwinch_router_config_revision")
			return revision
		}, waitTimeout, "50ms").Should(BeNumerically(">=", want))
		close(stop)
		<-finished
		r.Expect(decreased).To(BeFalse(), "the revision of router %s decreased", name)
	}
}
