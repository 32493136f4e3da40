package auth

import (
	"errors"
	"strings"
	"time"

	"micaspindle/internal/coordination/apierror"
	"micaspindle/internal/identity"
	"micaspindle/internal/rights"
	"micaspindle/internal/transport"
)

// AnyWorker is the id in certificates that machines share, where the cloud chooses machine
// names only when it rents them out.
const AnyWorker = "any"

// The verbs under which the audit has the messages of workers and of controllers.
const (
	verbHeartbeat = "report"
	verbPeer      = "peer"
)

// errPolicyStale refuses requests while the policy may lack a revocation.
var errPolicyStale = apierror.NotReady("policy is not up to date here", 1)

// credential is what a request proves.
type credential struct {
	name identity.Name
	// issued is when the token was issued; zero for a certificate.
	issued time.Time
	// description tells the credential from others, in the audit.
	description string
}

func (c *credential) isCertificate() bool { return c.issued.IsZero() }

// Authenticate returns who sends a request, or the error that refuses it. The caller is nil
// while requests need no identity.
func (a *Auth) Authenticate(req *transport.Request, verb string) (*Caller, error) {
	if !a.enabled {
		return nil, nil
	}
	caller := &Caller{RemoteAddr: req.From}
	proven, err := a.checkCredential(req)
	if err != nil {
		return nil, a.rejectCredential(caller, verb, err.Error())
	}
	caller.Name, caller.Credential = proven.name.String(), proven.description
	if req.OnBehalfOf != "" {
		if err := a.actOnBehalf(caller, &proven, req.OnBehalfOf, verb); err != nil {
			return nil, err
		}
		return caller, nil
	}
	if err := a.checkCaller(caller, &proven, verb); err != nil {
		return nil, err
	}
	return caller, nil
}

// checkCredential checks the token of a request, or if it has none the certificate of its
// connection.
func (a *Auth) checkCredential(req *transport.Request) (credential, error) {
	switch {
	case req.Authorization != "":
		return a.checkToken(req.Authorization)
	case req.Peer != nil:
		return a.checkCertificate(req)
	}
	return credential{}, errors.New("no credential")
}

func (a *Auth) checkToken(authorization string) (credential, error) {
	scheme, text, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return credential{}, errors.New("authorization is not of the kind Bearer")
	}
	token, err := a.tokens.Check(strings.TrimSpace(text))
	if err != nil {
		return credential{}, err
	}
	return credential{name: token.Name, issued: token.Issued, description: "token " + token.ID}, nil
}

// checkCertificate reads the name in a certificate that the handshake has verified. The
// connection may have been open for longer than the certificate is valid.
func (a *Auth) checkCertificate(req *transport.Request) (credential, error) {
	if now := time.Now().Add(a.clockBound); !now.Before(req.Peer.NotAfter) {
		return credential{}, errors.New("certificate expired")
	}
	name, err := identity.FromCertificate(req.Peer)
	if err != nil {
		return credential{}, err
	}
	return credential{name: name, description: "certificate " + identity.Fingerprint(req.Peer)}, nil
}

// checkCaller refuses who may send no request at all by the policy.
func (a *Auth) checkCaller(caller *Caller, proven *credential, verb string) error {
	if !proven.name.Caller() {
		return a.Deny(caller, verb, rights.Queue{}, "", "a "+string(proven.name.Kind)+" sends no users' requests")
	}
	view := a.policy.Load()
	if view == nil || !a.policyFresh() {
		return errPolicyStale
	}
	if !proven.isCertificate() && view.Rights.Voids(caller.Name, proven.issued) {
		return a.rejectCredential(caller, verb, "token was issued before it was voided")
	}
	if !view.Rights.Known(caller.Name) && !a.isBootstrap(view, caller.Name) {
		return a.Deny(caller, verb, rights.Queue{}, "", "not in the policy, or revoked")
	}
	return nil
}

// actOnBehalf makes a service's request that of the caller it names. The service must have
// shown its certificate and hold the right to vouch; what may be done is decided by the
// rights of the one who is named.
func (a *Auth) actOnBehalf(caller *Caller, proven *credential, onBehalfOf, verb string) error {
	view := a.policy.Load()
	if view == nil || !a.policyFresh() {
		return errPolicyStale
	}
	if !proven.isCertificate() || proven.name.Kind != identity.Service || !view.Rights.HoldsAny(caller.Name, rights.Vouch) {
		return a.Deny(caller, verb, rights.Queue{}, "", "vouches for "+Clip(onBehalfOf)+", which it may not")
	}
	name, err := identity.ParseName(onBehalfOf)
	if err != nil || !name.Caller() {
		return a.Deny(caller, verb, rights.Queue{}, "", "vouches for "+Clip(onBehalfOf)+", who can be no caller")
	}
	caller.Service, caller.Name = caller.Name, name.String()
	caller.Credential = "vouched for by " + caller.Service + ", " + caller.Credential
	return nil
}

// AuthenticateWorker returns which worker sends a heartbeat, or the error that refuses it.
func (a *Auth) AuthenticateWorker(req *transport.Request) (*Caller, error) {
	return a.authenticateMachine(req, verbHeartbeat, func(name identity.Name) bool { return name.Kind == identity.Worker })
}

// AuthenticatePeer returns which controller sends a message, or the error that refuses it.
func (a *Auth) AuthenticatePeer(req *transport.Request) (*Caller, error) {
	return a.authenticateMachine(req, verbPeer, func(name identity.Name) bool {
		return name.Kind == identity.Controller && a.Peers[name.ID] != nil
	})
}

// authenticateMachine returns which worker or controller sends a message. Only a certificate
// proves that, and only one whose name accept takes.
func (a *Auth) authenticateMachine(req *transport.Request, verb string, accept func(identity.Name) bool) (*Caller, error) {
	if !a.enabled {
		return nil, nil
	}
	caller := &Caller{RemoteAddr: req.From}
	if req.Peer == nil {
		return nil, a.rejectCredential(caller, verb, "no certificate")
	}
	proven, err := a.checkCertificate(req)
	if err != nil {
		return nil, a.rejectCredential(caller, verb, err.Error())
	}
	caller.Name, caller.Credential = proven.name.String(), proven.description
	if !accept(proven.name) {
		return nil, a.Deny(caller, verb, rights.Queue{}, "", "of the wrong kind, or not of this cluster")
	}
	return caller, nil
}

// CheckWorker refuses a heartbeat that does not come from the machine that it names.
func (a *Auth) CheckWorker(caller *Caller, machine string) error {
	return a.checkSender(caller, verbHeartbeat, identity.Name{Kind: identity.Worker, ID: machine})
}

// CheckPeer refuses a message that does not come from the controller that it names.
func (a *Auth) CheckPeer(caller *Caller, label string) error {
	return a.checkSender(caller, verbPeer, identity.Name{Kind: identity.Controller, ID: label})
}

func (a *Auth) checkSender(caller *Caller, verb string, named identity.Name) error {
	if !a.enabled || caller.Name == named.String() || caller.Name == anyWorkerName {
		return nil
	}
	return a.Deny(caller, verb, rights.Queue{}, "", "speaks for "+Clip(named.String()))
}

// anyWorkerName is the name in the certificates that machines share.
var anyWorkerName = identity.Name{Kind: identity.Worker, ID: AnyWorker}.String()
