package latency

import (
	"runtime"
	"syscall"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/measure"
)

// loadUnit is the fixed-point scale of the load average in syscall.Sysinfo_t.
const loadUnit = 1 << 16

// Rows measures the overhead of the path and the usage of idle processes; make build must have run.
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

// machineRows returns the machine's load average before the measurement and its number of cores, since all times depend on both.
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
