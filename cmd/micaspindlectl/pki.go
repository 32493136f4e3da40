package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"micaspindle/internal/identity"
	"micaspindle/internal/pki"
)

const day = 24 * time.Hour

type pkiDir struct {
	Dir string `default:"pki" env:"SPINDLE_PKI" type:"path" help:"The authority's folder. Its keys open everything: keep it off the cluster's machines."`
}

type pkiCmd struct {
	Init           pkiInitCmd   `cmd:"" help:"Make a root and a key for tokens."`
	Issue          pkiIssueCmd  `cmd:"" help:"Issue certificates."`
	Renew          pkiRenewCmd  `cmd:"" help:"Renew certificates, with new keys."`
	List           pkiListCmd   `cmd:"" help:"List what was issued."`
	RotateTokenKey pkiRotateCmd `cmd:"" help:"Make a new key for tokens; the former stays good until the next time."`
}

type pkiInitCmd struct {
	pkiDir
	Name string `default:"micaspindle root" help:"The root's common name."`
	Days int    `default:"3650" help:"For how many days."`
}

// Help shows examples.
func (pkiInitCmd) Help() string {
	return "Example:\n  micaspindlectl pki init --dir pki --name 'Ombili root'"
}

// Run makes an authority.
func (p *pkiInitCmd) Run() error {
	a, err := pki.Create(p.Dir, p.Name, time.Now(), time.Duration(p.Days)*day)
	if err != nil {
		return usageError{err}
	}
	fmt.Printf("root %s, until %s\nfor every machine: %s and %s\n", identity.Fingerprint(a.Root()), a.Root().NotAfter.Format(time.DateOnly),
		filepath.Join(p.Dir, pki.RootFile), filepath.Join(p.Dir, pki.TokenKeysFile))
	return nil
}

type pkiIssueCmd struct {
	pkiDir
	Names []string `arg:"" name:"name" help:"Names, KIND/ID: person, service, controller or worker."`
	Days  int      `default:"90" help:"For how many days."`
}

// Help shows examples.
func (pkiIssueCmd) Help() string {
	return "A controller's id is its label; machines whose names the cloud hands out share worker/any.\n\nExample:\n  micaspindlectl pki issue controller/spindle-0 worker/any person/anna"
}

// Run issues certificates.
func (p *pkiIssueCmd) Run(c *cli) error { return issue(c, p.Dir, p.Names, p.Days, false) }

type pkiRenewCmd struct {
	pkiDir
	Names []string `arg:"" name:"name" help:"Names, KIND/ID."`
	Days  int      `default:"90" help:"For how many days."`
}

// Run renews certificates.
func (p *pkiRenewCmd) Run(c *cli) error { return issue(c, p.Dir, p.Names, p.Days, true) }

func issue(c *cli, dir string, names []string, days int, renew bool) error {
	a, err := pki.Open(dir)
	if err != nil {
		return usageError{err}
	}
	var parsed []identity.Name
	for _, text := range names {
		n, err := identity.ParseName(text)
		if err != nil {
			return usageError{err}
		}
		parsed = append(parsed, n)
	}
	var list []pki.Issued
	for _, n := range parsed {
		issued, err := a.Issue(n, time.Now(), time.Duration(days)*day, renew)
		if err != nil {
			return usageError{err}
		}
		list = append(list, *issued)
	}
	return c.printIssued(list)
}

type issuedView struct {
	Name  string    `json:"name"`
	Until time.Time `json:"until"`
	File  string    `json:"file"`
}

func (c *cli) printIssued(list []pki.Issued) error {
	views := []issuedView{}
	var rows [][]any
	for _, i := range list {
		views = append(views, issuedView{i.Name.String(), i.Until, i.File})
		left := fmt.Sprintf("%.0f days", time.Until(i.Until).Hours()/24)
		if time.Now().After(i.Until) {
			left = "ended"
		}
		rows = append(rows, []any{i.Name, i.Until.Format(time.DateOnly), left, i.File})
	}
	return c.print(views, "NAME\tUNTIL\tLEFT\tFILE", rows)
}

type pkiListCmd struct{ pkiDir }

// Run lists what was issued.
func (p *pkiListCmd) Run(c *cli) error {
	a, err := pki.Open(p.Dir)
	if err != nil {
		return usageError{err}
	}
	list, err := a.List()
	if err != nil {
		return err
	}
	slices.SortFunc(list, func(a, b pki.Issued) int { return a.Until.Compare(b.Until) })
	return c.printIssued(list)
}

type pkiRotateCmd struct{ pkiDir }

// Run rotates the key for tokens.
func (p *pkiRotateCmd) Run() error {
	if _, err := pki.Open(p.Dir); err != nil {
		return usageError{err}
	}
	if err := pki.RotateTokenKey(p.Dir); err != nil {
		return err
	}
	fmt.Printf("bring %s to every controller before tokens of the new key are used\n", filepath.Join(p.Dir, pki.TokenKeysFile))
	return nil
}

type tokenCmd struct {
	pkiDir
	Name    string        `arg:"" help:"For whom: person/ID or service/ID."`
	Cluster string        `required:"" help:"The cluster's name, as its settings have it."`
	For     time.Duration `default:"8h" help:"How long it is good, at most 168h."`
	Out     string        `type:"path" help:"File to write it to, for its owner only; default: standard output."`
}

// Help shows examples.
func (tokenCmd) Help() string {
	return "Who holds the token is taken for its owner until it ends.\n\nExample:\n  micaspindlectl token person/anna --cluster hosted --for 8h --out anna.token"
}

// Run signs a token.
func (t *tokenCmd) Run() error {
	name, err := identity.ParseName(t.Name)
	if err != nil {
		return usageError{err}
	}
	key, err := pki.TokenKey(t.Dir)
	if err != nil {
		return usageError{err}
	}
	token, err := identity.IssueToken(key, name, t.Cluster, time.Now(), t.For)
	if err != nil {
		return usageError{err}
	}
	if t.Out == "" {
		fmt.Println(token)
		return nil
	}
	if err := os.WriteFile(t.Out, []byte(token+"\n"), 0o600); err != nil {
		return err
	}
	fmt.Printf("%s, good until %s\n", strings.TrimSpace(t.Out), time.Now().Add(t.For).Format(time.RFC3339))
	return nil
}
