package process

import (
	"crypto/tls"
	"net/http"

	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/certificate"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/settings"
)

// certificates is the process's TLS material; without any it speaks plain HTTP.
type certificates struct {
	source *certificate.Source
	serves bool
	trusts bool
}

// newCertificates reads the files that the settings name.
func newCertificates(files settings.TLS, logger *zap.Logger) (certificates, error) {
	named := files.Files()
	made := certificates{serves: named.Certificate != "", trusts: named.Authority != ""}
	if !made.serves && !made.trusts {
		return made, nil
	}
	source, err := certificate.NewSource(named, func(err error) {
		logger.Warn("certificate_unreadable", zap.String("error", err.Error()))
	})
	made.source = source
	return made, err
}

// client returns what connections to other processes are made under, nil for
// plain ones.
func (secure certificates) client() func() *tls.Config {
	if !secure.trusts {
		return nil
	}
	return secure.source.ClientConfig
}

// serve starts the process's HTTP server.
func (secure certificates) serve(address string, handler http.Handler, limits httpserver.Limits) (*httpserver.Server, error) {
	if !secure.serves {
		return httpserver.Start(address, handler, limits)
	}
	return httpserver.StartTLS(address, handler, limits, secure.source.ServerConfig())
}
