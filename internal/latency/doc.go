// Package latency measures what the path through entry and agent costs, with real processes among stand-ins.
package latency
