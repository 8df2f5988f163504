// Package operator serves the operator API (api/operator/v1) over twirp and
// authenticates requests with the operator key.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// PathPrefix is the path prefix to mount the handler at.
const PathPrefix = operatorv1.OperatorPathPrefix

// Dependencies holds the collaborators of the operator service.
type Dependencies struct {
	Publisher Publisher
	Reader    Reader
	Cluster   Cluster
	// KeySHA256 is the hex-encoded SHA-256 digest of the operator key. If it is
	// empty or invalid, every request is rejected.
	KeySHA256 string
	// Logger is optional.
	Logger *zap.Logger
}

// NewHandler returns the operator service under PathPrefix. It rejects requests
// without the operator key.
func NewHandler(dependencies Dependencies) http.Handler {
	if dependencies.Logger == nil {
		dependencies.Logger = zap.NewNop()
	}
	server := operatorv1.NewOperatorServer(newService(dependencies))
	return requireKey(dependencies.KeySHA256, dependencies.Logger, server)
}

// requireKey rejects requests without the operator key. Digests are compared in
// constant time, and neither key nor digest is logged.
func requireKey(keySHA256 string, logger *zap.Logger, next http.Handler) http.Handler {
	expected, err := hex.DecodeString(keySHA256)
	configured := err == nil && len(expected) == sha256.Size
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		key, present := strings.CutPrefix(request.Header.Get(authorizationHeader), bearerPrefix)
		digest := sha256.Sum256([]byte(key))
		matches := configured && subtle.ConstantTimeCompare(digest[:], expected) == 1
		if !present || !matches {
			logger.Warn("operator request rejected: invalid key", zap.String("path", request.URL.Path), zap.String("from", request.RemoteAddr))
			rejection := resultcode.New(resultcode.BadKey, "the operator key is missing or invalid")
			_ = twirp.WriteError(writer, ToTwirp(rejection))
			return
		}
		next.ServeHTTP(writer, request)
	})
}
