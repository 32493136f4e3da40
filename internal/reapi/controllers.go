package reapi

import (
	"context"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// Controllers implements Jobs with requests to the controllers that carry the clients'
// credentials.
type Controllers struct{ Client *client.Client }

// statusTimeout is the timeout of a status or cancellation request.
const statusTimeout = 5 * time.Second

// clientFor returns a client that makes its calls on behalf of the holder of a credential.
func (c Controllers) clientFor(credential string) *client.Client {
	holderClient, _ := clientFor(c.Client, credential)
	return holderClient
}

// Submit submits a job. It retries until the job is accepted or ctx ends.
func (c Controllers) Submit(ctx context.Context, credential string, s *protocol.Submission) (protocol.JobStatus, error) {
	return c.clientFor(credential).Submit(ctx, s)
}

// Status requests a job's status.
func (c Controllers) Status(ctx context.Context, credential, job string) (protocol.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.clientFor(credential).Status(ctx, job)
}

// Cancel cancels a job.
func (c Controllers) Cancel(ctx context.Context, credential, job string) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := c.clientFor(credential).Cancel(ctx, job)
	return err
}
