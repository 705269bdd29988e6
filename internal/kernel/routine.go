package kernel

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/panics"
)

// Start runs work on its own goroutine and reports its end, or its panic as an error, on the channel that it returns.
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
