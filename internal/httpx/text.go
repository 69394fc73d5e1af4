package httpx

import (
	"net/http"
	"unicode/utf8"

	"peridotwinch.example/peridotwinch/api"
)

// CheckHeaders returns an error with the code and the name of the first of the headers that is not
// UTF-8. JSON and protobuf messages cannot carry such a text unchanged.
func CheckHeaders(code api.Code, header http.Header, names ...string) error {
	for _, name := range names {
		if value := header.Get(name); !utf8.ValidString(value) {
			return api.FieldErrorf(code, name, "%q is not valid UTF-8", value)
		}
	}
	return nil
}

// CheckText returns a handler that refuses requests whose path or one of the headers is not UTF-8.
func CheckText(code api.Code, handler http.Handler, headers ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := CheckHeaders(code, r.Header, headers...)
		if !utf8.ValidString(r.URL.Path) {
			err = api.FieldErrorf(code, "path", "%q is not valid UTF-8", r.URL.Path)
		}
		if err != nil {
			WriteError(w, err)
			return
		}
		handler.ServeHTTP(w, r)
	})
}
