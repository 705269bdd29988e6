package cli

import (
	"io"

	"carawaypick/internal/backend"
	"carawaypick/internal/caller"
	"carawaypick/pkg/expert"
)

// roles returns the function that runs a process of each role.
func roles() map[string]Role {
	return map[string]Role{"entry": caller.Run, "agent": backend.Run}
}

// plan reads reports of expert counts and writes one JSON line for each, with an expert map unless the current one stays.
func plan(in io.Reader, out io.Writer) error {
	return expert.Serve(in, out)
}
