package testcluster

import (
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"peridotwinch.example/peridotwinch/internal/adapter"
	"peridotwinch.example/peridotwinch/internal/cli"
)

// execVariable is the environment variable that makes the test binary run the product.
const execVariable = "PERIDOTWINCH_TESTBED_EXEC"

// WaitTimeout bounds every wait of a test; only a hung process should reach it.
const WaitTimeout = 60 * time.Second

// Main is the TestMain of packages that start processes. The test binary also serves as
// the product's binary, and so the processes run with the race detector if the test does.
func Main(m *testing.M) { MainWith(m, nil) }

// MainWith is Main for tests whose processes use platform adapters.
func MainWith(m *testing.M, adapters adapter.Set) {
	if os.Getenv(execVariable) != "" {
		// A write beyond LimitFileSize then fails as one to a full disk does.
		signal.Ignore(syscall.SIGXFSZ)
		os.Exit(cli.Main(os.Args[1:], adapters))
	}
	os.Exit(m.Run())
}

// RunCommand runs a command of the product and waits for it. It returns the combined
// standard output and standard error, and the exit code.
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
	exitErr  error
}

// NewProcess returns a process that is not yet started. It logs to NAME.log in dir.
func NewProcess(dir, name string, args ...string) *Process {
	return &Process{Name: name, dir: dir, args: args}
}

// Start starts the process, also again after it has ended. The log is appended to.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open the process log")
	}
	p.cmd = exec.Command(os.Args[0], p.args...)
	p.cmd.Env = append(os.Environ(), execVariable+"=1")
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The kernel kills the process when the test process ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.finished = make(chan struct{})
	started := make(chan error, 1)
	go p.run(p.cmd, log, started, p.finished)
	return errors.Wrap(<-started, p.Name)
}

// run starts a command and waits for its end on one locked OS thread: the kernel sends
// Pdeathsig when the thread that started the process ends, not only when the whole test
// process ends.
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
	p.exitErr = err
	p.mu.Unlock()
	close(finished)
}

// LogPath returns the path of the process's log file.
func (p *Process) LogPath() string { return filepath.Join(p.dir, p.Name+".log") }

// Signal sends a signal to the process. It returns an error if the process was never
// started or has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.Errorf("process %s was not started", p.Name)
	}
	return p.cmd.Process.Signal(signal)
}

// Wait waits for the end of the process and returns its exit error, or another error after
// WaitTimeout.
func (p *Process) Wait() error {
	p.mu.Lock()
	finished := p.finished
	p.mu.Unlock()
	select {
	case <-finished:
	case <-time.After(WaitTimeout):
		return errors.Errorf("process %s is still running after the wait timeout", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// Stop terminates the process with SIGTERM and waits for its end. It returns an error if
// the exit code is not 0.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return errors.Wrap(p.Wait(), p.Name)
}

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	_ = p.Wait()
	return nil
}

// Suspend suspends the process with SIGSTOP, and returns once all its threads have stopped: on
// a busy machine they run on for a while after the signal was sent.
func (p *Process) Suspend() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if err != unix.EINTR {
			return errors.Wrapf(err, "wait until process %s is suspended", p.Name)
		}
	}
}

// LimitFileSize makes the writes of the process fail that would extend a file beyond a size, which
// simulates a full disk. Its log is subject to the limit, too.
func (p *Process) LimitFileSize(bytes uint64) error { return p.setFileSizeLimit(bytes) }

// UnlimitFileSize ends the limit of LimitFileSize.
func (p *Process) UnlimitFileSize() error { return p.setFileSizeLimit(unix.RLIM_INFINITY) }

func (p *Process) setFileSizeLimit(bytes uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.Errorf("process %s was not started", p.Name)
	}
	limit := unix.Rlimit{}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return errors.Wrapf(err, "read the file size limit of process %s", p.Name)
	}
	limit.Cur = min(bytes, limit.Max)
	return errors.Wrapf(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil), "set the file size limit of process %s", p.Name)
}

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }
