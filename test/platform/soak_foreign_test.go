package platform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// foreignInterval is the mean time between two calls of the other writer.
	foreignInterval = 40 * time.Millisecond
	// foreignVersions is by how much the versions of its configurations are higher than the operator's.
	foreignVersions = 1_000_000
)

// foreignReplacements make a text unreadable or leave out a field that it must have.
var foreignReplacements = map[string][][2]string{
	"heartbeat": {
		{`"Seq":7,`, ``}, {`"Seq":7`, `"Seq":null`}, {`"Seq":7`, `"Seq":7,"Seq":8`}, {`"Zone":"zone-0",`, ``}, {`"Version":"v1",`, ``},
		{`"ColdLeftMs":0,`, ``}, {`"Slots":6`, `"Slots":"6"`}, {`"State":"ready"`, `"State":"odd"`}, {`zone-0`, "zone\xff"}, {`"v1"`, `"\udead"`},
		{`"Service"`, `"service"`}, {`"born"`, `"Address":"127.0.0.1:1","born"`},
	},
	"configuration": {
		{`"debit"`, "\"deb\xfft\""}, {`/debit/`, `/deb\ud800t/`}, {`"Routes"`, `"routes"`}, {`"Services":`, `"Other":`}, {`"Host":`, `"host":`},
		{`"Kind":"unsafe"`, `"Kind":"safe","Kind":"unsafe"`}, {`"Public":false`, `"Public":false,"public":true`}, {`"Service":"app"`, `"Service":"gone"`},
		{`"Tenants":`, `"Tenants":[],"Tenants":`}, {`"TimeoutMs":1000`, `"TimeoutMs":0`},
	},
}

// runForeignWriter sends heartbeats and configurations that cannot be read in full, or lack a field. None may
// be acknowledged, none may take effect, and no request may reach the server that the heartbeats name.
func (s *soak) runForeignWriter(rng *rand.Rand) {
	var received atomic.Int64
	stranger := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		http.NotFound(w, r)
	}))
	defer stranger.Close()
	address := strings.TrimPrefix(stranger.URL, "http://")
	calls, refused := 0, 0
	for ; ; calls++ {
		select {
		case <-s.stop:
			s.t.Logf("%d calls of another writer, %d of them refused with a status", calls, refused)
			if n := received.Load(); n > 0 {
				s.reportViolation("%d requests reached a server that only unreadable heartbeats name", n)
			}
			return
		case <-time.After(time.Duration(float64(foreignInterval) * (0.5 + rng.Float64()))):
		}
		kind, path, text := "heartbeat", "/instances/"+s.foreignID(rng), fmt.Sprintf(
			`{"Service":"app","Address":%q,"Zone":"zone-0","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Seq":7,"born":%d}`, address, time.Now().UnixMilli())
		if rng.IntN(4) == 0 {
			kind, path, text = "configuration", "/config", s.config(uint64(foreignVersions+calls), 1000)
		}
		replacement := foreignReplacements[kind][rng.IntN(len(foreignReplacements[kind]))]
		text = strings.Replace(text, replacement[0], replacement[1], 1)
		switch status, _ := s.callControl(s.controls[rng.IntN(len(s.controls))], http.MethodPut, path, text); {
		case status/100 == 2:
			s.reportViolation("%s with %q was acknowledged", kind, replacement[1])
		case status != 0:
			refused++
		}
	}
}

// foreignID returns the ID of a worker, or one that no worker has.
func (s *soak) foreignID(rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		return "i-foreign"
	}
	return s.workers[rng.IntN(len(s.workers))].id
}
