package activitypub

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"mastusher/internal/relay/httpwire"
)

// HTTP signatures as the Fediverse makes them: draft-cavage-http-signatures-12 over the request target, host,
// date and digest, with RSA (PKCS #1 v1.5, SHA-256) or Ed25519 keys.

// keyring holds public keys by their ids.
type keyring map[string]crypto.PublicKey

var signedHeaders = []string{"(request-target)", "host", "date", "digest"}

// Signer signs this relay's requests.
type Signer struct {
	KeyID string
	Key   crypto.Signer
}

// Headers returns the headers of a signed request, all but Content-Length.
func (s *Signer) Headers(method, host, path string, body []byte, now time.Time) ([]string, error) {
	date, digest := now.UTC().Format(http.TimeFormat), digestOf(body)
	text := signingText(signedHeaders, func(name string) string {
		switch name {
		case "host":
			return host
		case "date":
			return date
		case "digest":
			return digest
		}
		return strings.ToLower(method) + " " + path
	})
	var sig []byte
	var err error
	algorithm := "rsa-sha256"
	if _, ok := s.Key.(ed25519.PrivateKey); ok {
		algorithm = "hs2019"
		sig, err = s.Key.Sign(rand.Reader, []byte(text), crypto.Hash(0))
	} else {
		sum := sha256.Sum256([]byte(text))
		sig, err = s.Key.Sign(rand.Reader, sum[:], crypto.SHA256)
	}
	if err != nil {
		return nil, fmt.Errorf("activitypub: signing: %w", err)
	}
	return []string{"Date", date, "Digest", digest, "Content-Type", contentType, "Signature",
		fmt.Sprintf(`keyId="%s",algorithm="%s",headers="%s",signature="%s"`, s.KeyID, algorithm,
			strings.Join(signedHeaders, " "), base64.StdEncoding.EncodeToString(sig))}, nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return "SHA-256=" + base64.StdEncoding.EncodeToString(sum[:])
}

func signingText(names []string, value func(string) string) string {
	lines := make([]string, len(names))
	for i, n := range names {
		lines[i] = n + ": " + value(n)
	}
	return strings.Join(lines, "\n")
}

// RequestError is why a request is not accepted, and the status that says so.
type RequestError struct {
	Status int
	Reason string
}

func (r *RequestError) Error() string { return r.Reason }

// Verify checks that q was signed by the key it names, that the signature covers what matters, that its date
// is within skew of now, and that its digest is that of its body. It returns the key's id.
func Verify(q *httpwire.Request, keys keyring, now time.Time, skew time.Duration) (string, error) {
	head := q.Header.Get("Signature")
	if head == "" {
		return "", &RequestError{401, "the request is not signed"}
	}
	p := params(head)
	id := p["keyId"]
	key := keys[id]
	if key == nil {
		return "", &RequestError{401, "the signature's key is not known"}
	}
	names := strings.Fields(strings.ToLower(p["headers"]))
	for _, want := range signedHeaders {
		if !slices.Contains(names, want) {
			return "", &RequestError{401, "the signature does not cover " + want}
		}
	}
	date, err := http.ParseTime(q.Header.Get("Date"))
	if err != nil {
		return "", &RequestError{401, "the date is missing or can't be read"}
	}
	if d := now.Sub(date); d > skew || d < -skew {
		return "", &RequestError{401, "the date is too far from this relay's clock"}
	}
	digest := []byte(digestOf(q.Body))
	if subtle.ConstantTimeCompare(digest, []byte(q.Header.Get("Digest"))) != 1 {
		return "", &RequestError{400, "the digest is not that of the body"}
	}
	text := signingText(names, func(name string) string {
		if name == "(request-target)" {
			return strings.ToLower(q.Method) + " " + q.Path
		}
		return strings.Join(q.Header.Values(name), ", ")
	})
	sig, err := base64.StdEncoding.DecodeString(p["signature"])
	if err != nil || !signed(key, p["algorithm"], []byte(text), sig) {
		return "", &RequestError{401, "the signature is wrong"}
	}
	return id, nil
}

// signed checks sig by the kind of the key; a stated algorithm of another kind is refused.
func signed(key crypto.PublicKey, algorithm string, text, sig []byte) bool {
	switch k := key.(type) {
	case *rsa.PublicKey:
		sum := sha256.Sum256(text)
		return (algorithm == "" || algorithm == "hs2019" || algorithm == "rsa-sha256") &&
			rsa.VerifyPKCS1v15(k, crypto.SHA256, sum[:], sig) == nil
	case ed25519.PublicKey:
		return (algorithm == "" || algorithm == "hs2019" || algorithm == "ed25519") && ed25519.Verify(k, text, sig)
	}
	return false
}

// params reads name="value" pairs.
func params(s string) map[string]string {
	all := map[string]string{}
	for s != "" {
		name, rest, ok := strings.Cut(s, `="`)
		if !ok {
			break
		}
		value, after, ok := strings.Cut(rest, `"`)
		if !ok {
			break
		}
		all[strings.Trim(name, ", ")] = value
		s = after
	}
	return all
}
