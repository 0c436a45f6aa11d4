// Package tlsfiles serves certificates from files that change while the daemon
// runs: a renewed certificate is in use without a restart, a broken one leaves
// the one before in use and is logged.
//
// Links between entry VMs authenticate both ends by the authorities in
// peer_ca. The name in the certificate is not compared with the address: entry
// VMs are equal and replaced at any time, so one certificate may serve all of
// them, and whoever holds one may speak for any.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/telemetry/event"
)

// pollEvery is how often files are looked at. Renewals come days before the
// old certificate ends.
const pollEvery = 30 * time.Second

// Files holds the certificates in use.
type Files struct {
	caller *pair // nil when callers use plain TCP
	peer   *pair // nil when peers use plain TCP
	ca     *pool
	log    *event.Log
}

// New reads the files that t names.
func New(t settings.TLS, log *event.Log) (*Files, error) {
	f := &Files{log: log}
	if t.Cert != "" {
		f.caller = &pair{cert: t.Cert, key: t.Key}
	}
	if t.PeerCert != "" {
		f.peer = &pair{cert: t.PeerCert, key: t.PeerKey}
		f.ca = &pool{file: t.PeerCA}
	}
	for _, s := range f.sources() {
		if err := s.load(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// source is a file or pair of files that is read again when it changes.
type source interface {
	name() string
	stamp() stamp
	seen() stamp
	load() error
	expires() time.Time // zero when it does not matter
}

func (f *Files) sources() []source {
	var list []source
	if f.caller != nil {
		list = append(list, f.caller)
	}
	if f.peer != nil {
		list = append(list, f.peer, f.ca)
	}
	return list
}

// Run looks for changed files until ctx ends.
func (f *Files) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f.Reload()
		}
	}
}

// Reload reads the files that changed since they were last read.
func (f *Files) Reload() {
	for _, s := range f.sources() {
		if s.stamp() == s.seen() {
			continue
		}
		if err := s.load(); err != nil {
			f.log.Emit(event.CertificateRefused, s.name(), err.Error())
			continue
		}
		f.log.Emit(event.CertificateLoaded, s.name(), s.expires())
	}
}

// CallerServer returns the configuration of the callers' listener, nil for plain TCP.
func (f *Files) CallerServer() *tls.Config {
	if f.caller == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: f.caller.server}
}

// PeerServer returns the configuration of the listener for other entry VMs,
// nil for plain TCP.
func (f *Files) PeerServer() *tls.Config {
	if f.peer == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: f.peer.server,
		ClientAuth:     tls.RequireAnyClientCert,
		// Verified here and not by ClientCAs, which could not be reloaded.
		VerifyConnection: f.verify(x509.ExtKeyUsageClientAuth),
	}
}

// PeerClient returns the configuration of calls to other entry VMs, nil for
// plain TCP.
func (f *Files) PeerClient() *tls.Config {
	if f.peer == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: f.peer.client,
		// The chain is verified below against the authorities in use now;
		// the package comment says why the name is not.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify checks the other end's chain. It also runs on resumed sessions, so a
// removed authority ends them.
func (f *Files) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("the peer has no certificate")
		}
		options := x509.VerifyOptions{
			Roots:         f.ca.current.Load(),
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, c := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return errors.Wrap(err, "certificate of the peer")
	}
}

// stamp tells versions of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

func stampOf(files ...string) stamp {
	var s stamp
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			continue
		}
		s.size = s.size*31 + info.Size()
		if info.ModTime().After(s.modified) {
			s.modified = info.ModTime()
		}
	}
	return s
}

// pair is a certificate with its key.
type pair struct {
	cert, key string
	last      stamp
	current   atomic.Pointer[tls.Certificate]
}

func (p *pair) name() string { return p.cert }
func (p *pair) stamp() stamp { return stampOf(p.cert, p.key) }
func (p *pair) seen() stamp  { return p.last }

func (p *pair) load() error {
	p.last = p.stamp()
	loaded, err := tls.LoadX509KeyPair(p.cert, p.key)
	if err != nil {
		return errors.Wrap(err, p.cert)
	}
	p.current.Store(&loaded)
	return nil
}

func (p *pair) expires() time.Time { return p.current.Load().Leaf.NotAfter }

func (p *pair) server(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current.Load(), nil }

func (p *pair) client(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// pool is a file of authorities.
type pool struct {
	file    string
	last    stamp
	current atomic.Pointer[x509.CertPool]
}

func (p *pool) name() string       { return p.file }
func (p *pool) stamp() stamp       { return stampOf(p.file) }
func (p *pool) seen() stamp        { return p.last }
func (p *pool) expires() time.Time { return time.Time{} }

func (p *pool) load() error {
	p.last = p.stamp()
	text, err := os.ReadFile(p.file)
	if err != nil {
		return errors.Wrap(err, p.file)
	}
	loaded := x509.NewCertPool()
	if !loaded.AppendCertsFromPEM(text) {
		return errors.Errorf("%s holds no certificate", p.file)
	}
	p.current.Store(loaded)
	return nil
}
