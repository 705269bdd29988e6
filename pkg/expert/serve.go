package expert

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the length limit of an input line.
const maxLineBytes = 8 << 20

// Answer is one line of the output of Serve.
type Answer struct {
	Step      uint64 `json:"step"`
	Unchanged bool   `json:"stay"`
	Map       Map    `json:"map,omitempty"`
	Moves     int    `json:"moves,omitempty"` // number of experts to load
}

// Serve reads reports as JSON lines until the input ends and writes an Answer for each; it returns a LineError for an
// invalid line.
func Serve(r io.Reader, w io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "plan")
		}
	}()
	planner := NewPlanner(DefaultSettings())
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	out := json.NewEncoder(w)
	line := 0
	for in.Scan() {
		line++
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		answer, err := serveLine(planner, in.Bytes())
		if err != nil {
			return toLineError(err, line)
		}
		if err := out.Encode(answer); err != nil {
			return err
		}
	}
	if errors.Is(in.Err(), bufio.ErrTooLong) {
		return &LineError{Line: line + 1, Field: "line", Reason: "longer than " + strconv.Itoa(maxLineBytes) + " bytes"}
	}
	return in.Err()
}

func serveLine(p *Planner, line []byte) (Answer, error) {
	r, err := decode(line)
	if err != nil {
		return Answer{}, err
	}
	plan, err := p.Next(r)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Step: r.Step, Unchanged: plan.Unchanged, Map: plan.Map, Moves: len(plan.Moves)}, nil
}

func toLineError(err error, line int) error {
	var bad *FieldError
	if !errors.As(err, &bad) {
		return err
	}
	return &LineError{Line: line, Field: bad.Field, Reason: bad.Reason}
}

// reportFields is a Report with nil for fields that are missing from the line.
type reportFields struct {
	Step           *uint64    `json:"step"`
	Ranks          *int       `json:"ranks"`
	Slots          *int       `json:"slots"`
	ExpertBytes    *int64     `json:"weight"`
	BytesPerSecond *int64     `json:"rate"`
	Layers         [][]*int64 `json:"layers"`
}

// decode parses a report from one line of JSON; every error is a FieldError.
func decode(line []byte) (Report, error) {
	var f reportFields
	if err := json.Unmarshal(line, &f); err != nil {
		return Report{}, jsonFieldError(err)
	}
	if name := f.firstMissing(); name != "" {
		return Report{}, &FieldError{Field: name, Reason: "missing"}
	}
	layers, err := decodeCounts(f.Layers)
	if err != nil {
		return Report{}, err
	}
	return Report{Step: *f.Step, Ranks: *f.Ranks, Slots: *f.Slots, ExpertBytes: *f.ExpertBytes, BytesPerSecond: *f.BytesPerSecond, Layers: layers}, nil
}

func (f reportFields) firstMissing() string {
	switch {
	case f.Step == nil:
		return "step"
	case f.Ranks == nil:
		return "ranks"
	case f.Slots == nil:
		return "slots"
	case f.ExpertBytes == nil:
		return "weight"
	case f.BytesPerSecond == nil:
		return "rate"
	case f.Layers == nil:
		return "layers"
	}
	return ""
}

func decodeCounts(layers [][]*int64) ([][]int64, error) {
	all := make([][]int64, len(layers))
	for l, layer := range layers {
		all[l] = make([]int64, len(layer))
		for e, c := range layer {
			if c == nil {
				field := "layers[" + strconv.Itoa(l) + "][" + strconv.Itoa(e) + "]"
				return nil, &FieldError{Field: field, Reason: "missing"}
			}
			all[l][e] = *c
		}
	}
	return all, nil
}

func jsonFieldError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return &FieldError{Field: typeErr.Field, Reason: "not a number of its type: " + typeErr.Value}
	}
	return &FieldError{Field: "line", Reason: "not a JSON object: " + err.Error()}
}
