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

// The calls of the API with their responses and errors.
func TestConformance(t *testing.T) {
	b, g, _ := startExecuting(t, oneTeam)
	b = b.as("Bearer anna")
	// Its first byte begins no protobuf message: now and then random ones are a directory.
	present, absent := b.blob(append([]byte{0xff}, random(99)...)), digestToProto(blobstore.Of(random(100)))
	put := func(m proto.Message) *repb.Digest {
		raw, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b.blob(raw)
	}
	leaf := put(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present}}})
	holed := put(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: absent}}})
	root := put(&repb.Directory{Directories: []*repb.DirectoryNode{{Name: "d", Digest: leaf}}})
	command := put(&repb.Command{Arguments: []string{"true"}})
	done := b.action("done")
	g.result(t, done)
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
	keep := func(r *repb.ActionResult) error {
		_, err := b.ac.UpdateActionResult(b.ctx, &repb.UpdateActionResultRequest{ActionDigest: digestToProto(blobstore.Of(random(10))), ActionResult: r})
		return err
	}
	execute := func(req *repb.ExecuteRequest) error {
		s, err := repb.NewExecutionClient(b.conn).Execute(b.ctx, req)
		if err == nil {
			_, err = s.Recv()
		}
		return err
	}
	act := func(a *repb.Action) error { return execute(&repb.ExecuteRequest{ActionDigest: put(a)}) }
	cmd := func(c *repb.Command) error {
		return act(&repb.Action{CommandDigest: put(c), InputRootDigest: root})
	}
	in := func(d *repb.Directory) error {
		return act(&repb.Action{CommandDigest: command, InputRootDigest: put(d)})
	}
	p := present.Hash + "/" + fmt.Sprint(present.SizeBytes)
	a := absent.Hash + "/" + fmt.Sprint(absent.SizeBytes)
	bad := &repb.Digest{Hash: "ABC", SizeBytes: 1}
	many := make([]*repb.Digest, maxDigests+1)
	for i := range many {
		many[i] = present
	}
	caps := repb.NewCapabilitiesClient(b.conn)
	other := blobstore.BLAKE3.Of([]byte("other"))
	there := func(f repb.DigestFunction_Value) error { // the blob is there under one function and not under another
		resp, err := b.cas.FindMissingBlobs(b.ctx, &repb.FindMissingBlobsRequest{DigestFunction: f, BlobDigests: []*repb.Digest{digestToProto(other)}})
		if err == nil && len(resp.MissingBlobDigests) > 0 {
			err = status.Error(codes.NotFound, "missing")
		}
		return err
	}
	blake := b.blake(t, &repb.Command{Arguments: []string{"true"}})
	blakeDone := b.blake(t, &repb.Action{CommandDigest: blake, InputRootDigest: b.blake(t, &repb.Directory{})})
	for name, c := range map[string]struct {
		err  error
		want codes.Code
	}{
		"GetCapabilities":                   {errorOf(caps.GetCapabilities(b.ctx, &repb.GetCapabilitiesRequest{})), codes.OK},
		"GetCapabilities: no such instance": {errorOf(caps.GetCapabilities(b.ctx, &repb.GetCapabilitiesRequest{InstanceName: "none"})), codes.InvalidArgument},

		"FindMissingBlobs":                          {find(&repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{present, absent}}), codes.OK},
		"FindMissingBlobs: none":                    {find(&repb.FindMissingBlobsRequest{}), codes.OK},
		"FindMissingBlobs: a digest that is none":   {find(&repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{bad}}), codes.InvalidArgument},
		"FindMissingBlobs: a size below 0":          {find(&repb.FindMissingBlobsRequest{BlobDigests: []*repb.Digest{{Hash: present.Hash, SizeBytes: -1}}}), codes.InvalidArgument},
		"FindMissingBlobs: another digest function": {find(&repb.FindMissingBlobsRequest{DigestFunction: repb.DigestFunction_MD5}), codes.InvalidArgument},
		"FindMissingBlobs: too many":                {find(&repb.FindMissingBlobsRequest{BlobDigests: many}), codes.InvalidArgument},
		"FindMissingBlobs: no such instance":        {find(&repb.FindMissingBlobsRequest{InstanceName: "none"}), codes.InvalidArgument},

		"BatchUpdateBlobs":                        {one(&repb.BatchUpdateBlobsRequest_Request{Digest: digestToProto(blobstore.Of([]byte("x"))), Data: []byte("x")}), codes.OK},
		"BatchUpdateBlobs: nothing":               {one(&repb.BatchUpdateBlobsRequest_Request{Digest: digestToProto(blobstore.Empty)}), codes.OK},
		"BatchUpdateBlobs: other bytes":           {one(&repb.BatchUpdateBlobsRequest_Request{Digest: absent, Data: []byte("x")}), codes.InvalidArgument},
		"BatchUpdateBlobs: a digest that is none": {one(&repb.BatchUpdateBlobsRequest_Request{Digest: bad, Data: []byte("x")}), codes.InvalidArgument},
		"BatchUpdateBlobs: an unknown compressor": {one(&repb.BatchUpdateBlobsRequest_Request{Digest: absent, Compressor: repb.Compressor_DEFLATE}), codes.InvalidArgument},
		"BatchUpdateBlobs: zstd that is none":     {one(&repb.BatchUpdateBlobsRequest_Request{Digest: absent, Data: []byte("x"), Compressor: repb.Compressor_ZSTD}), codes.InvalidArgument},
		"BatchUpdateBlobs: too large":             {update(&repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: &repb.Digest{Hash: present.Hash, SizeBytes: maxBatch + 1}}}}), codes.InvalidArgument},

		"BatchReadBlobs":                        {readOne(present), codes.OK},
		"BatchReadBlobs: absent":                {readOne(absent), codes.NotFound},
		"BatchReadBlobs: a digest that is none": {readOne(bad), codes.InvalidArgument},
		"BatchReadBlobs: too large":             {readOne(&repb.Digest{Hash: present.Hash, SizeBytes: maxBatch + 1}), codes.InvalidArgument},

		"GetTree":                            {tree(&repb.GetTreeRequest{RootDigest: root}), codes.OK},
		"GetTree: absent":                    {tree(&repb.GetTreeRequest{RootDigest: absent}), codes.NotFound},
		"GetTree: no directory":              {tree(&repb.GetTreeRequest{RootDigest: present}), codes.InvalidArgument},
		"GetTree: a page token that is none": {tree(&repb.GetTreeRequest{RootDigest: root, PageToken: "x"}), codes.InvalidArgument},

		"Read":                              {read("blobs/"+p, 0, 0), codes.OK},
		"Read: a part":                      {read("blobs/"+p, 10, 20), codes.OK},
		"Read: compressed":                  {read("compressed-blobs/zstd/"+p, 0, 0), codes.OK},
		"Read: absent":                      {read("blobs/"+a, 0, 0), codes.NotFound},
		"Read: beyond the end":              {read("blobs/"+p, 101, 0), codes.OutOfRange},
		"Read: an offset below 0":           {read("blobs/"+p, -1, 0), codes.OutOfRange},
		"Read: a limit below 0":             {read("blobs/"+p, 0, -1), codes.InvalidArgument},
		"Read: a limit of a compressed one": {read("compressed-blobs/zstd/"+p, 0, 5), codes.InvalidArgument},
		"Read: another compressor":          {read("compressed-blobs/deflate/"+p, 0, 0), codes.InvalidArgument},
		"Read: no name":                     {read("blobs/"+present.Hash, 0, 0), codes.InvalidArgument},
		"Read: a size that is none":         {read("blobs/"+present.Hash+"/0x64", 0, 0), codes.InvalidArgument},
		"Read: a log stream":                {read("logstreams/x", 0, 0), codes.Unimplemented},

		"Write":                                       {write("uploads/u1/blobs/"+blobstore.Of([]byte("y")).String(), []byte("y"), 0), codes.OK},
		"Write: what is there":                        {write("uploads/u2/blobs/"+p, random(100), 0), codes.OK},
		"Write: other bytes":                          {write("uploads/u3/blobs/"+a, random(100), 0), codes.InvalidArgument},
		"Write: too many bytes":                       {write("uploads/u4/blobs/"+a, random(101), 0), codes.InvalidArgument},
		"Write: a gap":                                {write("uploads/u5/blobs/"+a, random(10), 50), codes.InvalidArgument},
		"Write: no upload id":                         {write("uploads//blobs/"+a, random(100), 0), codes.InvalidArgument},
		"Write: too large":                            {write("uploads/u6/blobs/"+absent.Hash+"/999999999999", random(10), 0), codes.InvalidArgument},
		"Write: by BLAKE3":                            {write("uploads/u8/blobs/"+other.String(), []byte("other"), 0), codes.OK},
		"Write: BLAKE3's other bytes":                 {write("uploads/u9/blobs/blake3/"+a, random(100), 0), codes.InvalidArgument},
		"Read: by BLAKE3":                             {read("blobs/"+other.String(), 0, 0), codes.OK},
		"Read: BLAKE3's as SHA-256":                   {read("blobs/"+other.Hash+"/5", 0, 0), codes.NotFound},
		"FindMissingBlobs: by BLAKE3":                 {there(repb.DigestFunction_BLAKE3), codes.OK},
		"FindMissingBlobs: BLAKE3's without its name": {there(repb.DigestFunction_UNKNOWN), codes.NotFound},
		"Execute: by BLAKE3":                          {execute(&repb.ExecuteRequest{ActionDigest: blakeDone, DigestFunction: repb.DigestFunction_BLAKE3}), codes.OK},
		"Execute: BLAKE3's without its name":          {execute(&repb.ExecuteRequest{ActionDigest: blakeDone}), codes.FailedPrecondition},
		"QueryWriteStatus":                            {errorOf(b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: "uploads/u7/blobs/" + a})), codes.OK},
		"QueryWriteStatus: no name":                   {errorOf(b.bytes.QueryWriteStatus(b.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: "blobs/" + a})), codes.InvalidArgument},

		"GetActionResult":                                                  {get(&repb.GetActionResultRequest{ActionDigest: done}), codes.OK},
		"GetActionResult: absent":                                          {get(&repb.GetActionResultRequest{ActionDigest: absent}), codes.NotFound},
		"GetActionResult: a digest that is none":                           {get(&repb.GetActionResultRequest{ActionDigest: bad}), codes.InvalidArgument},
		"UpdateActionResult":                                               {keep(&repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "f", Digest: present}}}), codes.OK},
		"UpdateActionResult: a root directory":                             {keep(&repb.ActionResult{OutputDirectories: []*repb.OutputDirectory{{Path: "d", RootDirectoryDigest: root}}}), codes.OK},
		"UpdateActionResult: a root directory with a file that is missing": {keep(&repb.ActionResult{OutputDirectories: []*repb.OutputDirectory{{Path: "d", RootDirectoryDigest: holed}}}), codes.FailedPrecondition},
		"UpdateActionResult: a directory without either":                   {keep(&repb.ActionResult{OutputDirectories: []*repb.OutputDirectory{{Path: "d"}}}), codes.InvalidArgument},
		"UpdateActionResult: blobs that are missing":                       {keep(&repb.ActionResult{OutputFiles: []*repb.OutputFile{{Path: "f", Digest: absent}}}), codes.FailedPrecondition},
		"UpdateActionResult: no result":                                    {keep(nil), codes.InvalidArgument},

		"Execute: cached":                            {execute(&repb.ExecuteRequest{ActionDigest: done}), codes.OK},
		"Execute: the cache passed over":             {execute(&repb.ExecuteRequest{ActionDigest: done, SkipCacheLookup: true}), codes.OK},
		"Execute: absent":                            {execute(&repb.ExecuteRequest{ActionDigest: absent}), codes.FailedPrecondition},
		"Execute: no action":                         {execute(&repb.ExecuteRequest{ActionDigest: present}), codes.InvalidArgument},
		"Execute: no such instance":                  {execute(&repb.ExecuteRequest{InstanceName: "none", ActionDigest: done}), codes.InvalidArgument},
		"Execute: another digest function":           {execute(&repb.ExecuteRequest{ActionDigest: done, DigestFunction: repb.DigestFunction_SHA1}), codes.InvalidArgument},
		"Execute: a command that is missing":         {act(&repb.Action{CommandDigest: absent, InputRootDigest: root}), codes.FailedPrecondition},
		"Execute: inputs that are missing":           {act(&repb.Action{CommandDigest: command, InputRootDigest: holed}), codes.FailedPrecondition},
		"Execute: a timeout of days":                 {act(&repb.Action{CommandDigest: command, InputRootDigest: root, Timeout: durationpb.New(maxTimeout * 2)}), codes.InvalidArgument},
		"Execute: an unknown property":               {act(&repb.Action{CommandDigest: command, InputRootDigest: root, Platform: &repb.Platform{Properties: []*repb.Platform_Property{{Name: "gpu"}}}}), codes.FailedPrecondition},
		"Execute: no arguments":                      {cmd(&repb.Command{}), codes.InvalidArgument},
		"Execute: output properties that are served": {cmd(&repb.Command{Arguments: []string{"true"}, OutputNodeProperties: []string{"mtime", "unix_mode"}}), codes.OK},
		"Execute: output properties that are not":    {cmd(&repb.Command{Arguments: []string{"true"}, OutputNodeProperties: []string{"owner"}}), codes.InvalidArgument},
		"Execute: an output outside":                 {cmd(&repb.Command{Arguments: []string{"true"}, OutputPaths: []string{"../x"}}), codes.InvalidArgument},
		"Execute: a working directory outside":       {cmd(&repb.Command{Arguments: []string{"true"}, WorkingDirectory: "/etc"}), codes.InvalidArgument},
		"Execute: an environment that is none":       {cmd(&repb.Command{Arguments: []string{"true"}, EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "A=B"}}}), codes.InvalidArgument},
		"Execute: a name that climbs":                {in(&repb.Directory{Files: []*repb.FileNode{{Name: "..", Digest: present}}}), codes.InvalidArgument},
		"Execute: a name twice":                      {in(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present}, {Name: "f", Digest: present}}}), codes.InvalidArgument},
		"Execute: a link that leads out":             {in(&repb.Directory{Symlinks: []*repb.SymlinkNode{{Name: "l", Target: "../../x"}}}), codes.InvalidArgument},
		"Execute: an absolute link":                  {in(&repb.Directory{Symlinks: []*repb.SymlinkNode{{Name: "l", Target: "/etc/passwd"}}}), codes.InvalidArgument},
		"Execute: node properties that are served":   {in(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present, NodeProperties: &repb.NodeProperties{Mtime: timestamppb.Now()}}}}), codes.OK},
		"Execute: node properties that are not":      {in(&repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: present, NodeProperties: &repb.NodeProperties{Properties: []*repb.NodeProperty{{Name: "owner"}}}}}}), codes.InvalidArgument},
		"WaitExecution: no operation": {func() error {
			s, err := repb.NewExecutionClient(b.conn).WaitExecution(b.ctx, &repb.WaitExecutionRequest{Name: "operations/x"})
			if err == nil {
				_, err = s.Recv()
			}
			return err
		}(), codes.NotFound},
	} {
		if got := status.Code(c.err); got != c.want {
			t.Errorf("%s: %v, want %s", name, c.err, c.want)
		}
		if c.err != nil && strings.TrimSpace(c.err.Error()) == "" {
			t.Errorf("%s: the refusal says nothing", name)
		}
	}
}

// blake uploads a message under its BLAKE3 digest.
func (b *build) blake(t *testing.T, m proto.Message) *repb.Digest {
	t.Helper()
	raw, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	d := digestToProto(blobstore.BLAKE3.Of(raw))
	resp, err := b.cas.BatchUpdateBlobs(b.ctx, &repb.BatchUpdateBlobsRequest{DigestFunction: repb.DigestFunction_BLAKE3, Requests: []*repb.BatchUpdateBlobsRequest_Request{{Digest: d, Data: raw}}})
	if err != nil || resp.Responses[0].GetStatus().GetCode() != 0 {
		t.Fatal(err, resp)
	}
	return d
}

// errorOf returns the error of a call with two results.
func errorOf[T any](_ T, err error) error { return err }
