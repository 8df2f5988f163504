package cluster

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

const (
	// OperatorKey is the operator key of every cluster.
	OperatorKey = "rehearsal-operator"
	// Tenant owns every tier of a cluster.
	Tenant = "rehearsal"

	promptPriceMicros       = 50
	outputPriceMicros       = 200
	defaultTierBudgetMicros = 1_000_000_000
	defaultProgramCapMicros = 20_000
	turnLimit               = 240
	toolPauseLimit          = 2 * time.Minute
	toolDeadline            = 5 * time.Second
)

// TierKey is the API key of a tier's callers.
func TierKey(tier string) string { return "rehearsal-" + tier }

func keyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// Configuration returns the operator configuration for a deployment's tiers and
// program kinds.
func (plan Plan) Configuration(deployment workload.Deployment) *operatorv1.Configuration {
	declared := &operatorv1.Configuration{
		Services: []*operatorv1.Service{
			{Name: plan.Model, Kind: operatorv1.ServiceKind_SERVICE_KIND_MODEL},
			{
				Name: plan.Tool, Kind: operatorv1.ServiceKind_SERVICE_KIND_TOOL,
				CallDeadlineMs: uint32(toolDeadline / time.Millisecond),
			},
		},
		Scheduling: &operatorv1.SchedulingPolicy{},
	}
	for _, tier := range deployment.Tiers {
		declared.Tiers = append(declared.Tiers, &operatorv1.Tier{
			Name:              tier.Name,
			Tenant:            Tenant,
			KeySha256:         keyDigest(TierKey(tier.Name)),
			Weight:            tier.Weight,
			PromptPriceMicros: promptPriceMicros,
			OutputPriceMicros: outputPriceMicros,
			BudgetMicros:      cmp.Or(plan.TierBudgetMicros, defaultTierBudgetMicros),
			ProgramCapMicros:  cmp.Or(plan.ProgramCapMicros, defaultProgramCapMicros),
			QueueWaitBoundMs:  uint32(tier.WaitBound / time.Millisecond),
		})
	}
	for _, kind := range deployment.Kinds {
		declared.ProgramKinds = append(declared.ProgramKinds, &operatorv1.ProgramKind{
			Name:             kind.Name,
			Tiers:            []string{kind.Tier},
			Services:         []string{plan.Model, plan.Tool},
			TurnLimit:        turnLimit,
			ToolPauseLimitMs: uint32(toolPauseLimit / time.Millisecond),
		})
	}
	return declared
}

// publish appends the plan's first configuration to the log.
func (cluster *Cluster) publish(ctx context.Context) error {
	deployment, err := workload.DeploymentByName(cluster.plan.Deployment)
	if err != nil {
		return err
	}
	content, err := proto.Marshal(cluster.plan.Configuration(deployment))
	if err != nil {
		return eris.Wrap(err, "encode configuration")
	}
	record, err := proto.Marshal(&configurationv1.Change{ChangeId: "rehearsal-start", Content: content})
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	client, err := httpadapter.NewClient(httpadapter.Config{})
	if err != nil {
		return err
	}
	defer client.Close()
	_, err = httpadapter.NewLog(client, cluster.plan.LogAddress()).Append(ctx, configuration.Stream, record)
	return eris.Wrap(err, "publish the first configuration")
}
