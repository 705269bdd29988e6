package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"carawaypick/internal/config"
	"carawaypick/pkg/clock"
)

const (
	readyInterval = 20 * clock.Millisecond
	readyLimit    = 20 * clock.Second
	stopLimit     = 20 * clock.Second
)

// Roles of a process.
const (
	Entry = "entry"
	Agent = "agent"
)

// Process is one entry or agent.
type Process struct {
	Role     string
	Settings config.Settings
	Log      string // file of its output

	binary  string
	file    string
	command *exec.Cmd
	ended   chan struct{} // closed at its end
	err     error         // how it ended, set before the close
	tasks   conc.WaitGroup
}

func newProcess(binary, folder, role string, settings config.Settings) (p *Process, err error) {
	p = &Process{
		Role:     role,
		Settings: settings,
		Log:      filepath.Join(folder, settings.Name+".log"),
		binary:   binary,
		file:     filepath.Join(folder, settings.Name+".json"),
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return p, errors.Wrap(os.WriteFile(p.file, content, 0o600), "write settings")
}

// Start starts the process, also again after its end.
func (p *Process) Start() (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", p.Settings.Name) }()
	output, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.binary, p.Role, "--settings", p.file)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended, p.err = command, ended, nil
	p.tasks.Go(func() {
		p.err = command.Wait()
		close(ended)
	})
	return nil
}

// Ready waits until the process says that it serves.
func (p *Process) Ready(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "wait for %s", p.Settings.Name) }()
	ctx, cancel := context.WithTimeout(ctx, readyLimit.Duration())
	defer cancel()
	for {
		if p.Healthy(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.ended:
			return errors.Wrapf(p.err, "ended, see %s", p.Log)
		case <-time.After(readyInterval.Duration()):
		}
	}
}

// Healthy tells whether the process answers that it is ready.
func (p *Process) Healthy(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Settings.Listen+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to this process alone, by its id.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Settings.Name)
}

// Pause stops the process until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process without warning and waits for its end.
func (p *Process) Kill() error {
	if p.Ended() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Terminate asks the process to shut down gracefully.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Wait waits for the end of the process and returns how it ended.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return errors.Wrapf(p.err, "end of %s", p.Settings.Name)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for the end of %s", p.Settings.Name)
	}
}

// Ended tells whether the process has ended or was never started.
func (p *Process) Ended() bool {
	if p.ended == nil {
		return true
	}
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}
