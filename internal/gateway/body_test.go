package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const largeBodyBytes = 4 << 20

var largeBody = bytes.Repeat([]byte("m"), largeBodyBytes)

// startLargeBodyGateway starts a gateway that accepts bodies of largeBodyBytes and keeps at most limit bytes
// of them, and servers that answer after release is closed. received returns how many requests they have.
func startLargeBodyGateway(t *testing.T, limit int64, release <-chan struct{}) (received func() int, target string) {
	t.Helper()
	table := newTable(t)
	table.Limits.MaxBodyBytes = largeBodyBytes
	var servers []*testServer
	for _, id := range []string{"a", "b", "c"} {
		servers = append(servers, startTestServer(t, id, func(n int, conn net.Conn, r *http.Request) bool {
			<-release
			return answerOK(n, conn, r)
		}))
	}
	g, target := startUpdatableGateway(t, table, servers...)
	g.SetRequestMemory(limit)
	return func() (count int) {
		for _, server := range servers {
			count += server.requestCount()
		}
		return count
	}, target
}

// upload is a connection that sends bodies.
type upload struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newUpload(t *testing.T, target string) *upload {
	t.Helper()
	u, err := url.Parse(target)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", u.Host)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &upload{conn: conn, reader: bufio.NewReader(conn)}
}

func (u *upload) writeHead(size int) error {
	_, err := fmt.Fprintf(u.conn, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: large\r\nKey: key\r\nContent-Length: %d\r\n\r\n", size)
	return err
}

func (u *upload) writeBody(size int) error {
	_, err := u.conn.Write(largeBody[:size])
	return err
}

func (u *upload) writeRequest(size int) error {
	if err := u.writeHead(size); err != nil {
		return err
	}
	return u.writeBody(size)
}

// read returns the answer with its body read.
func (u *upload) read() (*http.Response, error) { return u.readWithin(30 * time.Second) }

func (u *upload) readWithin(timeout time.Duration) (*http.Response, error) {
	_ = u.conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(u.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestLargeBodiesTakeBoundedMemory guards against a router that ends for lack of memory because many
// callers send bodies of the largest allowed size at once. The others are refused before a server receives
// them, and keep their connections.
func TestLargeBodiesTakeBoundedMemory(t *testing.T) {
	const requests, limit = 40, 32 << 20
	g := NewWithT(t)
	release := make(chan struct{})
	received, target := startLargeBodyGateway(t, limit, release)
	stop := peakHeap()
	var mu sync.Mutex
	answered, refused := 0, 0
	var group sync.WaitGroup
	for range requests {
		u := newUpload(t, target)
		group.Go(func() {
			// The client does not read before it has sent the whole body.
			if err := u.writeRequest(largeBodyBytes); err != nil {
				t.Error(err)
				return
			}
			response, err := u.read()
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if response.StatusCode == http.StatusOK {
				answered++
				return
			}
			refused++
			after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			if response.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 || response.Close {
				t.Errorf("status %d, Retry-After %q, closes %v", response.StatusCode, response.Header.Get("Retry-After"), response.Close)
			}
		})
	}
	g.Eventually(func() int { mu.Lock(); defer mu.Unlock(); return refused + received() }).
		WithTimeout(10*time.Second).Should(Equal(requests), "no request waits until it is refused")
	small := make(chan answer, 1)
	go func() { small <- send(t, target, "/unsafe/x") }()
	g.Eventually(received).Should(Equal(requests-refused+1), "a small request is served beside them")
	close(release)
	group.Wait()
	g.Expect((<-small).status).To(Equal(200))
	g.Expect(answered).To(BeNumerically(">=", 4))
	g.Expect(received()).To(Equal(answered+1), "a refused request was not sent")
	// The limit is exceeded by what the garbage collector has not collected yet.
	g.Expect(stop()).To(BeNumerically("<", 3*limit))
}

// TestSlowUploadsCount guards against a bound that only counts bodies that have arrived whole, and against
// one that counts what was declared and not sent.
func TestSlowUploadsCount(t *testing.T) {
	const limit = 8 << 20
	g := NewWithT(t)
	release := make(chan struct{})
	close(release)
	_, target := startLargeBodyGateway(t, limit, release)
	var slow []*upload
	for range 8 {
		u := newUpload(t, target)
		g.Expect(u.writeHead(largeBodyBytes)).To(Succeed())
		slow = append(slow, u)
	}
	whole := newUpload(t, target)
	g.Expect(whole.writeRequest(largeBodyBytes)).To(Succeed())
	response, err := whole.read()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(200), "declared bodies that were not sent take no memory")

	for _, u := range slow[:5] {
		g.Expect(u.writeBody(largeBodyBytes / 4)).To(Succeed())
	}
	var refused *upload
	g.Eventually(func() bool {
		refused = newUpload(t, target)
		if err := refused.writeHead(largeBodyBytes); err != nil {
			return false
		}
		response, err := refused.readWithin(time.Second)
		return err == nil && response.StatusCode == http.StatusServiceUnavailable
	}).WithTimeout(10*time.Second).Should(BeTrue(), "the parts of slow uploads count, and the refusal does not wait for the body")
	g.Expect(refused.writeBody(largeBodyBytes)).To(Succeed())

	for _, u := range slow {
		_ = u.conn.Close()
	}
	g.Eventually(func() int {
		if err := refused.writeRequest(largeBodyBytes); err != nil {
			return 0
		}
		response, err := refused.read()
		if err != nil {
			return 0
		}
		return response.StatusCode
	}).WithTimeout(5*time.Second).Should(Equal(200), "the memory of a caller that left is free again")
}
