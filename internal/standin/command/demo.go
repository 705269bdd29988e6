package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"carawaypick/internal/standin/demo"
)

type demoCommand struct {
	Binary string `long:"binary" default:".out/carawaypick" description:"path of carawaypick"`
	Folder string `long:"folder" default:"demo" description:"folder with requests.jsonl and tickets/"`
	output io.Writer
}

// Execute runs the demo and cancels it on SIGINT or SIGTERM.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo.Run(ctx, demo.Options{Binary: c.Binary, Folder: c.Folder, Output: c.output})
}
