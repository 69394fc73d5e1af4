// Package api holds the types that peridotwinch shares with its callers,
// backend servers and operators: result codes, resources, the chat and
// announcement protocols, and a Go client for the resource API.
package api

import "net/http"

// Code is a numbered result code. Codes are stable and never reused.
type Code int

// Result codes. The thousands digit is the area: 1 command line and settings, 2 resource API,
// 3 callers' requests, 4 announcements, backend servers and load.
const (
	CodeOK               Code = 0
	CodeInternal         Code = 1000
	CodeSettingsInvalid  Code = 1001
	CodeAddressInUse     Code = 1002
	CodeChartInvalid     Code = 1003
	CodeUsage            Code = 1004
	CodeUnreachable      Code = 1005
	CodeDataDamaged      Code = 1006
	CodeKindUnknown      Code = 2001
	CodeResourceNotFound Code = 2002
	CodeResourceInvalid  Code = 2003
	CodeVersionConflict  Code = 2004
	CodeNameTaken        Code = 2005
	CodeNameAmbiguous    Code = 2006
	CodeRevisionGone     Code = 2007
	CodeNoQuorum         Code = 2008
	CodeRequestIDReused  Code = 2010
	CodeReferenceMissing Code = 2011
	CodeStillReferenced  Code = 2012
	CodeRouteTable       Code = 2013
	CodeDomainUnknown    Code = 2014
	CodeWithdrawalsFull  Code = 2015
	CodeCustomerMissing  Code = 3001
	CodeCustomerUnknown  Code = 3002
	CodeModelUnknown     Code = 3003
	CodeRequestInvalid   Code = 3004
	CodeNoBackendServer  Code = 3005
	CodeOverloaded       Code = 3006
	CodeBackendFailed    Code = 3007
	CodeStreamBroken     Code = 3008
	CodeDraining         Code = 3009
	CodeClaimUnavailable Code = 3010
	CodeClaimLost        Code = 3011
	CodeKeyExpired       Code = 3012
	CodeKeyReused        Code = 3013
	CodeTimeout          Code = 3014
	CodePoolUnknown      Code = 3015
	CodeNotConfigured    Code = 3016
	CodeRouteUnknown     Code = 3017
	CodeKeyUnknown       Code = 3018
	CodeTooLarge         Code = 3019
	CodeLedgerMajority   Code = 3020
	CodeLedgerView       Code = 3021
	CodeLedgerChange     Code = 3022
	CodeLedgerMember     Code = 3023
	CodeLedgerNoMajority Code = 3024
	CodeDrainCut         Code = 3030
	CodeAnswerNotKept    Code = 3031
	CodePromptWithheld   Code = 3032
	CodeDomainEvacuated  Code = 3033
	CodeMemoryExhausted  Code = 3034
	CodeAnnouncement     Code = 4001
	CodeAnnouncementOld  Code = 4002
	CodeFencingTokenOld  Code = 4010
	CodeLoadMixInvalid   Code = 4011
	CodeLoadNotWhole     Code = 4012
)

// Exit codes of the command line.
const (
	ExitOK              = 0
	ExitFailure         = 1
	ExitUsage           = 2
	ExitSettingsInvalid = 3
	ExitRefused         = 4
	ExitUnreachable     = 5
	ExitAddressInUse    = 6
	ExitDataDamaged     = 7
)

// CodeInfo describes a result code: its name, HTTP status, exit code and meaning.
type CodeInfo struct {
	Code       Code
	Name       string
	HTTPStatus int
	ExitCode   int
	Meaning    string
}

