package api

import (
	"context"

	"micaspindle/internal/storage"
)

// catchUpJobs applies the records of all jobs that were written before the call. The watch may not have
// delivered the latest ones yet.
func (s *Server) catchUpJobs(ctx context.Context) error {
	after, synced := uint64(0), false
	s.loop.Do(func() { after, synced = s.RecordsRevision, s.Synced })
	if !synced {
		return storage.ErrRefused
	}
	changes, err := s.store.UserChanges(ctx, storage.JobsPrefix, after)
	if err != nil {
		return err
	}
	s.loop.Do(func() {
		for _, event := range changes.Events {
			s.watcher.ApplyEvent(event)
		}
	})
	return nil
}
