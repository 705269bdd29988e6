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
	readyPollInterval = 20 * clock.Millisecond
	readyTimeout      = 20 * clock.Second
	shutdownTimeout   = 20 * clock.Second
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
	LogFile  string // path of the file with the output of the process

	binary       string
	settingsFile string
	command      *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	err          error         // error of the exit, set before exited is closed
	tasks        conc.WaitGroup
}

func newProcess(binary, folder, role string, settings config.Settings) (p *Process, err error) {
	p = &Process{
		Role:         role,
		Settings:     settings,
		LogFile:      filepath.Join(folder, settings.Name+".log"),
		binary:       binary,
		settingsFile: filepath.Join(folder, settings.Name+".json"),
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return p, errors.Wrap(os.WriteFile(p.settingsFile, content, 0o600), "write settings")
}

// Start starts the process; after its exit, Start can be called again.
func (p *Process) Start() (err error) {
	defer func() { err = errors.Wrapf(err, "start %s", p.Settings.Name) }()
	output, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.binary, p.Role, "--settings", p.settingsFile)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited, p.err = command, exited, nil
	p.tasks.Go(func() {
		p.err = command.Wait()
		close(exited)
	})
	return nil
}

// AwaitReady blocks until the process is ready or has exited, and returns an error if it exits with one or isn't ready within 20 s.
func (p *Process) AwaitReady(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "wait for %s", p.Settings.Name) }()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	for {
		if p.Ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.exited:
			return errors.Wrapf(p.err, "exited before it was ready, see %s", p.LogFile)
		case <-time.After(readyPollInterval.Duration()):
		}
	}
}

// Ready reports whether the process answers GET /readyz with 200.
func (p *Process) Ready(ctx context.Context) bool {
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

// Signal sends a signal to this process only, by its process id.
func (p *Process) Signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.Settings.Name)
}

// ID returns the id of the process, which was started.
func (p *Process) ID() int { return p.command.Process.Pid }

// Pause suspends the process until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL to the process and blocks until it has exited.
func (p *Process) Kill() error {
	if p.Exited() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Terminate sends SIGTERM to the process, which starts its graceful shutdown.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Wait blocks until the process has exited and returns the error of its exit.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
		return errors.Wrapf(p.err, "exit of %s", p.Settings.Name)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for the exit of %s", p.Settings.Name)
	}
}

// Exited reports whether the process has exited or was never started.
func (p *Process) Exited() bool {
	if p.exited == nil {
		return true
	}
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
