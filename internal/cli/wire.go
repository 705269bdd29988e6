package cli

import (
	"io"

	"carawaypick/internal/backend"
	"carawaypick/internal/caller"
	"carawaypick/pkg/expert"
)

// roles returns what runs a process of each role.
func roles() map[string]Role {
	return map[string]Role{"entry": caller.Run, "agent": backend.Run}
}

// plan answers reports of expert counts with expert maps, one JSON line each.
func plan(in io.Reader, out io.Writer) error {
	return expert.Serve(in, out)
}
