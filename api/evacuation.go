package api

import (
	"context"
	"net/http"
	"net/url"
	"time"
)

// EvacuatedDomain is a failure domain whose backend servers receive no further requests.
type EvacuatedDomain struct {
	Domain   string    `json:"domain"`
	Since    time.Time `json:"since"`
	Operator string    `json:"operator"`
}

// EvacuationList is the evacuated failure domains at a revision, which rises with each change. GET
// /apis/v1/evacuations returns it; PUT and DELETE /apis/v1/evacuations/{domain} order an evacuation
// and withdraw it, and return the list that results.
type EvacuationList struct {
	Revision uint64            `json:"revision"`
	Items    []EvacuatedDomain `json:"items"`
}

// EvacuationEvent is an event of GET /apis/v1/evacuations?watch=1, sent as one line of JSON. Its
// type is EventChange with the new list, EventHeartbeat or EventError.
type EvacuationEvent struct {
	Type     EventType         `json:"type"`
	Revision uint64            `json:"revision"`
	Items    []EvacuatedDomain `json:"items,omitempty"`
	Error    *Error            `json:"error,omitempty"`
}

// EvacuationChange is an order in the audit trail that changed the evacuated failure domains.
type EvacuationChange struct {
	Revision  uint64    `json:"revision"`
	Time      time.Time `json:"time"`
	Operator  string    `json:"operator"`
	RequestID string    `json:"requestId"`
	Verb      Verb      `json:"verb"`
	Domain    string    `json:"domain"`
}

// EvacuationTrail is the audit trail of the evacuations in ascending order of revision. GET
// /apis/v1/audit/evacuations returns it.
type EvacuationTrail struct {
	Items []EvacuationChange `json:"items"`
}

const evacuationsPath = "/apis/v1/evacuations"

// Evacuations returns the evacuated failure domains.
func (c *Client) Evacuations(ctx context.Context) (*EvacuationList, error) {
	out := &EvacuationList{}
	return out, c.call(ctx, http.MethodGet, evacuationsPath, "", nil, out)
}

// Evacuate orders that no further requests are sent to the servers of a failure domain, and
// returns the evacuated domains. An order that is in force already changes nothing.
func (c *Client) Evacuate(ctx context.Context, domain, requestID string) (*EvacuationList, error) {
	out := &EvacuationList{}
	return out, c.call(ctx, http.MethodPut, evacuationsPath+"/"+url.PathEscape(domain), requestID, nil, out)
}

// Reinstate withdraws the evacuation of a failure domain, and returns the evacuated domains.
func (c *Client) Reinstate(ctx context.Context, domain, requestID string) (*EvacuationList, error) {
	out := &EvacuationList{}
	return out, c.call(ctx, http.MethodDelete, evacuationsPath+"/"+url.PathEscape(domain), requestID, nil, out)
}

// EvacuationTrail returns the audit trail of the evacuations.
func (c *Client) EvacuationTrail(ctx context.Context) (*EvacuationTrail, error) {
	out := &EvacuationTrail{}
	return out, c.call(ctx, http.MethodGet, "/apis/v1/audit/evacuations", "", nil, out)
}

// WatchEvacuations calls handle with the current list, each later one and heartbeats. If a control
// instance fails or sends no event for 5 s, it continues at another instance, which sends its
// current list again. It returns when ctx ends, when handle fails, or with another error.
func (c *Client) WatchEvacuations(ctx context.Context, handle func(*EvacuationEvent) error) error {
	for i := 0; ; i++ {
		err := watchOne(ctx, c, c.bases[i%len(c.bases)]+evacuationsPath+"?watch=1", func(event *EvacuationEvent) error {
			if event.Type == EventError {
				return event.Error
			}
			return handle(event)
		})
		if !isRetryable(err) {
			return err
		}
		if !sleep(ctx, callRetryDelay) {
			return ctx.Err()
		}
	}
}
