package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"strings"
)

// Types of the PEM blocks that the files must have; those of keys end so.
const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// files checks the files that the settings name. Unchecked, a wrong one shows only
// once the process has its configuration and opens its callers' port: a roll-out
// whose --check was good then loses one entry after the other.
func (c *checker) files() {
	if e := c.s.Entry; e != nil && e.TLS != nil && e.TLS.Certificate != "" && e.TLS.Key != "" {
		c.tlsPair(e.TLS)
	}
}

func (c *checker) tlsPair(files *TLS) {
	certificate, ok := c.pemFile("entry.tls.certificate", files.Certificate, pemCertificate)
	key, keyOK := c.pemFile("entry.tls.key", files.Key, pemKey)
	if !ok || !keyOK {
		return
	}
	if _, err := tls.X509KeyPair(certificate, key); err != nil {
		c.doc.Add("entry.tls.key", fmt.Sprintf("%q doesn't go with %q: %v", files.Key, files.Certificate, err),
			"the key that the file's first certificate was issued for, without a pass phrase")
	}
}

// pemFile reads a file that has a PEM block whose type ends in kind, and returns
// its bytes. What is wrong is reported at path.
func (c *checker) pemFile(path, name, kind string) ([]byte, bool) {
	data, err := os.ReadFile(name)
	if err != nil {
		c.doc.Add(path, fmt.Sprintf("can't be read: %v", err), "a PEM file that the daemon's user may read")
		return nil, false
	}
	block := firstBlock(data, kind)
	if block == nil {
		c.doc.Add(path, fmt.Sprintf("%q has no PEM block %q", name, kind), "the certificates in one file, the key in the other")
		return nil, false
	}
	if kind != pemCertificate {
		return data, true
	}
	if _, err := x509.ParseCertificate(block.Bytes); err != nil {
		c.doc.Add(path, fmt.Sprintf("%q is no certificate: %v", name, err), "the file as it was issued")
		return nil, false
	}
	return data, true
}

func firstBlock(data []byte, kind string) *pem.Block {
	for {
		block, rest := pem.Decode(bytes.TrimSpace(data))
		if block == nil || strings.HasSuffix(block.Type, kind) {
			return block
		}
		data = rest
	}
}
