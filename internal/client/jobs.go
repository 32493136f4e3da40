package client

import (
	"context"
	"net/http"
	"net/url"

	"micaspindle/internal/protocol"
)

const submissionsPath = "/submissions"

// jobPath is the path of a job.
func jobPath(id string) string { return submissionsPath + "/" + url.PathEscape(id) }

// Submit submits a job until it is accepted.
func (c *Client) Submit(ctx context.Context, submission *protocol.Submission) (status protocol.JobStatus, err error) {
	err = c.Do(ctx, http.MethodPost, submissionsPath, submission, &status)
	return status, err
}

// Status returns a job's state.
func (c *Client) Status(ctx context.Context, id string) (status protocol.JobStatus, err error) {
	err = c.Do(ctx, http.MethodGet, jobPath(id), nil, &status)
	return status, err
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, id string) (status protocol.JobStatus, err error) {
	err = c.Do(ctx, http.MethodPost, jobPath(id)+"/withdraw", map[string]any{}, &status)
	return status, err
}
