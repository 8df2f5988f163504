// Package certificate keeps a process's TLS certificate and the authority that
// it trusts. Both are read from files again when they change, without a
// restart.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// rereadInterval is how often the files are looked at, at most.
const rereadInterval = time.Second

// Files name PEM files.
type Files struct {
	// Certificate and Key are the process's own; both or neither.
	Certificate string
	Key         string
	// Authority holds the certificates that sign those of other processes;
	// empty takes the system's.
	Authority string
	// RequireClient makes a server accept only clients with a certificate of
	// the authority.
	RequireClient bool
}

// Source gives out TLS configurations that follow the files. It is safe for
// concurrent use.
type Source struct {
	files  Files
	failed func(error)

	mutex   sync.Mutex
	checked time.Time
	stamps  []fileStamp
	current material
}

// material is what was read last.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// fileStamp tells whether a file has changed.
type fileStamp struct {
	modified time.Time
	size     int64
}

// NewSource reads the files. A file that can't be read is a *resultcode.Error
// with code InvalidSettings. Later, failed (optional) is told of files that
// can't be read any more, and what was read before stays in use.
func NewSource(files Files, failed func(error)) (*Source, error) {
	if (files.Certificate == "") != (files.Key == "") {
		return nil, resultcode.New(resultcode.InvalidSettings, "tls.certificate: needs tls.key too, and the other way round")
	}
	if files.RequireClient && files.Authority == "" {
		return nil, resultcode.New(resultcode.InvalidSettings, "tls.authority: needed for tls.require_client")
	}
	source := &Source{files: files, failed: failed}
	read, err := files.read()
	if err != nil {
		return nil, resultcode.New(resultcode.InvalidSettings, "%v", err)
	}
	source.current = read
	source.stamps = files.stamps()
	return source, nil
}

// ServerConfig returns the configuration of a server. It needs a certificate.
func (source *Source) ServerConfig() *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return source.serverConfigNow(), nil
	}
	// Not used, but a server's configuration must name a certificate.
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return source.material().certificate, nil
	}
	return config
}

func (source *Source) serverConfigNow() *tls.Config {
	now := source.material()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{*now.certificate},
		ClientCAs:    now.authority,
	}
	if source.files.RequireClient {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// ClientConfig returns the configuration of a client's next connection: it
// presents the certificate, if any, and trusts the authority alone. Take a new
// one for each connection, as httpclient does.
func (source *Source) ClientConfig() *tls.Config {
	now := source.material()
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: now.authority}
	if now.certificate != nil {
		config.Certificates = []tls.Certificate{*now.certificate}
	}
	return config
}

// material returns what the files hold, read again if they changed.
func (source *Source) material() material {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	now := time.Now()
	if now.Sub(source.checked) < rereadInterval {
		return source.current
	}
	source.checked = now
	stamps := source.files.stamps()
	if equalStamps(stamps, source.stamps) {
		return source.current
	}
	read, err := source.files.read()
	if err != nil {
		// A file may be half written: it is tried again at the next look.
		source.report(err)
		return source.current
	}
	source.current = read
	source.stamps = stamps
	return source.current
}

func (source *Source) report(err error) {
	if source.failed != nil {
		source.failed(err)
	}
}

func (files Files) names() []string {
	return []string{files.Certificate, files.Key, files.Authority}
}

func (files Files) stamps() []fileStamp {
	var stamps []fileStamp
	for _, name := range files.names() {
		stamp := fileStamp{}
		info, err := os.Stat(name)
		if err == nil {
			stamp = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
		stamps = append(stamps, stamp)
	}
	return stamps
}

func equalStamps(left, right []fileStamp) bool {
	for index := range left {
		if left[index].size != right[index].size || !left[index].modified.Equal(right[index].modified) {
			return false
		}
	}
	return true
}
