package client

import (
	"context"
	"net/http"
	"net/url"

	"micaspindle/internal/protocol"
)

const submissionsPath = "/submissions"

// jobPath returns the URL path of a job.
func jobPath(id string) string { return submissionsPath + "/" + url.PathEscape(id) }

// Submit submits a job, with retries, and returns its status.
func (c *Client) Submit(ctx context.Context, submission *protocol.Submission) (status protocol.JobStatus, err error) {
	err = c.Do(ctx, http.MethodPost, submissionsPath, submission, &status)
	return status, err
}

// Status returns the status of a job.
func (c *Client) Status(ctx context.Context, id string) (status protocol.JobStatus, err error) {
	err = c.Do(ctx, http.MethodGet, jobPath(id), nil, &status)
	return status, err
}

// Cancel cancels a job and returns its status.
func (c *Client) Cancel(ctx context.Context, id string) (status protocol.JobStatus, err error) {
	err = c.Do(ctx, http.MethodPost, jobPath(id)+"/withdraw", map[string]any{}, &status)
	return status, err
}
