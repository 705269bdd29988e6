package cli

import (
	"io"

	"carawaypick/pkg/expert"
)

// roles returns what runs a process of each role.
func roles() map[string]Role {
	return map[string]Role{}
}

// plan answers reports of expert counts with expert maps, one JSON line each.
func plan(in io.Reader, out io.Writer) error {
	return expert.Serve(in, out)
}
