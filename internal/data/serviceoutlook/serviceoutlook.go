package serviceoutlook

import (
	"siskinrun/internal/data/choice"
	"siskinrun/internal/data/lanestate"
	"siskinrun/internal/data/queuestate"
)

// Outlook is what would become of a request at one service of its route.
type Outlook struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is the weight of the service in the split of the route, of Weights in all; both are 1 without a split.
	Weight int64 `json:"weight"`
	// Weights is the sum of the weights of the split.
	Weights int64 `json:"weights"`
	// Model is what an engine must have loaded, empty for a plain service.
	Model string `json:"model,omitempty"`
	// Outcome is sent, waits, asks-owner or the code of the refusal.
	Outcome string `json:"outcome"`
	// Queue is the queue for slots, nil if the host has none for the service yet.
	Queue *queuestate.State `json:"queue,omitempty"`
	// Lane is the line for permits.
	Lane lanestate.State `json:"lane"`
	// Choice is the choice of the upstream.
	Choice choice.Choice `json:"choice"`
}
