package telemetry

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// Standard is the file name that stands for standard output.
const Standard = "-"

// filePermissions lets the owner write and the group read.
const filePermissions = 0o640

// output is a destination of lines; close ends it where the process opened it.
type output struct {
	io.Writer
	close func() error
}

// open returns the file to append to, standard output for "-", or otherwise where the name is empty.
func open(name string, stdout, otherwise io.Writer) (o output, err error) {
	nothing := func() error { return nil }
	switch name {
	case "":
		return output{otherwise, nothing}, nil
	case Standard:
		return output{stdout, nothing}, nil
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, filePermissions)
	if err != nil {
		return o, errors.Wrap(err, "open output")
	}
	return output{f, f.Close}, nil
}
