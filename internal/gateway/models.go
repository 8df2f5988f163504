package gateway

import "net/http"

// modelList is OpenAI's list object.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

const (
	objectList  = "list"
	objectModel = "model"
	ownedBy     = "magpielug"
)

// listModels serves GET /v1/models: all models, and each model with each of its
// adapters.
func (gateway *Gateway) listModels(exchange *exchange) error {
	list := modelList{Object: objectList, Data: []modelBody{}}
	add := func(name string) {
		list.Data = append(list.Data, modelBody{ID: name, Object: objectModel, OwnedBy: ownedBy})
	}
	for _, service := range exchange.configuration.Services() {
		if service.Kind != ServiceModel {
			continue
		}
		add(service.Name)
		for _, adapter := range service.Adapters {
			add(service.Name + adapterSeparator + adapter)
		}
	}
	return exchange.writeJSON(http.StatusOK, list)
}
