package testcluster

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/api"
	"peridotwinch.example/peridotwinch/internal/fakebackend"
)

// Caller sends chats to routers and checks that each answer is whole.
type Caller struct {
	Token string
	HTTP  http.Client
}

// Ask sends a chat request to a router and returns the text of the answer,
// whether it came as a stream or in one piece.
func (c *Caller) Ask(ctx context.Context, router string, request *api.ChatRequest, headers http.Header) (string, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+"/v1/chat/completions", bytes.NewReader(raw))
	if err != nil {
		return "", err
	}
	if headers != nil {
		req.Header = headers.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return "", api.DecodeError(resp)
	}
	if request.Stream {
		return ReadStream(resp)
	}
	body := &api.ChatResponse{}
	if err := json.NewDecoder(resp.Body).Decode(body); err != nil {
		return "", errors.Wrap(err, "decode the answer")
	}
	return body.Choices[0].Message.Content, nil
}

// ReadStream reads a streamed answer up to its explicit end.
func ReadStream(resp *http.Response) (string, error) {
	var text strings.Builder
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == api.StreamEnd {
			// Reading on lets the next request use the connection.
			_, err := io.Copy(io.Discard, resp.Body)
			return text.String(), err
		}
		if err := addChunk(&text, data); err != nil {
			return text.String(), err
		}
	}
	return text.String(), errors.Errorf("the stream just stopped: %v", scanner.Err())
}

func addChunk(text *strings.Builder, data string) error {
	failure := &api.ErrorBody{}
	if err := json.Unmarshal([]byte(data), failure); err == nil && failure.Error != nil {
		return failure.Error
	}
	chunk := &api.ChatChunk{}
	if err := json.Unmarshal([]byte(data), chunk); err != nil {
		return errors.Wrap(err, "decode a chunk")
	}
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return nil
}

// AskVerified is Ask with the check that the answer is whole and the request's own.
func (c *Caller) AskVerified(ctx context.Context, router string, request *api.ChatRequest, headers http.Header) error {
	got, err := c.Ask(ctx, router, request, headers)
	if err != nil {
		return err
	}
	if want := strings.Join(fakebackend.ExpectedAnswer(request), ""); got != want {
		return errors.Errorf("the answer is not whole: got %q, want %q", got, want)
	}
	return nil
}
