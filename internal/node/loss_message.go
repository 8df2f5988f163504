package node

import (
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/quarantine"
)

var lossCauses = map[quarantine.Cause]nodev1.LossCause{
	quarantine.Interrupted: nodev1.LossCause_LOSS_CAUSE_INTERRUPTED,
	quarantine.Silent:      nodev1.LossCause_LOSS_CAUSE_SILENT,
	quarantine.Left:        nodev1.LossCause_LOSS_CAUSE_LEFT,
}

var lossCausesFromProto = map[nodev1.LossCause]quarantine.Cause{
	nodev1.LossCause_LOSS_CAUSE_INTERRUPTED: quarantine.Interrupted,
	nodev1.LossCause_LOSS_CAUSE_SILENT:      quarantine.Silent,
	nodev1.LossCause_LOSS_CAUSE_LEFT:        quarantine.Left,
}

// lossMessage returns a message that tells of losses.
func lossMessage(losses []quarantine.Loss, forward bool, now time.Time) *nodev1.ShareLossesRequest {
	return &nodev1.ShareLossesRequest{Losses: lossesToProto(losses, now), Forward: forward}
}

func lossesToProto(losses []quarantine.Loss, now time.Time) []*nodev1.EngineLoss {
	messages := make([]*nodev1.EngineLoss, len(losses))
	for index, loss := range losses {
		messages[index] = &nodev1.EngineLoss{
			Id:          loss.ID,
			Request:     loss.Request[:],
			Engine:      loss.Engine.ID,
			Incarnation: loss.Engine.Incarnation,
			AgeMs:       now.Sub(loss.At).Milliseconds(),
			Cause:       lossCauses[loss.Cause],
			Refuted:     loss.Refuted,
		}
	}
	return messages
}

// lossesFromProto decodes losses, except those whose request is not a fingerprint.
func lossesFromProto(messages []*nodev1.EngineLoss, now time.Time) []quarantine.Loss {
	losses := make([]quarantine.Loss, 0, len(messages))
	for _, message := range messages {
		if len(message.Request) != len(quarantine.Fingerprint{}) {
			continue
		}
		losses = append(losses, quarantine.Loss{
			ID:      message.Id,
			Request: quarantine.Fingerprint(message.Request),
			Engine:  quarantine.EngineLife{ID: message.Engine, Incarnation: message.Incarnation},
			At:      now.Add(-milliseconds(max(message.AgeMs, 0))),
			Cause:   lossCausesFromProto[message.Cause],
			Refuted: message.Refuted,
		})
	}
	return losses
}

// digestFromProto decodes a digest. One of another length, as of a node that knows no losses, is
// that of an empty tracker.
func digestFromProto(parts []uint64) quarantine.Digest {
	var digest quarantine.Digest
	if len(parts) == len(digest) {
		copy(digest[:], parts)
	}
	return digest
}
