package cluster

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// child is a process started by this one.
type child struct {
	id      string
	command *exec.Cmd
	output  *os.File
	exited  chan struct{}
	exitErr error
}

// startChild starts a program and appends its output to <id>.log in directory.
func startChild(directory, id, program string, arguments []string) (*child, error) {
	output, err := os.OpenFile(filepath.Join(directory, id+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, eris.Wrapf(err, "open the log file of %s", id)
	}
	command := exec.Command(program, arguments...)
	command.Stdout = output
	command.Stderr = output
	// The kernel kills the child when this process exits, even after a crash.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		output.Close()
		return nil, eris.Wrapf(err, "start %s", id)
	}
	started := &child{id: id, command: command, output: output, exited: make(chan struct{})}
	go started.wait()
	return started, nil
}

func (child *child) wait() {
	child.exitErr = child.command.Wait()
	child.output.Close()
	close(child.exited)
}

func (child *child) isRunning() bool {
	select {
	case <-child.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal. It is a no-op for a process that has exited.
func (child *child) signal(signal syscall.Signal) error {
	err := child.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return eris.Wrapf(err, "signal %s", child.id)
}

// stop sends SIGTERM, and SIGKILL if the process is still running after timeout.
// It returns the exit error, or an error if the process had to be killed.
func (child *child) stop(timeout time.Duration) error {
	if err := child.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-child.exited:
		return child.exitErr
	case <-time.After(timeout):
	}
	if err := child.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-child.exited
	return eris.Errorf("%s did not stop within %s and was killed", child.id, timeout)
}
