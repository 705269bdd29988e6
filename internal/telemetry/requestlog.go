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
	contextBefore = 3 * time.Second // context lines are included from this long before the request starts
	contextAfter  = time.Second     // context lines are included until this long after the last line of the request
	maxLineBytes  = 1 << 20         // longest log line in bytes
)

// contextMessages are the messages of the context lines, which RequestLog includes whatever their id: start and end of
// processes, and changes of configuration, backend servers and their rates, peers, the store and expert maps.
var contextMessages = map[string]bool{
	"started": true, "leaving": true, "stopped": true, "settings reloaded": true, "new settings refused, the old ones stay": true,
	"evacuation": true, "backend server": true, "backend server's entry is gone": true,
	"registrations name one address": true, "registration of a backend server that answers was written over, keeping it": true,
	"backend server replaced": true, "backend server forgotten": true, "backend server limits its rate": true,
	"backend server leaves": true, "backend server wants no requests for a time": true, "no map could be planned; trying again with the next counts": true,
	"peer silent": true, "peer heard": true, "belief taken from a peer": true, "map proposed": true, "map switch ended": true,
	"this process directs the group": true, "lines left out": true, "record was not written again, following the store": true,
	"configuration was written again": true, "joined": true,
}

// progressMessages are the messages that tell what a process has read from the store, and what it dropped. RequestLog
// includes the last of each before the request, however long ago: they explain an outdated configuration.
var progressMessages = map[string]bool{
	"configuration in force": true, "configuration is not newer than the current one, ignoring it": true,
	"store came back from a copy": true, "store has an older record than the one in force, keeping the newer": true,
	"records are older than the state, dropping them": true, "changes are of another era than the state, dropping them": true,
	"change is not newer than the state, dropping it": true, "store does not have the changes since this position, reading all records": true,
	"store lost": true, "store reached": true, "state is not confirmed, reading the store": true,
}

// LogLine is one log line of a process.
type LogLine struct {
	Time    time.Time // on the clock of Process; in the result of RequestLog, on the clock of the process with the first line of the request in the input
	Process string
	Message string
	Own     bool // the line has the id of the request
	Fields  map[string]any
}

// ReadLog parses JSON log lines, ignoring any prefix before the first brace, and counts the lines that cannot be parsed.
func ReadLog(r io.Reader) (lines []LogLine, unparsed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		content := scanner.Bytes()
		var fields map[string]any
		start := bytes.IndexByte(content, '{')
		if start < 0 || unmarshalNumbers(content[start:], &fields) != nil {
			unparsed++
			continue
		}
		l := LogLine{Fields: fields, Message: stringValue(fields["msg"]), Process: stringValue(fields["name"])}
		if l.Time, err = time.Parse(time.RFC3339Nano, stringValue(fields["ts"])); err != nil {
			unparsed++
			continue
		}
		lines = append(lines, l)
	}
	return lines, unparsed, errors.Wrap(scanner.Err(), "read log")
}

// unmarshalNumbers decodes JSON with numbers as json.Number: a float64 would lose digits of versions.
func unmarshalNumbers(content []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	return decoder.Decode(into)
}

// floatValue returns v as a float64; ok is false unless v is a number.
func floatValue(v any) (value float64, ok bool) {
	n, ok := v.(json.Number)
	if !ok {
		return 0, false
	}
	value, err := n.Float64()
	return value, err == nil
}

func stringValue(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}

