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
func (c *Reloader) ServerConfig() (*tls.Config, error) {
	if c.CertificateFile == "" {
		return nil, nil
	}
	if err := c.reload(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.serverConfig()
		},
	}, nil
}

// ClientConfig returns the TLS configuration of a client, or nil without a CA file.
func (c *Reloader) ClientConfig() (*tls.Config, error) {
	if c.CAFile == "" {
		return nil, nil
	}
	if err := c.reload(); err != nil {
		return nil, err
	}
	// VerifyConnection verifies the chain instead of the standard check, which cannot reload its authorities.
	t := &tls.Config{MinVersion: tls.VersionTLS12, InsecureSkipVerify: true, VerifyConnection: c.verify}
	if c.CertificateFile != "" {
		t.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.keyPair()
		}
	}
	return t, nil
}

// verify verifies the certificate chain of the peer against the current authorities.
func (c *Reloader) verify(s tls.ConnectionState) error {
	if err := c.reload(); err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("certificate: the peer presented no certificate")
	}
	o := x509.VerifyOptions{Roots: c.authorities(), Intermediates: x509.NewCertPool(), DNSName: s.ServerName}
	for _, i := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(i)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

func (c *Reloader) serverConfig() (*tls.Config, error) {
	if err := c.reload(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*c.pair}}
	if c.RequireClientCertificate {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = c.pool
	}
	return t, nil
}

func (c *Reloader) keyPair() (*tls.Certificate, error) {
	if err := c.reload(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair, nil
}

func (c *Reloader) authorities() *x509.CertPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// reload reads the files again if one has changed. If that fails, for example on a half-written file, the former
// contents stay in use.
func (c *Reloader) reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.Timer.Now()
	if !c.checkedAt.IsZero() && n.Sub(c.checkedAt) < checkInterval {
		return nil
	}
	c.checkedAt = n
	m := c.lastModified()
	if m.Equal(c.modifiedAt) && !m.IsZero() {
		return nil
	}
	err := c.readFiles()
	if err == nil {
		c.modifiedAt = m
		return nil
	}
	if c.pair != nil || c.pool != nil {
		return nil
	}
	c.checkedAt = time.Time{}
	return err
}

func (c *Reloader) lastModified() time.Time {
	var l time.Time
	for _, f := range []string{c.CertificateFile, c.KeyFile, c.CAFile} {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(l) {
			l = i.ModTime()
		}
	}
	return l
}

func (c *Reloader) readFiles() error {
	var p *tls.Certificate
	if c.CertificateFile != "" {
		k, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
		if err != nil {
			return errors.Wrap(err, "certificate")
		}
		p = &k
	}
	var a *x509.CertPool
	if c.CAFile != "" {
		b, err := os.ReadFile(c.CAFile)
		if err != nil {
			return errors.Wrap(err, "certificate")
		}
		a = x509.NewCertPool()
		if !a.AppendCertsFromPEM(b) {
			return errors.Newf("certificate: %s holds no certificate", c.CAFile)
		}
	}
	c.pair = p
	c.pool = a
	return nil
}
