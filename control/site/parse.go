package site

import (
	"fmt"

	"mallowwind.dev/control/inifile"
)

// MaxTextBytes bounds the site text in bytes: the store holds a megabyte per value,
// and the value carries who wrote it beside the text.
const MaxTextBytes = 1<<20 - 16<<10

// Parse reads a site text; name stands in the errors. Its error is an
// inifile.Errors that lists every fault as "file:line: what: what to write instead".
func Parse(name string, text []byte) (*Site, error) {
	errs := &inifile.Collector{File: name}
	if len(text) > MaxTextBytes {
		errs.Add(0, fmt.Sprintf("the text has %d bytes", len(text)), fmt.Sprintf("keep it under %d bytes", MaxTextBytes))
		return nil, errs.Err()
	}
	p := parser{errs: errs, site: &Site{
		Text:     string(text),
		Services: map[string]*Service{},
		Pools:    map[string]*Pool{},
		Accounts: map[string]*Account{},
		Limits:   DefaultLimits(),
	}, at: map[string]*inifile.Section{}}
	for _, s := range inifile.Parse(text, errs) {
		p.section(s)
	}
	p.check()
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return p.site, nil
}

type parser struct {
	errs *inifile.Collector
	site *Site
	at   map[string]*inifile.Section // by header, for the lines of cross-checks
}

func (p *parser) section(s *inifile.Section) {
	p.at[s.Header()] = s
	switch s.Kind {
	case "site", "limits":
		p.single(s)
	case "service":
		if p.named(s) {
			svc := newService(s.Name)
			inifile.Decode(s, serviceFields, svc, p.errs)
			p.site.Services[s.Name] = svc
		}
	case "pool":
		if p.named(s) {
			pool := newPool(s.Name)
			inifile.Decode(s, poolFields, pool, p.errs)
			p.site.Pools[s.Name] = pool
		}
	case "account":
		if p.named(s) {
			account := newAccount(s.Name)
			inifile.Decode(s, accountFields, account, p.errs)
			p.site.Accounts[s.Name] = account
		}
	default:
		p.errs.Add(s.Line, fmt.Sprintf("unknown section [%s]", s.Header()),
			"write [site], [limits], [pool NAME], [service NAME] or [account NAME]")
	}
}

func (p *parser) single(s *inifile.Section) {
	if s.Name != "" {
		p.errs.Add(s.Line, fmt.Sprintf("section [%s] has a name", s.Header()), "write ["+s.Kind+"]")
	}
	if s.Kind == "site" {
		inifile.Decode(s, siteFields, p.site, p.errs)
		return
	}
	inifile.Decode(s, limitFields, &p.site.Limits, p.errs)
}

func (p *parser) named(s *inifile.Section) bool {
	if inifile.IsName(s.Name) {
		return true
	}
	p.errs.Add(s.Line, fmt.Sprintf("section [%s] has no usable name", s.Header()),
		"write ["+s.Kind+" NAME] with letters, digits, '.', '_' and '-'")
	return false
}
