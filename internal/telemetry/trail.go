package telemetry

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	trailBefore = 3 * time.Second // before the request's first line, in which changes of belief are shown
	trailAfter  = time.Second     // after its last line
	maxLine     = 1 << 20         // bytes of a log line
)

// trailKinds are the messages that are shown around a request, whatever their id: what a process believed, or lost.
var trailKinds = map[string]bool{
	"started": true, "leaving": true, "stopped": true, "settings reloaded": true, "new settings refused, the old ones stay": true,
	"configuration in force": true, "evacuation": true, "backend server": true, "backend server's entry is gone": true,
	"backend server replaced": true, "backend server forgotten": true, "store lost": true, "store reached again": true,
	"peer silent": true, "peer heard": true, "belief taken from a peer": true, "map proposed": true, "map switch ended": true,
	"this process directs the group": true, "lines left out": true,
}

// TrailLine is one log line of a trail.
type TrailLine struct {
	Time    time.Time // by the clock of the first process that saw the request
	Process string
	Message string
	Own     bool // it is about the request itself
	Fields  map[string]any
}

// ReadLog reads log lines; what precedes a line's first brace is passed over, lines that are none are counted.
func ReadLog(r io.Reader) (lines []TrailLine, other int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		content := scanner.Bytes()
		var fields map[string]any
		start := bytes.IndexByte(content, '{')
		if start < 0 || unmarshal(content[start:], &fields) != nil {
			other++
			continue
		}
		l := TrailLine{Fields: fields, Message: text(fields["msg"]), Process: text(fields["name"])}
		if l.Time, err = time.Parse(time.RFC3339Nano, text(fields["ts"])); err != nil {
			other++
			continue
		}
		lines = append(lines, l)
	}
	return lines, other, errors.Wrap(scanner.Err(), "read log")
}

// unmarshal keeps numbers as they were written: versions are longer than a float shows.
func unmarshal(content []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	return decoder.Decode(into)
}

// number returns the value of a field that holds a number.
func number(v any) (value float64, ok bool) {
	n, ok := v.(json.Number)
	if !ok {
		return 0, false
	}
	value, err := n.Float64()
	return value, err == nil
}

func text(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// Trail returns what the lines tell of the request, in order: its own lines, and what the processes came to believe
// shortly before it ended. The clocks of processes are compared by the changes that they saw at the same revision.
func Trail(lines []TrailLine, id string) (trail []TrailLine) {
	var own []TrailLine
	for _, l := range lines {
		if text(l.Fields["id"]) == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	offsets := clockOffsets(lines, own[0].Process)
	first, last := own[0].Time.Add(-offsets[own[0].Process]), own[0].Time
	for _, l := range own {
		moment := l.Time.Add(-offsets[l.Process])
		if took, ok := number(l.Fields["took"]); ok {
			moment = moment.Add(-time.Duration(took) * time.Millisecond)
		}
		if moment.Before(first) {
			first = moment
		}
		if end := l.Time.Add(-offsets[l.Process]); end.After(last) {
			last = end
		}
	}
	for _, l := range lines {
		l.Own = text(l.Fields["id"]) == id
		l.Time = l.Time.Add(-offsets[l.Process])
		near := l.Time.After(first.Add(-trailBefore)) && l.Time.Before(last.Add(trailAfter))
		if l.Own || (near && (trailKinds[l.Message] || concerns(l, own))) {
			trail = append(trail, l)
		}
	}
	slices.SortStableFunc(trail, func(a, b TrailLine) int { return a.Time.Compare(b.Time) })
	return trail
}

// concerns tells whether a load line is of the service and the process of the request.
func concerns(l TrailLine, own []TrailLine) bool {
	return l.Message == "load" && slices.ContainsFunc(own, func(o TrailLine) bool {
		return o.Process == l.Process && text(o.Fields["service"]) == text(l.Fields["service"])
	})
}

// clockOffsets returns how far the clock of each process is ahead of the given one's, 0 where nothing tells.
func clockOffsets(lines []TrailLine, process string) map[string]time.Duration {
	type change struct {
		message, server string
		revision        float64
	}
	seen := make(map[change]map[string]time.Time)
	for _, l := range lines {
		revision, ok := number(l.Fields["revision"])
		if !ok || (l.Message != "configuration in force" && l.Message != "backend server" && l.Message != "evacuation") {
			continue
		}
		c := change{l.Message, text(l.Fields["server"]), revision}
		if seen[c] == nil {
			seen[c] = make(map[string]time.Time)
		}
		seen[c][l.Process] = l.Time
	}
	differences := make(map[string][]time.Duration)
	for _, moments := range seen {
		own, known := moments[process]
		if !known {
			continue
		}
		for other, moment := range moments {
			differences[other] = append(differences[other], moment.Sub(own))
		}
	}
	offsets := make(map[string]time.Duration)
	for other, spans := range differences {
		slices.Sort(spans)
		offsets[other] = spans[len(spans)/2]
	}
	return offsets
}

// WriteTrail writes a trail as a table; times are in ms from the request's first line.
func WriteTrail(w io.Writer, trail []TrailLine) (err error) {
	start := slices.IndexFunc(trail, func(l TrailLine) bool { return l.Own })
	if start < 0 {
		return nil
	}
	for _, l := range trail {
		mark := " "
		if l.Own {
			mark = "*"
		}
		var fields []string
		for _, name := range slices.SortedFunc(maps.Keys(l.Fields), cmp.Compare[string]) {
			switch name {
			case "msg", "name", "ts", "level", "role", "id":
				continue
			}
			fields = append(fields, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
		since := float64(l.Time.Sub(trail[start].Time)) / float64(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%s %9.1f %-24s %s  %s\n", mark, since, l.Process, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
