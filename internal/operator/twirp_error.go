package operator

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/twitchtv/twirp"
)

// Metadata keys of a twirp error that carries a result code.
const (
	metaCode       = "code"
	metaName       = "name"
	metaRetryAfter = "retry_after_ms"
)

// ToTwirp converts err to a twirp error that carries its result code as
// metadata. An error without a result code becomes Internal, and its text is
// not exposed.
func ToTwirp(err error) twirp.Error {
	var failure *resultcode.Error
	if !errors.As(err, &failure) {
		failure = resultcode.New(resultcode.Internal, "internal fault")
	}
	converted := twirp.NewError(twirpCode(failure.Code), failure.Message).
		WithMeta(metaCode, strconv.FormatUint(uint64(failure.Code), 10)).
		WithMeta(metaName, failure.Code.String())
	if failure.RetryAfter > 0 {
		converted = converted.WithMeta(metaRetryAfter, strconv.FormatInt(failure.RetryAfter.Milliseconds(), 10))
	}
	return converted
}

// FromTwirp returns the result code error carried by a twirp error, or nil if
// there is none: the server was unreachable or is not a magpielug server.
func FromTwirp(err error) *resultcode.Error {
	var received twirp.Error
	if !errors.As(err, &received) {
		return nil
	}
	number, parseErr := strconv.ParseUint(received.Meta(metaCode), 10, 32)
	if parseErr != nil {
		return nil
	}
	failure := resultcode.New(resultcode.Code(number), "%s", received.Msg())
	millis, parseErr := strconv.ParseInt(received.Meta(metaRetryAfter), 10, 64)
	if parseErr == nil {
		failure.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return failure
}

// twirpCode returns the closest twirp code to a result code.
func twirpCode(code resultcode.Code) twirp.ErrorCode {
	switch code {
	case resultcode.VersionConflict:
		return twirp.Aborted
	case resultcode.ChangeIDReused:
		return twirp.AlreadyExists
	}
	switch resultcode.Lookup(code).Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return twirp.InvalidArgument
	case http.StatusUnauthorized:
		return twirp.Unauthenticated
	case http.StatusForbidden:
		return twirp.PermissionDenied
	case http.StatusNotFound:
		return twirp.NotFound
	case http.StatusConflict:
		return twirp.FailedPrecondition
	case http.StatusTooManyRequests, http.StatusPaymentRequired:
		return twirp.ResourceExhausted
	case http.StatusGatewayTimeout, http.StatusRequestTimeout:
		return twirp.DeadlineExceeded
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusMisdirectedRequest:
		return twirp.Unavailable
	}
	return twirp.Internal
}
