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

// maximumLeaseShare is the most of scheduler.election_min that a lease may
// last, so that clocks that run apart by a tenth keep it exclusive.
const maximumLeaseShare = 0.9

// check applies the bounds of each key, then the rules between keys.
func check(loaded Settings) error {
	err := checkBounds(loaded)
	if err != nil {
		return err
	}
	return checkTogether(loaded)
}

// checkBounds applies the bounds in the tags of a struct of settings.
func checkBounds(loaded any) error {
	err := newValidator().Struct(loaded)
	var failures validator.ValidationErrors
	if errors.As(err, &failures) {
		return boundFailure(failures[0])
	}
	if err != nil {
		return invalid("%s", firstLine(err))
	}
	return nil
}

// checkTogether applies the rules between keys.
func checkTogether(loaded Settings) error {
	scheduler := loaded.Scheduler
	longestLease := float64(scheduler.ElectionMin) * maximumLeaseShare
	switch {
	case scheduler.Lease <= scheduler.Heartbeat:
		return invalid("scheduler.lease: %v must be above scheduler.heartbeat (%v)", scheduler.Lease, scheduler.Heartbeat)
	case float64(scheduler.Lease) > longestLease:
		return invalid("scheduler.lease: %v must be at most 0.9 of scheduler.election_min (%v)", scheduler.Lease, scheduler.ElectionMin)
	case scheduler.ElectionMax <= scheduler.ElectionMin:
		return invalid("scheduler.election_max: %v must be above scheduler.election_min (%v)", scheduler.ElectionMax, scheduler.ElectionMin)
	case loaded.Gateway.DefaultOutputTokens > loaded.Gateway.MaxOutputTokens:
		return invalid("gateway.default_output_tokens: %d must be at most gateway.max_output_tokens (%d)", loaded.Gateway.DefaultOutputTokens, loaded.Gateway.MaxOutputTokens)
	case loaded.Limits.DrainGrace >= loaded.Limits.ShutdownTimeout:
		return invalid("limits.drain_grace: %v must be below limits.shutdown_timeout (%v)", loaded.Limits.DrainGrace, loaded.Limits.ShutdownTimeout)
	case 2*loaded.Configuration.Poll > loaded.Configuration.FreshBound:
		return invalid("configuration.poll: %v must be at most half of configuration.fresh_bound (%v)", loaded.Configuration.Poll, loaded.Configuration.FreshBound)
	}
	err := checkAdvertised(loaded.Node)
	if err != nil {
		return err
	}
	_, err = certificate.NewSource(loaded.TLS.Files(), nil)
	return err
}

// checkAdvertised refuses an address that no other process can reach.
func checkAdvertised(node Node) error {
	address := netip.MustParseAddrPort(node.AdvertisedAddress())
	if !address.Addr().IsUnspecified() {
		return nil
	}
	return invalid("node.advertise: needed since node.listen (%s) names no single address", node.Listen)
}

// newValidator returns a validator that knows the settings' own rules and
// names fields by their keys.
func newValidator() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get(keyTag)
	})
	rules := map[string]func(string) bool{
		"address":  isAddress,
		"base_url": isBaseURL,
		"name":     isName,
	}
	for tag, rule := range rules {
		// Registering fails only for an empty tag or rule.
		_ = checker.RegisterValidation(tag, func(field validator.FieldLevel) bool {
			return rule(field.Field().String())
		})
	}
	_ = checker.RegisterValidation("gte", func(field validator.FieldLevel) bool { return compare(field) >= 0 })
	_ = checker.RegisterValidation("lte", func(field validator.FieldLevel) bool { return compare(field) <= 0 })
	return checker
}

// isAddress accepts an IP address with a port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isBaseURL accepts http or https with an IP address and a port, and no query.
func isBaseURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.RawQuery != "" || parsed.Fragment != "" || parsed.User != nil {
		return false
	}
	return (parsed.Scheme == "http" || parsed.Scheme == "https") && isAddress(parsed.Host)
}

// isName accepts letters, digits, dot, underscore and hyphen.
func isName(text string) bool {
	return strings.IndexFunc(text, isOutsideName) < 0
}

func isOutsideName(character rune) bool {
	switch {
	case 'a' <= character && character <= 'z', 'A' <= character && character <= 'Z':
		return false
	case '0' <= character && character <= '9':
		return false
	}
	return !strings.ContainsRune("._-", character)
}

// boundFailure says in one line which key breaks which bound.
func boundFailure(failure validator.FieldError) error {
	_, key, _ := strings.Cut(failure.Namespace(), keyDelimiter)
	return invalid("%s: %s", key, boundText(failure))
}

func boundText(failure validator.FieldError) string {
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
		return fmt.Sprintf("%q is none of %s", value, strings.ReplaceAll(failure.Param(), " ", ", "))
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