// RequestLog returns the lines of the request, those on crashes of backend servers with its content in flight, and the
// context lines logged around it, in order of time. It corrects the times by the clock offsets between processes,
// estimated from changes that several processes logged with the same era and revision.
func RequestLog(lines []LogLine, id string) (selected []LogLine) {
	var own []LogLine
	for _, l := range lines {
		if stringValue(l.Fields["id"]) == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	offsets := clockOffsets(lines, own[0].Process)
	first, last := own[0].Time.Add(-offsets[own[0].Process]), own[0].Time
	for _, l := range own {
		begin := l.Time.Add(-offsets[l.Process])
		if took, ok := floatValue(l.Fields["took"]); ok {
			begin = begin.Add(-time.Duration(took) * time.Millisecond)
		}
		if begin.Before(first) {
			first = begin
		}
		if end := l.Time.Add(-offsets[l.Process]); end.After(last) {
			last = end
		}
	}
	progress := lastProgress(lines, own)
	for i, l := range lines {
		l.Own = stringValue(l.Fields["id"]) == id
		l.Time = l.Time.Add(-offsets[l.Process])
		near := l.Time.After(first.Add(-contextBefore)) && l.Time.Before(last.Add(contextAfter))
		context := contextMessages[l.Message] || progressMessages[l.Message] || isRelatedLoad(l, own)
		if l.Own || progress[i] || isRelatedCrash(l, own) || (near && context) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	return selected
}

// lastProgress returns the indices of the last line of each of progressMessages that the processes of the request logged
// before it ended.
func lastProgress(lines, own []LogLine) (selected map[int]bool) {
	type key struct{ process, message string }
	ended := make(map[string]time.Time) // on the clock of the process
	for _, o := range own {
		if o.Time.After(ended[o.Process]) {
			ended[o.Process] = o.Time
		}
	}
	latest := make(map[key]int)
	for i, l := range lines {
		end, involved := ended[l.Process]
		if !involved || !progressMessages[l.Message] || l.Time.After(end) {
			continue
		}
		k := key{l.Process, l.Message}
		if before, known := latest[k]; !known || !l.Time.Before(lines[before].Time) {
			latest[k] = i
		}
	}
	selected = make(map[int]bool, len(latest))
	for _, i := range latest {
		selected[i] = true
	}
	return selected
}

// isRelatedLoad reports whether l is a load line of a process and service that the request used.
func isRelatedLoad(l LogLine, own []LogLine) bool {
	return l.Message == "load" && slices.ContainsFunc(own, func(o LogLine) bool {
		return o.Process == l.Process && stringValue(o.Fields["service"]) == stringValue(l.Fields["service"])
	})
}

// isRelatedCrash reports whether l tells of a crash of a backend server with the content of the request in flight.
func isRelatedCrash(l LogLine, own []LogLine) bool {
	content := stringValue(own[len(own)-1].Fields["content"])
	if content == "" {
		return false
	}
	return l.Message == "backend server crashed" && slices.Contains(strings.Fields(stringValue(l.Fields["contents"])), content)
}

// clockOffsets returns the median offset of the clock of each process from that of the given one; processes without a
// common change are missing and count as 0.
func clockOffsets(lines []LogLine, process string) map[string]time.Duration {
	type change struct {
		message, server string
		era, revision   float64
	}
	seen := make(map[change]map[string]time.Time)
	for _, l := range lines {
		revision, ok := floatValue(l.Fields["revision"])
		if !ok || (l.Message != "configuration in force" && l.Message != "backend server" && l.Message != "evacuation") {
			continue
		}
		era, _ := floatValue(l.Fields["era"]) // lines of an earlier release have none
		c := change{l.Message, stringValue(l.Fields["server"]), era, revision}
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
	for other, durations := range differences {
		slices.Sort(durations)
		offsets[other] = durations[len(durations)/2]
	}
	return offsets
}

// WriteRequestLog writes the result of RequestLog as a table; times are in ms from the first line of the request.
func WriteRequestLog(w io.Writer, lines []LogLine) (err error) {
	start := slices.IndexFunc(lines, func(l LogLine) bool { return l.Own })
	if start < 0 {
		return nil
	}
	for _, l := range lines {
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
		since := float64(l.Time.Sub(lines[start].Time)) / float64(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%s %9.1f %-24s %s  %s\n", mark, since, l.Process, l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
