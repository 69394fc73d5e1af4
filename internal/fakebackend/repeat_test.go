package fakebackend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"peridotwinch.example/peridotwinch/api"
)

func TestRepeatingServerSendsTheAnswerAgainBeforeTheNextOne(t *testing.T) {
	s := start(t, Config{RepeatAnswers: true})
	conn, err := net.Dial("tcp", s.Address())
	s.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	expectAnswerTo := func(sendID string) {
		resp, err := http.ReadResponse(answers, nil)
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(resp.Header.Get(api.HeaderSendID)).To(Equal(sendID))
		s.g.Expect(resp.Body.Close()).To(Succeed())
	}
	send := func(sendID string) {
		_, err := fmt.Fprintf(conn, "GET /a HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", api.HeaderSendID, sendID)
		s.g.Expect(err).NotTo(HaveOccurred())
	}
	send("1")
	expectAnswerTo("1")
	send("2")
	expectAnswerTo("1")
	expectAnswerTo("2")
	send("3")
	expectAnswerTo("2")
	expectAnswerTo("3")
}
