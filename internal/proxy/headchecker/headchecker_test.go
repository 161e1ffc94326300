package headchecker

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCheck guards against heads that are no HTTP and are passed on as answers, and against proper ones that are not.
func TestCheck(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		head   string
		status int
		err    error
	}{
		"fields":              {ok + "A: b\r\nContent-Length: 2\r\n\r\n", 200, nil},
		"no fields":           {ok + "\r\n", 200, nil},
		"no reason":           {"HTTP/1.1 204 \r\n\r\n", 204, nil},
		"reason in UTF-8":     {"HTTP/1.1 200 zufrieden: \xc3\xa4\r\n\r\n", 200, nil},
		"HTTP/1.0":            {"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200, nil},
		"status out of range": {"HTTP/1.1 000 OK\r\n\r\n", 0, nil},
		"all name characters": {ok + "!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n", 200, nil},
		"empty value":         {ok + "A:\r\nB: \t\r\n\r\n", 200, nil},
		"value in Latin-1":    {ok + "A: \xe4\tb\r\n\r\n", 200, nil},
		"chunked":             {ok + "transfer-encoding:\tChunked \r\n\r\n", 200, nil},
		"bare line feeds":     {"HTTP/1.1 200 OK\nA: b\n\r\n", 200, nil},
		"leading empty line":  {"\r\n" + ok + "\r\n", 200, nil},

		"blank in a name":             {ok + "A B: c\r\n\r\n", 0, ErrField},
		"blank before the colon":      {ok + "Content-Length : 2\r\n\r\n", 0, ErrField},
		"tab before the colon":        {ok + "A\t: b\r\n\r\n", 0, ErrField},
		"blank before a name":         {ok + " A: b\r\n\r\n", 0, ErrField},
		"folded field":                {ok + "A: b\r\n c\r\n\r\n", 0, ErrField},
		"folded with a colon":         {ok + "A: b\r\n\tC: d\r\n\r\n", 0, ErrField},
		"control byte in a name":      {ok + "A\x01B: c\r\n\r\n", 0, ErrField},
		"zero byte in a name":         {ok + "A\x00: c\r\n\r\n", 0, ErrField},
		"delete in a name":            {ok + "A\x7f: c\r\n\r\n", 0, ErrField},
		"carriage return in a name":   {ok + "A\rB: c\r\n\r\n", 0, ErrField},
		"separator in a name":         {ok + "A(B): c\r\n\r\n", 0, ErrField},
		"other byte in a name":        {ok + "A\xe4: c\r\n\r\n", 0, ErrField},
		"empty name":                  {ok + ": c\r\n\r\n", 0, ErrField},
		"no colon":                    {ok + "garbage\r\n\r\n", 0, ErrField},
		"control byte in a value":     {ok + "A: b\x02c\r\n\r\n", 0, ErrField},
		"zero byte in a value":        {ok + "A: b\x00c\r\n\r\n", 0, ErrField},
		"carriage return in a value":  {ok + "A: b\rc\r\n\r\n", 0, ErrField},
		"two carriage returns":        {ok + "A: b\r\r\n\r\n", 0, ErrField},
		"two lengths":                 {ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n", 0, ErrFraming},
		"list of lengths":             {ok + "Content-Length: 2, 2\r\n\r\n", 0, ErrFraming},
		"signed length":               {ok + "Content-Length: +2\r\n\r\n", 0, ErrFraming},
		"empty length":                {ok + "Content-Length:\r\n\r\n", 0, ErrFraming},
		"length and chunks":           {ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 0, ErrFraming},
		"other coding":                {ok + "Transfer-Encoding: gzip\r\n\r\n", 0, ErrFraming},
		"coding before the chunks":    {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", 0, ErrFraming},
		"chunks in HTTP/1.0":          {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0, ErrFraming},
		"later version":               {"HTTP/2.0 200 OK\r\n\r\n", 0, ErrStatusLine},
		"no version":                  {"HTTP 200 OK\r\n\r\n", 0, ErrStatusLine},
		"lower case":                  {"http/1.1 200 OK\r\n\r\n", 0, ErrStatusLine},
		"two blanks":                  {"HTTP/1.1  200 OK\r\n\r\n", 0, ErrStatusLine},
		"two digits":                  {"HTTP/1.1 20 OK\r\n\r\n", 0, ErrStatusLine},
		"four digits":                 {"HTTP/1.1 2000 OK\r\n\r\n", 0, ErrStatusLine},
		"letter in the status":        {"HTTP/1.1 2x0 OK\r\n\r\n", 0, ErrStatusLine},
		"signed status":               {"HTTP/1.1 +20 OK\r\n\r\n", 0, ErrStatusLine},
		"nothing after the status":    {"HTTP/1.1 200\r\n\r\n", 0, ErrStatusLine},
		"control byte in the reason":  {"HTTP/1.1 200 O\x01K\r\n\r\n", 0, ErrStatusLine},
		"carriage return in the line": {"HTTP/1.1 200 O\rK\r\n\r\n", 0, ErrStatusLine},
		"no status line":              {"A: b\r\n\r\n", 0, ErrStatusLine},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, err := Check([]byte(test.head))
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Equal(t, status, test.status)
		})
	}
}

// TestCheckExtensions guards against chunks whose size is followed by bytes that are no HTTP.
func TestCheckExtensions(t *testing.T) {
	tests := map[string]struct {
		text  string
		valid bool
	}{
		"none":                 {"", true},
		"name":                 {";a", true},
		"token":                {";a=b", true},
		"blanks":               {" ; a = b ;c\t", true},
		"quoted":               {`;a="b;\"c "`, true},
		"two":                  {";a=b;c", true},
		"no name":              {";", false},
		"no value":             {";a=", false},
		"blank in a name":      {";a b", false},
		"control byte":         {";a=\x01", false},
		"control byte, quoted": {";a=\"\x01\"", false},
		"carriage return":      {";a\r", false},
		"not closed":           {`;a="b`, false},
		"escape at the end":    {`;a="b\`, false},
		"behind a value":       {`;a="b"c`, false},
		"no semicolon":         {"a=b", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, CheckExtensions(test.text) == nil, test.valid)
		})
	}
}
