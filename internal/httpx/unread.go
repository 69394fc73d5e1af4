package httpx

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxDiscardTime bounds the time for which the rest of a refused body is read, as a bound for
	// clients without a deadline.
	maxDiscardTime = 30 * time.Second
	// lingerTime and lingerBytes bound what is read of a connection whose body cannot be decoded, so
	// that the client receives the answer before the connection ends.
	lingerTime  = time.Second
	lingerBytes = 1 << 20
)

// AnswerUnread sends an answer to a request whose body was not read to its end, and then discards the
// rest of the body until the client's deadline, if it is known. A client that is still sending could
// otherwise lose the answer: a connection that is closed with unread bytes is reset. If the rest cannot
// be read to its end, AnswerUnread closes the connection and returns the cause: what follows would be
// taken for a request.
func AnswerUnread(w http.ResponseWriter, r *http.Request, deadline time.Time, write func()) error {
	controller := http.NewResponseController(w)
	// Without full duplex, the server reads the rest of a small body before it sends the answer, and
	// closes the connection of a large one.
	if err := controller.EnableFullDuplex(); err != nil {
		return errors.Wrap(err, "enable full duplex")
	}
	write()
	if err := controller.Flush(); err != nil {
		closeAfterAnswer(controller)
		return errors.Wrap(err, "send the answer")
	}
	end := time.Now().Add(maxDiscardTime)
	if !deadline.IsZero() && deadline.Before(end) {
		end = deadline
	}
	if err := controller.SetReadDeadline(end); err != nil {
		closeAfterAnswer(controller)
		return errors.Wrap(err, "set the deadline of the rest of the body")
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		closeAfterAnswer(controller)
		return errors.Wrap(err, "discard the rest of the body")
	}
	return nil
}

// closeAfterAnswer closes the connection of an answer that was sent. It first ends the answer's
// direction and discards what the client sends, so that the client is not reset before it has read the
// answer.
func closeAfterAnswer(controller *http.ResponseController) {
	conn, _, err := controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	if conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.CopyN(io.Discard, conn, lingerBytes)
	}
}
