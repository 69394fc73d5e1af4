package proxy

import "github.com/VictoriaMetrics/metrics"

var (
	lateAnswers           = metrics.NewCounter("peridotwinch_late_answers_total")
	unmatchedAnswers      = metrics.NewCounter("peridotwinch_unmatched_answers_total")
	connectionsOpened     = metrics.NewCounter("peridotwinch_backend_connections_opened_total")
	retries               = metrics.NewCounter("peridotwinch_retries_total")
	streamResumes         = metrics.NewCounter("peridotwinch_stream_resumes_total")
	retryBudgetExhausted  = metrics.NewCounter("peridotwinch_retry_budget_exhausted_total")
	progressTimeouts      = metrics.NewCounter("peridotwinch_progress_timeouts_total")
	canceledRequests      = metrics.NewCounter("peridotwinch_canceled_requests_total")
	claimCompleteFailures = metrics.NewCounter("peridotwinch_claim_complete_failures_total")
	shutdownCutRequests   = metrics.NewCounter("peridotwinch_shutdown_cut_requests_total")
)
