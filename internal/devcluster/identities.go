package devcluster

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/client"
	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
	"micaspindle/internal/rights"
	"micaspindle/internal/rights/policyfile"
	"micaspindle/internal/settings"
)

// Administrator is who writes the first policy.
const Administrator = "person/root"

const (
	clusterName = "lab"
	certLife    = 90 * 24 * time.Hour
	tokenLife   = 24 * time.Hour
)

// Hosted is the identities of a cluster: an authority in the cluster's folder,
// certificates of controllers and machines, tokens of people.
type Hosted struct {
	Roots string
	CA    *pki.Authority
	dir   string
	// settings are the controllers' identity section.
	settings settings.Identity
	worker   *identity.Keyring
}

// Prepare makes an authority and everything a cluster begins with.
func Prepare(dir string, controllers int) (*Hosted, error) {
	h := &Hosted{dir: filepath.Join(dir, "pki")}
	var err error
	// A folder of an earlier cluster goes on with its authority.
	if _, serr := os.Stat(filepath.Join(h.dir, pki.RootFile)); serr == nil {
		h.CA, err = pki.Open(h.dir)
	} else {
		h.CA, err = pki.Create(h.dir, "spindlelab root", time.Now(), 365*24*time.Hour)
	}
	if err != nil {
		return nil, err
	}
	h.Roots = filepath.Join(h.dir, pki.RootFile)
	names := []string{"worker/any"}
	for i := range controllers {
		names = append(names, fmt.Sprintf("controller/spindle-%d", i))
	}
	for _, text := range names {
		if _, err := h.certificate(text); err != nil {
			return nil, err
		}
	}
	if h.worker, err = identity.Load(identity.Files{Own: filepath.Join(h.dir, "worker-any.pem"), Roots: h.Roots}); err != nil {
		return nil, err
	}
	for _, who := range append(h.Others(), Administrator) {
		if err := h.Token(who, tokenLife); err != nil {
			return nil, err
		}
	}
	h.settings = settings.Identity{Own: filepath.Join(h.dir, "controller-{label}.pem"), Roots: h.Roots,
		TokenKeys: filepath.Join(h.dir, pki.TokenKeysFile), Cluster: clusterName, Bootstrap: Administrator}
	return h, nil
}

// certificate issues one, anew if there is one, and says where it lies.
func (h *Hosted) certificate(who string) (string, error) {
	name, err := identity.ParseName(who)
	if err != nil {
		return "", err
	}
	_, serr := os.Stat(h.CA.File(name))
	if _, err := h.CA.Issue(name, time.Now(), certLife, serr == nil); err != nil {
		return "", err
	}
	return h.CA.File(name), nil
}

// read is somebody's token.
func (h *Hosted) read(who string) (string, error) {
	token, err := os.ReadFile(h.TokenFile(who))
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	return strings.TrimSpace(string(token)), nil
}

// Others are the people of the policy that a cluster begins with.
func (h *Hosted) Others() []string {
	return []string{"person/anna", "service/refunds", "person/partner", Builder}
}

// TokenFile is where somebody's token lies.
func (h *Hosted) TokenFile(who string) string {
	return filepath.Join(h.dir, strings.ReplaceAll(who, "/", "-")+".token")
}

// Token signs a token for somebody and keeps it.
func (h *Hosted) Token(who string, life time.Duration) error {
	name, err := identity.ParseName(who)
	if err != nil {
		return err
	}
	key, err := pki.TokenKey(h.dir)
	if err != nil {
		return err
	}
	token, err := identity.IssueToken(key, name, clusterName, time.Now(), life)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.TokenFile(who), []byte(token+"\n"), 0o600); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

func controllersOnly(n identity.Name) bool { return n.Kind == identity.Controller }

// reports is how machines speak to controllers.
func (h *Hosted) reports() *tls.Config {
	if h == nil {
		return nil
	}
	return h.worker.Client(controllersOnly)
}

