package latency

import (
	"runtime"
	"syscall"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/measure"
)

// loadUnit is the scale of the load average in syscall.Sysinfo_t.
const loadUnit = 1 << 16

// Rows returns what the path adds and what idle processes use; make build must have run.
func Rows() (rows []measure.Row, err error) {
	rows, err = machineRows()
	if err != nil {
		return nil, err
	}
	path, err := pathRows()
	if err != nil {
		return nil, err
	}
	idle, err := idleRows()
	return append(append(rows, path...), idle...), err
}

// machineRows tells how busy the machine was before the measurement, since all figures of time depend on it.
func machineRows() ([]measure.Row, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return nil, errors.Wrap(err, "read load average")
	}
	return []measure.Row{
		measure.NoTarget("path.machine.load", float64(info.Loads[0])/loadUnit, "load average of a minute"),
		measure.NoTarget("path.machine.cores", float64(runtime.NumCPU()), "cores"),
	}, nil
}
