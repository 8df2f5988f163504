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

// child is one process that this one has started.
type child struct {
	id      string
	command *exec.Cmd
	output  *os.File
	ended   chan struct{}
	err     error
}

// startChild starts a program; its output goes to a file named by the id.
func startChild(directory, id, program string, arguments []string) (*child, error) {
	output, err := os.OpenFile(filepath.Join(directory, id+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, eris.Wrapf(err, "open the log file of %s", id)
	}
	command := exec.Command(program, arguments...)
	command.Stdout = output
	command.Stderr = output
	// A child must not outlive this process, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		output.Close()
		return nil, eris.Wrapf(err, "start %s", id)
	}
	started := &child{id: id, command: command, output: output, ended: make(chan struct{})}
	go started.wait()
	return started, nil
}

func (child *child) wait() {
	child.err = child.command.Wait()
	child.output.Close()
	close(child.ended)
}

// running tells whether the process has not ended.
func (child *child) running() bool {
	select {
	case <-child.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal; a process that has ended takes none.
func (child *child) signal(signal syscall.Signal) error {
	err := child.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return eris.Wrapf(err, "signal %s", child.id)
}

// stop asks the process to end, and kills it if it has not within the bound. It
// returns how the process ended.
func (child *child) stop(bound time.Duration) error {
	if err := child.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-child.ended:
		return child.err
	case <-time.After(bound):
	}
	if err := child.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-child.ended
	return eris.Errorf("%s did not stop within %s", child.id, bound)
}
