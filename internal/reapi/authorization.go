package reapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"micaspindle/internal/client"
	"micaspindle/internal/protocol"
)

// certificatePrefix begins the credential of a client whose TLS certificate this front end
// has verified; the name in the certificate follows. If a client sends an authorization
// header with this prefix, it is treated as having no credential.
const certificatePrefix = "certificate "

// credential returns the client's authorization header. Without one, it returns
// certificatePrefix and the name in the client's certificate, or "" if there is none.
func (f *FrontEnd) credential(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	switch v := md.Get("authorization"); {
	case len(v) == 1 && !strings.HasPrefix(v[0], certificatePrefix):
		return v[0]
	case len(v) > 0 || f.config.CertificateName == nil:
		return ""
	}
	if name := f.config.CertificateName(ctx); name != "" {
		return certificatePrefix + name
	}
	return ""
}

// clientFor returns a client for the controllers that makes its calls on behalf of the holder
// of a credential, and whether the credential is well-formed.
func clientFor(c *client.Client, credential string) (*client.Client, bool) {
	if name, ok := strings.CutPrefix(credential, certificatePrefix); ok {
		return c.WithOnBehalfOf(name), true
	}
	token, ok := bearerToken(credential)
	return c.WithToken(token), ok
}

// OpenAccess is an Access that allows everything, for clusters without authentication.
type OpenAccess struct{}

// Allows implements Access.
func (OpenAccess) Allows(context.Context, string, string, string) (string, error) { return "", nil }

const (
	// answerTTL is the time for which a decision of the controllers is cached. A revocation
	// reaches the controllers within 3 s and takes effect here up to answerTTL later.
	answerTTL = time.Second
	// accessTimeout is the timeout of one authorization request to the controllers.
	accessTimeout = 5 * time.Second
	// maxCachedAnswers is the maximum number of cached decisions.
	maxCachedAnswers = 8192
)

// ControllerAccess is an Access that sends the client's credential to the controllers, which
// decide and write denied requests to the audit log.
type ControllerAccess struct {
	controllers *client.Client
	class       string
	answers     *lru.Cache[accessQuery, *accessAnswer]
}

// accessQuery is the key of a cached decision. It holds a hash instead of the credential.
type accessQuery struct {
	credential [sha256.Size]byte
	verb, team string
}

// accessAnswer is the decision on one query. Concurrent calls with the same query share it.
type accessAnswer struct {
	once       sync.Once
	answeredAt atomic.Int64 // Unix milliseconds; 0: not answered yet
	holder     string
	err        error
}

// expired reports whether an answer is older than answerTTL.
func (a *accessAnswer) expired() bool {
	at := a.answeredAt.Load()
	return at != 0 && time.Since(time.UnixMilli(at)) > answerTTL
}

// NewControllerAccess creates a ControllerAccess for jobs of a class.
func NewControllerAccess(controllers *client.Client, class string) (*ControllerAccess, error) {
	answers, err := lru.New[accessQuery, *accessAnswer](maxCachedAnswers)
	if err != nil {
		return nil, err
	}
	return &ControllerAccess{controllers: controllers, class: class, answers: answers}, nil
}

// Allows implements Access. It uses a cached answer unless that has expired.
func (a *ControllerAccess) Allows(ctx context.Context, credential, verb, team string) (string, error) {
	caller, ok := clientFor(a.controllers, credential)
	if !ok {
		return "", status.Error(codes.Unauthenticated, "send a token: authorization: Bearer ..., or show a certificate")
	}
	query := accessQuery{sha256.Sum256([]byte(credential)), verb, team}
	answer, ok := a.answers.Get(query)
	if !ok || answer.expired() {
		answer = new(accessAnswer)
		a.answers.Add(query, answer)
	}
	answer.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), accessTimeout)
		defer cancel()
		var identity protocol.WhoAmI
		target := "/may?verb=" + url.QueryEscape(verb) + "&team=" + url.QueryEscape(team) + "&class=" + url.QueryEscape(a.class)
		err := caller.Do(ctx, "GET", target, nil, &identity)
		answer.holder, answer.err = identity.Name, accessError(err)
		answer.answeredAt.Store(time.Now().UnixMilli())
	})
	if answer.err != nil && status.Code(answer.err) == codes.Unavailable {
		a.answers.Remove(query) // no decision was made, so the next call retries
	}
	return answer.holder, answer.err
}

// bearerToken extracts the bearer token from an authorization header.
func bearerToken(credential string) (string, bool) {
	const scheme = "Bearer "
	if len(credential) <= len(scheme) || credential[:len(scheme)] != scheme {
		return "", false
	}
	return credential[len(scheme):], true
}

// accessError converts an error from the controllers into a gRPC status.
func accessError(err error) error {
	if err == nil {
		return nil
	}
	if denial := denialStatus(err); denial != nil {
		return denial
	}
	return retryLater(codes.Unavailable, time.Second, "no controller could be asked")
}

// denialStatus returns a gRPC status if err means that the controllers rejected the credential
// or that its holder lacks the right. For any other error it returns nil.
func denialStatus(err error) error {
	var refusal *client.Refusal
	if !errors.As(err, &refusal) {
		return nil
	}
	switch refusal.Status {
	case http.StatusUnauthorized:
		return status.Error(codes.Unauthenticated, "the credential is not valid now")
	case http.StatusForbidden:
		return status.Error(codes.PermissionDenied, "not allowed")
	}
	return nil
}
