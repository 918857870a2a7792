package otlp

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protowire"

	"google.golang.org/protobuf/proto"
	"kiteloft/internal/fields"
)

const (
	maxResponseSize = 64 << 10 // bytes of a collector's response that are read
	sendTimeout     = 10 * time.Second
	contentType     = "application/x-protobuf"
)

// Sender posts messages to a collector by OTLP over HTTP, encoded in protobuf and compressed with gzip.
type Sender struct {
	url    string
	client *http.Client
}

// NewSender returns a Sender to a collector's URL, which includes the path.
func NewSender(url string) *Sender {
	return &Sender{url: url, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true},
		// OTLP has no redirects: one is handled as a rejection.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// PartialSuccess reports what a collector that accepted a message rejected of it.
type PartialSuccess struct {
	Rejected int64 // spans
	Message  string
}

// RejectedError is an answer of the collector other than success. Unless a RetryableError wraps it,
// sending the same message again would not succeed. Status is the HTTP status, or 0 if the request
// could not be built.
type RejectedError struct{ Status int }

func (r *RejectedError) Error() string {
	return fmt.Sprintf("the collector answered %d", r.Status)
}

// RetryableError is a failure after which the same message may be sent again.
type RetryableError struct {
	After time.Duration // delay that the collector asked for; 0 if none
	Err   error
}

func (r *RetryableError) Error() string { return r.Err.Error() }

// Unwrap returns the underlying failure.
func (r *RetryableError) Unwrap() error { return r.Err }

// Send posts a message, once. Its error is a *Retry or a *Rejection; OTLP's
// specification names the statuses that may be tried again.
func (s *Sender) Send(ctx context.Context, data *trace.TracesData, now time.Time) (PartialSuccess, error) {
	// ExportTraceServiceRequest has the same encoding as TracesData. The package that declares it is
	// not used because it depends on a gateway for servers.
	body, err := proto.Marshal(data)
	if err != nil {
		return PartialSuccess{}, &RejectedError{}
	}
	var zipped bytes.Buffer
	z := gzip.NewWriter(&zipped)
	_, err = z.Write(body) // a write to memory never fails
	if err = errors.Join(err, z.Close()); err != nil {
		return PartialSuccess{}, &RejectedError{}
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url, &zipped)
	if err != nil {
		return PartialSuccess{}, &RejectedError{}
	}
	req.Header.Set("Content-Type", contentType)
	req.Header.Set("Content-Encoding", "gzip")
	resp, err := s.client.Do(req)
	if err != nil {
		return PartialSuccess{}, &RetryableError{Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // what matters of the body has been read
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	switch {
	case resp.StatusCode/100 == 2:
		if err != nil {
			return PartialSuccess{}, &RetryableError{Err: err}
		}
		return parsePartialSuccess(answer), nil
	case resp.StatusCode == 429, resp.StatusCode == 502, resp.StatusCode == 503, resp.StatusCode == 504:
		return PartialSuccess{}, &RetryableError{After: parseRetryAfter(resp.Header.Get("Retry-After"), now), Err: &RejectedError{resp.StatusCode}}
	}
	return PartialSuccess{}, &RejectedError{resp.StatusCode}
}

// parsePartialSuccess decodes the parsePartialSuccess success from an ExportTraceServiceResponse. An answer that can't be
// decoded counts as full success.
func parsePartialSuccess(answer []byte) (p PartialSuccess) {
	fields.Each(answer, func(n protowire.Number, _ uint64, b []byte) bool {
		if n != 1 { // partial_success
			return true
		}
		fields.Each(b, func(n protowire.Number, x uint64, b []byte) bool {
			switch n {
			case 1: // rejected_spans
				p.Rejected = max(0, int64(x))
			case 2: // error_message
				p.Message = string(b)
			}
			return true
		})
		return true
	})
	return p
}

// parseRetryAfter parses a Retry-After header, which holds seconds or an HTTP date; 0 if it is neither.
func parseRetryAfter(s string, now time.Time) time.Duration {
	if n, err := strconv.Atoi(s); err == nil {
		return time.Duration(max(0, n)) * time.Second
	}
	if at, err := http.ParseTime(s); err == nil {
		return max(0, at.Sub(now))
	}
	return 0
}

// Close closes idle connections.
func (s *Sender) Close() { s.client.CloseIdleConnections() }