// machines is how controllers speak to machines: nobody else is obeyed.
func (h *Hosted) machines() *tls.Config {
	if h == nil {
		return nil
	}
	config := h.worker.Server(true)
	config.VerifyConnection = func(cs tls.ConnectionState) error {
		name, err := identity.FromCertificate(cs.PeerCertificates[0])
		if err == nil && !controllersOnly(name) {
			err = fmt.Errorf("%s gives no orders", name)
		}
		return err
	}
	return config
}

// Client is somebody's client of the cluster.
func (c *Cluster) Client(who string) (*client.Client, error) {
	h := c.opt.Hosted
	if h == nil {
		return client.New(c.Addrs(), nil, ""), nil
	}
	token, err := h.read(who)
	if err != nil {
		return nil, err
	}
	config := h.reports()
	config.GetClientCertificate = nil
	return client.New(c.Addrs(), config, token), nil
}

// beginning is the policy that a cluster of the laboratory begins with.
func beginning(gates []*Gate) *rights.Document {
	all := []string{"submit", "view", "view-arguments", "withdraw", "reassign", "administer"}
	d := &rights.Document{
		Roles: []rights.Role{
			{Name: "administrator", Rules: []rights.Rule{{Verbs: all, Team: "*", Class: "*"}}},
			{Name: "builder", Rules: []rights.Rule{{Verbs: all[:4], Team: "*", Class: "build"}}},
			{Name: "gate", Rules: []rights.Rule{{Verbs: []string{"vouch", "view", "withdraw"}, Team: "*", Class: "build"}}},
			{Name: "clerk", Rules: []rights.Rule{{Verbs: []string{"submit", "view", "withdraw", "reassign"}, Team: "placements-desk", Class: "*"}}},
			{Name: "guest", Rules: []rights.Rule{{Verbs: []string{"view"}, Team: "*", Class: "*"}}},
			{Name: "refunds", Rules: []rights.Rule{{Verbs: all[:4], Team: "payments", Class: "refund-batch"}}},
		},
		Identities: []rights.Identity{{Name: "person/anna", Roles: []string{"clerk"}}, {Name: "person/partner", Roles: []string{"guest"}},
			{Name: Administrator, Roles: []string{"administrator"}}, {Name: Builder, Roles: []string{"builder"}}, {Name: "service/refunds", Roles: []string{"refunds"}}},
	}
	for _, g := range gates {
		d.Identities = append(d.Identities, rights.Identity{Name: "service/" + g.Label, Roles: []string{"gate"}})
	}
	return d
}

// WritePolicy writes the first policy, from a file if one is named, and waits
// until every controller follows it.
func (c *Cluster) WritePolicy(ctx context.Context, file string) error {
	doc := beginning(c.gates)
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if doc, err = policyfile.Parse(data); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if !slices.ContainsFunc(doc.Identities, func(id rights.Identity) bool { return id.Name == Administrator }) {
			return errors.New(file + ": does not name " + Administrator + ", who writes it here")
		}
	}
	cl, err := c.Client(Administrator)
	if err != nil {
		return err
	}
	var page rights.Page
	if err := cl.Do(ctx, "GET", "/policy/roles", nil, &page); err != nil {
		return err
	}
	plan, err := policyfile.Plan(&rights.Document{}, doc, page.MaxChanges)
	if err != nil {
		return err
	}
	version := page.Version
	for i := range plan {
		plan[i].Version = version
		var v rights.Version
		if err := cl.Do(ctx, "POST", "/policy", &plan[i], &v); err != nil {
			return err
		}
		version = v.Version
	}
	for _, n := range c.nodes {
		one := cl.At(n.Addr)
		for page.Version != version {
			if err := one.Do(ctx, "GET", "/policy/roles", nil, &page); err != nil {
				return err
			}
			if page.Version != version {
				time.Sleep(50 * time.Millisecond)
			}
		}
		page.Version = 0
	}
	return nil
}
