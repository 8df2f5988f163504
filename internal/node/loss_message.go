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
	quarantine.Answered:    nodev1.LossCause_LOSS_CAUSE_ANSWERED,
	quarantine.Unfinished:  nodev1.LossCause_LOSS_CAUSE_UNFINISHED,
}

var lossCausesFromProto = map[nodev1.LossCause]quarantine.Cause{
	nodev1.LossCause_LOSS_CAUSE_INTERRUPTED: quarantine.Interrupted,
	nodev1.LossCause_LOSS_CAUSE_SILENT:      quarantine.Silent,
	nodev1.LossCause_LOSS_CAUSE_LEFT:        quarantine.Left,
	nodev1.LossCause_LOSS_CAUSE_ANSWERED:    quarantine.Answered,
	nodev1.LossCause_LOSS_CAUSE_UNFINISHED:  quarantine.Unfinished,
}

// lossMessage returns a message that tells of losses.
func lossMessage(losses []quarantine.Loss, forward bool, now time.Time) *nodev1.ShareLossesRequest {
	return &nodev1.ShareLossesRequest{Losses: lossesToProto(losses, now), Forward: forward}
}

func lossesToProto(losses []quarantine.Loss, now time.Time) []*nodev1.EngineLoss {
	messages := make([]*nodev1.EngineLoss, len(losses))
	for index, loss := range losses {
		messages[index] = lossToProto(loss)
		messages[index].AgeMs = now.Sub(loss.At).Milliseconds()
	}
	return messages
}

// lossToProto encodes a loss without its time.
func lossToProto(loss quarantine.Loss) *nodev1.EngineLoss {
	message := &nodev1.EngineLoss{
		Id:          loss.ID,
		Request:     loss.Request[:],
		Engine:      loss.Engine.ID,
		Incarnation: loss.Engine.Incarnation,
		Cause:       lossCauses[loss.Cause],
		Refuted:     loss.Refuted,
		LastedMs:    loss.At.Sub(loss.Began).Milliseconds(),
		SettlingMs:  loss.Settled.Sub(loss.At).Milliseconds(),
	}
	if loss.Content != (quarantine.Fingerprint{}) {
		message.Content = loss.Content[:]
	}
	return message
}

// lossesFromProto decodes losses, except those whose request is not a fingerprint.
func lossesFromProto(messages []*nodev1.EngineLoss, now time.Time) []quarantine.Loss {
	losses := make([]quarantine.Loss, 0, len(messages))
	for _, message := range messages {
		if len(message.Request) != len(quarantine.Fingerprint{}) {
			continue
		}
		losses = append(losses, lossFromProto(message, quarantine.Fingerprint(message.Request), now.Add(-milliseconds(max(message.AgeMs, 0)))))
	}
	return losses
}

// lossFromProto decodes a loss of a request at a time.
func lossFromProto(message *nodev1.EngineLoss, request quarantine.Fingerprint, at time.Time) quarantine.Loss {
	identity := quarantine.Identity{Request: request}
	if len(message.Content) == len(identity.Content) {
		identity.Content = quarantine.Fingerprint(message.Content)
	}
	return quarantine.Loss{
		ID:       message.Id,
		Identity: identity,
		Engine:   quarantine.EngineLife{ID: message.Engine, Incarnation: message.Incarnation},
		Began:    at.Add(-milliseconds(max(message.LastedMs, 0))),
		At:       at,
		Settled:  at.Add(milliseconds(max(message.SettlingMs, 0))),
		Cause:    lossCausesFromProto[message.Cause],
		Refuted:  message.Refuted,
	}
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
