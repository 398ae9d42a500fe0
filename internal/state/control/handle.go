package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/state/packet"
	"siskinrun/pkg/refusal"
)

const (
	methodConfirm = "control/confirm"
	methodPropose = "control/propose"
	methodChange  = "control/change"
)

// onPacket passes the messages of a peer to the replicas.
func (c *Service) onPacket(_ context.Context, from string, body []byte) ([]byte, error) {
	cluster, all, err := decodePacket(body)
	if err != nil {
		return nil, err
	}
	if cluster == "" || cluster != c.cluster() {
		return nil, refusal.NewNotRun(409, "other-cluster", "the message belongs to another formation")
	}
	for _, l := range all {
		if l.message.From.Host != from {
			return nil, refusal.NewNotRun(403, "other-host", "the message names a sender other than the calling host")
		}
		d, err := c.driver(l.group)
		if err != nil {
			continue
		}
		d.inbox.TryPush(func(now time.Time) { d.replica.Step(now, l.message) })
	}
	return nil, nil
}

func (c *Service) cluster() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.formation.Formed {
		return ""
	}
	return c.formation.Cluster
}

func (c *Service) onPropose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	p := &packet.Proposal{}
	if err := proto.Unmarshal(body, p); err != nil {
		return nil, undecodable(err)
	}
	return c.Propose(ctx, p.GetGroup(), p.GetCommand())
}

func (c *Service) onConfirm(ctx context.Context, _ string, body []byte) ([]byte, error) {
	_, i, err := c.confirmLeader(ctx, body)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(&packet.Answer{Index: i})
}

// confirmLeader decodes a request for a group and returns the group's driver once a quorum has confirmed that this host leads.
func (c *Service) confirmLeader(ctx context.Context, body []byte) (*driver, uint64, error) {
	q := &packet.Question{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, 0, undecodable(err)
	}
	d, err := c.driver(q.GetGroup())
	if err != nil {
		return nil, 0, err
	}
	i, err := d.readIndex(ctx)
	return d, i, err
}

func (c *Service) requestReadIndex(ctx context.Context, leader string, group uint32) (uint64, error) {
	b, err := proto.Marshal(&packet.Question{Group: group})
	if err != nil {
		return 0, errors.Wrap(err, "encode a confirmation request")
	}
	b, err = c.Link.Call(ctx, leader, methodConfirm, b)
	if err != nil {
		return 0, err
	}
	a := &packet.Answer{}
	if err := proto.Unmarshal(b, a); err != nil {
		return 0, errors.Wrap(err, "decode a confirmation")
	}
	return a.GetIndex(), nil
}

func undecodable(err error) error {
	return refusal.NewNotRun(400, "undecodable", err.Error())
}

func (c *Service) count(name string, n int64) {
	if c.Metrics != nil {
		metrics.GetOrRegisterCounter(name, c.Metrics).Inc(n)
	}
}
