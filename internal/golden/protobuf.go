package golden

import (
	"fmt"
	"path"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// CheckProtobuf checks the wire format of the proto files of a package. It compares each
// message, with every field filled, with testdata/golden/FILE-INDEX.hex, and the schema of
// the messages and services with testdata/golden/FILE-schema.txt. Messages are identified by
// their index in the file and fields by their number, so that renaming them does not change
// the golden files.
func CheckProtobuf(t *testing.T, protoPackage protoreflect.FullName) {
	if protoregistry.GlobalFiles.NumFilesByPackage(protoPackage) == 0 {
		t.Fatalf("no proto file of package %s is registered", protoPackage)
	}
	protoregistry.GlobalFiles.RangeFilesByPackage(protoPackage, func(file protoreflect.FileDescriptor) bool {
		checkFile(t, strings.TrimSuffix(path.Base(file.Path()), ".proto"), file)
		return true
	})
}

// checkFile checks the messages and services of one proto file.
func checkFile(t *testing.T, prefix string, file protoreflect.FileDescriptor) {
	var schema strings.Builder
	for i := range file.Messages().Len() {
		message := file.Messages().Get(i)
		describeMessage(&schema, message)
		name := fmt.Sprintf("%s-%02d", prefix, i)
		t.Run(name, func(t *testing.T) { checkMessage(t, name, message) })
	}
	for i := range file.Services().Len() {
		service := file.Services().Get(i)
		for j := range service.Methods().Len() {
			method := service.Methods().Get(j)
			fmt.Fprintf(&schema, "method /%s/%s streams %v %v\n", service.FullName(), method.Name(),
				method.IsStreamingClient(), method.IsStreamingServer())
		}
	}
	CheckText(t, prefix+"-schema.txt", schema.String())
}

// checkMessage compares a message, with every field filled, with its golden file.
func checkMessage(t *testing.T, name string, descriptor protoreflect.MessageDescriptor) {
	kind, err := protoregistry.GlobalTypes.FindMessageByName(descriptor.FullName())
	if err != nil {
		t.Fatal(err)
	}
	message, number := kind.New(), 0
	fillMessage(message, &number)
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message.Interface())
	if err != nil {
		t.Fatal(err)
	}
	stored := CheckBytes(t, name, encoded)
	decoded := kind.New().Interface()
	if err := proto.Unmarshal(stored, decoded); err != nil || !proto.Equal(decoded, message.Interface()) {
		t.Errorf("%s decodes to %v (error %v), want %v", name, decoded, err, message.Interface())
	}
}

// describeMessage writes the numbers and types of a message's fields, and the reserved
// numbers.
func describeMessage(out *strings.Builder, message protoreflect.MessageDescriptor) {
	fmt.Fprintf(out, "message %d\n", message.Index())
	for _, field := range fieldsByNumber(message) {
		fmt.Fprintf(out, "  %d %s %s", field.Number(), field.Cardinality(), field.Kind())
		if nested := field.Message(); nested != nil {
			fmt.Fprintf(out, " %d", nested.Index())
		}
		out.WriteByte('\n')
	}
	reserved := message.ReservedRanges()
	for i := range reserved.Len() {
		fmt.Fprintf(out, "  reserved %d to %d\n", reserved.Get(i)[0], reserved.Get(i)[1]-1)
	}
}

// fieldsByNumber returns a message's fields, sorted by number.
func fieldsByNumber(message protoreflect.MessageDescriptor) []protoreflect.FieldDescriptor {
	var fields []protoreflect.FieldDescriptor
	for i := range message.Fields().Len() {
		fields = append(fields, message.Fields().Get(i))
	}
	slices.SortFunc(fields, func(a, b protoreflect.FieldDescriptor) int { return int(a.Number() - b.Number()) })
	return fields
}

// fillMessage sets each field to a different value, derived from the running number. Lists
// get two elements.
func fillMessage(message protoreflect.Message, number *int) {
	for _, field := range fieldsByNumber(message.Descriptor()) {
		if !field.IsList() {
			message.Set(field, fillValue(field, message.NewField(field), number))
			continue
		}
		list := message.Mutable(field).List()
		for range 2 {
			list.Append(fillValue(field, list.NewElement(), number))
		}
	}
}

// fillValue increments the number and returns a value of the field's kind that is derived
// from it. empty is an empty value of the field; if it is a message, it is filled and returned.
func fillValue(field protoreflect.FieldDescriptor, empty protoreflect.Value, number *int) protoreflect.Value {
	*number++
	n := *number
	switch field.Kind() {
	case protoreflect.MessageKind:
		fillMessage(empty.Message(), number)
		return empty
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text-%d", n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Appendf(nil, "bytes-%d", n))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) + 0.5)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	}
	panic(fmt.Sprintf("golden: fill: unsupported kind of field %d: %s", field.Number(), field.Kind()))
}
