package devcluster

import (
	"net"
	"strconv"
	"syscall"
	"testing"
)

// An address is reserved for its process: it is neither given twice nor free for another
// cluster until the process starts.
func TestAddressIsReservedUntilProcessStarts(t *testing.T) {
	c, other := &Cluster{addresses: map[string]reservation{}}, &Cluster{addresses: map[string]reservation{}}
	defer c.releaseAddrs()
	defer other.releaseAddrs()
	seen := map[string]bool{}
	for range 1500 { // each of the two draws some twice
		for _, each := range []*Cluster{c, other} {
			addr, err := each.reserveAddr()
			if err != nil || seen[addr] {
				t.Fatalf("%s, drawn before: %v; %v", addr, seen[addr], err)
			}
			seen[addr] = true
			if each == c {
				defer c.releaseAddr(addr)
			} else {
				defer other.releaseAddr(addr)
			}
		}
	}
	addr, err := c.reserveAddr()
	if err != nil {
		t.Fatal(err)
	}
	if conn, err := net.Dial("tcp4", addr); err == nil {
		_ = conn.Close()
		t.Error("an address that is only held answers")
	}
	if l, err := net.Listen("tcp4", addr); err == nil {
		_ = l.Close()
		t.Error("an address that is held is given to another")
	}
	c.releaseAddr(addr)
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatalf("the process of an address that was let go: %v", err)
	}
	_, port, _ := net.SplitHostPort(addr)
	if n, _ := strconv.Atoi(port); n < 10_000 || n >= 30_000 {
		t.Errorf("port %s", port)
	}
	_ = l.Close()
	for range 200 { // free for a listener, yet no other cluster may draw it
		if drawn, err := other.reserveAddr(); err != nil || drawn == addr {
			t.Fatalf("%s is drawn by another cluster while its process starts: %v", drawn, err)
		}
	}
	if _, err := bindSocket(syscall.AF_UNIX, &syscall.SockaddrUnix{Name: "@micaspindle-devcluster/" + port}); err == nil {
		t.Error("another cluster could draw an address whose process has started")
	}
}
