// Package latency measures the overhead of the path through entry and agent, with real processes and fake services.
package latency
