package devcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Ports of the cluster's processes. They lie below the ephemeral ports: otherwise a
// connection could get the port of a process that is down.
const (
	minPort      = 10_000
	maxPort      = 30_000
	portAttempts = 200
)

// addressReleased marks an address whose process was started.
const addressReleased = -1

// reserveAddr finds a free loopback address and reserves it until its process starts. The
// address is bound but not listened on, so that connections are refused as if the process
// were down.
func (c *Cluster) reserveAddr() (string, error) {
	for range portAttempts {
		port := minPort + rand.IntN(maxPort-minPort)
		addr := "127.0.0.1:" + strconv.Itoa(port)
		if _, used := c.addresses[addr]; used {
			continue
		}
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return "", fmt.Errorf("devcluster: reserve an address: %w", err)
		}
		if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			_ = syscall.Close(fd)
			continue
		}
		c.addresses[addr] = fd
		return addr, nil
	}
	return "", fmt.Errorf("devcluster: no free port between %d and %d", minPort, maxPort)
}

// releaseAddr releases an address for its process.
func (c *Cluster) releaseAddr(addr string) {
	if fd, reserved := c.addresses[addr]; reserved && fd != addressReleased {
		_ = syscall.Close(fd)
		c.addresses[addr] = addressReleased
	}
}

// startProcess starts a process of the cluster that logs to a file. The returned channel is
// closed when it has ended. The process dies with this one.
func (c *Cluster) startProcess(label, logFile string, cmd *exec.Cmd) (<-chan struct{}, error) {
	file, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("devcluster: %w", err)
	}
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+c.options.LogLevel)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = file.Close()
		return nil, fmt.Errorf("devcluster: start %s: %w", label, err)
	}
	exited := make(chan struct{})
	c.group.Go(func() {
		_ = cmd.Wait()
		_ = file.Close()
		close(exited)
	})
	return exited, nil
}

// lastLine returns the last line of a log, which says why its process ended.
func lastLine(file string) string {
	data, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// FindBinary returns the path of a program of the project: the given one or, if it is
// empty, that of the name in the directory of this program.
func FindBinary(path, name string) (string, error) {
	if path == "" {
		self, err := os.Executable()
		if err != nil {
			return "", fmt.Errorf("devcluster: %w", err)
		}
		path = filepath.Join(filepath.Dir(self), name)
	}
	info, err := os.Stat(path)
	if err == nil && info.IsDir() {
		err = errors.New("a directory")
	}
	if err != nil {
		return "", fmt.Errorf("no program %s at %s (make build makes it): %w", name, path, err)
	}
	return path, nil
}
