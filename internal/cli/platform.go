package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/gateway"
	"carawaypick/internal/lifecycle"
	"carawaypick/pkg/clock"
	"carawaypick/platform"
)

// settingsPollInterval is the time in ms between two checks of the settings file, which may change without a signal.
const settingsPollInterval = 2 * clock.Second

// frontCommand implements front, which serves callers on the platform.
type frontCommand struct {
	app *app
}

// Execute serves until SIGINT or SIGTERM.
func (c *frontCommand) Execute([]string) error {
	return runOnPlatform(func(ctx context.Context, s gateway.Settings, reload <-chan gateway.Reload) error {
		return gateway.Run(ctx, s, platform.NewProtocol(s), reload, c.app.stdout)
	})
}

// rankCommand implements rank, which serves one rank on the platform.
type rankCommand struct {
	app *app
}

// Execute runs until SIGINT or SIGTERM.
func (c *rankCommand) Execute([]string) error {
	return runOnPlatform(func(ctx context.Context, s gateway.Settings, reload <-chan gateway.Reload) error {
		return gateway.RunAgent(ctx, s, platform.NewEngineClient().AgentClient(), reload, c.app.stdout)
	})
}

// runOnPlatform runs a process with the settings file that the platform names until SIGINT or SIGTERM; the file is reloaded
// after SIGHUP and after a change.
func runOnPlatform(run func(context.Context, gateway.Settings, <-chan gateway.Reload) error) (err error) {
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
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	watchCtx, cancel := context.WithCancel(context.Background())
	reload := make(chan gateway.Reload)
	watchDone := lifecycle.Start(watchCtx, func(ctx context.Context) error { return watchSettingsFile(ctx, path, reloadSignals, reload) })
	err = run(ctx, s, reload)
	cancel()
	return errors.CombineErrors(err, <-watchDone)
}

// watchSettingsFile reloads the settings after each signal and each change of the file, and sends them or the error.
func watchSettingsFile(ctx context.Context, path string, reloadSignals <-chan os.Signal, reload chan<- gateway.Reload) error {
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reloadSignals:
		case <-time.After(settingsPollInterval.Duration()):
			if modTime(path).Equal(last) {
				continue
			}
		}
		last = modTime(path)
		s, err := platform.LoadSettings(path)
		select {
		case reload <- gateway.Reload{Settings: s, Err: err}:
		case <-ctx.Done():
			return nil
		}
	}
}

// modTime returns the modification time of the file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
