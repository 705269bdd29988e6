package demo

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaypick/internal/standin"
)

// Range and precision of the histograms of times.
const (
	minMillis         = 1
	maxMillis         = 60_000
	significantDigits = 3
)

func (d *runner) printf(format string, arguments ...any) {
	fmt.Fprintf(d.options.Output, format, arguments...)
}

// report prints the result of each request and returns the number of wrong responses plus the number of engines that crashed
// by overload.
func (d *runner) report() (failures int) {
	firstEventTimes := hdrhistogram.New(minMillis, maxMillis, significantDigits)
	durations := hdrhistogram.New(minMillis, maxMillis, significantDigits)
	ranOnce := 0
	for i, r := range d.requests {
		result := d.results[i]
		d.printLine(r, result)
		if len(result.failures) > 0 {
			failures++
			continue
		}
		if !r.Idempotent {
			ranOnce++
		}
		_ = firstEventTimes.RecordValue(int64(result.call.TimeToFirstEvent))
		_ = durations.RecordValue(int64(result.call.Duration))
	}
	d.printf("%d of %d responses are complete and belong to their requests; %d non-idempotent requests ran exactly once each by the records of the services\n",
		len(d.requests)-failures, len(d.requests), ranOnce)
	d.printf("first event or response: median %d ms, p95 %d ms; complete: median %d ms, p95 %d ms\n",
		firstEventTimes.ValueAtQuantile(50), firstEventTimes.ValueAtQuantile(95), durations.ValueAtQuantile(50), durations.ValueAtQuantile(95))
	d.printf("configuration service: %d reads\n", d.fleet.Tickets.Calls().Calls)
	for name, e := range d.fleet.Engines {
		if record := e.Record(); record.OverloadCrashes > 0 {
			d.printf("%s crashed %d times by overload\n", name, record.OverloadCrashes)
			failures++
		}
	}
	return failures
}

func (d *runner) printLine(r Request, result requestResult) {
	status := "ok"
	if len(result.failures) > 0 {
		status = "WRONG: " + strings.Join(result.failures, "; ")
	}
	d.printf("%-8s %-13s %-34s attempt %d, %3d events, %4d ms  %s  %s\n",
		r.Service, r.Team, shorten(r.Path, 34), result.call.Attempt, result.call.Events, result.call.Duration, shorten(d.displayText(r, result.call), maxTextRunes), status)
}

// displayText returns the text of a result as it is printed.
func (d *runner) displayText(r Request, call standin.CallResult) string {
	if call.Outcome != standin.Complete || d.models[r.Service] {
		return call.Text
	}
	return strings.TrimSpace(call.Text)
}

func shorten(text string, limit int) string {
	runes := []rune(text)
	if len(runes) <= limit {
		return text
	}
	return string(runes[:limit-1]) + "…"
}
