package callerapi

import (
	"bytes"
	"io"
)

const (
	// firstUploadBytes is what an upload takes at its begin: the buffer in which lines are looked for, and that of the form.
	firstUploadBytes = 128 << 10
	// uploadCopies is how often received bytes are held: in the buffer of the line, once more while it grows, and in the chunk.
	uploadCopies = 3
	// maxUploadBytes bounds that: two buffers of a line and a chunk with one line more, of 1 MB each.
	maxUploadBytes = 4 << 20
	// idBytes is what the check for repeated IDs takes for a line, and minLineBytes is less than the shortest line has.
	idBytes      = 14
	minLineBytes = 64
	// uploadStep is the least that is reserved at a time.
	uploadStep = 64 << 10
	// contentBytes is what a response takes that is sent in pages of 1 MB: the page and the message that it came in.
	contentBytes = 2 << 20
)

// heldReader reads an upload and reserves the memory that its bytes will take before they are read.
type heldReader struct {
	reader io.Reader
	// reserve reserves memory until the request ends, or returns a refusal.
	reserve func(n int64) error
	// complete is called when the upload has arrived.
	complete func()
	// refused is the refusal of reserve.
	refused error

	received, lines, held int64
}

// Read implements io.Reader.Read.
func (r *heldReader) Read(p []byte) (int, error) {
	if r.refused = r.hold(int64(len(p))); r.refused != nil {
		return 0, r.refused
	}
	n, err := r.reader.Read(p)
	r.received += int64(n)
	r.lines += int64(bytes.Count(p[:n], []byte("\n")))
	if err == io.EOF {
		r.complete()
	}
	return n, err
}

// hold reserves what is held once n bytes more have come.
func (r *heldReader) hold(n int64) error {
	need := min(firstUploadBytes+uploadCopies*(r.received+n), maxUploadBytes) + idBytes*(r.lines+n/minLineBytes)
	if need <= r.held {
		return nil
	}
	n = max(need-r.held, uploadStep)
	if err := r.reserve(n); err != nil {
		return err
	}
	r.held += n
	return nil
}
