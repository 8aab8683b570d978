package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// callTimeout limits the duration of one call to a stand-in or to an admin
// address.
const callTimeout = 5 * time.Second

// maxAnswerBytes is the most bytes that are read from the answer of such a call.
const maxAnswerBytes = 64 << 20

// jsonClient calls the stand-ins and the admin addresses with JSON over HTTP.
type jsonClient struct {
	http *http.Client
}

func newJSONClient() jsonClient {
	return jsonClient{http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}}
}

// call sends body as JSON unless body is nil, and decodes the answer into result
// unless result is nil. It returns an error for any status code outside of 200 to
// 299.
func (c jsonClient) call(ctx context.Context, method, url string, body, result any) error {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrapf(err, "encoding the body for %s", url)
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return errors.Wrapf(err, "building a call to %s", url)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "calling %s %s", method, url)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "reading the answer of %s", url)
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s answered %d: %.200s", method, url, response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(data, result), "decoding the answer of %s", url)
}

// waitReady calls a URL until it answers with success. When ctx ends first, it
// returns the error of the last call.
func (c jsonClient) waitReady(ctx context.Context, url string) error {
	const pause = 50 * time.Millisecond
	for {
		err := c.call(ctx, http.MethodGet, url, nil, nil)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "waiting for a program to be ready")
		case <-time.After(pause):
		}
	}
}
