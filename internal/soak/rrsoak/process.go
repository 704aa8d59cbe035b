package rrsoak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// process is a child process of the soak.
type process struct {
	name string
	cmd  *exec.Cmd
	// orders is the standard input of the process.
	orders io.WriteCloser
	// exited is closed when the process has exited and its output is read.
	exited chan struct{}

	// mu guards the fields below.
	mu    sync.Mutex
	lines []string
	// stopRequested is set once the soak has asked the process to stop.
	stopRequested bool
}

// maxKeptLines bounds the output lines kept of a process; the older half is
// dropped when it is reached.
const maxKeptLines = 400_000

// start starts a program. It calls onLine with each line of output, and
// onUnexpectedExit if the process exits without a call of stop.
func start(ctx context.Context, name, path string, args, env []string, onLine func(string), onUnexpectedExit func(*process)) (*process, error) {
	p := &process{name: name, cmd: exec.CommandContext(ctx, path, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	// The kernel kills the process when the soak is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "opening a pipe")
	}
	p.cmd.Stdout, p.cmd.Stderr = w, w
	if p.orders, err = p.cmd.StdinPipe(); err != nil {
		return nil, eris.Wrap(err, "opening a pipe")
	}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "starting %s", name)
	}
	_ = w.Close()
	go func() {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			onLine(scanner.Text())
			p.appendLine(scanner.Text())
		}
		_ = r.Close()
		_ = p.cmd.Wait()
		if !p.isStopRequested() {
			onUnexpectedExit(p)
		}
		close(p.exited)
	}()
	return p, nil
}

func (p *process) appendLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) >= maxKeptLines {
		p.lines = p.lines[maxKeptLines/2:]
	}
	p.lines = append(p.lines, line)
}

func (p *process) isStopRequested() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested
}

// hasOutput reports whether the process has printed anything.
func (p *process) hasOutput() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines) > 0
}

// lastLine returns the last line of output, if any is kept.
func (p *process) lastLine() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.lines) == 0 {
		return ""
	}
	return p.lines[len(p.lines)-1]
}

// grep returns the lines that contain the text.
func (p *process) grep(text string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, line := range p.lines {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

func (p *process) writeLines(b *bytes.Buffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		_, _ = b.WriteString(line + "\n")
	}
}

// order writes a line of JSON to the standard input of the process. Errors are ignored, as the
// process may have exited.
func (p *process) order(v any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(p.orders).Encode(v)
}

// signal sends a signal. Errors are ignored, as the process may have exited.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop sends the signal and reports whether the process exited within the
// timeout. If not, it is killed.
func (p *process) stop(s syscall.Signal, timeout time.Duration) bool {
	p.mu.Lock()
	p.stopRequested = true
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	return false
}

// hasExited reports whether the process has exited and its output is read.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
