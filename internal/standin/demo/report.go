package demo

import (
	"fmt"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawaypick/internal/standin"
)

// Bounds of the histogram of times in ms.
const (
	lowestSpan  = 1
	highestSpan = 60_000
	digits      = 3
)

func (d *demonstration) printf(format string, arguments ...any) {
	fmt.Fprintf(d.options.Output, format, arguments...)
}

// report prints what each caller got and returns the number of wrong answers.
func (d *demonstration) report() (faults int) {
	first := hdrhistogram.New(lowestSpan, highestSpan, digits)
	all := hdrhistogram.New(lowestSpan, highestSpan, digits)
	once := 0
	for i, r := range d.requests {
		got := d.results[i]
		d.printLine(r, got)
		if len(got.faults) > 0 {
			faults++
			continue
		}
		if !r.Idempotent {
			once++
		}
		_ = first.RecordValue(int64(got.answer.First))
		_ = all.RecordValue(int64(got.answer.All))
	}
	d.printf("%d of %d answers are whole and their callers' own; %d requests that may not be repeated ran once each by the record of the services\n",
		len(d.requests)-faults, len(d.requests), once)
	d.printf("first event or answer: median %d ms, p95 %d ms; whole: median %d ms, p95 %d ms\n",
		first.ValueAtQuantile(50), first.ValueAtQuantile(95), all.ValueAtQuantile(50), all.ValueAtQuantile(95))
	d.printf("configuration service: %d reads\n", d.fleet.Tickets.Calls().Calls)
	for name, e := range d.fleet.Engines {
		if record := e.Record(); record.Overload > 0 {
			d.printf("%s fell over %d times\n", name, record.Overload)
			faults++
		}
	}
	return faults
}

func (d *demonstration) printLine(r Request, got result) {
	verdict := "ok"
	if len(got.faults) > 0 {
		verdict = "WRONG: " + strings.Join(got.faults, "; ")
	}
	d.printf("%-8s %-13s %-34s attempt %d, %3d events, %4d ms  %s  %s\n",
		r.Service, r.Team, shorten(r.Path, 34), got.answer.Attempt, got.answer.Events, got.answer.All, shorten(d.shown(r, got.answer), shownRunes), verdict)
}

// shown returns the part of an answer that is printed.
func (d *demonstration) shown(r Request, answer standin.Answer) string {
	if answer.Outcome != standin.Whole || d.models[r.Service] {
		return answer.Text
	}
	return strings.TrimSpace(answer.Text)
}

func shorten(text string, limit int) string {
	runes := []rune(text)
	if len(runes) <= limit {
		return text
	}
	return string(runes[:limit-1]) + "…"
}
