package reapi

import (
	"context"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// Controllers implements Jobs by calls to the controllers, with the clients' credentials.
type Controllers struct{ Client *client.Client }

// statusTimeout bounds status requests and withdrawals.
const statusTimeout = 5 * time.Second

// clientFor returns a client that acts for the holder of a credential.
func (c Controllers) clientFor(credential string) *client.Client {
	forHolder, _ := clientFor(c.Client, credential)
	return forHolder
}

// Submit submits a job, with retries until it is accepted or ctx ends.
func (c Controllers) Submit(ctx context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error) {
	return c.clientFor(credential).Submit(ctx, s)
}

// Status requests a job's status.
func (c Controllers) Status(ctx context.Context, credential, job string) (protocol.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.clientFor(credential).Status(ctx, job)
}

// Withdraw withdraws a job.
func (c Controllers) Withdraw(ctx context.Context, credential, job string) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := c.clientFor(credential).Cancel(ctx, job)
	return err
}
