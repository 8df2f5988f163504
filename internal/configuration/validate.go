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

// Bounds of a configuration.
const (
	maxNameLength     = 128
	maxServices       = 1000
	maxTiers          = 10000
	maxKinds          = 1000
	maxDrained        = 10000
	maxAdapters       = 1000
	maxContentBytes   = 1 << 20
	maxWeight         = 1_000_000
	maxPriceMicros    = 1_000_000_000_000
	maxBudgetMicros   = 1_000_000_000_000_000_000
	maxMillis         = 7 * 24 * 3600 * 1000
	maxTurns          = 1_000_000
	highestPercentage = 100
)

// Validate checks a configuration's own rules. The first broken one is a
// *resultcode.Error with code InvalidConfiguration that names the field.
func Validate(configuration *operatorv1.Configuration) error {
	if configuration == nil {
		return broken("configuration", "missing")
	}
	if proto.Size(configuration) > maxContentBytes {
		return broken("configuration", "over %d bytes encoded", maxContentBytes)
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
			return broken(counted.field, "%d entries, at most %d", counted.count, counted.limit)
		}
	}
	return nil
}

func checkServices(configuration *operatorv1.Configuration) error {
	names := uniqueNames{}
	for index, service := range configuration.GetServices() {
		field := fmt.Sprintf("services[%d]", index)
		err := names.add(field+".name", service.GetName())
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
			return broken(field+".adapters", "only models have adapters")
		}
	default:
		return broken(field+".kind", "must be SERVICE_KIND_MODEL or SERVICE_KIND_TOOL")
	}
	if len(service.GetAdapters()) > maxAdapters {
		return broken(field+".adapters", "at most %d", maxAdapters)
	}
	adapters := uniqueNames{}
	for index, adapter := range service.GetAdapters() {
		err := adapters.add(fmt.Sprintf("%s.adapters[%d]", field, index), adapter)
		if err != nil {
			return err
		}
	}
	return atMost(field+".call_deadline_ms", uint64(service.GetCallDeadlineMs()), maxMillis)
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
			return broken(field+".key_sha256", "is that of tiers[%d] too", earlier)
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
		return broken(field+".key_sha256", "must be 64 lower-case hexadecimal characters")
	}
	return checkTierAmounts(field, tier)
}

func checkTierAmounts(field string, tier *operatorv1.Tier) error {
	if tier.GetWeight() == 0 {
		return broken(field+".weight", "must be above 0")
	}
	if tier.GetBudgetMicros() == 0 {
		return broken(field+".budget_micros", "must be above 0")
	}
	if tier.GetProgramCapMicros() == 0 || tier.GetProgramCapMicros() > tier.GetBudgetMicros() {
		return broken(field+".program_cap_micros", "must be above 0 and at most budget_micros")
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
		err := atMost(field+"."+bound.name, bound.value, bound.limit)
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
		err := names.add(field+".name", kind.GetName())
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
	err = atMost(field+".turn_limit", uint64(kind.GetTurnLimit()), maxTurns)
	if err != nil {
		return err
	}
	return atMost(field+".tool_pause_limit_ms", uint64(kind.GetToolPauseLimitMs()), maxMillis)
}

// checkReferences refuses an empty list, a repetition and an unknown name.
func checkReferences(field string, references []string, known map[string]bool) error {
	if len(references) == 0 {
		return broken(field, "names none")
	}
	names := uniqueNames{}
	for index, reference := range references {
		entry := fmt.Sprintf("%s[%d]", field, index)
		err := names.add(entry, reference)
		if err != nil {
			return err
		}
		if !known[reference] {
			return broken(entry, "%q is not declared", reference)
		}
	}
	return nil
}

func checkPolicy(configuration *operatorv1.Configuration) error {
	policy := configuration.GetScheduling()
	_, err := queue.ByName(policy.GetQueue())
	if err != nil {
		return broken("scheduling.queue", "%v", err)
	}
	err = atMost("scheduling.affinity_percent", uint64(policy.GetAffinityPercent()), highestPercentage)
	if err != nil {
		return err
	}
	_, err = placement.ByName(policy.GetPlacement(), policy.GetAffinityPercent())
	if err != nil {
		return broken("scheduling.placement", "%v", err)
	}
	_, err = cache.ByName(policy.GetCache())
	if err != nil {
		return broken("scheduling.cache", "%v", err)
	}
	return nil
}

func checkDrained(configuration *operatorv1.Configuration) error {
	names := uniqueNames{}
	for index, backEnd := range configuration.GetDrainedBackEnds() {
		err := names.add(fmt.Sprintf("drained_back_ends[%d]", index), backEnd)
		if err != nil {
			return err
		}
	}
	return nil
}

// uniqueNames collects the names of one list.
type uniqueNames map[string]bool

func (names uniqueNames) add(field, name string) error {
	err := checkName(field, name)
	if err != nil {
		return err
	}
	return names.addUnique(field, name)
}

func (names uniqueNames) addUnique(field, name string) error {
	if names[name] {
		return broken(field, "%q stands twice", name)
	}
	names[name] = true
	return nil
}

// checkName refuses empty, long and unprintable names.
func checkName(field, name string) error {
	if name == "" {
		return broken(field, "missing")
	}
	if len(name) > maxNameLength {
		return broken(field, "longer than %d bytes", maxNameLength)
	}
	if strings.IndexFunc(name, isUnprintable) >= 0 {
		return broken(field, "%q has a space or a control character", name)
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

func atMost(field string, value, limit uint64) error {
	if value > limit {
		return broken(field, "%d is above %d", value, limit)
	}
	return nil
}

func broken(field, format string, arguments ...any) error {
	return resultcode.New(resultcode.InvalidConfiguration, "%s: %s", field, fmt.Sprintf(format, arguments...))
}
