package cli

import (
	"context"
	"os/signal"
	"syscall"

	"carawaypick/internal/direct"
	"carawaypick/platform"
)

// rankCommand works beside one rank on the platform.
type rankCommand struct {
	app *app
}

// Execute works until a signal.
func (c *rankCommand) Execute([]string) (err error) {
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
	return direct.RunRank(ctx, s, platform.NewEngines().Dialect(), c.app.stdout)
}

// frontCommand serves callers on the platform.
type frontCommand struct {
	app *app
}

// Execute serves until a signal.
func (c *frontCommand) Execute([]string) (err error) {
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
	return direct.Run(ctx, s, platform.NewWire(s), c.app.stdout)
}
