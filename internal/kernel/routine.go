package kernel

import "context"

// Start runs work on its own goroutine and reports its end on the channel that it returns.
func Start(ctx context.Context, work func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func() {
		done <- work(ctx)
		close(done)
	}()
	return done
}
