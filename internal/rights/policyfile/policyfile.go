// Package policyfile reads a policy as operators write it, YAML, against its
// schema, and works out the changes that bring a cluster from one policy to
// another. The controllers do not use it.
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

// Schema is the policy's JSON schema.
//
//go:embed policy.schema.json
var Schema string

// compiled is Schema, ready to validate.
var compiled = sync.OnceValues(func() (*jsonschema.Schema, error) {
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
	// maxFile bounds a policy's file, in bytes.
	maxFile = 16 << 20
)

// Parse reads a policy. Its error says what is to be corrected in it.
func Parse(data []byte) (*rights.Document, error) {
	if len(data) > maxFile {
		return nil, fmt.Errorf("the policy is larger than %d MiB", maxFile>>20)
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
	if !rights.Compile(document).Administered() {
		return nil, rights.ErrNoAdministrator
	}
	return document, nil
}

// validate checks a file against the schema.
func validate(data []byte) error {
	var raw any
	if err := yaml.Unmarshal(data, &raw); err != nil {
		return fmt.Errorf("not YAML: %w", err)
	}
	schema, err := compiled()
	if err != nil {
		return fmt.Errorf("the policy's schema: %w", err)
	}
	err = schema.Validate(raw)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return errors.New(explain(invalid))
	}
	return err
}

// explain names the deepest place that is wrong.
func explain(invalid *jsonschema.ValidationError) string {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	where := strings.Join(invalid.InstanceLocation, ".")
	if where == "" {
		where = "the file"
	}
	return where + ": " + invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
}
