// Package policyfile parses policy files, which are YAML with a JSON schema, and plans the changes
// that turn a cluster's policy into another one. The controllers do not use it.
package policyfile

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"micaspindle/internal/rights"
)

// Schema is the JSON schema of policy files.
//
//go:embed policy.schema.json
var Schema string

// compiledSchema returns the compiled Schema.
var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(strings.NewReader(Schema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaFile, doc); err != nil {
		return nil, err
	}
	return compiler.Compile(schemaFile)
})

const (
	schemaFile = "policy.schema.json"
	// maxFileBytes is the maximum size of a policy file.
	maxFileBytes = 16 << 20
)

// Parse parses and validates a policy file. Its error describes the fault in the file.
func Parse(data []byte) (*rights.Document, error) {
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("the policy file is larger than %d MiB", maxFileBytes>>20)
	}
	if err := validate(data); err != nil {
		return nil, err
	}
	document := new(rights.Document)
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(document); err != nil {
		return nil, fmt.Errorf("not a policy: %w", err)
	}
	if err := document.Check(); err != nil {
		return nil, err
	}
	if !rights.Compile(document).HasAdministrator() {
		return nil, rights.ErrNoAdministrator
	}
	return document, nil
}

// validate validates a policy file against the schema.
func validate(data []byte) error {
	var raw any
	if err := yaml.Unmarshal(data, &raw); err != nil {
		return fmt.Errorf("not YAML: %w", err)
	}
	schema, err := compiledSchema()
	if err != nil {
		return fmt.Errorf("compiling the policy schema: %w", err)
	}
	err = schema.Validate(raw)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return errors.New(validationMessage(invalid))
	}
	return err
}

// validationMessage returns the location and message of the first innermost validation error.
func validationMessage(invalid *jsonschema.ValidationError) string {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	where := strings.Join(invalid.InstanceLocation, ".")
	if where == "" {
		where = "the file"
	}
	return where + ": " + invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
}
