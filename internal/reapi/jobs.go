package reapi

import (
	"context"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// Controllers submits actions' jobs and asks for them, as the client's
// credential says.
type Controllers struct{ Client *client.Client }

const statusTime = 5 * time.Second

func (c Controllers) as(credential string) *client.Client {
	one, _ := as(c.Client, credential)
	return one
}

// Submit submits a job until it is accepted, as users do.
func (c Controllers) Submit(ctx context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error) {
	return c.as(credential).Submit(ctx, s)
}

// Status asks for a job's state.
func (c Controllers) Status(ctx context.Context, credential, job string) (protocol.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	return c.as(credential).Status(ctx, job)
}

// Withdraw withdraws a job.
func (c Controllers) Withdraw(ctx context.Context, credential, job string) error {
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	_, err := c.as(credential).Withdraw(ctx, job)
	return err
}
