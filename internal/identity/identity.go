// Package identity implements authentication: the names of identities, the certificates
// and signed tokens that prove them, and the files that hold a process's credentials and
// trusted roots. Authorization is in package rights.
package identity

import (
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"strings"
)

// Kind is the kind of an identity.
type Kind string

// The kinds of identities.
const (
	Person     Kind = "person"
	Service    Kind = "service"
	Controller Kind = "controller"
	Worker     Kind = "worker"
)

// Name is the name of an identity, for example person/anna.
type Name struct {
	Kind Kind
	ID   string
}

// String returns the name as KIND/ID.
func (n Name) String() string { return string(n.Kind) + "/" + n.ID }

// IsZero reports whether the name is empty.
func (n Name) IsZero() bool { return n.Kind == "" }

// IsCaller reports whether the identity is a person or a service: only these send user requests.
func (n Name) IsCaller() bool { return n.Kind == Person || n.Kind == Service }

const (
	// maxIDBytes is the maximum length of an id.
	maxIDBytes = 100
	// maxQuotedBytes is the maximum length of a quotation in an error message.
	maxQuotedBytes = 40
	// uriScheme is the scheme of the URIs that hold names in certificates.
	uriScheme = "spindle"
)

// ParseName parses a name of the form KIND/ID.
func ParseName(text string) (Name, error) {
	kind, id, ok := strings.Cut(text, "/")
	if !ok {
		return Name{}, fmt.Errorf("%q is no name of an identity: write KIND/ID, for example person/anna", truncate(text))
	}
	switch Kind(kind) {
	case Person, Service, Controller, Worker:
	default:
		return Name{}, fmt.Errorf("%q is no kind of identity: person, service, controller or worker", truncate(kind))
	}
	if id == "" || len(id) > maxIDBytes {
		return Name{}, fmt.Errorf("the id of a %s must have 1 to %d characters", kind, maxIDBytes)
	}
	for _, c := range id {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '.' || c == '_' || c == '-' || c == '@') {
			return Name{}, fmt.Errorf("%q: an id holds letters, digits and . _ - @ only", truncate(id))
		}
	}
	return Name{Kind(kind), id}, nil
}

func truncate(text string) string { return text[:min(len(text), maxQuotedBytes)] }

// URI returns the URI that holds the name in a certificate.
func (n Name) URI() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: string(n.Kind), Path: "/" + n.ID}
}

// FromCertificate returns the name in a certificate. The caller must have verified the
// certificate.
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
