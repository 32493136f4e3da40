package identity

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/golang-jwt/jwt/v5"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	issuer = "micaspindle"
	// MaxTokenLifetime is the longest time for which a token may be valid.
	MaxTokenLifetime = 7 * 24 * time.Hour
	// maxTokenBytes is the maximum size of a token.
	maxTokenBytes = 2048
	// tokenIDLength is the length of the id of an issued token, in characters.
	tokenIDLength = 16
	// maxCachedTokens is the size of the cache of verified tokens.
	maxCachedTokens = 4096
)

// Token is the content of a verified token.
type Token struct {
	Name Name
	// ID identifies the token in the audit log. It is not secret.
	ID      string
	Issued  time.Time
	Expires time.Time
}

// ErrInvalidToken is wrapped by all errors of TokenVerifier.Verify.
var ErrInvalidToken = errors.New("token is not good")

var errTokenExpired = fmt.Errorf("%w: expired", ErrInvalidToken)

// IssueToken returns a signed token for a name. The result is a secret.
func IssueToken(key ed25519.PrivateKey, name Name, audience string, now time.Time, lifetime time.Duration) (string, error) {
	if !name.IsCaller() {
		return "", fmt.Errorf("tokens are for persons and services, not for a %s", name.Kind)
	}
	if lifetime <= 0 || lifetime > MaxTokenLifetime {
		return "", fmt.Errorf("the lifetime of a token must be positive and at most a week (%s)", MaxTokenLifetime)
	}
	token := jwt.NewWithClaims(jwt.SigningMethodEdDSA, jwt.RegisteredClaims{
		Issuer:    issuer,
		Subject:   name.String(),
		Audience:  jwt.ClaimStrings{audience},
		ID:        rand.Text()[:tokenIDLength],
		IssuedAt:  jwt.NewNumericDate(now),
		NotBefore: jwt.NewNumericDate(now),
		ExpiresAt: jwt.NewNumericDate(now.Add(lifetime)),
	})
	token.Header["kid"] = KeyID(key.Public().(ed25519.PublicKey))
	signed, err := token.SignedString(key)
	if err != nil {
		return "", errors.New("token could not be signed")
	}
	return signed, nil
}

// TokenVerifier verifies tokens and caches valid ones. It is safe for concurrent use.
type TokenVerifier struct {
	keyring  *Keyring
	audience string
	// clockBound is the maximum error of this process's clock.
	clockBound time.Duration
	cache      atomic.Pointer[tokenCache]
}

// tokenCache holds valid tokens by their hash. It is discarded when the snapshot whose keys
// verified them is replaced.
type tokenCache struct {
	snapshot *snapshot
	tokens   *lru.Cache[[sha256.Size]byte, Token]
}

// NewTokenVerifier returns a verifier of tokens for an audience, with the token keys of a keyring.
func NewTokenVerifier(keyring *Keyring, audience string, clockBound time.Duration) *TokenVerifier {
	return &TokenVerifier{keyring: keyring, audience: audience, clockBound: clockBound}
}

// Verify verifies a token and returns its content. Validity is checked at the latest time that the
// clock's error allows. So no token is accepted after its expiry, and a token from an issuer whose
// clock is ahead is accepted.
func (t *TokenVerifier) Verify(raw string) (Token, error) {
	if len(raw) > maxTokenBytes {
		return Token{}, fmt.Errorf("%w: too long", ErrInvalidToken)
	}
	latest := t.keyring.now().Add(t.clockBound)
	cache, err := t.currentCache()
	if err != nil {
		return Token{}, err
	}
	sum := sha256.Sum256([]byte(raw))
	if token, ok := cache.tokens.Get(sum); ok {
		if !latest.Before(token.Expires) {
			return Token{}, errTokenExpired
		}
		return token, nil
	}
	token, err := verifyToken(raw, cache.snapshot.tokenKeys, t.audience, latest)
	if err == nil {
		cache.tokens.Add(sum, token)
	}
	return token, err
}

// currentCache returns the cache for the keyring's current snapshot, and a new cache after a reload.
func (t *TokenVerifier) currentCache() (*tokenCache, error) {
	current := t.keyring.current.Load()
	if cache := t.cache.Load(); cache != nil && cache.snapshot == current {
		return cache, nil
	}
	tokens, err := lru.New[[sha256.Size]byte, Token](maxCachedTokens)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidToken, err)
	}
	cache := &tokenCache{snapshot: current, tokens: tokens}
	t.cache.Store(cache)
	return cache, nil
}

// verifyToken verifies a token's signature and claims at the time now.
func verifyToken(raw string, keys map[string]ed25519.PublicKey, audience string, now time.Time) (Token, error) {
	findKey := func(token *jwt.Token) (any, error) {
		id, _ := token.Header["kid"].(string)
		if key, ok := keys[id]; ok {
			return key, nil
		}
		return nil, errors.New("unknown key")
	}
	var claims jwt.RegisteredClaims
	_, err := jwt.ParseWithClaims(raw, &claims, findKey,
		jwt.WithValidMethods([]string{jwt.SigningMethodEdDSA.Alg()}),
		jwt.WithIssuer(issuer),
		jwt.WithAudience(audience),
		jwt.WithExpirationRequired(),
		jwt.WithTimeFunc(func() time.Time { return now }),
		jwt.WithStrictDecoding())
	if err != nil {
		return Token{}, explainTokenError(err)
	}
	return checkClaims(&claims)
}

// explainTokenError returns a description of an error of the JWT library. The library's message is
// left out because it may contain parts of the token.
func explainTokenError(err error) error {
	switch {
	case errors.Is(err, jwt.ErrTokenExpired):
		return errTokenExpired
	case errors.Is(err, jwt.ErrTokenNotValidYet):
		return fmt.Errorf("%w: not valid yet", ErrInvalidToken)
	case errors.Is(err, jwt.ErrTokenInvalidAudience):
		return fmt.Errorf("%w: for another cluster", ErrInvalidToken)
	}
	return fmt.Errorf("%w: malformed or signed by an unknown key", ErrInvalidToken)
}

// checkClaims checks the claims that the JWT library does not check.
func checkClaims(claims *jwt.RegisteredClaims) (Token, error) {
	if claims.IssuedAt == nil || claims.ExpiresAt.Sub(claims.IssuedAt.Time) > MaxTokenLifetime {
		return Token{}, fmt.Errorf("%w: lives too long", ErrInvalidToken)
	}
	if claims.ID == "" || len(claims.ID) > maxIDBytes {
		return Token{}, fmt.Errorf("%w: has no id", ErrInvalidToken)
	}
	name, err := ParseName(claims.Subject)
	if err != nil || !name.IsCaller() {
		return Token{}, fmt.Errorf("%w: for nobody", ErrInvalidToken)
	}
	return Token{Name: name, ID: claims.ID, Issued: claims.IssuedAt.Time, Expires: claims.ExpiresAt.Time}, nil
}
