// Package operator serves the operators' schema (api/operator/v1) by twirp and
// checks the operators' key.
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

// PathPrefix is where the handler is to be mounted.
const PathPrefix = operatorv1.OperatorPathPrefix

// Dependencies are the parts the operators' service works with.
type Dependencies struct {
	Publisher Publisher
	Reader    Reader
	Cluster   Cluster
	// KeySHA256 is the SHA-256 of the operators' key, hex. Without it every
	// call is refused.
	KeySHA256 string
	// Logger is optional.
	Logger *zap.Logger
}

// NewHandler returns the operators' service under PathPrefix, behind the check
// of their key.
func NewHandler(dependencies Dependencies) http.Handler {
	if dependencies.Logger == nil {
		dependencies.Logger = zap.NewNop()
	}
	server := operatorv1.NewOperatorServer(newService(dependencies))
	return requireKey(dependencies.KeySHA256, dependencies.Logger, server)
}

// requireKey refuses every request without the operators' key. Digests are
// compared in constant time, and neither key nor digest is logged.
func requireKey(keySHA256 string, logger *zap.Logger, next http.Handler) http.Handler {
	expected, err := hex.DecodeString(keySHA256)
	configured := err == nil && len(expected) == sha256.Size
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		key, present := strings.CutPrefix(request.Header.Get(authorizationHeader), bearerPrefix)
		digest := sha256.Sum256([]byte(key))
		matches := configured && subtle.ConstantTimeCompare(digest[:], expected) == 1
		if !present || !matches {
			logger.Warn("operator refused", zap.String("path", request.URL.Path), zap.String("from", request.RemoteAddr))
			refusal := resultcode.New(resultcode.BadKey, "the operators' key is missing or wrong")
			_ = twirp.WriteError(writer, ToTwirp(refusal))
			return
		}
		next.ServeHTTP(writer, request)
	})
}
