package platformlist

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"mastusher/internal/tier/model"
)

// page is one response of the platform.
type page struct {
	Servers   []model.Endpoint
	NextToken *string // nil or empty: the last page
	Entries   int     // of the page, also those that Servers leaves out
	Bytes     int
}

// pageReader reads the body of a page up to maxPageBytes.
type pageReader struct {
	body  io.Reader
	bytes int
	err   error // of the body, other than io.EOF
}

// Read reads from the body. It fails with ErrPageTooLarge beyond maxPageBytes.
func (r *pageReader) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	r.bytes += n
	if r.bytes > maxPageBytes {
		n, err = 0, ErrPageTooLarge
	}
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// decodePage decodes a page entry by entry, as an entry may take many times its bytes once it is decoded. The error is ErrPageTooLarge,
// ErrListTooLarge, ErrMalformedPage or that of reading the body.
func decodePage(body io.Reader) (page, error) {
	source := &pageReader{body: body}
	decoded, err := decodeObject(json.NewDecoder(source))
	decoded.Bytes = source.bytes
	switch {
	case source.err != nil:
		return page{}, source.err
	case errors.Is(err, ErrListTooLarge):
		return page{}, err
	case err != nil:
		return page{}, fmt.Errorf("%w: %w", ErrMalformedPage, err)
	case decoded.Servers == nil:
		return page{}, fmt.Errorf("%w: field servers is missing", ErrMalformedPage)
	}
	return decoded, nil
}

// Errors of a page's JSON, which decodePage wraps in ErrMalformedPage.
var (
	errNotObject = errors.New("page is no object")
	errNotList   = errors.New("field servers is no list")
	errMoreText  = errors.New("text after the page")
	errLongToken = errors.New("field nextToken is too long")
)

// decodeObject decodes the object that a page is, and nothing may follow.
func decodeObject(decoder *json.Decoder) (page, error) {
	var decoded page
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return page{}, cmp.Or(err, errNotObject)
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return page{}, err
		}
		if err := decoded.decodeField(decoder, name.(string)); err != nil {
			return page{}, err
		}
	}
	if _, err := decoder.Token(); err != nil { // the closing brace
		return page{}, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return page{}, cmp.Or(err, errMoreText)
	}
	return decoded, nil
}

// decodeField decodes the value of one field of the page.
func (p *page) decodeField(decoder *json.Decoder, name string) error {
	switch {
	case strings.EqualFold(name, "servers"):
		return p.decodeServers(decoder)
	case strings.EqualFold(name, "nextToken"):
		return p.decodeToken(decoder)
	}
	var ignored json.RawMessage
	return decoder.Decode(&ignored)
}

// decodeToken decodes the token of the next page.
func (p *page) decodeToken(decoder *json.Decoder) error {
	if err := decoder.Decode(&p.NextToken); err != nil {
		return err
	}
	if p.NextToken != nil && len(*p.NextToken) > maxTokenBytes {
		return errLongToken
	}
	return nil
}

// decodeServers decodes the list of entries. It keeps those that can be endpoints.
func (p *page) decodeServers(decoder *json.Decoder) error {
	p.Servers = nil
	token, err := decoder.Token()
	if err != nil || token == nil {
		return err
	}
	if token != json.Delim('[') {
		return errNotList
	}
	p.Servers = []model.Endpoint{}
	for decoder.More() {
		if p.Entries++; p.Entries > maxEntries {
			return ErrListTooLarge
		}
		var entry model.Endpoint
		if err = decoder.Decode(&entry); err != nil {
			return err
		}
		if identifiesEndpoint(&entry) {
			p.Servers = append(p.Servers, entry)
		}
	}
	_, err = decoder.Token() // the closing bracket
	return err
}

// identifiesEndpoint reports whether an entry has an id and an address, and no name longer than maxNameBytes.
func identifiesEndpoint(entry *model.Endpoint) bool {
	if entry.ID == "" || entry.Address == "" {
		return false
	}
	for _, name := range []string{entry.ID, entry.Service, entry.Address, entry.Zone, entry.Version, string(entry.State)} {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}
