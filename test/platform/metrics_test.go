package platform

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/internal/testcluster"
)

// scrapeMetrics returns the metrics page of a machine, or the text of the error.
func (f *fleet) scrapeMetrics(m *machine) string {
	response, err := f.client.Get("http://" + m.settings.Listen.Platform + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// TestMetricsReportRouterViewAndItsAge checks that a router and a control instance export the
// metrics that docs/OPERATIONS.md names.
func TestMetricsReportRouterViewAndItsAge(t *testing.T) {
	f := startFleet(t, 1)
	f.startWorker("i-1")
	f.configure(f.config(7, 1000))
	router := f.routers[0]
	f.awaitServing(router, "/look/x")
	got := f.scrapeMetrics(router)
	for _, want := range []string{
		`peridotwinch_gateway_requests_total{kind="safe",outcome="answered",priority="1"} `,
		`peridotwinch_gateway_sends_total{domain="zone-0",result="answered"} `,
		"peridotwinch_gateway_requests_in_progress 0", "peridotwinch_gateway_requests_waiting 0",
		`peridotwinch_gateway_servers_warming{share="used_up"} 0`, `peridotwinch_gateway_servers_warming{share="unused"} 0`,
		"peridotwinch_gateway_sends_withheld_total 0", "peridotwinch_gateway_wait_seconds_count ", "peridotwinch_gateway_repeats_left 2",
		"peridotwinch_view_generation 7", "peridotwinch_view_control_age_seconds 0.",
		"peridotwinch_view_servers 1", "peridotwinch_view_servers_unconfirmed 0", "peridotwinch_control_bytes_total",
		`peridotwinch_gateway_dials_total{reason="request"} `, `peridotwinch_gateway_dials_total{reason="probe"} `,
		"peridotwinch_gateway_connections_idle ", "peridotwinch_gateway_connections_evicted_total 0", "peridotwinch_gateway_silence_ignored 0",
		`peridotwinch_rpc_connections_total{purpose="fleet",side="opened"} `,
	} {
		f.Expect(got).To(ContainSubstring(want))
	}
	f.Eventually(func() string { return f.scrapeMetrics(router) }, testcluster.WaitTimeout).Should(
		And(ContainSubstring("peridotwinch_view_routers 1\n"), ContainSubstring("peridotwinch_view_position 0\n")))
	f.awaitControls(f.config(7, 1000))
	f.Expect(f.scrapeMetrics(f.controls[0])).To(And(ContainSubstring("peridotwinch_config_is_current"),
		ContainSubstring(`peridotwinch_fleet_announcements_total{result="changed"} `), ContainSubstring("peridotwinch_fleet_servers_assigned 0"),
		ContainSubstring(`peridotwinch_rpc_connections_total{purpose="fleet",side="accepted"} `)))
}

// TestLateAnnouncementIsLogged sends an announcement with a lower sequence number than the
// last one. It must be dropped, and the drop must be logged.
func TestLateAnnouncementIsLogged(t *testing.T) {
	f := startFleet(t, 0)
	announce := func(seq string) int {
		status, _ := f.callControl(f.controls[0], http.MethodPut, "/instances/i-9", `{"Service":"app","Address":"10.0.0.9:80","Zone":"zone-0","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":`+seq+`,"born":1000}`)
		return status
	}
	f.Eventually(func() int { return announce("5") }, testcluster.WaitTimeout).Should(Equal(http.StatusOK))
	f.Expect(announce("4")).To(Equal(http.StatusOK))
	f.Eventually(func() string { return f.readLog(f.controls[0]) }, testcluster.WaitTimeout).Should(ContainSubstring("late announcement dropped"))
}
