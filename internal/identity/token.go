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
	// MaxTokenLife is how long a token may be valid for.
	MaxTokenLife = 7 * 24 * time.Hour
	// maxTokenSize bounds a token, in bytes.
	maxTokenSize = 2048
	// tokenIDSize is the length of a token's id, in characters.
	tokenIDSize = 16
	// cachedTokens is how many valid tokens are remembered.
	cachedTokens = 4096
)

// Token is what a valid token proves.
type Token struct {
	Name Name
	// ID tells the token from others, in the audit; it is not secret.
	ID      string
	Issued  time.Time
	Expires time.Time
}

// ErrToken means that a token proves nothing.
var ErrToken = errors.New("token is not good")

var errTokenExpired = fmt.Errorf("%w: expired", ErrToken)

// IssueToken signs a token for a name. What it returns is a secret.
func IssueToken(key ed25519.PrivateKey, name Name, audience string, now time.Time, life time.Duration) (string, error) {
	if !name.Caller() {
		return "", fmt.Errorf("a token is for a person or a service, not for a %s", name.Kind)
	}
	if life <= 0 || life > MaxTokenLife {
		return "", fmt.Errorf("a token lives for more than nothing and at most a week (%s)", MaxTokenLife)
	}
	token := jwt.NewWithClaims(jwt.SigningMethodEdDSA, jwt.RegisteredClaims{
		Issuer:    issuer,
		Subject:   name.String(),
		Audience:  jwt.ClaimStrings{audience},
		ID:        rand.Text()[:tokenIDSize],
		IssuedAt:  jwt.NewNumericDate(now),
		NotBefore: jwt.NewNumericDate(now),
		ExpiresAt: jwt.NewNumericDate(now.Add(life)),
	})
	token.Header["kid"] = KeyID(key.Public().(ed25519.PublicKey))
	signed, err := token.SignedString(key)
	if err != nil {
		return "", errors.New("token could not be signed")
	}
	return signed, nil
}

// Tokens checks tokens and remembers valid ones; it may be used by several
// goroutines.
type Tokens struct {
	keys     *Keyring
	audience string
	// clockBound is by how much this process's clock may be off.
	clockBound time.Duration
	cache      atomic.Pointer[tokenCache]
}

// tokenCache has valid tokens by their hash, as long as the keys are those that
// they were checked with.
type tokenCache struct {
	keys   *snapshot
	tokens *lru.Cache[[sha256.Size]byte, Token]
}

// NewTokens checks tokens for an audience with the keyring's keys.
func NewTokens(keys *Keyring, audience string, clockBound time.Duration) *Tokens {
	return &Tokens{keys: keys, audience: audience, clockBound: clockBound}
}

// Check says what a token proves. The clock may be off by its bound, so a token
// counts as expired as soon as it may be, and as valid as soon as it may be: no
// token is accepted after its end.
func (t *Tokens) Check(raw string) (Token, error) {
	if len(raw) > maxTokenSize {
		return Token{}, fmt.Errorf("%w: too long", ErrToken)
	}
	latest := t.keys.now().Add(t.clockBound)
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
	token, err := verifyToken(raw, cache.keys.tokenKeys, t.audience, latest)
	if err == nil {
		cache.tokens.Add(sum, token)
	}
	return token, err
}

// currentCache returns the cache for the keyring's present keys, a new one if they have
// changed.
func (t *Tokens) currentCache() (*tokenCache, error) {
	keys := t.keys.current.Load()
	if cache := t.cache.Load(); cache != nil && cache.keys == keys {
		return cache, nil
	}
	tokens, err := lru.New[[sha256.Size]byte, Token](cachedTokens)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrToken, err)
	}
	cache := &tokenCache{keys: keys, tokens: tokens}
	t.cache.Store(cache)
	return cache, nil
}

// verifyToken checks a token's signature and claims.
func verifyToken(raw string, keys map[string]ed25519.PublicKey, audience string, latest time.Time) (Token, error) {
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
		jwt.WithTimeFunc(func() time.Time { return latest }),
		jwt.WithStrictDecoding())
	if err != nil {
		return Token{}, explainTokenError(err)
	}
	return checkClaims(&claims)
}

// explainTokenError says why a token does not hold. The library's own words might hold parts
// of the token.
func explainTokenError(err error) error {
	switch {
	case errors.Is(err, jwt.ErrTokenExpired):
		return errTokenExpired
	case errors.Is(err, jwt.ErrTokenNotValidYet):
		return fmt.Errorf("%w: not valid yet", ErrToken)
	case errors.Is(err, jwt.ErrTokenInvalidAudience):
		return fmt.Errorf("%w: for another cluster", ErrToken)
	}
	return fmt.Errorf("%w: malformed or signed by an unknown key", ErrToken)
}

// checkClaims checks the claims that the library does not.
func checkClaims(claims *jwt.RegisteredClaims) (Token, error) {
	if claims.IssuedAt == nil || claims.ExpiresAt.Sub(claims.IssuedAt.Time) > MaxTokenLife {
		return Token{}, fmt.Errorf("%w: lives too long", ErrToken)
	}
	if claims.ID == "" || len(claims.ID) > maxName {
		return Token{}, fmt.Errorf("%w: has no id", ErrToken)
	}
	name, err := ParseName(claims.Subject)
	if err != nil || !name.Caller() {
		return Token{}, fmt.Errorf("%w: for nobody", ErrToken)
	}
	return Token{Name: name, ID: claims.ID, Issued: claims.IssuedAt.Time, Expires: claims.ExpiresAt.Time}, nil
}