// Codes lists every result code in ascending order. A test checks docs/RESULT-CODES.md
// against it.
var Codes = []CodeInfo{
	{CodeOK, "ok", http.StatusOK, ExitOK, "The request succeeded."},
	{CodeInternal, "internal", http.StatusInternalServerError, ExitFailure, "An unexpected failure; the log has the cause."},
	{CodeSettingsInvalid, "settings_invalid", http.StatusBadRequest, ExitSettingsInvalid, "The settings file is not valid; each error names its field."},
	{CodeAddressInUse, "address_in_use", http.StatusConflict, ExitAddressInUse, "A listen address is in use by another process."},
	{CodeChartInvalid, "chart_invalid", http.StatusInternalServerError, ExitFailure, "A state chart is not valid."},
	{CodeUsage, "usage", http.StatusBadRequest, ExitUsage, "The command line is not valid."},
	{CodeUnreachable, "unreachable", http.StatusBadGateway, ExitUnreachable, "The daemon does not answer."},
	{CodeDataDamaged, "data_damaged", http.StatusInternalServerError, ExitDataDamaged, "A file under the data directory is damaged; the daemon does not start on it."},
	{CodeKindUnknown, "kind_unknown", http.StatusNotFound, ExitRefused, "The kind of resource does not exist."},
	{CodeResourceNotFound, "resource_not_found", http.StatusNotFound, ExitRefused, "No resource of this kind has this name."},
	{CodeResourceInvalid, "resource_invalid", http.StatusUnprocessableEntity, ExitRefused, "A field of the resource is not valid."},
	{CodeVersionConflict, "version_conflict", http.StatusConflict, ExitRefused, "The resource has changed since the given resourceVersion."},
	{CodeNameTaken, "name_taken", http.StatusConflict, ExitRefused, "Another resource of this kind has this name in this scheme."},
	{CodeNameAmbiguous, "name_ambiguous", http.StatusConflict, ExitRefused, "A bare name exists in more than one scheme; use scheme:name."},
	{CodeRevisionGone, "revision_gone", http.StatusGone, ExitRefused, "The watch revision has been compacted; list again and watch from there."},
	{CodeNoQuorum, "no_quorum", http.StatusServiceUnavailable, ExitRefused, "The control replicas have no quorum; retry with the same request ID."},
	{CodeRequestIDReused, "request_id_reused", http.StatusUnprocessableEntity, ExitRefused, "The request ID was used before for another write."},
	{CodeReferenceMissing, "reference_missing", http.StatusUnprocessableEntity, ExitRefused, "The resource refers to another one that does not exist."},
	{CodeStillReferenced, "still_referenced", http.StatusConflict, ExitRefused, "Another resource refers to this one by a name that the change would remove."},
	{CodeRouteTable, "route_table_invalid", http.StatusBadRequest, ExitRefused, "A field of the route table is not valid; the current table remains in force."},
	{CodeDomainUnknown, "domain_unknown", http.StatusNotFound, ExitRefused, "No failure domain has this name; the message lists the known ones."},
	{CodeWithdrawalsFull, "withdrawals_full", http.StatusServiceUnavailable, ExitRefused, "Too many backend servers that the control replica does not know have withdrawn; retry at another one."},
	{CodeCustomerMissing, "customer_missing", http.StatusUnauthorized, ExitRefused, "The request carries no bearer token."},
	{CodeCustomerUnknown, "customer_unknown", http.StatusUnauthorized, ExitRefused, "The bearer token belongs to no customer."},
	{CodeModelUnknown, "model_unknown", http.StatusNotFound, ExitRefused, "No intent, model version or pool has the requested name."},
	{CodeRequestInvalid, "request_invalid", http.StatusBadRequest, ExitRefused, "A field of the request is not valid."},
	{CodeNoBackendServer, "no_backend_server", http.StatusServiceUnavailable, ExitRefused, "No backend server of the pool can accept the request."},
	{CodeOverloaded, "overloaded", http.StatusTooManyRequests, ExitRefused, "No slot became free within the queue timeout, or the queue is full."},
	{CodeBackendFailed, "backend_failed", http.StatusBadGateway, ExitRefused, "The backend server failed; the outcome field reports whether the request may have run."},
	{CodeStreamBroken, "stream_broken", http.StatusBadGateway, ExitRefused, "The stream broke and could not be resumed."},
	{CodeDraining, "draining", http.StatusServiceUnavailable, ExitRefused, "The daemon is shutting down and accepts no new requests."},
	{CodeClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, ExitRefused, "The ledger replicas have no quorum; retry with the same key."},
	{CodeClaimLost, "claim_lost", http.StatusConflict, ExitRefused, "Another attempt holds the key and its outcome is unknown."},
	{CodeKeyExpired, "key_expired", http.StatusConflict, ExitRefused, "The request key was minted in another generation of its ledger group, or is too old."},
	{CodeKeyReused, "key_reused", http.StatusUnprocessableEntity, ExitRefused, "The key was used before with another request."},
	{CodeTimeout, "timeout", http.StatusGatewayTimeout, ExitRefused, "The backend server made no progress within the timeout."},
	{CodePoolUnknown, "pool_unknown", http.StatusNotFound, ExitRefused, "No pool of plain services has this name."},
	{CodeNotConfigured, "not_configured", http.StatusServiceUnavailable, ExitRefused, "The router has no configuration yet."},
	{CodeRouteUnknown, "route_unknown", http.StatusNotFound, ExitRefused, "No route matches the host and a prefix of the path."},
	{CodeKeyUnknown, "key_unknown", http.StatusUnauthorized, ExitRefused, "The request carries no key, or a key that belongs to no customer."},
	{CodeTooLarge, "too_large", http.StatusRequestEntityTooLarge, ExitRefused, "The body is larger than the route table's limit."},
	{CodeLedgerMajority, "ledger_has_majority", http.StatusConflict, ExitRefused, "A majority of the group's ledger replicas is active; the others recover by themselves."},
	{CodeLedgerView, "ledger_view_differs", http.StatusServiceUnavailable, ExitRefused, "The shards or members in the settings differ from those with which the ledger group was formed; the request may have run."},
	{CodeLedgerChange, "ledger_change_pending", http.StatusConflict, ExitRefused, "Another membership change of the group is in progress or was committed first; complete it by running its own command again."},
	{CodeLedgerMember, "ledger_member_invalid", http.StatusUnprocessableEntity, ExitRefused, "The member to replace is not in the group, or the new one already is, or the new one has no empty ledger replica."},
	{CodeLedgerNoMajority, "ledger_no_majority", http.StatusServiceUnavailable, ExitUnreachable, "No majority of the group's old members is active; no change was committed; run the command again."},
	{CodeDrainCut, "drain_cut", http.StatusServiceUnavailable, ExitFailure, "The shutdown aborted requests in progress."},
	{CodeAnswerNotKept, "answer_not_kept", http.StatusConflict, ExitRefused, "The request ran; its answer was too large to be stored for retries."},
	{CodePromptWithheld, "prompt_withheld", http.StatusServiceUnavailable, ExitRefused, "Backend servers have ended one after the other while they began to answer prompts with one part of this prompt; it is not sent to further ones until the time in Retry-After."},
	{CodeDomainEvacuated, "domain_evacuated", http.StatusServiceUnavailable, ExitRefused, "All backend servers that could accept the request are in evacuated failure domains."},
	{CodeMemoryExhausted, "memory_exhausted", http.StatusServiceUnavailable, ExitRefused, "The requests in progress hold as many bytes as the router keeps for them; this one was not sent to a backend server."},
	{CodeAnnouncement, "announcement_invalid", http.StatusBadRequest, ExitRefused, "A field of the announcement is not valid."},
	{CodeAnnouncementOld, "announcement_old", http.StatusConflict, ExitRefused, "The backend server leaves, but a later announcement that it is ready is known; it goes on receiving requests."},
	{CodeFencingTokenOld, "fencing_token_old", http.StatusConflict, ExitRefused, "The order carries a fencing token below the highest that the backend server has seen."},
	{CodeLoadMixInvalid, "load_mix_invalid", http.StatusBadRequest, ExitSettingsInvalid, "A field of the load description is not valid."},
	{CodeLoadNotWhole, "load_not_whole", http.StatusInternalServerError, ExitFailure, "An answer under load was truncated or did not belong to its request."},
}

// Info returns the description of c, or that of CodeInternal for an unlisted code.
func (c Code) Info() CodeInfo {
	for _, info := range Codes {
		if info.Code == c {
			return info
		}
	}
	return CodeInternal.Info()
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }
