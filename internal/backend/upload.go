package backend

import (
	"io"
	"time"
)

// uploadEndTimeout bounds the wait for the end of the upload once an answer without a length has
// ended: the server either reads the rest of the body by then, or resets the connection.
const uploadEndTimeout = time.Second

// upload is the write of a request's body beside the read of the answer.
type upload struct {
	done chan struct{}
	// err is valid once done is closed.
	err error
}

// startUpload writes the body to the connection.
func startUpload(connection io.Writer, body []byte) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		_, u.err = connection.Write(body)
		close(u.done)
	}()
	return u
}

// hasSucceeded reports whether the whole body was written, waiting for its end for up to a time. A nil
// upload stands for a body that was written before the answer was read.
func (u *upload) hasSucceeded(wait time.Duration) bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
	}
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
		return false
	}
}

// unframedBody is the body of an answer that ends with its connection, received during an upload. A
// reset is reported to the read or to the write, whichever comes first, and the other one then sees an
// ordinary end. So the answer is complete only if the upload succeeded.
type unframedBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF at the end of the connection if the
// upload failed.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.upload.hasSucceeded(uploadEndTimeout) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
