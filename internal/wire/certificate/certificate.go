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

// checkInterval is the longest time after which a replaced file is noticed.
const checkInterval = 5 * time.Second

// Certificate reads a key pair and the authorities of the other side from files.
type Certificate struct {
	// CertificateFile holds the certificate chain in PEM.
	CertificateFile string
	// KeyFile holds the private key in PEM.
	KeyFile string
	// AuthorityFile holds the authorities of the other side in PEM, or is empty for those of the system.
	AuthorityFile string
	// Mutual asks the other side for a certificate.
	Mutual bool
	// Timer tells the time.
	Timer *timer.Service

	mu      sync.Mutex
	pair    *tls.Certificate
	pool    *x509.CertPool
	changed time.Time
	checked time.Time
}

// Server returns the settings for a listener, or nil without a certificate.
func (c *Certificate) Server() (*tls.Config, error) {
	if c.CertificateFile == "" {
		return nil, nil
	}
	if err := c.refresh(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current()
		},
	}, nil
}

// Client returns the settings for dialling, or nil without an authority.
func (c *Certificate) Client() (*tls.Config, error) {
	if c.AuthorityFile == "" {
		return nil, nil
	}
	if err := c.refresh(); err != nil {
		return nil, err
	}
	t := &tls.Config{MinVersion: tls.VersionTLS12, InsecureSkipVerify: true, VerifyConnection: c.verify}
	if c.CertificateFile != "" {
		t.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.keyPair()
		}
	}
	return t, nil
}

// verify checks the chain of the other side against the authorities as they are now.
func (c *Certificate) verify(s tls.ConnectionState) error {
	if err := c.refresh(); err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("certificate: the other side showed none")
	}
	o := x509.VerifyOptions{Roots: c.authorities(), Intermediates: x509.NewCertPool(), DNSName: s.ServerName}
	for _, i := range s.PeerCertificates[1:] {
		o.Intermediates.AddCert(i)
	}
	_, err := s.PeerCertificates[0].Verify(o)
	return err
}

func (c *Certificate) current() (*tls.Config, error) {
	if err := c.refresh(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*c.pair}}
	if c.Mutual {
		t.ClientAuth = tls.RequireAndVerifyClientCert
		t.ClientCAs = c.pool
	}
	return t, nil
}

func (c *Certificate) keyPair() (*tls.Certificate, error) {
	if err := c.refresh(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair, nil
}

func (c *Certificate) authorities() *x509.CertPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// refresh reads the files again if one has changed; a half-written file leaves the former one in use.
func (c *Certificate) refresh() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.Timer.Now()
	if !c.checked.IsZero() && n.Sub(c.checked) < checkInterval {
		return nil
	}
	c.checked = n
	m := c.modified()
	if m.Equal(c.changed) && !m.IsZero() {
		return nil
	}
	err := c.read()
	if err == nil {
		c.changed = m
		return nil
	}
	if c.pair != nil || c.pool != nil {
		return nil
	}
	c.checked = time.Time{}
	return err
}

func (c *Certificate) modified() time.Time {
	var l time.Time
	for _, f := range []string{c.CertificateFile, c.KeyFile, c.AuthorityFile} {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(l) {
			l = i.ModTime()
		}
	}
	return l
}

func (c *Certificate) read() error {
	var p *tls.Certificate
	if c.CertificateFile != "" {
		k, err := tls.LoadX509KeyPair(c.CertificateFile, c.KeyFile)
		if err != nil {
			return errors.Wrap(err, "certificate")
		}
		p = &k
	}
	var a *x509.CertPool
	if c.AuthorityFile != "" {
		b, err := os.ReadFile(c.AuthorityFile)
		if err != nil {
			return errors.Wrap(err, "certificate")
		}
		a = x509.NewCertPool()
		if !a.AppendCertsFromPEM(b) {
			return errors.Newf("certificate: %s holds no certificate", c.AuthorityFile)
		}
	}
	c.pair = p
	c.pool = a
	return nil
}
