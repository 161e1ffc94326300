// Package headchecker checks the heads, trailers and chunk extensions of HTTP/1.1 messages by the grammar of RFC 9110
// and RFC 9112. What libraries accept beyond the grammar, such as names with blanks, is not an answer of a target.
package headchecker

import (
	"bytes"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// Errors of a head.
var (
	ErrStatusLine = merry.Sentinel("invalid status line")
	ErrField      = merry.Sentinel("invalid field")
	ErrFraming    = merry.Sentinel("ambiguous or unknown length of the body")
	ErrExtension  = merry.Sentinel("invalid chunk extension")
)

const statusDigits = 3

// Check checks a head, from its status line to the empty line at its end, and returns the status. Empty lines before
// it and single line feeds at the ends of lines are tolerated, see RFC 9112, section 2.2. Folded fields are not.
func Check(head []byte) (status int, err error) {
	line, rest := cutLine(bytes.TrimLeft(head, "\r\n"))
	status, minor, err := checkStatusLine(line)
	if err != nil {
		return 0, err
	}
	var f framing
	for {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			if err := f.check(minor); err != nil {
				return 0, err
			}
			return status, nil
		}
		name, value, err := CheckField(line)
		if err != nil {
			return 0, err
		}
		f.add(string(name), string(value))
	}
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(text []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(text, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// checkStatusLine returns the status and the minor version: HTTP/1.x SP 3DIGIT SP reason.
func checkStatusLine(line []byte) (status int, minor byte, err error) {
	const prefix, blank = "HTTP/1.", ' '
	rest, ok := bytes.CutPrefix(line, []byte(prefix))
	if !ok || len(rest) < statusDigits+3 || !isDigit(rest[0]) || rest[1] != blank || rest[statusDigits+2] != blank {
		return 0, 0, merry.Wrap(ErrStatusLine)
	}
	for _, digit := range rest[2 : statusDigits+2] {
		if !isDigit(digit) {
			return 0, 0, merry.Wrap(ErrStatusLine)
		}
		status = 10*status + int(digit-'0')
	}
	if !httpguts.ValidHeaderFieldValue(string(rest[statusDigits+3:])) {
		return 0, 0, merry.Wrap(ErrStatusLine)
	}
	return status, rest[0], nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// CheckField returns the name and the value of a field in a line without its end.
func CheckField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !ok {
		return nil, nil, merry.Wrap(ErrField)
	}
	return name, value, CheckNameValue(string(name), string(value))
}

// CheckNameValue returns ErrField unless a name and a value form a field.
func CheckNameValue(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return merry.Wrap(ErrField)
	}
	return nil
}

// CheckExtensions returns an error unless a text consists of chunk extensions, see RFC 9112, section 7.1.1.
func CheckExtensions(text string) error {
	const blanks = " \t"
	for text = strings.TrimLeft(text, blanks); text != ""; text = strings.TrimLeft(text, blanks) {
		rest, ok := strings.CutPrefix(text, ";")
		name, rest := cutToken(strings.TrimLeft(rest, blanks))
		if !ok || name == "" {
			return merry.Wrap(ErrExtension)
		}
		text = rest
		value, ok := strings.CutPrefix(strings.TrimLeft(rest, blanks), "=")
		if !ok {
			continue
		}
		if text, ok = cutValue(strings.TrimLeft(value, blanks)); !ok {
			return merry.Wrap(ErrExtension)
		}
	}
	return nil
}

// cutToken returns the token at the beginning of a text, which may be empty, and what follows it.
func cutToken(text string) (token, rest string) {
	end := strings.IndexFunc(text, func(r rune) bool { return !httpguts.IsTokenRune(r) })
	if end < 0 {
		return text, ""
	}
	return text[:end], text[end:]
}

// cutValue returns what follows the token or the quoted string at the beginning of a text.
func cutValue(text string) (rest string, ok bool) {
	if !strings.HasPrefix(text, `"`) {
		token, rest := cutToken(text)
		return rest, token != ""
	}
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return text[i+1:], httpguts.ValidHeaderFieldValue(text[:i])
		}
	}
	return "", false
}

// framing holds the fields that determine where the body ends.
type framing struct {
	lengths, codings []string
}

func (f *framing) add(name, value string) {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		f.lengths = append(f.lengths, value)
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.codings = append(f.codings, value)
	}
}

// check returns an error unless the length is given once: by its number, by chunks, or by the end of the connection.
func (f *framing) check(minor byte) error {
	switch {
	case len(f.lengths)+len(f.codings) == 0:
		return nil
	case len(f.lengths)+len(f.codings) > 1:
		return merry.Wrap(ErrFraming)
	case len(f.codings) == 1:
		if minor == '0' || !strings.EqualFold(f.codings[0], "chunked") {
			return merry.Wrap(ErrFraming)
		}
		return nil
	}
	length := f.lengths[0]
	if length == "" || strings.Trim(length, "0123456789") != "" {
		return merry.Wrap(ErrFraming)
	}
	return nil
}
