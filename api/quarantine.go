package api

import "time"

// QuarantinedPart is a prompt part that routers withhold from backend servers. GET
// /apis/v1/quarantine returns the list; DELETE /apis/v1/quarantine/{pool}/{part} releases one.
type QuarantinedPart struct {
	Pool string `json:"pool"`
	// Part is the ID of the part, in hexadecimal digits.
	Part string `json:"part"`
	// Servers is the number of backend servers that ended while they began to answer prompts
	// with the part.
	Servers    int       `json:"servers"`
	LastLostAt time.Time `json:"lastLostAt"`
}
