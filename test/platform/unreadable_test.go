package platform

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

// TestConfigurationThatCannotBeReadIsRefused guards against a configuration with a byte that is not
// UTF-8, or with two values for one field, that is acknowledged and replaces a route by one that no
// operator has sent, so that routers answer the route's requests with 404.
func TestConfigurationThatCannotBeReadIsRefused(t *testing.T) {
	f := startFleet(t, 2)
	f.startWorker("i-1")
	inForce := f.config(1, 1000)
	f.configure(inForce)
	for _, replacement := range []string{"/deb\xfft/", `/deb\ud800t/`, `/debit/","PathPrefix":"/other/`} {
		for i, control := range f.controls {
			source := strings.Replace(f.config(uint64(2+i), 1000), "/debit/", replacement, 1)
			status, body := f.callControl(control, http.MethodPut, "/config", source)
			f.Expect(status).To(Equal(http.StatusBadRequest), body)
			f.Expect(body).To(ContainSubstring(fmt.Sprintf(`"code":%d`, api.CodeRouteTable)))
			f.Expect(body).To(ContainSubstring(`"field":"Routes[0].PathPrefix"`))
		}
	}
	f.awaitControls(inForce)
	heartbeat := "{\"Service\":\"app\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"zone-\xff\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"Seq\":1,\"born\":1}"
	status, body := f.callControl(f.controls[0], http.MethodPut, "/instances/i-2", heartbeat)
	f.Expect(status).To(Equal(http.StatusBadRequest), body)
	for _, router := range f.routers {
		f.awaitServing(router, "/debit/1")
		f.awaitServing(router, "/look/1")
	}
	next := f.config(9, 900)
	f.configure(next)
	f.awaitControls(next)
}

// useStoredGroup gives the control instances the addresses and copies of the disks of a stored group. The
// addresses are part of the stored state, so two test processes cannot use the group at the same time.
func (f *fleet) useStoredGroup(dir string) {
	f.t.Helper()
	const peers, platform, operators = ":7201", ":7202", ":7203"
	var seeds []string
	for i, m := range f.controls {
		ip := fmt.Sprint("127.255.0.", i+1)
		m.settings.Listen.Peers, m.settings.Listen.Platform, m.settings.Listen.Operators = ip+peers, ip+platform, ip+operators
		seeds = append(seeds, m.settings.Listen.Operators)
		f.Expect(os.CopyFS(m.settings.DataDir, os.DirFS(filepath.Join(dir, m.settings.Instance)))).To(Succeed())
	}
	for _, m := range f.machines() {
		// All daemons advertise the same peer port.
		ip, _, err := net.SplitHostPort(m.settings.Listen.Peers)
		f.Expect(err).NotTo(HaveOccurred())
		m.settings.Listen.Peers, m.settings.Join.Seeds = ip+peers, seeds
		f.prepare(m)
	}
}

// TestUnreadableConfigurationOfEarlierVersionStaysInForce guards against an upgrade after which control
// instances or routers refuse what an earlier version has acknowledged, or routers give it another
// meaning. Version 2139798 wrote the files: it acknowledged 98 configurations with a byte that is not
// UTF-8, a lone surrogate, fields that occur twice and fields in lower case.
func TestUnreadableConfigurationOfEarlierVersionStaysInForce(t *testing.T) {
	const dir = "testdata/unreadable-table"
	source, err := os.ReadFile(filepath.Join(dir, "table.json"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	f := newFleet(t, 1)
	f.useStoredGroup(dir)
	f.start()
	f.startWorker("i-1")
	f.awaitControls(string(source))
	f.awaitServing(f.routers[0], "/debit/1")
	f.awaitServing(f.routers[0], "/look/1")
	response, _, err := f.sendRequest(f.routers[0], http.MethodPost, "/first/1")
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(response.StatusCode).To(Equal(http.StatusNotFound), "the last of two prefixes is in force")
	status, body := f.callControl(f.controls[0], http.MethodGet, "/apis/v1/customers/site:odd", "")
	f.Expect(status).To(Equal(http.StatusOK), body)
	for _, m := range f.machines() {
		f.Expect(m.Kill()).To(Succeed())
	}
	for _, m := range f.machines() {
		f.Expect(m.Start()).To(Succeed())
	}
	f.awaitControls(string(source))
	f.awaitServing(f.routers[0], "/look/1")
	next := f.config(100, 900)
	f.configure(next)
	f.awaitControls(next)
	f.awaitServing(f.routers[0], "/debit/1")
}
