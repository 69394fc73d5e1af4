package testcluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/cli"
)

// execVariable makes the test binary act as the product's binary.
const execVariable = "PERIDOTWINCH_TESTBED_EXEC"

// WaitTimeout bounds every wait of a test; only a hung process reaches it.
const WaitTimeout = 60 * time.Second

// Main is the TestMain of packages that start processes: the test binary then
// serves as the product's binary too, built with the same race detector.
func Main(m *testing.M) { MainWith(m, nil) }

// MainWith is Main for tests whose processes speak the interface of an adapter.
func MainWith(m *testing.M, adapters adapter.Set) {
	if os.Getenv(execVariable) != "" {
		os.Exit(cli.Main(os.Args[1:], adapters))
	}
	os.Exit(m.Run())
}

// RunCommand runs a command of the product to its end. It returns what the
// command wrote to both outputs, and its exit code.
func RunCommand(args ...string) (string, int) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), execVariable+"=1")
	output, _ := cmd.CombinedOutput()
	return string(output), cmd.ProcessState.ExitCode()
}

// Process is one process of the product.
type Process struct {
	Name string
	args []string
	dir  string

	mu       sync.Mutex
	cmd      *exec.Cmd
	finished chan struct{}
	exit     error
}

// NewProcess returns a process that is not started yet. Its log goes to
// NAME.log in dir.
func NewProcess(dir, name string, args ...string) *Process {
	return &Process{Name: name, dir: dir, args: args}
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	p.cmd = exec.Command(os.Args[0], p.args...)
	p.cmd.Env = append(os.Environ(), execVariable+"=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A process ends with the test that started it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.finished = make(chan struct{})
	started := make(chan error, 1)
	go p.run(p.cmd, log, started, p.finished)
	return errors.Wrap(<-started, p.Name)
}

// run starts a command and waits for its end on one locked thread: the kernel
// sends Pdeathsig when the thread that started the process ends, and not only
// when the whole process does.
func (p *Process) run(cmd *exec.Cmd, log *os.File, started chan<- error, finished chan struct{}) {
	runtime.LockOSThread()
	err := cmd.Start()
	started <- err
	if err == nil {
		p.wait(cmd, log, finished)
	}
}

func (p *Process) wait(cmd *exec.Cmd, log *os.File, finished chan struct{}) {
	err := cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.exit = err
	p.mu.Unlock()
	close(finished)
}

// LogPath returns the path of the process's log.
func (p *Process) LogPath() string { return filepath.Join(p.dir, p.Name+".log") }

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.Errorf("%s was not started", p.Name)
	}
	return p.cmd.Process.Signal(signal)
}

// Wait waits for the end of the process and returns its exit error.
func (p *Process) Wait() error {
	p.mu.Lock()
	finished := p.finished
	p.mu.Unlock()
	select {
	case <-finished:
	case <-time.After(WaitTimeout):
		return errors.Errorf("%s does not end", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exit
}

// Stop ends the process with SIGTERM and returns an error unless its exit code is 0.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return errors.Wrap(p.Wait(), p.Name)
}

// Kill ends the process with SIGKILL.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = p.Wait()
	return nil
}

// Freeze stops the process without ending it.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }
