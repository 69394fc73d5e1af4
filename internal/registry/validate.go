package registry

import (
	"net/netip"
	"time"
	"unicode/utf8"

	"peridotwinch.example/peridotwinch/api"
)

// Limits of an announcement. Every control replica keeps it and sends it to all routers.
const (
	maxNameBytes = 256
	maxModels    = 256
	maxSlots     = 1 << 20
	maxWarmup    = 24 * time.Hour
)

// Fields of a server in errors of Validate.
const (
	FieldID      = "id"
	FieldPool    = "pool"
	FieldAddress = "address"
	FieldDomain  = "domain"
	FieldVersion = "version"
	FieldSlots   = "slots"
	FieldWarmup  = "warmupLeft"
	FieldModels  = "models"
)

// Validate returns CodeAnnouncement with the field at fault unless routers can use the server.
func (s *Server) Validate() *api.Error {
	for _, field := range []struct {
		name, value string
		required    bool
	}{
		{FieldID, s.ID, true}, {FieldPool, s.Pool, true}, {FieldAddress, s.Address, true},
		{FieldDomain, s.Domain, false}, {FieldVersion, s.Version, false},
	} {
		if err := validateName(field.name, field.value, field.required); err != nil {
			return err
		}
	}
	if address, err := netip.ParseAddrPort(s.Address); err != nil || address.Port() == 0 {
		return api.FieldErrorf(api.CodeAnnouncement, FieldAddress, "%q is not an IP address with a port from 1 to 65535", s.Address)
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return api.FieldErrorf(api.CodeAnnouncement, FieldSlots, "%d is not between 1 and %d", s.Slots, maxSlots)
	}
	if s.WarmupLeft < 0 || s.WarmupLeft > maxWarmup {
		return api.FieldErrorf(api.CodeAnnouncement, FieldWarmup, "not between 0 and %v", maxWarmup)
	}
	if len(s.Models) > maxModels {
		return api.FieldErrorf(api.CodeAnnouncement, FieldModels, "%d models; the limit is %d", len(s.Models), maxModels)
	}
	for _, model := range s.Models {
		if err := validateName(FieldModels, model.Name, false); err != nil {
			return err
		}
	}
	return nil
}

// ValidateID returns CodeAnnouncement unless id is a valid server ID.
func ValidateID(id string) error {
	if err := validateName(FieldID, id, true); err != nil {
		return err
	}
	return nil
}

func validateName(field, value string, required bool) *api.Error {
	switch {
	case required && value == "":
		return api.FieldErrorf(api.CodeAnnouncement, field, "missing")
	case len(value) > maxNameBytes:
		return api.FieldErrorf(api.CodeAnnouncement, field, "%d bytes; the limit is %d", len(value), maxNameBytes)
	case !utf8.ValidString(value):
		return api.FieldErrorf(api.CodeAnnouncement, field, "%q is not valid UTF-8", value)
	}
	return nil
}
