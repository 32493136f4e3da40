package devcluster

import (
	"net"
	"strconv"
	"syscall"
	"testing"
)

// Two clusters never reserve the same address, and no other listener can use a reserved address
// before its process starts.
func TestAddressIsReservedUntilProcessStarts(t *testing.T) {
	c, other := &Cluster{addresses: map[string]reservation{}}, &Cluster{addresses: map[string]reservation{}}
	defer c.releaseAddrs()
	defer other.releaseAddrs()
	seen := map[string]bool{}
	for range 1500 { // enough for random ports to repeat
		for _, cluster := range []*Cluster{c, other} {
			addr, err := cluster.reserveAddr()
			if err != nil || seen[addr] {
				t.Fatalf("reserve an address: got %q, already reserved: %v, error %v", addr, seen[addr], err)
			}
			seen[addr] = true
			if cluster == c {
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
		t.Error("a connection to a reserved address was accepted before its process started")
	}
	if l, err := net.Listen("tcp4", addr); err == nil {
		_ = l.Close()
		t.Error("another listener opened a reserved address, want an error")
	}
	c.releaseAddr(addr)
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatalf("listen on a released address: %v", err)
	}
	_, port, _ := net.SplitHostPort(addr)
	if n, _ := strconv.Atoi(port); n < 10_000 || n >= 30_000 {
		t.Errorf("port %s was reserved, want one from 10000 to 29999", port)
	}
	_ = l.Close()
	for range 200 { // the port is free now, but still locked
		if reserved, err := other.reserveAddr(); err != nil || reserved == addr {
			t.Fatalf("another cluster reserved %s, error %v; want an address other than %s, which the first cluster holds for its process", reserved, err, addr)
		}
	}
	if _, err := bindSocket(syscall.AF_UNIX, &syscall.SockaddrUnix{Name: "@micaspindle-devcluster/" + port}); err == nil {
		t.Error("the lock of a port was free after the port was released for its process")
	}
}
