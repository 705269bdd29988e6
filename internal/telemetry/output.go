package telemetry

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// StandardOutput is the file name that selects standard output.
const StandardOutput = "-"

// filePermissions grants read and write to the owner and read to the group.
const filePermissions = 0o640

// output is a writer; close closes the underlying file if open created it.
type output struct {
	io.Writer
	close func() error
}

// open returns the named file for appending, stdout for "-", or fallback if the name is empty.
func open(name string, stdout, fallback io.Writer) (o output, err error) {
	noClose := func() error { return nil }
	switch name {
	case "":
		return output{fallback, noClose}, nil
	case StandardOutput:
		return output{stdout, noClose}, nil
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, filePermissions)
	if err != nil {
		return o, errors.Wrap(err, "open output")
	}
	return output{f, f.Close}, nil
}
