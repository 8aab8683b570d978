package bench

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutline/chestnutline/internal/platform"
	"github.com/chestnutline/chestnutline/internal/standin/answer"
)

// The faults of the fake router. The bench passes them on as the name of the
// policy.
const (
	policyCorrect    = "default"
	policyRunTwice   = "doubling"
	policyMixAnswers = "mixing"
	policyDenyRun    = "denying"
	policySkipRun    = "forgetful"
)

// fakeRouter implements the HTTP interface for callers. It makes up the answers
// of engines itself and forwards service calls to the first service in the
// platform's list.
type fakeRouter struct {
	policy            string
	platform          string
	lastRequestNumber atomic.Uint64
	host              string
}

// runFakeRouter is the main function of the test binary when it is started under
// the router's name.
func runFakeRouter() int {
	var r fakeRouter
	listen := flag.String("listen", "", "")
	admin := flag.String("admin", "", "")
	flag.StringVar(&r.host, "host", "", "")
	flag.StringVar(&r.platform, "platform", "", "")
	flag.StringVar(&r.policy, "policy", "", "")
	flag.String("data-centre", "", "")
	flag.String("peer", "", "")
	flag.String("peer-bind", "", "")
	flag.Parse()
	mux := http.NewServeMux()
	mux.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/v1/chat/completions", r.chat)
	mux.HandleFunc("/v1/services/{service}/{kind}", r.service)
	go func() { _ = http.ListenAndServe(*admin, mux) }()
	fmt.Fprintln(os.Stderr, http.ListenAndServe(*listen, mux))
	return 1
}

func (f *fakeRouter) chat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		MaxTokens int `json:"max_tokens"`
		Messages  []struct {
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	hash := xxhash.Sum64String(body.Messages[0].Content)
	if f.policy == policyMixAnswers {
		hash++
	}
	for i := range body.MaxTokens {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", answer.AnswerToken(hash, i))
	}
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
}

func (f *fakeRouter) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := fmt.Sprintf("%s-%d", f.host, f.lastRequestNumber.Add(1))
	w.Header().Set("X-Request-Id", id)
	key := r.Header.Get("Idempotency-Key")
	if key != "" && f.policy != policyRunTwice && f.claimKey(key) {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"code":"claimed","outcome":"unknown"}`)
		return
	}
	runs := 1
	if f.policy == policySkipRun {
		runs = 0
	}
	for range runs {
		if err := f.runService(r.PathValue("kind"), id, key, body); err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
	}
	if f.policy == policyDenyRun {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"code":"busy","outcome":"not_run"}`)
	}
}

// claimKey creates an object named by the idempotency key, and reports whether it
// existed already.
func (f *fakeRouter) claimKey(key string) bool {
	request, err := http.NewRequest(http.MethodPut, f.platform+platform.PathObject+"?base=0&key="+key, bytes.NewReader(nil))
	if err != nil {
		return true
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return true
	}
	defer response.Body.Close()
	return response.StatusCode != http.StatusOK
}

func (f *fakeRouter) runService(kind, id, key string, body []byte) error {
	response, err := http.Get(f.platform + platform.PathHosts)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var hosts []platform.Host
	if err := json.NewDecoder(response.Body).Decode(&hosts); err != nil {
		return err
	}
	for _, h := range hosts {
		if h.Role != "service" {
			continue
		}
		call, err := http.NewRequest(http.MethodPost, "http://"+h.Address+"/v1/"+kind, bytes.NewReader(body))
		if err != nil {
			return err
		}
		call.Header.Set("X-Request-Id", id)
		call.Header.Set("Idempotency-Key", key)
		answered, err := http.DefaultClient.Do(call)
		if err != nil {
			return err
		}
		return answered.Body.Close()
	}
	return fmt.Errorf("no service is known")
}
