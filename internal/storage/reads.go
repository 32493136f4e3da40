package storage

import (
	"context"
	"strconv"

	"micaspindle/internal/protocol"
)

// listPageSize is the page size of a listing, in keys.
const listPageSize = 500

// Get reads a key. If it is absent, the error is ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (*protocol.Item, error) {
	if err := s.awaitRequest(ctx); err != nil {
		return nil, err
	}
	return s.get(ctx, key)
}

func (s *Store) get(ctx context.Context, key string) (*protocol.Item, error) {
	var item protocol.Item
	status, err := s.do(ctx, requestTimeout, "GET", "/store/"+key, nil, &item)
	if err != nil {
		return nil, err
	}
	if status == 404 {
		return nil, ErrNotFound
	}
	return &item, nil
}

// List reads all keys under a prefix. It returns the revision from which to watch them.
func (s *Store) List(ctx context.Context, prefix string) ([]protocol.Item, uint64, error) {
	var items []protocol.Item
	var revision uint64
	after := ""
	for {
		page, err := s.Page(ctx, prefix, after, listPageSize)
		if err != nil {
			return nil, 0, err
		}
		// The revision of the first page, so that a watch from it includes the changes made
		// while the later pages were read.
		if revision == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// Page reads up to size keys under a prefix, beginning with the first key that is greater than
// after.
func (s *Store) Page(ctx context.Context, prefix, after string, size int) (*protocol.ItemList, error) {
	if err := s.awaitRequest(ctx); err != nil {
		return nil, err
	}
	return s.page(ctx, prefix, after, size)
}

// page is Page without waiting for the budget. Keys in the query are not escaped, as the state
// store expects.
func (s *Store) page(ctx context.Context, prefix, after string, size int) (*protocol.ItemList, error) {
	target := "/store?under=" + prefix + "&page=" + strconv.Itoa(size)
	if after != "" {
		target += "&after=" + after
	}
	var list protocol.ItemList
	if _, err := s.do(ctx, requestTimeout, "GET", target, nil, &list); err != nil {
		return nil, err
	}
	return &list, nil
}
