package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/direct"
	"carawaypick/internal/kernel"
	"carawaypick/pkg/clock"
	"carawaypick/platform"
)

// watchSettings is the time in ms between two looks at the settings file, which may change without a signal.
const watchSettings = 2 * clock.Second

// frontCommand serves callers on the platform.
type frontCommand struct {
	app *app
}

// Execute serves until a signal.
func (c *frontCommand) Execute([]string) error {
	return onPlatform(func(ctx context.Context, s direct.Settings, reload <-chan direct.Reload) error {
		return direct.Run(ctx, s, platform.NewWire(s), reload, c.app.stdout)
	})
}

// rankCommand works beside one rank on the platform.
type rankCommand struct {
	app *app
}

// Execute works until a signal.
func (c *rankCommand) Execute([]string) error {
	return onPlatform(func(ctx context.Context, s direct.Settings, reload <-chan direct.Reload) error {
		return direct.RunRank(ctx, s, platform.NewEngines().Dialect(), reload, c.app.stdout)
	})
}

// onPlatform runs a process with the settings that the platform names, until SIGINT or SIGTERM; SIGHUP reloads them.
func onPlatform(run func(context.Context, direct.Settings, <-chan direct.Reload) error) (err error) {
	path, err := platform.SettingsPath()
	if err != nil {
		return err
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	inner, cancel := context.WithCancel(context.Background())
	reload := make(chan direct.Reload)
	watched := kernel.Start(inner, func(ctx context.Context) error { return watch(ctx, path, hangups, reload) })
	err = run(ctx, s, reload)
	cancel()
	return errors.CombineErrors(err, <-watched)
}

// watch sends the settings anew after each signal and each change of the file.
func watch(ctx context.Context, path string, hangups <-chan os.Signal, reload chan<- direct.Reload) error {
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		case <-time.After(watchSettings.Duration()):
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		s, err := platform.LoadSettings(path)
		select {
		case reload <- direct.Reload{Settings: s, Fault: err}:
		case <-ctx.Done():
			return nil
		}
	}
}

// modified returns when the file was written last, the zero time where that can't be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
