// Package certificate loads a process's TLS certificate and its trusted
// certificate authorities from PEM files, and reloads them when the files
// change.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// reloadCheckInterval is the minimum time between two checks of the files.
const reloadCheckInterval = time.Second

// Files holds the paths of PEM files.
type Files struct {
	// Certificate and Key are set together, or both are empty.
	Certificate string
	Key         string
	// Authority holds the CA certificates that peers are verified against;
	// empty uses the system's root CAs.
	Authority string
	// RequireClient makes a server require client certificates signed by
	// Authority.
	RequireClient bool
}

// Source provides TLS configurations with the current content of the files. It
// is safe for concurrent use.
type Source struct {
	files   Files
	onError func(error)

	mutex       sync.Mutex
	lastChecked time.Time
	fileStates  []fileState
	current     credentials
}

// credentials is the parsed content of the files.
type credentials struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// fileState is compared to detect a changed file.
type fileState struct {
	modified time.Time
	size     int64
}

// NewSource loads the files. It returns a *resultcode.Error with code
// InvalidSettings for a file that can't be loaded. When a later reload fails,
// the previous content stays in use and onError, if not nil, is called.
func NewSource(files Files, onError func(error)) (*Source, error) {
	if (files.Certificate == "") != (files.Key == "") {
		return nil, resultcode.New(resultcode.InvalidSettings, "tls.certificate: tls.certificate and tls.key must be set together")
	}
	if files.RequireClient && files.Authority == "" {
		return nil, resultcode.New(resultcode.InvalidSettings, "tls.authority: required by tls.require_client")
	}
	source := &Source{files: files, onError: onError}
	read, err := files.read()
	if err != nil {
		return nil, resultcode.New(resultcode.InvalidSettings, "%v", err)
	}
	source.current = read
	source.fileStates = files.fileStates()
	return source, nil
}

// ServerConfig returns a server's configuration, which loads the current files
// for each handshake. Files.Certificate must be set.
func (source *Source) ServerConfig() *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return source.currentServerConfig(), nil
	}
	// Not called, because GetConfigForClient returns certificates, but a server's
	// configuration has to provide one.
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return source.latest().certificate, nil
	}
	return config
}

func (source *Source) currentServerConfig() *tls.Config {
	current := source.latest()
	config := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{*current.certificate},
		ClientCAs:    current.authority,
	}
	if source.files.RequireClient {
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config
}

// ClientConfig returns the configuration of one client connection: it presents
// the certificate, if any, and trusts only the configured authority. Callers
// get a new one for each connection, so that reloads take effect.
func (source *Source) ClientConfig() *tls.Config {
	current := source.latest()
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: current.authority}
	if current.certificate != nil {
		config.Certificates = []tls.Certificate{*current.certificate}
	}
	return config
}

// latest returns the credentials, reloaded if the files have changed.
func (source *Source) latest() credentials {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	now := time.Now()
	if now.Sub(source.lastChecked) < reloadCheckInterval {
		return source.current
	}
	source.lastChecked = now
	stamps := source.files.fileStates()
	if equalFileStates(stamps, source.fileStates) {
		return source.current
	}
	read, err := source.files.read()
	if err != nil {
		// The file may be partially written; the next check retries.
		source.reportError(err)
		return source.current
	}
	source.current = read
	source.fileStates = stamps
	return source.current
}

func (source *Source) reportError(err error) {
	if source.onError != nil {
		source.onError(err)
	}
}

func (files Files) paths() []string {
	return []string{files.Certificate, files.Key, files.Authority}
}

func (files Files) fileStates() []fileState {
	var stamps []fileState
	for _, name := range files.paths() {
		stamp := fileState{}
		info, err := os.Stat(name)
		if err == nil {
			stamp = fileState{modified: info.ModTime(), size: info.Size()}
		}
		stamps = append(stamps, stamp)
	}
	return stamps
}

func equalFileStates(left, right []fileState) bool {
	for index := range left {
		if left[index].size != right[index].size || !left[index].modified.Equal(right[index].modified) {
			return false
		}
	}
	return true
}
