package forward

import (
	"context"
	"io"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/relay"
)

// replyBody is the body of an answer that another instance passes on. It implements io.ReadCloser.
type replyBody struct {
	stream  *connect.ServerStreamForClient[sfv1.ForwardResponse]
	cancel  context.CancelFunc
	release func()
	closing sync.Once
	// unread is the received part that was not read yet.
	unread []byte
	// ended is the error of further reads, once the answer has ended.
	ended error
}

// begin waits for the answer's header.
func (b *replyBody) begin() (*relay.Reply, error) {
	if !b.stream.Receive() {
		return nil, errors.WithMessagef(relay.ErrNoValidAnswer, "forward: %v", b.stream.Err())
	}
	message := b.stream.Msg()
	if end := message.GetEnd(); end != nil {
		return nil, endError(end)
	}
	header := message.GetHeader()
	if header.GetStatus() < http.StatusOK {
		return nil, errors.WithMessage(relay.ErrNoValidAnswer, "forward: the answer has no header, or the status of no answer")
	}
	return &relay.Reply{Status: int(header.GetStatus()), Header: headerFromMessage(header.GetHeader()), Version: header.GetVersion(), Body: b}, nil
}

// endError returns the error of a request that ended without an answer.
func endError(end *sfv1.ForwardEnd) error {
	if end.GetRefusal() == nil {
		return errors.WithMessage(relay.ErrNoValidAnswer, "forward: ended without an answer")
	}
	return &relay.PeerRefusal{Refusal: refusalFromMessage(end.GetRefusal()), History: historyFromMessage(end.GetHistory())}
}

// Read implements io.Reader.
func (b *replyBody) Read(p []byte) (int, error) {
	for len(b.unread) == 0 && b.ended == nil {
		b.receive()
	}
	if len(b.unread) > 0 {
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	}
	return 0, b.ended
}

// receive receives the next part. An answer without an end was cut off.
func (b *replyBody) receive() {
	if !b.stream.Receive() {
		b.ended = errors.Wrapf(io.ErrUnexpectedEOF, "forward: %v", b.stream.Err())
		return
	}
	message := b.stream.Msg()
	switch end := message.GetEnd(); {
	case end == nil:
		b.unread = message.GetData()
	case end.GetSuperseded():
		b.ended = errors.Wrap(relay.ErrSuperseded, "forward")
	case end.GetAborted() || end.GetRefusal() != nil:
		b.ended = errors.Wrap(io.ErrUnexpectedEOF, "forward: the answer broke off")
	default:
		b.ended = io.EOF
	}
}

// Close implements io.Closer. It ends the work on an answer that was not read to its end.
func (b *replyBody) Close() error {
	var err error
	b.closing.Do(func() {
		err = b.close()
		b.release()
	})
	return err
}

// discard closes the body of a request whose target was not charged yet by a reply.
func (b *replyBody) discard() {
	b.closing.Do(func() { _ = b.close() }) // the request has failed already
}

func (b *replyBody) close() error {
	if b.ended != io.EOF {
		b.cancel()
	}
	err := b.stream.Close()
	b.cancel()
	return errors.Wrap(err, "forward: close")
}
