package process

import (
	"crypto/tls"
	"net/http"

	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/certificate"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/settings"
)

// certificates provides TLS configurations. The process uses plain HTTP as a
// server without a certificate and as a client without an authority.
type certificates struct {
	source        *certificate.Source
	servesTLS     bool
	verifiesPeers bool
}

// newCertificates loads the files given in the settings.
func newCertificates(files settings.TLS, logger *zap.Logger) (certificates, error) {
	named := files.Files()
	made := certificates{servesTLS: named.Certificate != "", verifiesPeers: named.Authority != ""}
	if !made.servesTLS && !made.verifiesPeers {
		return made, nil
	}
	source, err := certificate.NewSource(named, func(err error) {
		logger.Warn("certificate_unreadable", zap.String("error", err.Error()))
	})
	made.source = source
	return made, err
}

// clientConfig returns the function that provides the TLS configuration of
// connections to other processes, or nil for plain HTTP.
func (secure certificates) clientConfig() func() *tls.Config {
	if !secure.verifiesPeers {
		return nil
	}
	return secure.source.ClientConfig
}

// startServer starts an HTTPS server, or an HTTP server without a certificate.
func (secure certificates) startServer(address string, handler http.Handler, limits httpserver.Limits) (*httpserver.Server, error) {
	if !secure.servesTLS {
		return httpserver.Start(address, handler, limits)
	}
	return httpserver.StartTLS(address, handler, limits, secure.source.ServerConfig())
}
