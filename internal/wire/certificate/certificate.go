package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/timer"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = 5 * time.Second

// Reloader reads a key pair and the certificate authorities of the peer from files, and reloads them when they change.
type Reloader struct {
	// CertificateFile is the certificate chain in PEM.
	CertificateFile string
	// KeyFile is the private key in PEM.
	KeyFile string
	// CAFile is the certificate authorities of the peer in PEM, or empty for those of the system.
	CAFile string
	// RequireClientCertificate makes a server require and verify a client certificate.
	RequireClientCertificate bool
	// Timer is the clock.
	Timer *timer.Service

	mu         sync.Mutex
	pair       *tls.Certificate
	pool       *x509.CertPool
	modifiedAt time.Time
	checkedAt  time.Time
}

// ServerConfig returns the TLS configuration of a server, or nil without a certificate.
func (r *Reloader) ServerConfig() (*tls.Config, error) {
	if r.CertificateFile == "" {
		return nil, nil
	}
	if err := r.reload(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.serverConfig()
		},
	}, nil
}

// ClientConfig returns the TLS configuration of a client, or nil without a CA file.
func (r *Reloader) ClientConfig() (*tls.Config, error) {
	if r.CAFile == "" {
		return nil, nil
	}
	if err := r.reload(); err != nil {
		return nil, err
	}
	// VerifyConnection verifies the chain instead of the standard check, which cannot reload its authorities.
	t := &tls.Config{MinVersion: tls.VersionTLS12, InsecureSkipVerify: true, VerifyConnection: r.verify}
	if r.CertificateFile != "" {
		t.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.keyPair()
		}
	}
	return t, nil
}

// verify verifies the certificate chain of the peer against the current authorities.
func (r *Reloader) verify(s tls.ConnectionState) error {
	if err := r.reload(); err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("certificate: the peer presented no certificate")
	}
	o := x509.VerifyOptions{Roots: r.authorities(), Intermediates: x509.NewCertPool(), DNSName: s.ServerName}
	for _, i := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(i)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

func (r *Reloader) serverConfig() (*tls.Config, error) {
	if err := r.reload(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*r.pair}}
	if r.RequireClientCertificate {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = r.pool
	}
	return t, nil
}

func (r *Reloader) keyPair() (*tls.Certificate, error) {
	if err := r.reload(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pair, nil
}

func (r *Reloader) authorities() *x509.CertPool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool
}

// reload reads the files again if one has changed. If that fails, for example on a half-written file, the former
// contents stay in use.
func (r *Reloader) reload() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.Timer.Now()
	if !r.checkedAt.IsZero() && n.Sub(r.checkedAt) < checkInterval {
		return nil
	}
	r.checkedAt = n
	m := r.lastModified()
	if m.Equal(r.modifiedAt) && !m.IsZero() {
		return nil
	}
	err := r.readFiles()
	if err == nil {
		r.modifiedAt = m
		return nil
	}
	if r.pair != nil || r.pool != nil {
		return nil
	}
	r.checkedAt = time.Time{}
	return err
}

func (r *Reloader) lastModified() time.Time {
	var l time.Time
	for _, f := range []string{r.CertificateFile, r.KeyFile, r.CAFile} {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(l) {
			l = i.ModTime()
		}
	}
	return l
}

func (r *Reloader) readFiles() error {
	var p *tls.Certificate
	if r.CertificateFile != "" {
		k, err := tls.LoadX509KeyPair(r.CertificateFile, r.KeyFile)
		if err != nil {
			return errors.Wrap(err, "certificate")
		}
		p = &k
	}
	var a *x509.CertPool
	if r.CAFile != "" {
		b, err := os.ReadFile(r.CAFile)
		if err != nil {
			return errors.Wrap(err, "certificate")
		}
		a = x509.NewCertPool()
		if !a.AppendCertsFromPEM(b) {
			return errors.Newf("certificate: %s holds no certificate", r.CAFile)
		}
	}
	r.pair = p
	r.pool = a
	return nil
}
