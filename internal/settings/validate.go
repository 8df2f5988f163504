package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/magpielug/magpielug/internal/certificate"
)

// keyTag is the struct tag that names a settings key.
const keyTag = "koanf"

// maxLeaseFraction bounds the lease relative to scheduler.election_min, so that
// leases don't overlap while clock rates differ by at most a tenth.
const maxLeaseFraction = 0.9

// validate checks each key, then the rules between keys.
func validate(loaded Settings) error {
	err := validateFields(loaded)
	if err != nil {
		return err
	}
	return validateCrossField(loaded)
}

// validateFields checks the rules in the tags of a settings struct.
func validateFields(loaded any) error {
	err := newValidator().Struct(loaded)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		return fieldError(failures[0])
	}
	if err != nil {
		return invalidf("%s", singleLine(err))
	}
	return nil
}

// validateCrossField checks the rules between keys and loads the TLS files.
func validateCrossField(loaded Settings) error {
	scheduler := loaded.Scheduler
	maxLease := float64(scheduler.ElectionMin) * maxLeaseFraction
	switch {
	case scheduler.Lease <= scheduler.Heartbeat:
		return invalidf("scheduler.lease: %v must be above scheduler.heartbeat (%v)", scheduler.Lease, scheduler.Heartbeat)
	case float64(scheduler.Lease) > maxLease:
		return invalidf("scheduler.lease: %v must be at most 0.9 of scheduler.election_min (%v)", scheduler.Lease, scheduler.ElectionMin)
	case scheduler.ElectionMax <= scheduler.ElectionMin:
		return invalidf("scheduler.election_max: %v must be above scheduler.election_min (%v)", scheduler.ElectionMax, scheduler.ElectionMin)
	case loaded.Gateway.DefaultOutputTokens > loaded.Gateway.MaxOutputTokens:
		return invalidf("gateway.default_output_tokens: %d must be at most gateway.max_output_tokens (%d)", loaded.Gateway.DefaultOutputTokens, loaded.Gateway.MaxOutputTokens)
	case loaded.Limits.DrainGrace >= loaded.Limits.ShutdownTimeout:
		return invalidf("limits.drain_grace: %v must be below limits.shutdown_timeout (%v)", loaded.Limits.DrainGrace, loaded.Limits.ShutdownTimeout)
	case 2*loaded.Configuration.Poll > loaded.Configuration.FreshBound:
		return invalidf("configuration.poll: %v must be at most half of configuration.fresh_bound (%v)", loaded.Configuration.Poll, loaded.Configuration.FreshBound)
	}
	err := validateAdvertisedAddress(loaded.Node)
	if err != nil {
		return err
	}
	_, err = certificate.NewSource(loaded.TLS.Files(), nil)
	return err
}

// validateAdvertisedAddress rejects an unspecified IP address, which other
// processes can't connect to.
func validateAdvertisedAddress(node Node) error {
	address := netip.MustParseAddrPort(node.AdvertisedAddress())
	if !address.Addr().IsUnspecified() {
		return nil
	}
	return invalidf("node.advertise: required because node.listen (%s) has no specific IP address", node.Listen)
}

// newValidator returns a validator with the custom rules of this package, whose
// errors name fields by their settings keys.
func newValidator() *validator.Validate {
	fieldValidator := validator.New(validator.WithRequiredStructEnabled())
	fieldValidator.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get(keyTag)
	})
	rules := map[string]func(string) bool{
		"address":  isAddress,
		"base_url": isBaseURL,
		"name":     isName,
	}
	for tag, rule := range rules {
		// RegisterValidation fails only for an empty tag or a nil function.
		_ = fieldValidator.RegisterValidation(tag, func(field validator.FieldLevel) bool {
			return rule(field.Field().String())
		})
	}
	_ = fieldValidator.RegisterValidation("gte", func(field validator.FieldLevel) bool { return compareToBound(field) >= 0 })
	_ = fieldValidator.RegisterValidation("lte", func(field validator.FieldLevel) bool { return compareToBound(field) <= 0 })
	return fieldValidator
}

// isAddress accepts IP:port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isBaseURL accepts an http or https URL whose host is IP:port, without user,
// query and fragment.
func isBaseURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil {
		return false
	}
	return (parsed.Scheme == "http" || parsed.Scheme == "https") && isAddress(parsed.Host)
}

// isName accepts ASCII letters, digits, dot, underscore and hyphen.
func isName(text string) bool {
	return strings.IndexFunc(text, isInvalidNameRune) < 0
}

func isInvalidNameRune(character rune) bool {
	switch {
	case 'a' <= character && character <= 'z', 'A' <= character && character <= 'Z':
		return false
	case '0' <= character && character <= '9':
		return false
	}
	return !strings.ContainsRune("._-", character)
}

// fieldError returns an error that names the key and the rule it violates.
func fieldError(failure validator.FieldError) error {
	_, key, _ := strings.Cut(failure.Namespace(), keyDelimiter)
	return invalidf("%s: %s", key, fieldErrorMessage(failure))
}

func fieldErrorMessage(failure validator.FieldError) string {
	value := failure.Value()
	switch failure.Tag() {
	case "required":
		return "missing"
	case "gte":
		return fmt.Sprintf("%v is below %s", value, failure.Param())
	case "lte":
		return fmt.Sprintf("%v is above %s", value, failure.Param())
	case "max":
		return fmt.Sprintf("%q is longer than %s characters", value, failure.Param())
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", value, strings.ReplaceAll(failure.Param(), " ", ", "))
	case "address":
		return fmt.Sprintf("%q is not an IP address with a port, such as 127.0.0.1:8080", value)
	case "base_url":
		return fmt.Sprintf("%q is not a URL such as http://127.0.0.1:8080", value)
	case "ip":
		return fmt.Sprintf("%q is not an IP address", value)
	case "name":
		return fmt.Sprintf("%q has characters other than letters, digits, '.', '_' and '-'", value)
	}
	return "must be 64 hexadecimal characters"
}
