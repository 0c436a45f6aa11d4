// Package tlsfiles provides TLS configurations whose certificates are reloaded from their files
// while the daemon runs. A renewed certificate is used without a restart; a file that cannot be
// loaded is logged, and the previous certificate stays in use.
//
// On links between entry VMs, both ends verify the other's certificate against the authorities in
// peer_ca. The name in the certificate is not compared with the address: entry VMs have identical
// roles and are replaced at any time, so they may all use the same certificate. Any process that has
// the key of such a certificate can therefore act as any entry VM.
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

// pollInterval is the time between two checks for changed files. Certificates are renewed days
// before they expire.
const pollInterval = 30 * time.Second

// Files holds the certificates that are in use and reloads them from their files.
type Files struct {
	caller  *pair // nil if callers connect by plain TCP
	peer    *pair // nil if peers connect by plain TCP
	peerCAs *caPool
	log     *event.Log
}

// New loads the files named in t.
func New(t settings.TLS, log *event.Log) (*Files, error) {
	f := &Files{log: log}
	if t.Cert != "" {
		f.caller = &pair{cert: t.Cert, key: t.Key}
	}
	if t.PeerCert != "" {
		f.peer = &pair{cert: t.PeerCert, key: t.PeerKey}
		f.peerCAs = &caPool{file: t.PeerCA}
	}
	for _, s := range f.sources() {
		if err := s.load(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// source is a file, or a certificate file with its key file, that is reloaded when it changes.
type source interface {
	name() string
	fileVersion() fileVersion
	lastAttempted() fileVersion
	load() error
	expiresAt() time.Time // zero if unknown
}

func (f *Files) sources() []source {
	var list []source
	if f.caller != nil {
		list = append(list, f.caller)
	}
	if f.peer != nil {
		list = append(list, f.peer, f.peerCAs)
	}
	return list
}

// Run reloads changed files until ctx ends.
func (f *Files) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
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

// Reload loads the files that have changed since the last attempt to load them.
func (f *Files) Reload() {
	for _, s := range f.sources() {
		if s.fileVersion() == s.lastAttempted() {
			continue
		}
		if err := s.load(); err != nil {
			f.log.Emit(event.CertificateRefused, s.name(), err.Error())
			continue
		}
		f.log.Emit(event.CertificateLoaded, s.name(), s.expiresAt())
	}
}

// CallerServer returns the TLS configuration of the listener for callers, nil for plain TCP.
func (f *Files) CallerServer() *tls.Config {
	if f.caller == nil {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: f.caller.server}
}

// PeerServer returns the TLS configuration of the listener for other entry VMs, nil for plain TCP.
func (f *Files) PeerServer() *tls.Config {
	if f.peer == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: f.peer.server,
		ClientAuth:     tls.RequireAnyClientCert,
		// VerifyConnection replaces ClientCAs, which cannot be reloaded.
		VerifyConnection: f.chainVerifier(x509.ExtKeyUsageClientAuth),
	}
}

// PeerClient returns the TLS configuration of calls to other entry VMs, nil for plain TCP.
func (f *Files) PeerClient() *tls.Config {
	if f.peer == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: f.peer.client,
		// VerifyConnection verifies the chain against the current authorities; the package comment
		// explains why the name is not verified.
		InsecureSkipVerify: true,
		VerifyConnection:   f.chainVerifier(x509.ExtKeyUsageServerAuth),
	}
}

// chainVerifier returns a function that verifies the peer's certificate chain. TLS calls it for
// resumed sessions too, so a session cannot be resumed once its authority has been removed.
func (f *Files) chainVerifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		options := x509.VerifyOptions{
			Roots:         f.peerCAs.current.Load(),
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{usage},
		}
		for _, c := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return errors.Wrap(err, "verify peer certificate")
	}
}

// fileVersion identifies the content of a file, or of two, by modification time and size.
type fileVersion struct {
	modified time.Time
	size     int64
}

func versionOf(files ...string) fileVersion {
	var s fileVersion
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

// pair is a certificate file with its key file.
type pair struct {
	cert, key string
	attempted fileVersion // of the last attempt to load
	current   atomic.Pointer[tls.Certificate]
}

func (p *pair) name() string               { return p.cert }
func (p *pair) fileVersion() fileVersion   { return versionOf(p.cert, p.key) }
func (p *pair) lastAttempted() fileVersion { return p.attempted }

func (p *pair) load() error {
	p.attempted = p.fileVersion()
	loaded, err := tls.LoadX509KeyPair(p.cert, p.key)
	if err != nil {
		return errors.Wrap(err, p.cert)
	}
	p.current.Store(&loaded)
	return nil
}

func (p *pair) expiresAt() time.Time { return p.current.Load().Leaf.NotAfter }

// server implements tls.Config.GetCertificate.
func (p *pair) server(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.current.Load(), nil }

// client implements tls.Config.GetClientCertificate.
func (p *pair) client(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// caPool is a file of certificate authorities.
type caPool struct {
	file      string
	attempted fileVersion // of the last attempt to load
	current   atomic.Pointer[x509.CertPool]
}

func (p *caPool) name() string               { return p.file }
func (p *caPool) fileVersion() fileVersion   { return versionOf(p.file) }
func (p *caPool) lastAttempted() fileVersion { return p.attempted }
func (p *caPool) expiresAt() time.Time       { return time.Time{} }

func (p *caPool) load() error {
	p.attempted = p.fileVersion()
	text, err := os.ReadFile(p.file)
	if err != nil {
		return errors.Wrap(err, p.file)
	}
	loaded := x509.NewCertPool()
	if !loaded.AppendCertsFromPEM(text) {
		return errors.Errorf("%s contains no PEM certificate", p.file)
	}
	p.current.Store(loaded)
	return nil
}
