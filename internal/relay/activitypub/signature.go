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

// keyring has public keys by their ids.
type keyring map[string]crypto.PublicKey

// signedHeaders are what a signature must cover.
var signedHeaders = []string{"(request-target)", "host", "date", "digest"}

// Signer signs requests as the Fediverse does: draft-cavage-http-signatures-12 over the request target, host, date and digest, with RSA (PKCS #1
// v1.5, SHA-256) or Ed25519 keys.
type Signer struct {
	KeyID string // by which the receiver finds the public key
	Key   crypto.Signer
}

// Headers returns the headers of a signed request, all but Host and Content-Length, names and values alternating.
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
	var signature []byte
	var err error
	algorithm := "rsa-sha256"
	if _, ok := s.Key.(ed25519.PrivateKey); ok {
		algorithm = "hs2019"
		signature, err = s.Key.Sign(rand.Reader, []byte(text), crypto.Hash(0))
	} else {
		sum := sha256.Sum256([]byte(text))
		signature, err = s.Key.Sign(rand.Reader, sum[:], crypto.SHA256)
	}
	if err != nil {
		return nil, fmt.Errorf("activitypub: signing: %w", err)
	}
	return []string{"Date", date, "Digest", digest, "Content-Type", contentType, "Signature",
		fmt.Sprintf(`keyId="%s",algorithm="%s",headers="%s",signature="%s"`, s.KeyID, algorithm,
			strings.Join(signedHeaders, " "), base64.StdEncoding.EncodeToString(signature))}, nil
}

// digestOf is the Digest header of a body.
func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return "SHA-256=" + base64.StdEncoding.EncodeToString(sum[:])
}

// signingText is the text that is signed: a line for each header, with the value that value gives for it.
func signingText(names []string, value func(name string) string) string {
	fields := make([]string, len(names))
	for i, name := range names {
		fields[i] = name + ": " + value(name)
	}
	return strings.Join(fields, "\n")
}

// RequestError is why a request is not accepted.
type RequestError struct {
	Status int    // HTTP status of the answer
	Reason string // body of the answer
}

// Error is the reason.
func (r *RequestError) Error() string { return r.Reason }

// Verify checks that a request was signed by the key that it names, that the signature covers signedHeaders, that its date is within skew of
// now, and that its digest is that of its body. It returns the key's id, or a *RequestError.
func Verify(request *httpwire.Request, keys keyring, now time.Time, skew time.Duration) (string, error) {
	header := request.Header.Get("Signature")
	if header == "" {
		return "", &RequestError{401, "the request is not signed"}
	}
	parameters := params(header)
	keyID := parameters["keyId"]
	key := keys[keyID]
	if key == nil {
		return "", &RequestError{401, "the signature's key is not known"}
	}
	names := strings.Fields(strings.ToLower(parameters["headers"]))
	for _, want := range signedHeaders {
		if !slices.Contains(names, want) {
			return "", &RequestError{401, "the signature does not cover " + want}
		}
	}
	date, err := http.ParseTime(request.Header.Get("Date"))
	if err != nil {
		return "", &RequestError{401, "the date is missing or can't be read"}
	}
	if age := now.Sub(date); age > skew || age < -skew {
		return "", &RequestError{401, "the date is too far from this relay's clock"}
	}
	digest := []byte(digestOf(request.Body))
	if subtle.ConstantTimeCompare(digest, []byte(request.Header.Get("Digest"))) != 1 {
		return "", &RequestError{400, "the digest is not that of the body"}
	}
	text := signingText(names, func(name string) string {
		if name == "(request-target)" {
			return strings.ToLower(request.Method) + " " + request.Path
		}
		return strings.Join(request.Header.Values(name), ", ")
	})
	signature, err := base64.StdEncoding.DecodeString(parameters["signature"])
	if err != nil || !signed(key, parameters["algorithm"], []byte(text), signature) {
		return "", &RequestError{401, "the signature is wrong"}
	}
	return keyID, nil
}

// signed reports whether a signature is that of a text, by the kind of the key; a stated algorithm of another kind is refused.
func signed(key crypto.PublicKey, algorithm string, text, signature []byte) bool {
	switch key := key.(type) {
	case *rsa.PublicKey:
		sum := sha256.Sum256(text)
		return (algorithm == "" || algorithm == "hs2019" || algorithm == "rsa-sha256") &&
			rsa.VerifyPKCS1v15(key, crypto.SHA256, sum[:], signature) == nil
	case ed25519.PublicKey:
		return (algorithm == "" || algorithm == "hs2019" || algorithm == "ed25519") && ed25519.Verify(key, text, signature)
	}
	return false
}

// params parses the name="value" pairs of a Signature header; what follows the first malformed one is ignored.
func params(header string) map[string]string {
	all := map[string]string{}
	for header != "" {
		name, rest, ok := strings.Cut(header, `="`)
		if !ok {
			break
		}
		value, after, ok := strings.Cut(rest, `"`)
		if !ok {
			break
		}
		all[strings.Trim(name, ", ")] = value
		header = after
	}
	return all
}
