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

// Names of the process metrics that the measurements read.
const (
	cpuMetric       = "process_cpu_seconds_total"
	residentMetric  = "process_resident_memory_bytes"
	allocatedMetric = "go_memstats_alloc_bytes_total"
)

// scrape returns the values of a process's metrics without labels, by name.
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

// usage is the resource usage of a process over a period.
type usage struct {
	cpuSeconds     float64
	allocatedBytes float64
	residentBytes  float64 // at the end of the period
}

// measureUsage calls run and returns the usage of each process during the call.
func measureUsage(processes []*fleet.Process, run func() error) (used []usage, err error) {
	before, err := scrapeAll(processes)
	if err != nil {
		return nil, err
	}
	if err := run(); err != nil {
		return nil, err
	}
	after, err := scrapeAll(processes)
	if err != nil {
		return nil, err
	}
	for i := range after {
		used = append(used, usage{
			cpuSeconds:     after[i][cpuMetric] - before[i][cpuMetric],
			allocatedBytes: after[i][allocatedMetric] - before[i][allocatedMetric],
			residentBytes:  after[i][residentMetric],
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
