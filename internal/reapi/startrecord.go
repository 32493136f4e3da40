package reapi

import (
	"context"
	"encoding/json"
	"micaspindle/internal/blobstore"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// startRecord maps an execution to its task. It is stored like an action result, so that
// every front end finds a running execution and does not start it again.
type startRecord struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
	// Queued is the time of the action's arrival, in Unix milliseconds.
	Queued int64 `json:"queued,omitempty"`
}

// saveStartRecord stores the start record of a task's execution here and at peers.
func (f *FrontEnd) saveStartRecord(ctx context.Context, t *task, record startRecord) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	packed, err := anypb.New(wrapperspb.String(string(raw)))
	if err != nil {
		return err
	}
	r := &repb.ActionResult{ExecutionMetadata: &repb.ExecutedActionMetadata{AuxiliaryMetadata: []*anypb.Any{packed}}}
	body, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	key := startRecordKey(t.entry.Execution)
	if err := f.results.Put(t.space, key, body); err != nil {
		return err
	}
	f.replicateResult(ctx, t.instance, key, r)
	return nil
}

// findStartRecord returns the start record of an execution, or nil if no front end has one.
func (f *FrontEnd) findStartRecord(ctx context.Context, instance, space, execution string) *startRecord {
	key := startRecordKey(execution)
	r := f.findResult(ctx, instance, space, key)
	for _, a := range r.GetExecutionMetadata().GetAuxiliaryMetadata() {
		var text wrapperspb.StringValue
		var record startRecord
		if a.UnmarshalTo(&text) == nil && json.Unmarshal([]byte(text.GetValue()), &record) == nil && record.Job != "" {
			return &record
		}
	}
	return nil
}

// startRecordKey returns the key of an execution's start record in the result store.
func startRecordKey(execution string) blobstore.Digest {
	return blobstore.Of([]byte("started\x00" + execution))
}
