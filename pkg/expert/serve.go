package expert

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxLine is the greatest length of an input line in bytes.
const maxLine = 8 << 20

// Answer is one line of Serve's output.
type Answer struct {
	Step  uint64 `json:"step"`
	Stay  bool   `json:"stay"`
	Map   Map    `json:"map,omitempty"`
	Moves int    `json:"moves,omitempty"` // experts to load
}

// Serve reads reports as JSON lines and writes an answer for each; it ends with the input or a LineError.
func Serve(r io.Reader, w io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "plan")
		}
	}()
	planner := NewPlanner(Defaults())
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	out := json.NewEncoder(w)
	line := 0
	for in.Scan() {
		line++
		if len(bytes.TrimSpace(in.Bytes())) == 0 {
			continue
		}
		answer, err := serveLine(planner, in.Bytes())
		if err != nil {
			return atLine(err, line)
		}
		if err := out.Encode(answer); err != nil {
			return err
		}
	}
	if errors.Is(in.Err(), bufio.ErrTooLong) {
		return &LineError{Line: line + 1, Field: "line", Reason: "longer than " + strconv.Itoa(maxLine) + " bytes"}
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
	return Answer{Step: r.Step, Stay: plan.Stay, Map: plan.Map, Moves: len(plan.Moves)}, nil
}

func atLine(err error, line int) error {
	var bad *ShapeError
	if !errors.As(err, &bad) {
		return err
	}
	return &LineError{Line: line, Field: bad.Field, Reason: bad.Reason}
}

// fields are those of Report, nil where the line lacks them.
type fields struct {
	Step   *uint64    `json:"step"`
	Ranks  *int       `json:"ranks"`
	Slots  *int       `json:"slots"`
	Weight *int64     `json:"weight"`
	Rate   *int64     `json:"rate"`
	Layers [][]*int64 `json:"layers"`
}

// decode reads one report from one line of JSON; every error is a ShapeError.
func decode(line []byte) (Report, error) {
	var f fields
	if err := json.Unmarshal(line, &f); err != nil {
		return Report{}, syntax(err)
	}
	if name := f.missing(); name != "" {
		return Report{}, &ShapeError{Field: name, Reason: "missing"}
	}
	layers, err := counts(f.Layers)
	if err != nil {
		return Report{}, err
	}
	return Report{Step: *f.Step, Ranks: *f.Ranks, Slots: *f.Slots, Weight: *f.Weight, Rate: *f.Rate, Layers: layers}, nil
}

func (f fields) missing() string {
	switch {
	case f.Step == nil:
		return "step"
	case f.Ranks == nil:
		return "ranks"
	case f.Slots == nil:
		return "slots"
	case f.Weight == nil:
		return "weight"
	case f.Rate == nil:
		return "rate"
	case f.Layers == nil:
		return "layers"
	}
	return ""
}

func counts(layers [][]*int64) ([][]int64, error) {
	all := make([][]int64, len(layers))
	for l, layer := range layers {
		all[l] = make([]int64, len(layer))
		for e, c := range layer {
			if c == nil {
				field := "layers[" + strconv.Itoa(l) + "][" + strconv.Itoa(e) + "]"
				return nil, &ShapeError{Field: field, Reason: "missing"}
			}
			all[l][e] = *c
		}
	}
	return all, nil
}

func syntax(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return &ShapeError{Field: kind.Field, Reason: "not a number of its type: " + kind.Value}
	}
	return &ShapeError{Field: "line", Reason: "not a JSON object: " + err.Error()}
}
