package reapi

import (
	"context"
	"crypto/sha256"
	"errors"
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

// vouching begins the credential of a client whose certificate this gate has seen
// itself; a name follows. Nothing that a client sends is taken for one.
const vouching = "certificate "

// credential is the client's token, as it came, or else what its certificate says.
func (g *FrontEnd) credential(ctx context.Context) string {
	md, _ := metadata.FromIncomingContext(ctx)
	switch v := md.Get("authorization"); {
	case len(v) == 1 && !strings.HasPrefix(v[0], vouching):
		return v[0]
	case len(v) > 0 || g.config.Certified == nil:
		return ""
	}
	if name := g.config.Certified(ctx); name != "" {
		return vouching + name
	}
	return ""
}

// as is a client that asks the controllers for whoever has a credential; false: it
// is none.
func as(c *client.Client, credential string) (*client.Client, bool) {
	if name, ok := strings.CutPrefix(credential, vouching); ok {
		return c.For(name), true
	}
	token, ok := bearer(credential)
	return c.With(token), ok
}

// Open allows everything to everybody, for clusters without identities.
type Open struct{}

// Allows allows.
func (Open) Allows(context.Context, string, string, string) (string, error) { return "", nil }

const (
	// believedFor is how long an answer of the controllers counts. A revocation
	// reaches them within 3 s, and holds here so much later.
	believedFor = time.Second
	askFor      = 5 * time.Second
	maxAnswers  = 8192
)

// Asker asks the controllers, with the client's own token, so that they decide
// and record what was refused.
type Asker struct {
	controllers *client.Client
	class       string
	answers     *lru.Cache[question, *answer]
}

type question struct {
	credential [sha256.Size]byte
	verb, team string
}

// answer is one question's answer; those who ask the same meanwhile wait for it.
type answer struct {
	once sync.Once
	at   atomic.Int64 // milliseconds since 1970; 0: not answered yet
	who  string
	err  error
}

// old says whether an answer counts no more.
func (a *answer) old() bool {
	at := a.at.Load()
	return at != 0 && time.Since(time.UnixMilli(at)) > believedFor
}

// NewAsker makes an access that asks about jobs of a class.
func NewAsker(controllers *client.Client, class string) (*Asker, error) {
	answers, err := lru.New[question, *answer](maxAnswers)
	if err != nil {
		return nil, err
	}
	return &Asker{controllers: controllers, class: class, answers: answers}, nil
}

// Allows asks, or remembers what was answered within the last second.
func (a *Asker) Allows(ctx context.Context, credential, verb, team string) (string, error) {
	asker, ok := as(a.controllers, credential)
	if !ok {
		return "", status.Error(codes.Unauthenticated, "send a token: authorization: Bearer ..., or show a certificate")
	}
	q := question{sha256.Sum256([]byte(credential)), verb, team}
	got, ok := a.answers.Get(q)
	if !ok || got.old() {
		got = new(answer)
		a.answers.Add(q, got)
	}
	got.once.Do(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askFor)
		defer cancel()
		var who protocol.WhoAmI
		target := "/may?verb=" + url.QueryEscape(verb) + "&team=" + url.QueryEscape(team) + "&class=" + url.QueryEscape(a.class)
		err := asker.Do(ctx, "GET", target, nil, &who)
		got.who, got.err = who.Name, refused(err)
		got.at.Store(time.Now().UnixMilli())
	})
	if got.err != nil && status.Code(got.err) == codes.Unavailable {
		a.answers.Remove(q) // not an answer: the next one asks again
	}
	return got.who, got.err
}

func bearer(credential string) (string, bool) {
	const scheme = "Bearer "
	if len(credential) <= len(scheme) || credential[:len(scheme)] != scheme {
		return "", false
	}
	return credential[len(scheme):], true
}

// refused is the status of what the controllers answered.
func refused(err error) error {
	var r *client.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &r) && r.Status == 401:
		return status.Error(codes.Unauthenticated, "the credential proves nothing now")
	case errors.As(err, &r) && r.Status == 403:
		return status.Error(codes.PermissionDenied, "not allowed")
	}
	return retryLater(codes.Unavailable, time.Second, "no controller could be asked")
}
