package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBody is the size of the body of each client that makes its body as it sends it, in uploadParts parts
	// with uploadGap between two of them, and uploadClients their number.
	uploadBody    = 250_000
	uploadParts   = 100
	uploadGap     = 28 * time.Millisecond
	uploadClients = 24
)

// slowUpload lets many users send large requests at once. Some more clients make the body of a request while they
// send it, read the answer, and send another request on the same connection.
func slowUpload(rec *record, binary string, trouble bool) bool {
	f := newFleet(rec, binary, 3, 1)
	defer f.stop()
	f.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 4 {
		w := f.newWorker(fmt.Sprintf("i-%d", i+1), service, []string{"zone-a", "zone-b", "zone-c"}[i%3], f.subnet+".200:0")
		w.slots = 64
		defer w.close()
		w.handle = func(rw http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/audit/") {
				time.Sleep(auditWork)
			}
			id := r.Header.Get("Peridotwinch-Attempt-Id")
			rw.Header().Set("Peridotwinch-Server-Stamp", "stamp."+w.id+"."+id)
			fmt.Fprintf(rw, "answer of %s to %s", w.id, id)
		}
		go w.run(ctx)
	}
	if m, _ := f.put(1, smuggledConfig(), 15*time.Second); m == nil {
		check(fmt.Errorf("the first configuration was not acknowledged"))
	}
	f.awaitReady()
	time.Sleep(2 * time.Second)
	front := f.fronts[0]
	var wait sync.WaitGroup
	l := &log{}
	send := func(count, size int) {
		rec.add("%d clients send POST /audit/x with a body of %d bytes", count, size)
		for range count {
			wait.Go(func() {
				l.add(newClient(front).send("POST", host, "/audit/x", "safe", strings.Repeat("a", size), auditDeadline))
			})
			time.Sleep(clientGap)
		}
	}
	if trouble {
		rec.add("many users come at once")
		send(largeClients, largeBody)
		send(mediumClients, mediumBody)
		send(smallClients, smallBody)
		time.Sleep(100 * time.Millisecond)
	}
	for range uploadClients {
		wait.Go(func() { uploadTwice(rec, front.front, l) })
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	counts := map[string]int{}
	denied, all := 0, 0
	for _, a := range l.list() {
		all++
		counts[fmt.Sprint(a.kind, " ", a.status)]++
		if a.status/100 == 4 && a.status != 408 && a.status != 421 && a.status != 429 && a.stamp == "" {
			denied++
		}
	}
	rec.add("requests by kind and status (0: no answer): %v", counts)
	rec.add("%d of %d requests were ended with a 4xx without a worker's stamp; allowed are %d", denied, all, 5+all/500)
	return denied > 5+all/500
}

// uploadTwice sends a request with a body and then, on the same connection, one without a body.
func uploadTwice(rec *record, address string, l *log) {
	conn, err := net.Dial("tcp", address)
	check(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	body := `{"manifest":"` + strings.Repeat("m", uploadBody-15) + `"}`
	for _, next := range []struct{ path, kind, body string }{{"/audit/upload", "upload", body}, {"/debit/next", "next, unsafe", ""}} {
		a := attempt{id: newID(), kind: next.kind, sentAt: time.Now()}
		_, a.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nPeridotwinch-Attempt-Id: %s\r\nPeridotwinch-Request-Deadline: 12000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
			next.path, host, a.id, apiKey, len(next.body))
		for rest := next.body; rest != "" && a.err == nil; time.Sleep(uploadGap) {
			part := rest[:min(len(rest), uploadBody/uploadParts)]
			rest = rest[len(part):]
			_, a.err = io.WriteString(conn, part)
		}
		sent := time.Since(a.sentAt)
		closes := false
		if response, err := http.ReadResponse(reader, nil); err == nil {
			raw, _ := io.ReadAll(response.Body)
			a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("Peridotwinch-Server-Stamp"), string(raw)
			closes = response.Close
		} else {
			a.err = err
		}
		l.add(a)
		rec.add("request %s (POST %s): sent within %v, answered %d, stamp %q, body %.50q, closes %v, error %v", a.id, next.path, sent.Round(time.Millisecond), a.status, a.stamp, a.body, closes, a.err)
		if a.err != nil || closes {
			return
		}
	}
}
