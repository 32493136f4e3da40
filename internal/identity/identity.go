// Package identity authenticates: names, the certificates and signed tokens that
// prove them, and the files that this process's own credentials and its roots of
// trust are read from. It does not know what anybody may do.
package identity

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Kind is what a name stands for.
type Kind string

// The kinds of identities.
const (
	Person     Kind = "person"
	Service    Kind = "service"
	Controller Kind = "controller"
	Worker     Kind = "worker"
)

// Name is an identity's name, for example person/anna.
type Name struct {
	Kind Kind
	ID   string
}

// String is KIND/ID.
func (n Name) String() string { return string(n.Kind) + "/" + n.ID }

// IsZero reports whether there is no name.
func (n Name) IsZero() bool { return n.Kind == "" }

// Caller reports whether the identity is one that sends users' requests.
func (n Name) Caller() bool { return n.Kind == Person || n.Kind == Service }

const (
	// maxName bounds ids, in bytes.
	maxName = 100
	// maxQuoted bounds what an error quotes of a text, in bytes.
	maxQuoted = 40
	// uriScheme is that of the names in certificates.
	uriScheme = "spindle"
)

// ParseName reads KIND/ID.
func ParseName(text string) (Name, error) {
	kind, id, ok := strings.Cut(text, "/")
	if !ok {
		return Name{}, fmt.Errorf("%q is no name of an identity: write KIND/ID, for example person/anna", clip(text))
	}
	switch Kind(kind) {
	case Person, Service, Controller, Worker:
	default:
		return Name{}, fmt.Errorf("%q is no kind of identity: person, service, controller or worker", clip(kind))
	}
	if id == "" || len(id) > maxName {
		return Name{}, fmt.Errorf("the id of a %s must have 1 to %d characters", kind, maxName)
	}
	for _, c := range id {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-' || c == '@') {
			return Name{}, fmt.Errorf("%q: an id holds letters, digits and . _ - @ only", clip(id))
		}
	}
	return Name{Kind(kind), id}, nil
}

func clip(text string) string { return text[:min(len(text), maxQuoted)] }

// URI is the name as a certificate carries it.
func (n Name) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(n.Kind), Path: "/" + n.ID}
}

// FromCertificate reads the name that a certificate proves. The caller has
// verified the certificate.
func FromCertificate(cert *x509.Certificate) (Name, error) {
	var found Name
	for _, uri := range cert.URIs {
		if uri.Scheme != uriScheme {
			continue
		}
		name, err := ParseName(uri.Host + uri.Path)
		if err != nil {
			return Name{}, err
		}
		if !found.IsZero() {
			return Name{}, errors.New("certificate carries two names")
		}
		found = name
	}
	if found.IsZero() {
		return Name{}, errors.New("certificate carries no name of the form spindle://KIND/ID")
	}
	return found, nil
}
