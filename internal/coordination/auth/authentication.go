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

// sharedWorkerID is the worker id in a certificate that is shared by many machines, for clouds
// that choose a machine's name only when the machine is created.
const sharedWorkerID = "any"

// The verbs of heartbeats and of messages between controllers in audit records.
const (
	verbHeartbeat = "report"
	verbPeer      = "peer"
)

// errPolicyStale rejects requests while the cached policy may lack a recent revocation.
var errPolicyStale = apierror.NotReady("policy is not up to date here", 1)

// credential is the verified identity of a request's sender.
type credential struct {
	name identity.Name
	// issued is the time at which the token was issued; zero for a certificate.
	issued time.Time
	// description identifies the credential in audit records.
	description string
}

func (c *credential) isCertificate() bool { return c.issued.IsZero() }

// Authenticate returns the caller of a request, or the error that rejects the request. The
// caller is nil if authentication is disabled.
func (a *Auth) Authenticate(req *transport.Request, verb string) (*Caller, error) {
	if !a.enabled {
		return nil, nil
	}
	caller := &Caller{RemoteAddr: req.RemoteAddr}
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

// checkCredential verifies the request's token or, if there is none, the client certificate of
// its connection.
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
	token, err := a.tokens.Verify(strings.TrimSpace(text))
	if err != nil {
		return credential{}, err
	}
	return credential{name: token.Name, issued: token.Issued, description: "token " + token.ID}, nil
}

// checkCertificate returns the identity in a client certificate. The TLS handshake has verified the
// certificate, but the certificate may have expired since.
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

// checkCaller rejects identities that may not send user requests: machines and controllers,
// identities with a voided token, and identities that are revoked or missing from the policy.
func (a *Auth) checkCaller(caller *Caller, proven *credential, verb string) error {
	if !proven.name.IsCaller() {
		return a.Deny(caller, verb, rights.Queue{}, "", "a "+string(proven.name.Kind)+" sends no users' requests")
	}
	view := a.policy.Load()
	if view == nil || !a.policyFresh() {
		return errPolicyStale
	}
	if !proven.isCertificate() && view.Rights.IsTokenRevoked(caller.Name, proven.issued) {
		return a.rejectCredential(caller, verb, "token was issued before it was voided")
	}
	if !view.Rights.IsActive(caller.Name) && !a.mayBootstrapPolicy(view, caller.Name) {
		return a.Deny(caller, verb, rights.Queue{}, "", "not in the policy, or revoked")
	}
	return nil
}

// actOnBehalf makes the user in a service's On-Behalf-Of header the caller of the request. The
// service must authenticate with a certificate and have the Vouch permission. The request is then
// authorized by the permissions of the user.
func (a *Auth) actOnBehalf(caller *Caller, proven *credential, onBehalfOf, verb string) error {
	view := a.policy.Load()
	if view == nil || !a.policyFresh() {
		return errPolicyStale
	}
	if !proven.isCertificate() || proven.name.Kind != identity.Service || !view.Rights.HoldsAny(caller.Name, rights.ActOnBehalf) {
		return a.Deny(caller, verb, rights.Queue{}, "", "vouches for "+TruncateForAudit(onBehalfOf)+", which it may not")
	}
	name, err := identity.ParseName(onBehalfOf)
	if err != nil || !name.IsCaller() {
		return a.Deny(caller, verb, rights.Queue{}, "", "vouches for "+TruncateForAudit(onBehalfOf)+", who can be no caller")
	}
	caller.Service, caller.Name = caller.Name, name.String()
	caller.Credential = "vouched for by " + caller.Service + ", " + caller.Credential
	return nil
}

// AuthenticateWorker returns the worker that sent a heartbeat, or the error that rejects it.
func (a *Auth) AuthenticateWorker(req *transport.Request) (*Caller, error) {
	return a.authenticateByCertificate(req, verbHeartbeat, func(name identity.Name) bool { return name.Kind == identity.Worker })
}

// AuthenticatePeer returns the controller that sent a message, or the error that rejects it.
func (a *Auth) AuthenticatePeer(req *transport.Request) (*Caller, error) {
	return a.authenticateByCertificate(req, verbPeer, func(name identity.Name) bool {
		return name.Kind == identity.Controller && a.Peers[name.ID] != nil
	})
}

// authenticateByCertificate returns the worker or controller that sent a message. It rejects
// messages without a client certificate, and certificates for whose name accept returns false.
func (a *Auth) authenticateByCertificate(req *transport.Request, verb string, accept func(identity.Name) bool) (*Caller, error) {
	if !a.enabled {
		return nil, nil
	}
	caller := &Caller{RemoteAddr: req.RemoteAddr}
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

// CheckWorker rejects a heartbeat whose sender isn't the machine named in it.
func (a *Auth) CheckWorker(caller *Caller, machine string) error {
	return a.checkSender(caller, verbHeartbeat, identity.Name{Kind: identity.Worker, ID: machine})
}

// CheckPeer rejects a message whose sender isn't the controller named in it.
func (a *Auth) CheckPeer(caller *Caller, label string) error {
	return a.checkSender(caller, verbPeer, identity.Name{Kind: identity.Controller, ID: label})
}

// checkSender rejects a message whose sender is neither the identity named in it nor the holder
// of a shared worker certificate.
func (a *Auth) checkSender(caller *Caller, verb string, named identity.Name) error {
	if !a.enabled || caller.Name == named.String() || caller.Name == sharedWorkerName {
		return nil
	}
	return a.Deny(caller, verb, rights.Queue{}, "", "speaks for "+TruncateForAudit(named.String()))
}

// sharedWorkerName is the identity name in a shared worker certificate.
var sharedWorkerName = identity.Name{Kind: identity.Worker, ID: sharedWorkerID}.String()
