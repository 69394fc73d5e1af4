package faults

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/settings"
	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// revisionPollInterval is the time between two reads of a router's revision.
const revisionPollInterval = 50 * time.Millisecond

// metric returns the first sample of a daemon's metrics that starts with prefix.
func (d deployment) metric(name, prefix string) (float64, error) {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + d.Daemons[name].Settings.Listen.Platform + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), prefix) {
			_, raw, _ := strings.Cut(scanner.Text(), " ")
			return strconv.ParseFloat(raw, 64)
		}
	}
	return 0, errors.Errorf("%s: no metric %s", name, prefix)
}

const revisionMetric = "peridotwinch_router_config_revision"

// routerRevision returns the configuration revision that a router applies.
func (d deployment) routerRevision(router string) float64 {
	var revision float64
	d.Expect(testcluster.Eventually(func() error {
		var err error
		revision, err = d.metric(router, revisionMetric)
		return err
	})).To(Succeed())
	return revision
}

// watchRevisions polls the revisions of all routers. The returned function stops
// that and checks that none has decreased.
func (d deployment) watchRevisions() func() {
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var decreased []string
	for _, router := range d.Routers() {
		group.Go(func() {
			last := 0.0
			for {
				revision, err := d.metric(router.Name, revisionMetric)
				if err == nil && revision < last {
					mu.Lock()
					decreased = append(decreased, router.Name)
					mu.Unlock()
				}
				last = max(last, revision)
				select {
				case <-stop:
					return
				case <-time.After(revisionPollInterval):
				}
			}
		})
	}
	return func() {
		close(stop)
		group.Wait()
		d.Expect(decreased).To(BeEmpty(), "the revision of a router decreased")
	}
}

// operatorClient returns a client of all control instances.
func (d deployment) operatorClient() *api.Client {
	var addresses []string
	for _, control := range d.WithRole(settings.RoleControl) {
		addresses = append(addresses, control.Settings.Listen.Operators)
	}
	return api.NewClient(strings.Join(addresses, ","), "test")
}

// putPool creates a pool and returns its revision.
func (d deployment) putPool(client *api.Client, name string) float64 {
	requestID := uuid.NewString()
	var stored *api.Resource
	d.Expect(testcluster.Eventually(func() error {
		var err error
		pool := resource(api.KindPools, "engine", name, &api.PoolSpec{Protocol: api.ProtocolChat})
		stored, err = client.Put(context.Background(), api.Ref(name), pool, requestID)
		return err
	})).To(Succeed())
	return float64(stored.ResourceVersion)
}

// putPoolInForce creates a pool, waits until it is in force on every router and
// returns its revision.
func (d deployment) putPoolInForce(name string) float64 {
	client := d.operatorClient()
	revision := d.putPool(client, name)
	d.Expect(testcluster.Eventually(func() error {
		stored, err := client.Get(context.Background(), api.KindPools, api.Ref(name))
		if err != nil {
			return err
		}
		if stored.Status.Phase != api.PhaseInForce || len(stored.Status.Unheard) > 0 {
			return errors.Errorf("%+v", stored.Status)
		}
		return nil
	})).To(Succeed())
	return revision
}
