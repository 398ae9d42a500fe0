package batch

import (
	"context"
	"crypto/sha256"
	"io"
	"time"

	"siskinrun/internal/data/file"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/refusal"
)

const (
	kindFile = "file"
	kindJob  = "batch"

	// minChunkBytes is the minimum size of all chunks but the last.
	minChunkBytes = 512 << 10
	// pageBytes is the size of a page in which contents and results are read.
	pageBytes     = 1 << 20
	maxListedJobs = 1000
)

// UploadFile stores the JSON lines of r. Each must be a valid item.
func (b *Service) UploadFile(ctx context.Context, team, name, purpose string, r io.Reader) (file.File, error) {
	if purpose != file.Purpose {
		return file.File{}, refusal.NewNotRun(400, "unknown-purpose", "the purpose of a file must be "+file.Purpose)
	}
	g := b.randomGroup()
	limit, elsewhere, err := b.quota(ctx, team, g)
	if err != nil {
		return file.File{}, err
	}
	u := &upload{service: b, group: g, id: b.newID(kindFile, g), hash: sha256.New()}
	c := &entry.Begin{
		File:      u.id,
		Team:      team,
		Name:      name,
		Purpose:   purpose,
		Limit:     limit,
		Elsewhere: elsewhere,
	}
	_, err = b.Command(ctx, g, &entry.Command{Kind: &entry.Command_Begin{Begin: c}})
	if err != nil {
		return file.File{}, uploadRefusal(err)
	}
	f, err := u.run(ctx, r)
	if err != nil {
		u.discard(ctx, team)
		return file.File{}, uploadRefusal(err)
	}
	return fileFromEntry(f), nil
}

// uploadRefusal returns the refusal of an upload. Its verdict is not-run, since a file alone starts no item.
func uploadRefusal(err error) error {
	return asNotRun(err)
}

// quota returns a team's limit of stored bytes, zero for none, and the bytes that it stores in the other groups.
func (b *Service) quota(ctx context.Context, team string, group uint32) (limit, elsewhere int64, err error) {
	t, ok := b.Directory.Team(team)
	if !ok {
		return 0, 0, refusal.NewNotRun(403, "unknown-team", "the team does not exist")
	}
	if t.MaxStoredBytes == 0 {
		return 0, 0, nil
	}
	for g := uint32(1); g <= b.Groups; g++ {
		if g == group {
			continue
		}
		f, err := b.query(ctx, &entry.Query{Group: g, Kind: &entry.Query_Used{Used: team}})
		if err != nil {
			return 0, 0, err
		}
		elsewhere += f.Used
	}
	return t.MaxStoredBytes, elsewhere, nil
}

// GetFile returns the metadata of a file.
func (b *Service) GetFile(ctx context.Context, team, id string) (file.File, error) {
	f, err := b.file(ctx, team, id)
	if err != nil {
		return file.File{}, err
	}
	return fileFromEntry(f), nil
}

func (b *Service) file(ctx context.Context, team, id string) (*entry.File, error) {
	g, err := b.groupIn(kindFile, id)
	if err != nil {
		return nil, err
	}
	f, err := b.query(ctx, &entry.Query{Group: g, Kind: &entry.Query_File{File: id}})
	if err != nil {
		return nil, err
	}
	if f.File.GetTeam() != team || !f.File.GetSealed() {
		return nil, notFound(kindFile)
	}
	return f.File, nil
}

// FileContent writes the contents of a file to w.
func (b *Service) FileContent(ctx context.Context, team, id string, w io.Writer) error {
	f, err := b.file(ctx, team, id)
	if err != nil {
		return err
	}
	g, err := b.groupIn(kindFile, id)
	if err != nil {
		return err
	}
	for o := int64(0); o < f.Bytes; {
		e := &entry.Extent{File: id, Offset: o}
		p, err := b.query(ctx, &entry.Query{Group: g, Kind: &entry.Query_Content{Content: e}})
		if err != nil {
			return err
		}
		if len(p.Data) == 0 {
			return refusal.NewNotRun(502, "short-file", "the file is shorter than its recorded size")
		}
		if _, err := w.Write(p.Data); err != nil {
			return err
		}
		o += int64(len(p.Data))
	}
	return nil
}

// DeleteFile deletes a file. Jobs that read it continue.
func (b *Service) DeleteFile(ctx context.Context, team, id string) error {
	if _, err := b.file(ctx, team, id); err != nil {
		return err
	}
	g, err := b.groupIn(kindFile, id)
	if err != nil {
		return err
	}
	d := &entry.Discard{File: id, Team: team}
	_, err = b.Command(ctx, g, &entry.Command{Kind: &entry.Command_Discard{Discard: d}})
	return err
}

func fileFromEntry(f *entry.File) file.File {
	return file.File{
		ID:      f.Id,
		Name:    f.Name,
		Purpose: f.Purpose,
		Bytes:   f.Bytes,
		Lines:   int(f.Lines),
		Created: time.Unix(0, f.Created).UTC(),
	}
}
