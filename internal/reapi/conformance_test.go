package reapi

import (
	"fmt"
	"io"
	"strings"
	"testing"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"micaspindle/internal/blobstore"
)

// Each call of the API returns the specified status code for valid and invalid requests.
func TestConformance(t *testing.T) {
	b, frontEnd, _ := startExecuting(t, twoTeams)
	b = b.as("Bearer anna")
	// 0xff can't begin a protobuf message. Without it, the random bytes are sometimes a valid
	// Directory.
	present, absent := b.uploadBlob(append([]byte{0xff}, randomBytes(99)...)), digestToProto(blobstore.Of(randomBytes(100)))
	put := func(m proto.Message) *repb.Digest {
		raw, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b.uploadBlob(raw)
	}
	leaf := put(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present}}})
	incomplete := put(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: absent}}})
	root := put(&repb.Directory{Directories: []*repb.DirectoryNode{{Name: "d", Digest: leaf}}})
	command := put(&repb.Command{Arguments: []string{"true"}})
	done := b.uploadAction("done")
	frontEnd.recordTestResult(t, done)
	find := func(req *repb.FindMissingBlobsRequest) error {
		_, err := b.cas.FindMissingBlobs(b.ctx, req)
		return err
	}
	update := func(req *repb.BatchUpdateBlobsRequest) error {
		_, err := b.cas.BatchUpdateBlobs(b.ctx, req)
		return err
	}
	one := func(r *repb.BatchUpdateBlobsRequest_Request) error {
		resp, err := b.cas.BatchUpdateBlobs(b.ctx, &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{r}})
		if err != nil {
			return err
		}
		return status.ErrorProto(resp.Responses[0].Status)
	}
	readOne := func(d *repb.Digest) error {
		resp, err := b.cas.BatchReadBlobs(b.ctx, &repb.BatchReadBlobsRequest{Digests: []*repb.Digest{d}})
		if err != nil {
			return err
		}
		return status.ErrorProto(resp.Responses[0].Status)
	}
	tree := func(req *repb.GetTreeRequest) error {
		s, err := b.cas.GetTree(b.ctx, req)
		for err == nil {
			if _, err = s.Recv(); err == io.EOF {
				return nil
			}
		}
		return err
	}
	read := func(name string, offset, limit int64) error { _, err := b.download(name, offset, limit); return err }
	write := func(name string, data []byte, offset int64) error {
		_, err := b.upload(name, data, offset, chunkSize, true)
		return err
	}
	get := func(req *repb.GetActionResultRequest) error { _, err := b.ac.GetActionResult(b.ctx, req); return err }
	putResult := func(r *repb.ActionResult) error {
		_, err := b.ac.UpdateActionResult(b.ctx, &repb.UpdateActionResultRequest{ActionDigest: digestToProto(blobstore.Of(randomBytes(10))), ActionResult: r})
		return err
	}
	execute := func(req *repb.ExecuteRequest) error {
		s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, req)
		if err == nil {
			_, err = s.Recv()
		}
		return err
	}
	executeAction := func(a *repb.Action) error { return execute(&repb.ExecuteRequest{ActionDigest: put(a)}) }
	executeCommand := func(c *repb.Command) error {
		return executeAction(&repb.Action{CommandDigest: put(c), InputRootDigest: root})
	}
	executeIn := func(d *repb.Directory) error {
		return executeAction(&repb.Action{CommandDigest: command, InputRootDigest: put(d)})
	}
	presentName := present.Hash + "/" + fmt.Sprint(present.SizeBytes)
	absentName := absent.Hash + "/" + fmt.Sprint(absent.SizeBytes)
	malformed := &repb.Digest{Hash: "ABC", SizeBytes: 1}
	many := make([]*repb.Digest, maxDigests+1)
	for i := range many {
		many[i] = present
	}
	caps := repb.NewCapabilitiesClient(b.conn)
	other := blobstore.BLAKE3.Of([]byte("other"))
	findOther := func(f repb.DigestFunction_Value) error { // finds the blob only by the function that it was stored with
		resp, err := b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{DigestFunction: f, BlobDigests: []*repb.Digest{digestToProto(other)}})
		if err == nil && len(resp.MissingBlobDigests) > 0 {
			err = status.Error(codes.NotFound, "missing")
		}
		return err
	}
	blake := b.uploadBLAKE3(t, &repb.Command{Arguments: []string{"true"}})
	blakeDone := b.uploadBLAKE3(t, &repb.Action{CommandDigest: blake, InputRootDigest: b.uploadBLAKE3(t, &repb.Directory{})})
	for name, c := range map[string]struct {
		err  error
		want codes.Code
	}{
		"GetCapabilities":                   {errorOf(caps.GetCapabilities(b.ctx, &repb.GetCapabilitiesRequest{})), codes.OK},
		"GetCapabilities: unknown instance": {errorOf(caps.GetCapabilities(b.ctx, &repb.GetCapabilitiesRequest{InstanceName: "none"})), codes.InvalidArgument},

		"FindMissingBlobs":                              {find(&repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{present, absent}}), codes.OK},
		"FindMissingBlobs: no digests":                  {find(&repb.FindMissingBlobsRequest{}), codes.OK},
		"FindMissingBlobs: malformed digest":            {find(&repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{malformed}}), codes.InvalidArgument},
		"FindMissingBlobs: negative size":               {find(&repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{{Hash: present.Hash, SizeBytes: -1}}}), codes.InvalidArgument},
		"FindMissingBlobs: unsupported digest function": {find(&repb.FindMissingBlobsRequest{DigestFunction: repb.DigestFunction_MD5}), codes.InvalidArgument},
		"FindMissingBlobs: too many digests":            {find(&repb.FindMissingBlobsRequest{BlobDigests: many}), codes.InvalidArgument},
		"FindMissingBlobs: unknown instance":            {find(&repb.FindMissingBlobsRequest{InstanceName: "none"}), codes.InvalidArgument},

		"BatchUpdateBlobs":                         {one(&repb.BatchUpdateBlobsRequest_Request{Digest: digestToProto(blobstore.Of([]byte("x"))), Data: []byte("x")}), codes.OK},
		"BatchUpdateBlobs: empty blob":             {one(&repb.BatchUpdateBlobsRequest_Request{Digest: digestToProto(blobstore.Empty)}), codes.OK},
		"BatchUpdateBlobs: digest mismatch":        {one(&repb.BatchUpdateBlobsRequest_Request{Digest: absent, Data: []byte("x")}), codes.InvalidArgument},
		"BatchUpdateBlobs: malformed digest":       {one(&repb.BatchUpdateBlobsRequest_Request{Digest: malformed, Data: []byte("x")}), codes.InvalidArgument},
		"BatchUpdateBlobs: unsupported compressor": {one(&repb.BatchUpdateBlobsRequest_Request{Digest: absent, Compressor: repb.Compressor_DEFLATE}), codes.InvalidArgument},
		"BatchUpdateBlobs: invalid zstd":           {one(&repb.BatchUpdateBlobsRequest_Request{Digest: absent, Data: []byte("x"), Compressor: repb.Compressor_ZSTD}), codes.InvalidArgument},
		"BatchUpdateBlobs: too large":              {update(&repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: &repb.Digest{Hash: present.Hash, SizeBytes: maxBatchBytes + 1}}}}), codes.InvalidArgument},

		"BatchReadBlobs":                   {readOne(present), codes.OK},
		"BatchReadBlobs: missing":          {readOne(absent), codes.NotFound},
		"BatchReadBlobs: malformed digest": {readOne(malformed), codes.InvalidArgument},
		"BatchReadBlobs: too large":        {readOne(&repb.Digest{Hash: present.Hash, SizeBytes: maxBatchBytes + 1}), codes.InvalidArgument},

		"GetTree":                       {tree(&repb.GetTreeRequest{RootDigest: root}), codes.OK},
		"GetTree: missing":              {tree(&repb.GetTreeRequest{RootDigest: absent}), codes.NotFound},
		"GetTree: not a directory":      {tree(&repb.GetTreeRequest{RootDigest: present}), codes.InvalidArgument},
		"GetTree: malformed page token": {tree(&repb.GetTreeRequest{RootDigest: root, PageToken: "x"}), codes.InvalidArgument},

		"Read":                          {read("blobs/"+presentName, 0, 0), codes.OK},
		"Read: offset and limit":        {read("blobs/"+presentName, 10, 20), codes.OK},
		"Read: compressed":              {read("compressed-blobs/zstd/"+presentName, 0, 0), codes.OK},
		"Read: missing":                 {read("blobs/"+absentName, 0, 0), codes.NotFound},
		"Read: offset beyond the end":   {read("blobs/"+presentName, 101, 0), codes.OutOfRange},
		"Read: negative offset":         {read("blobs/"+presentName, -1, 0), codes.OutOfRange},
		"Read: negative limit":          {read("blobs/"+presentName, 0, -1), codes.InvalidArgument},
		"Read: compressed with a limit": {read("compressed-blobs/zstd/"+presentName, 0, 5), codes.InvalidArgument},
		"Read: unsupported compressor":  {read("compressed-blobs/deflate/"+presentName, 0, 0), codes.InvalidArgument},
		"Read: malformed name":          {read("blobs/"+present.Hash, 0, 0), codes.InvalidArgument},
		"Read: malformed size":          {read("blobs/"+present.Hash+"/0x64", 0, 0), codes.InvalidArgument},
		"Read: log stream":              {read("logstreams/x", 0, 0), codes.Unimplemented},

		"Write":                                   {write("uploads/u1/blobs/"+blobstore.Of([]byte("y")).String(), []byte("y"), 0), codes.OK},
		"Write: blob exists":                      {write("uploads/u2/blobs/"+presentName, randomBytes(100), 0), codes.OK},
		"Write: digest mismatch":                  {write("uploads/u3/blobs/"+absentName, randomBytes(100), 0), codes.InvalidArgument},
		"Write: too many bytes":                   {write("uploads/u4/blobs/"+absentName, randomBytes(101), 0), codes.InvalidArgument},
		"Write: offset beyond the received bytes": {write("uploads/u5/blobs/"+absentName, randomBytes(10), 50), codes.InvalidArgument},
		"Write: no upload id":                     {write("uploads//blobs/"+absentName, randomBytes(100), 0), codes.InvalidArgument},
		"Write: too large":                        {write("uploads/u6/blobs/"+absent.Hash+"/999999999999", randomBytes(10), 0), codes.InvalidArgument},
		"Write: BLAKE3":                           {write("uploads/u8/blobs/"+other.String(), []byte("other"), 0), codes.OK},
		"Write: BLAKE3 digest mismatch":           {write("uploads/u9/blobs/blake3/"+absentName, randomBytes(100), 0), codes.InvalidArgument},
		"Read: BLAKE3":                            {read("blobs/"+other.String(), 0, 0), codes.OK},
		"Read: BLAKE3 digest as SHA-256":          {read("blobs/"+other.Hash+"/5", 0, 0), codes.NotFound},
		"FindMissingBlobs: BLAKE3":                {findOther(repb.DigestFunction_BLAKE3), codes.OK},
		"FindMissingBlobs: BLAKE3 digest without its function": {findOther(repb.DigestFunction_UNKNOWN), codes.NotFound},
		"Execute: BLAKE3": {execute(&repb.ExecuteRequest{ActionDigest: blakeDone, DigestFunction: repb.DigestFunction_BLAKE3}), codes.OK},
		"Execute: BLAKE3 digest without its function": {execute(&repb.ExecuteRequest{ActionDigest: blakeDone}), codes.FailedPrecondition},
		"QueryWriteStatus":                            {errorOf(b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: "uploads/u7/blobs/" + absentName})), codes.OK},
		"QueryWriteStatus: malformed name":            {errorOf(b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: "blobs/" + absentName})), codes.InvalidArgument},

		"GetActionResult":                                        {get(&repb.GetActionResultRequest{ActionDigest: done}), codes.OK},
		"GetActionResult: missing":                               {get(&repb.GetActionResultRequest{ActionDigest: absent}), codes.NotFound},
		"GetActionResult: malformed digest":                      {get(&repb.GetActionResultRequest{ActionDigest: malformed}), codes.InvalidArgument},
		"UpdateActionResult":                                     {putResult(&repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "f", Digest: present}}}), codes.OK},
		"UpdateActionResult: root directory":                     {putResult(&repb.ActionResult{OutputDirectories: []*repb.OutputDirectory{{Path: "d", RootDirectoryDigest: root}}}), codes.OK},
		"UpdateActionResult: root directory with a missing file": {putResult(&repb.ActionResult{OutputDirectories: []*repb.OutputDirectory{{Path: "d", RootDirectoryDigest: incomplete}}}), codes.FailedPrecondition},
		"UpdateActionResult: output directory without digest":    {putResult(&repb.ActionResult{OutputDirectories: []*repb.OutputDirectory{{Path: "d"}}}), codes.InvalidArgument},
		"UpdateActionResult: missing blobs":                      {putResult(&repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "f", Digest: absent}}}), codes.FailedPrecondition},
		"UpdateActionResult: no result":                          {putResult(nil), codes.InvalidArgument},

		"Execute: cached":                                   {execute(&repb.ExecuteRequest{ActionDigest: done}), codes.OK},
		"Execute: cache lookup skipped":                     {execute(&repb.ExecuteRequest{ActionDigest: done, SkipCacheLookup: true}), codes.OK},
		"Execute: missing":                                  {execute(&repb.ExecuteRequest{ActionDigest: absent}), codes.FailedPrecondition},
		"Execute: not an action":                            {execute(&repb.ExecuteRequest{ActionDigest: present}), codes.InvalidArgument},
		"Execute: unknown instance":                         {execute(&repb.ExecuteRequest{InstanceName: "none", ActionDigest: done}), codes.InvalidArgument},
		"Execute: unsupported digest function":              {execute(&repb.ExecuteRequest{ActionDigest: done, DigestFunction: repb.DigestFunction_SHA1}), codes.InvalidArgument},
		"Execute: missing command":                          {executeAction(&repb.Action{CommandDigest: absent, InputRootDigest: root}), codes.FailedPrecondition},
		"Execute: missing inputs":                           {executeAction(&repb.Action{CommandDigest: command, InputRootDigest: incomplete}), codes.FailedPrecondition},
		"Execute: timeout too long":                         {executeAction(&repb.Action{CommandDigest: command, InputRootDigest: root, Timeout: durationpb.New(maxTimeout * 2)}), codes.InvalidArgument},
		"Execute: unknown platform property":                {executeAction(&repb.Action{CommandDigest: command, InputRootDigest: root, Platform: &repb.Platform{Properties: []*repb.Platform_Property{{Name: "gpu"}}}}), codes.FailedPrecondition},
		"Execute: no arguments":                             {executeCommand(&repb.Command{}), codes.InvalidArgument},
		"Execute: supported output properties":              {executeCommand(&repb.Command{Arguments: []string{"true"}, OutputNodeProperties: []string{"mtime", "unix_mode"}}), codes.OK},
		"Execute: unsupported output property":              {executeCommand(&repb.Command{Arguments: []string{"true"}, OutputNodeProperties: []string{"owner"}}), codes.InvalidArgument},
		"Execute: output outside the input root":            {executeCommand(&repb.Command{Arguments: []string{"true"}, OutputPaths: []string{"../x"}}), codes.InvalidArgument},
		"Execute: working directory outside the input root": {executeCommand(&repb.Command{Arguments: []string{"true"}, WorkingDirectory: "/etc"}), codes.InvalidArgument},
		"Execute: invalid environment variable":             {executeCommand(&repb.Command{Arguments: []string{"true"}, EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "A=B"}}}), codes.InvalidArgument},
		"Execute: file named '..'":                          {executeIn(&repb.Directory{Files: []*repb.FileNode{{Name: "..", Digest: present}}}), codes.InvalidArgument},
		"Execute: duplicate name":                           {executeIn(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present}, {Name: "f", Digest: present}}}), codes.InvalidArgument},
		"Execute: symlink outside its directory":            {executeIn(&repb.Directory{Symlinks: []*repb.SymlinkNode{{Name: "l", Target: "../../x"}}}), codes.InvalidArgument},
		"Execute: absolute symlink":                         {executeIn(&repb.Directory{Symlinks: []*repb.SymlinkNode{{Name: "l", Target: "/etc/passwd"}}}), codes.InvalidArgument},
		"Execute: supported node properties":                {executeIn(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present, NodeProperties: &repb.NodeProperties{Mtime: timestamppb.Now()}}}}), codes.OK},
		"Execute: unsupported node property":                {executeIn(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present, NodeProperties: &repb.NodeProperties{Properties: []*repb.NodeProperty{{Name: "owner"}}}}}}), codes.InvalidArgument},
		"WaitExecution: unknown operation": {func() error {
			s, err := repb.NewExecutionClient(b.conn).WaitExecution(b.ctx, &repb.WaitExecutionRequest{Name: "operations/x"})
			if err == nil {
				_, err = s.Recv()
			}
			return err
		}(), codes.NotFound},
	} {
		if got := status.Code(c.err); got != c.want {
			t.Errorf("%s: got error %v, want code %s", name, c.err, c.want)
		}
		if c.err != nil && strings.TrimSpace(c.err.Error()) == "" {
			t.Errorf("%s: the error has no message", name)
		}
	}
}

// uploadBLAKE3 uploads a protobuf message and returns its BLAKE3 digest.
func (b *testClient) uploadBLAKE3(t *testing.T, m proto.Message) *repb.Digest {
	t.Helper()
	raw, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	d := digestToProto(blobstore.BLAKE3.Of(raw))
	resp, err := b.cas.BatchUpdateBlobs(b.ctx, &repb.BatchUpdateBlobsRequest{DigestFunction: repb.DigestFunction_BLAKE3, Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: d, Data: raw}}})
	if err != nil || resp.Responses[0].GetStatus().GetCode() != 0 {
		t.Fatalf("upload of a BLAKE3 blob: response %v, error %v", resp, err)
	}
	return d
}

// errorOf returns the error of a function call with two results.
func errorOf[T any](_ T, err error) error { return err }
