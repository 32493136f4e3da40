package main

import (
	"errors"
	"fmt"
	"net/http"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"micaspindle/internal/buildtool"
	"micaspindle/internal/client"
	"micaspindle/internal/identity"
)

// frontendsFlag is the flag with the addresses of Remote Execution API front ends.
type frontendsFlag struct {
	Frontends string `env:"SPINDLE_GATES" aliases:"gates" placeholder:"HOST:PORT,..." help:"Addresses of Remote Execution API front ends (micaspindle-reapi)."`
}

// addresses returns the addresses of the flag. It fails if there is none.
func (f *frontendsFlag) addresses() ([]string, error) {
	list := client.SplitAddresses(f.Frontends)
	if len(list) == 0 {
		return nil, usageError{errors.New("no front ends: give --frontends or set SPINDLE_GATES")}
	}
	return list, nil
}

// dialFrontends connects to front ends with the caller's credentials.
func (c *Connection) dialFrontends(addresses ...string) (*grpc.ClientConn, error) {
	secure, token, err := c.credentials().Load(func(n identity.Name) bool { return n.Kind == identity.Service })
	if err != nil {
		return nil, usageError{err}
	}
	conn, err := buildtool.Dial(addresses, secure, token)
	if err != nil {
		return nil, usageError{err}
	}
	return conn, nil
}

// frontendFailure converts a front end's gRPC error into an error of the client package or a
// usageError, so that the exit code is the same as for a controller's refusal of that kind.
func frontendFailure(address string, err error) error {
	s := status.Convert(err)
	reason := fmt.Sprintf("front end %s: %s", address, s.Message())
	switch s.Code() {
	case codes.Unauthenticated:
		return &client.Refusal{Status: http.StatusUnauthorized, Reason: reason}
	case codes.PermissionDenied:
		return &client.Refusal{Status: http.StatusForbidden, Reason: reason}
	case codes.NotFound:
		return &client.Refusal{Status: http.StatusNotFound, Reason: reason}
	case codes.InvalidArgument:
		return usageError{errors.New(reason)}
	case codes.Unavailable, codes.DeadlineExceeded:
		return fmt.Errorf("%w: %s", client.ErrUnanswered, reason)
	}
	return errors.New(reason)
}
