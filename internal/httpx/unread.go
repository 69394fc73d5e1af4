package httpx

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// discardTimeout bounds the time for which the rest of a refused body is read.
const discardTimeout = 2 * time.Second

// AnswerUnread sends an answer to a request whose body was not read to its end, and then discards the
// rest of the body. A client that is still sending could otherwise lose the answer: a connection that
// is closed with unread bytes is reset.
func AnswerUnread(w http.ResponseWriter, r *http.Request, write func()) error {
	controller := http.NewResponseController(w)
	// Without full duplex, the server reads the rest of a small body before it sends the answer, and
	// closes the connection of a large one.
	if err := controller.EnableFullDuplex(); err != nil {
		return errors.Wrap(err, "enable full duplex")
	}
	write()
	if err := controller.Flush(); err != nil {
		return errors.Wrap(err, "send the answer")
	}
	if err := controller.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return errors.Wrap(err, "set the deadline of the rest of the body")
	}
	_, err := io.Copy(io.Discard, r.Body)
	return errors.Wrap(err, "discard the rest of the body")
}
