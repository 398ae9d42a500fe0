package formation

import (
	"encoding/json"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/identity"
)

const fileName = "formation"

// Formation is a proposed or agreed initial membership of all groups.
type Formation struct {
	// Cluster is the random name of the cluster.
	Cluster string `json:"cluster"`
	// Coordinator is the only identity that may complete the formation.
	Coordinator identity.Identity `json:"coordinator"`
	// Round counts the proposals of the coordinator.
	Round uint64 `json:"round"`
	// Members are the initial voters.
	Members []identity.Identity `json:"members"`
	// MayForm says that this disk belonged to a first start, so that its host may form the groups also after a restart.
	MayForm bool `json:"may-form,omitempty"`
	// Formed reports whether every member has promised to join this formation.
	Formed bool `json:"formed"`
}

// files is the part of a data folder that a formation uses.
type files interface {
	Read(name string) ([]byte, error)
	Replace(name string, b []byte) error
}

// NewFormation returns the formation stored on d, which is empty on a fresh disk.
func NewFormation(d files) (Formation, error) {
	var f Formation
	b, err := d.Read(fileName)
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return f, errors.Wrap(err, "read the formation")
	}
	return f, errors.Wrap(json.Unmarshal(b, &f), "decode the formation")
}

// Save makes the formation durable.
func (f Formation) Save(d files) error {
	b, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode the formation")
	}
	return errors.Wrap(d.Replace(fileName, b), "save the formation")
}

// IsZero reports whether the disk is fresh.
func (f Formation) IsZero() bool {
	return f.Cluster == ""
}

// MayCoordinate reports whether the host of a disk that holds f may form the groups though it was not told to: it was at an earlier
// start, or its own proposal is under way.
func (f Formation) MayCoordinate(self identity.Identity) bool {
	return !f.Formed && (f.MayForm || !f.IsZero() && f.Coordinator == self)
}

// MayPromise reports whether a disk that holds f may promise to join n.
func (f Formation) MayPromise(n Formation, self identity.Identity) bool {
	if f.Formed || n.IsZero() || !slices.Contains(n.Members, self) {
		return false
	}
	if f.IsZero() {
		return true
	}
	return f.Coordinator == n.Coordinator && n.Round >= f.Round
}

// NextProposal returns the proposal of coordinator self after f, which is f itself while the members stay the same.
func (f Formation) NextProposal(cluster string, self identity.Identity, members []identity.Identity) Formation {
	if f.Coordinator == self && slices.Equal(f.Members, members) {
		return f
	}
	return Formation{Cluster: cluster, Coordinator: self, Round: f.Round + 1, Members: members}
}
