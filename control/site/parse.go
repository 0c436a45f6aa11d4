package site

import (
	"fmt"

	"mallowwind.dev/control/inifile"
)

// MaxTextBytes bounds the site text: the store accepts values of up to 1 MiB, and the value holds
// metadata such as the author beside the text.
const MaxTextBytes = 1<<20 - 16<<10

// Parse parses and validates a site text. name is the file name used in errors. The error is an
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
	}, sections: map[string]*inifile.Section{}}
	for _, s := range inifile.Parse(text, errs) {
		p.decodeSection(s)
	}
	p.check()
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return p.site, nil
}

type parser struct {
	errs     *inifile.Collector
	site     *Site
	sections map[string]*inifile.Section // by header, to find the lines of faults that check reports
}

func (p *parser) decodeSection(s *inifile.Section) {
	p.sections[s.Header()] = s
	switch s.Kind {
	case "site", "limits":
		p.decodeUnnamed(s)
	case "service":
		if p.hasValidName(s) {
			svc := newService(s.Name)
			inifile.Decode(s, serviceFields, svc, p.errs)
			p.site.Services[s.Name] = svc
		}
	case "pool":
		if p.hasValidName(s) {
			pool := newPool(s.Name)
			inifile.Decode(s, poolFields, pool, p.errs)
			p.site.Pools[s.Name] = pool
		}
	case "account":
		if p.hasValidName(s) {
			account := newAccount(s.Name)
			inifile.Decode(s, accountFields, account, p.errs)
			p.site.Accounts[s.Name] = account
		}
	default:
		p.errs.Add(s.Line, fmt.Sprintf("unknown section [%s]", s.Header()),
			"write [site], [limits], [pool NAME], [service NAME] or [account NAME]")
	}
}

func (p *parser) decodeUnnamed(s *inifile.Section) {
	if s.Name != "" {
		p.errs.Add(s.Line, fmt.Sprintf("section [%s] has a name", s.Header()), "write ["+s.Kind+"]")
	}
	if s.Kind == "site" {
		inifile.Decode(s, siteFields, p.site, p.errs)
		return
	}
	inifile.Decode(s, limitFields, &p.site.Limits, p.errs)
}

func (p *parser) hasValidName(s *inifile.Section) bool {
	if inifile.IsName(s.Name) {
		return true
	}
	p.errs.Add(s.Line, fmt.Sprintf("section [%s] has no usable name", s.Header()),
		"write ["+s.Kind+" NAME] with letters, digits, '.', '_' and '-'")
	return false
}
