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
	// largeBody, mediumBody and smallBody are below MaxBodyBytes of the configuration, 4,194,304 bytes; largeClients,
	// mediumClients and smallClients are the numbers of clients that send one such body each.
	largeBody, largeClients   = 4_000_000, 27
	mediumBody, mediumClients = 1_000_000, 5
	smallBody, smallClients   = 300_000, 4
	// clientGap is the time between two of these clients.
	clientGap = 20 * time.Millisecond
	// outerBody is the size of the part of a body before the request that it has inside.
	outerBody = 600_000
	// outerClients is the number of clients that send such a body.
	outerClients = 6
	// auditWork is the time that a worker takes for a large request.
	auditWork = 2 * time.Second
	// auditDeadline is the deadline of a large request and the timeout of its route.
	auditDeadline = 15 * time.Second
)

// smuggledConfig has a safe route for large requests and an unsafe one for small ones.
func smuggledConfig() string {
	route := func(name, prefix, kind string, sloMs int) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": auditDeadline.Milliseconds(), "SloMs": sloMs, "Priority": 1,
			"Service": service, "MaxAttempts": 1, "Public": false, "Sticky": false, "Resumable": false, "GapSloMs": 0,
		}
	}
	return jsonText(map[string]any{
		"Version":  1,
		"Routes":   []any{route("audit", "/audit/", "safe", 800), route("debit", "/debit/", "unsafe", 120)},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "tenant", "ApiKeys": []any{apiKey}, "Priority": 1}},
	})
}

// smuggledRequest lets many users send large requests at once. Meanwhile some clients send a request whose body,
// in chunks, has an invalid chunk and then the text of another request.
func smuggledRequest(rec *record, binary string, trouble bool) bool {
	f := newFleet(rec, binary, 3, 1)
	defer f.stop()
	f.start()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var workers []*worker
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
		workers = append(workers, w)
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
	} else {
		send(2, largeBody)
		send(1, mediumBody)
	}
	sent := map[string]bool{}
	mixed := false
	for range outerClients {
		p := &outerClient{rec: rec, id: newID(), inner: newID(), next: newID()}
		sent[p.id], sent[p.next] = true, true
		mixed = p.play(front.front) || mixed
	}
	wait.Wait()
	counts := map[int]int{}
	for _, a := range l.list() {
		sent[a.id] = true
		counts[a.status]++
	}
	rec.add("the other clients' requests by status: %v", counts)
	unasked := 0
	for _, w := range workers {
		for _, r := range w.allRuns() {
			if !sent[r.id] {
				unasked++
				rec.add("UNASKED: worker %s ran %s with the id %s and the tenant %s at %.3f s, which was inside another request", w.id, r.path, r.id, r.tenant, r.at.Sub(rec.start).Seconds())
			}
		}
	}
	rec.add("%d requests ran that were inside others; front-1 runs: %v", unasked, front.running())
	return unasked > 0 || mixed
}

// outerClient sends a request that has another one inside, and then one more on the same connection.
type outerClient struct {
	rec *record
	// id is the request's, inner that of the request inside, and next that of the next request on the connection.
	id, inner, next string
}

// play reports whether an answer belonged to another request.
func (p *outerClient) play(address string) (mixed bool) {
	conn, err := net.Dial("tcp", address)
	check(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	head := func(path, id, length string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nPeridotwinch-Attempt-Id: %s\r\nPeridotwinch-Request-Deadline: 12000\r\nAuthorization: Token %s\r\n%s\r\n\r\n", path, host, id, apiKey, length)
	}
	// The size of the second chunk is no number.
	text := head("/audit/outer", p.id, "Transfer-Encoding: chunked") +
		fmt.Sprintf("%x\r\n%s\r\nzz\r\n", outerBody, strings.Repeat("b", outerBody)) + head("/debit/inner", p.inner, "Content-Length: 0")
	_, err = io.WriteString(conn, text)
	p.rec.add("request %s (POST /audit/outer) sent, error %v; its body has the text of POST /debit/inner with the id %s", p.id, err, p.inner)
	read := func(expected string) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			p.rec.add("request %s: no answer: %v", expected, err)
			return
		}
		raw, _ := io.ReadAll(response.Body)
		got := response.Header.Get("Peridotwinch-Attempt-Id")
		p.rec.add("request %s: answered %d, id %q, stamp %q, body %.56q, closes %v", expected, response.StatusCode, got,
			response.Header.Get("Peridotwinch-Server-Stamp"), raw, response.Close)
		if response.StatusCode/100 == 2 && got != expected {
			mixed = true
			p.rec.add("MIXED: the answer belongs to another request")
		}
	}
	read(p.id)
	_, err = io.WriteString(conn, head("/debit/next", p.next, "Content-Length: 0"))
	p.rec.add("request %s (POST /debit/next) sent on the same connection, error %v", p.next, err)
	read(p.next)
	return mixed
}
