package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"peridotwinch.example/peridotwinch/internal/placement"
)

// logAttempt returns a log event with the server of the last send and the reason for
// choosing it.
func (c *call) logAttempt(lease *lease) *zerolog.Event {
	line := c.log(zerolog.InfoLevel).Str("server", lease.id).Str("address", lease.address).Int("sends", c.sends).
		Str("choice", string(lease.choice.Reason)).Float64("load", lease.choice.Load).
		Dur("took", time.Since(lease.sentAt))
	if lease.choice.Age >= 0 {
		line = line.Dur("loadAge", lease.choice.Age)
	}
	if lease.choice.Leaving+lease.choice.Paused > 0 {
		line = line.Int("leaving", lease.choice.Leaving).Int("paused", lease.choice.Paused)
	}
	if lease.choice.Evacuated > 0 {
		line = line.Int("evacuated", lease.choice.Evacuated)
	}
	line = logLimits(line, lease.choice)
	if c.aloneReason != "" {
		line = line.Str("alone", c.aloneReason)
	}
	if len(c.in.PromptParts) > 0 {
		line = addPromptClass(line, lease.choice).Str("promptKey", promptKey(c.in.PromptParts)).Str("parts", promptPartIDs(c.in.PromptParts)).
			Int("tokens", totalTokens(c.in.PromptParts)).Str("copyFrom", lease.copyFrom)
	}
	return line
}

// logLimits adds the numbers of servers that were left out of a choice for limits.
func logLimits(line *zerolog.Event, choice placement.Choice) *zerolog.Event {
	if choice.RateUsedUp > 0 {
		line = line.Int("rateUsedUp", choice.RateUsedUp)
	}
	if choice.WarmingUp > 0 {
		line = line.Int("warmingUp", choice.WarmingUp)
	}
	return line
}
