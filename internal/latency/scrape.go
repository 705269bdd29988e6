package latency

import (
	"bufio"
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/operator"
	"carawaypick/internal/standin/fleet"
)

// Metrics of a process that the measurements read.
const (
	processorSeconds = "process_cpu_seconds_total"
	residentBytes    = "process_resident_memory_bytes"
	allocatedBytes   = "go_memstats_alloc_bytes_total"
)

// scrape returns the metrics of a process by name.
func scrape(p *fleet.Process) (values map[string]float64, err error) {
	defer func() { err = errors.Wrapf(err, "read metrics of %s", p.Settings.Name) }()
	status, content, err := fasthttp.Get(nil, "http://"+p.Settings.Listen+operator.PathMetrics)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Newf("status %d", status)
	}
	values = map[string]float64{}
	for lines := bufio.NewScanner(bytes.NewReader(content)); lines.Scan(); {
		name, text, found := strings.Cut(lines.Text(), " ")
		if !found || strings.ContainsAny(name, "#{") {
			continue
		}
		values[name], err = strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, err
		}
	}
	return values, nil
}

// usage is what a process used between two moments.
type usage struct {
	processor float64 // seconds
	allocated float64 // bytes
	resident  float64 // bytes at the end
}

// use runs what and returns what each process used meanwhile.
func use(processes []*fleet.Process, what func() error) (used []usage, err error) {
	before, err := scrapeAll(processes)
	if err != nil {
		return nil, err
	}
	if err := what(); err != nil {
		return nil, err
	}
	after, err := scrapeAll(processes)
	if err != nil {
		return nil, err
	}
	for i := range after {
		used = append(used, usage{
			processor: after[i][processorSeconds] - before[i][processorSeconds],
			allocated: after[i][allocatedBytes] - before[i][allocatedBytes],
			resident:  after[i][residentBytes],
		})
	}
	return used, nil
}

func scrapeAll(processes []*fleet.Process) (all []map[string]float64, err error) {
	for _, p := range processes {
		values, err := scrape(p)
		if err != nil {
			return nil, err
		}
		all = append(all, values)
	}
	return all, nil
}
