package latency

import "carawaypick/internal/measure"

// Rows returns what the path adds and what idle processes use; make build must have run.
func Rows() (rows []measure.Row, err error) {
	rows, err = pathRows()
	if err != nil {
		return nil, err
	}
	more, err := idleRows()
	return append(rows, more...), err
}
