package lifecycle

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"
)

// Start runs work in a new goroutine and returns a channel that receives the error of work and is then closed; a panic is
// converted to an error.
func Start(ctx context.Context, work func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		var catcher panics.Catcher
		catcher.Try(func() { done <- work(ctx) })
		if r := catcher.Recovered(); r != nil {
			done <- errors.Wrap(r.AsError(), "goroutine")
		}
	}()
	return done
}
