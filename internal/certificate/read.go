package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

func (files Files) read() (credentials, error) {
	var read credentials
	if files.Certificate != "" {
		certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
		if err != nil {
			return credentials{}, fmt.Errorf("tls.certificate: %w", err)
		}
		read.certificate = &certificate
	}
	if files.Authority != "" {
		authority, err := readAuthority(files.Authority)
		if err != nil {
			return credentials{}, fmt.Errorf("tls.authority: %w", err)
		}
		read.authority = authority
	}
	return read, nil
}

func readAuthority(path string) (*x509.CertPool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return nil, fmt.Errorf("%s contains no PEM certificate", path)
	}
	return pool, nil
}
