package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/cache"
	"github.com/magpielug/magpielug/internal/placement"
	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/internal/resultcode"
	"google.golang.org/protobuf/proto"
)

// Limits on a configuration.
const (
	maxNameLength   = 128
	maxServices     = 1000
	maxTiers        = 10000
	maxKinds        = 1000
	maxDrained      = 10000
	maxAdapters     = 1000
	maxContentBytes = 1 << 20
	maxWeight       = 1_000_000
	maxPriceMicros  = 1_000_000_000_000
	maxBudgetMicros = 1_000_000_000_000_000_000
	maxMillis       = 7 * 24 * 3600 * 1000
	maxTurns        = 1_000_000
	maxPercentage   = 100
)

// Validate checks a configuration. The error for the first invalid field is a
// *resultcode.Error with code InvalidConfiguration that names the field.
func Validate(configuration *operatorv1.Configuration) error {
	if configuration == nil {
		return fieldError("configuration", "missing")
	}
	if proto.Size(configuration) > maxContentBytes {
		return fieldError("configuration", "over %d bytes encoded", maxContentBytes)
	}
	checks := []func(*operatorv1.Configuration) error{
		checkCounts, checkServices, checkTiers, checkKinds, checkPolicy, checkDrained,
	}
	for _, check := range checks {
		err := check(configuration)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkCounts(configuration *operatorv1.Configuration) error {
	counts := []struct {
		field        string
		count, limit int
	}{
		{"services", len(configuration.GetServices()), maxServices},
		{"tiers", len(configuration.GetTiers()), maxTiers},
		{"program_kinds", len(configuration.GetProgramKinds()), maxKinds},
		{"drained_back_ends", len(configuration.GetDrainedBackEnds()), maxDrained},
	}
	for _, counted := range counts {
		if counted.count > counted.limit {
			return fieldError(counted.field, "%d entries, at most %d", counted.count, counted.limit)
		}
	}
	return nil
}

func checkServices(configuration *operatorv1.Configuration) error {
	names := uniqueNames{}
	for index, service := range configuration.GetServices() {
		field := fmt.Sprintf("services[%d]", index)
		err := names.addName(field+".name", service.GetName())
		if err != nil {
			return err
		}
		err = checkService(field, service)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkService(field string, service *operatorv1.Service) error {
	switch service.GetKind() {
	case operatorv1.ServiceKind_SERVICE_KIND_MODEL:
	case operatorv1.ServiceKind_SERVICE_KIND_TOOL:
		if len(service.GetAdapters()) > 0 {
			return fieldError(field+".adapters", "only models have adapters")
		}
	default:
		return fieldError(field+".kind", "must be SERVICE_KIND_MODEL or SERVICE_KIND_TOOL")
	}
	if len(service.GetAdapters()) > maxAdapters {
		return fieldError(field+".adapters", "at most %d", maxAdapters)
	}
	adapters := uniqueNames{}
	for index, adapter := range service.GetAdapters() {
		err := adapters.addName(fmt.Sprintf("%s.adapters[%d]", field, index), adapter)
		if err != nil {
			return err
		}
	}
	return checkAtMost(field+".call_deadline_ms", uint64(service.GetCallDeadlineMs()), maxMillis)
}

func checkTiers(configuration *operatorv1.Configuration) error {
	names := uniqueNames{}
	keys := map[string]int{}
	for index, tier := range configuration.GetTiers() {
		field := fmt.Sprintf("tiers[%d]", index)
		err := checkTier(field, tier, names)
		if err != nil {
			return err
		}
		earlier, taken := keys[tier.GetKeySha256()]
		if taken {
			return fieldError(field+".key_sha256", "is the same as that of tiers[%d]", earlier)
		}
		keys[tier.GetKeySha256()] = index
	}
	return nil
}

func checkTier(field string, tier *operatorv1.Tier, names uniqueNames) error {
	err := checkName(field+".tenant", tier.GetTenant())
	if err != nil {
		return err
	}
	err = checkName(field+".name", tier.GetName())
	if err != nil {
		return err
	}
	err = names.addUnique(field+".name", tier.GetTenant()+"/"+tier.GetName())
	if err != nil {
		return err
	}
	if !isDigest(tier.GetKeySha256()) {
		return fieldError(field+".key_sha256", "must be 64 lower-case hexadecimal characters")
	}
	return checkTierAmounts(field, tier)
}

func checkTierAmounts(field string, tier *operatorv1.Tier) error {
	if tier.GetWeight() == 0 {
		return fieldError(field+".weight", "must be above 0")
	}
	if tier.GetBudgetMicros() == 0 {
		return fieldError(field+".budget_micros", "must be above 0")
	}
	if tier.GetProgramCapMicros() == 0 || tier.GetProgramCapMicros() > tier.GetBudgetMicros() {
		return fieldError(field+".program_cap_micros", "must be above 0 and at most budget_micros")
	}
	bounds := []struct {
		name         string
		value, limit uint64
	}{
		{"weight", uint64(tier.GetWeight()), maxWeight},
		{"prompt_price_micros", tier.GetPromptPriceMicros(), maxPriceMicros},
		{"output_price_micros", tier.GetOutputPriceMicros(), maxPriceMicros},
		{"budget_micros", tier.GetBudgetMicros(), maxBudgetMicros},
		{"queue_wait_bound_ms", uint64(tier.GetQueueWaitBoundMs()), maxMillis},
	}
	for _, bound := range bounds {
		err := checkAtMost(field+"."+bound.name, bound.value, bound.limit)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkKinds(configuration *operatorv1.Configuration) error {
	tiers := map[string]bool{}
	for _, tier := range configuration.GetTiers() {
		tiers[tier.GetName()] = true
	}
	services := map[string]bool{}
	for _, service := range configuration.GetServices() {
		services[service.GetName()] = true
	}
	names := uniqueNames{}
	for index, kind := range configuration.GetProgramKinds() {
		field := fmt.Sprintf("program_kinds[%d]", index)
		err := names.addName(field+".name", kind.GetName())
		if err != nil {
			return err
		}
		err = checkKind(field, kind, tiers, services)
		if err != nil {
			return err
		}
	}
	return nil
}

func checkKind(field string, kind *operatorv1.ProgramKind, tiers, services map[string]bool) error {
	err := checkReferences(field+".tiers", kind.GetTiers(), tiers)
	if err != nil {
		return err
	}
	err = checkReferences(field+".services", kind.GetServices(), services)
	if err != nil {
		return err
	}
	err = checkAtMost(field+".turn_limit", uint64(kind.GetTurnLimit()), maxTurns)
	if err != nil {
		return err
	}
	return checkAtMost(field+".tool_pause_limit_ms", uint64(kind.GetToolPauseLimitMs()), maxMillis)
}

// checkReferences rejects an empty list, a duplicate and an unknown name.
func checkReferences(field string, references []string, known map[string]bool) error {
	if len(references) == 0 {
		return fieldError(field, "must not be empty")
	}
	names := uniqueNames{}
	for index, reference := range references {
		entry := fmt.Sprintf("%s[%d]", field, index)
		err := names.addName(entry, reference)
		if err != nil {
			return err
		}
		if !known[reference] {
			return fieldError(entry, "%q is not declared", reference)
		}
	}
	return nil
}

func checkPolicy(configuration *operatorv1.Configuration) error {
	policy := configuration.GetScheduling()
	_, err := queue.ByName(policy.GetQueue())
	if err != nil {
		return fieldError("scheduling.queue", "%v", err)
	}
	err = checkAtMost("scheduling.affinity_percent", uint64(policy.GetAffinityPercent()), maxPercentage)
	if err != nil {
		return err
	}
	_, err = placement.ByName(policy.GetPlacement(), policy.GetAffinityPercent())
	if err != nil {
		return fieldError("scheduling.placement", "%v", err)
	}
	_, err = cache.ByName(policy.GetCache())
	if err != nil {
		return fieldError("scheduling.cache", "%v", err)
	}
	return nil
}

func checkDrained(configuration *operatorv1.Configuration) error {
	names := uniqueNames{}
	for index, backEnd := range configuration.GetDrainedBackEnds() {
		err := names.addName(fmt.Sprintf("drained_back_ends[%d]", index), backEnd)
		if err != nil {
			return err
		}
	}
	return nil
}

// uniqueNames is the set of names found in one list.
type uniqueNames map[string]bool

func (names uniqueNames) addName(field, name string) error {
	err := checkName(field, name)
	if err != nil {
		return err
	}
	return names.addUnique(field, name)
}

func (names uniqueNames) addUnique(field, name string) error {
	if names[name] {
		return fieldError(field, "%q is a duplicate", name)
	}
	names[name] = true
	return nil
}

// checkName rejects names that are empty, too long or contain unprintable characters.
func checkName(field, name string) error {
	if name == "" {
		return fieldError(field, "missing")
	}
	if len(name) > maxNameLength {
		return fieldError(field, "longer than %d bytes", maxNameLength)
	}
	if strings.IndexFunc(name, isUnprintable) >= 0 {
		return fieldError(field, "%q contains a space, a control character or invalid UTF-8", name)
	}
	return nil
}

func isUnprintable(character rune) bool {
	return character <= ' ' || character == 0x7f || character == '�'
}

func isDigest(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == sha256.Size && strings.ToLower(text) == text
}

func checkAtMost(field string, value, limit uint64) error {
	if value > limit {
		return fieldError(field, "%d is above %d", value, limit)
	}
	return nil
}

func fieldError(field, format string, arguments ...any) error {
	return resultcode.New(resultcode.InvalidConfiguration, "%s: %s", field, fmt.Sprintf(format, arguments...))
}
