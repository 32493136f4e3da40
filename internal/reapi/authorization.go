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

// certificatePrefix marks the credential of a client whose TLS certificate this front
// end has verified; the certificate's name follows. A client that sends such a
// credential itself is treated as having none.
const certificatePrefix = "certificate "

// credential returns the client's authorization header or, without one, the name in its
// certificate behind certificatePrefix; "" if the client has neither.
func (f *FrontEnd) credential(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	switch v := md.Get("authorization"); {
	case len(v) == 1 && !strings.HasPrefix(v[0], certificatePrefix):
		return v[0]
	case len(v) > 0 || f.config.Certified == nil:
		return ""
	}
	if name := f.config.Certified(ctx); name != "" {
		return certificatePrefix + name
	}
	return ""
}

// clientFor returns a client of the controllers that acts for the holder of a
// credential, and whether the credential is well-formed.
func clientFor(c *client.Client, credential string) (*client.Client, bool) {
	if name, ok := strings.CutPrefix(credential, certificatePrefix); ok {
		return c.OnBehalf(name), true
	}
	token, ok := bearer(credential)
	return c.WithToken(token), ok
}

// OpenAccess is an Access that allows everything, for clusters without authentication.
type OpenAccess struct{}

// Allows implements Access.
func (OpenAccess) Allows(context.Context, string, string, string) (string, error) { return "", nil }

const (
	// answerTTL is how long an answer of the controllers is cached. A revocation
	// reaches them within 3 s, and takes effect here up to answerTTL later.
	answerTTL = time.Second
	// accessTimeout bounds one question to the controllers.
	accessTimeout = 5 * time.Second
	// maxCachedAnswers bounds the cache.
	maxCachedAnswers = 8192
)

// ControllerAccess is an Access that asks the controllers with the client's own credential, so
// that they decide and audit what was refused.
type ControllerAccess struct {
	controllers *client.Client
	class       string
	answers     *lru.Cache[accessQuery, *accessAnswer]
}

// accessQuery identifies a cached answer. Credentials are kept as hashes only.
type accessQuery struct {
	credential [sha256.Size]byte
	verb, team string
}

// accessAnswer is the answer to one query; concurrent calls with the same query share it.
type accessAnswer struct {
	once sync.Once
	at   atomic.Int64 // Unix milliseconds; 0: not answered yet
	who  string
	err  error
}

// expired reports whether an answer has outlived its TTL.
func (a *accessAnswer) expired() bool {
	at := a.at.Load()
	return at != 0 && time.Since(time.UnixMilli(at)) > answerTTL
}

// NewControllerAccess creates an Asker for jobs of a class.
func NewControllerAccess(controllers *client.Client, class string) (*ControllerAccess, error) {
	answers, err := lru.New[accessQuery, *accessAnswer](maxCachedAnswers)
	if err != nil {
		return nil, err
	}
	return &ControllerAccess{controllers: controllers, class: class, answers: answers}, nil
}

// Allows implements Access, from the cache if an answer is fresh.
func (a *ControllerAccess) Allows(ctx context.Context, credential, verb, team string) (string, error) {
	asker, ok := clientFor(a.controllers, credential)
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
		var who protocol.WhoAmI
		target := "/may?verb=" + url.QueryEscape(verb) + "&team=" + url.QueryEscape(team) + "&class=" + url.QueryEscape(a.class)
		err := asker.Do(ctx, "GET", target, nil, &who)
		answer.who, answer.err = who.Name, accessError(err)
		answer.at.Store(time.Now().UnixMilli())
	})
	if answer.err != nil && status.Code(answer.err) == codes.Unavailable {
		a.answers.Remove(query) // no decision: the next call asks again
	}
	return answer.who, answer.err
}

// bearer extracts the token of an authorization header.
func bearer(credential string) (string, bool) {
	const scheme = "Bearer "
	if len(credential) <= len(scheme) || credential[:len(scheme)] != scheme {
		return "", false
	}
	return credential[len(scheme):], true
}

// accessError converts an error of the controllers into a gRPC status.
func accessError(err error) error {
	if err == nil {
		return nil
	}
	if denial := denied(err); denial != nil {
		return denial
	}
	return retryLater(codes.Unavailable, time.Second, "no controller could be asked")
}

// denied returns the status of a client that the controllers rejected because of its
// credential or its rights; nil: err is something else.
func denied(err error) error {
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
