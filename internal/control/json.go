package control

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// ReadJSON decodes exactly one JSON value. Unknown fields are an error.
func ReadJSON(r io.Reader, into any) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return errors.New("more than one value")
	}
	return nil
}

// errorBody is the JSON body of a response whose status is not 200.
type errorBody struct {
	Error string `json:"error"`
}

// WriteJSON writes a value as the response body. It ignores write errors, because they mean that the requester has
// disconnected.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an HTTP status and an error as the response.
func WriteError(w http.ResponseWriter, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(errorBody{err.Error()})
}

// writeParts writes the parts of a response body. It fails if it has not completed by the deadline.
func writeParts(w http.ResponseWriter, parts [][]byte, deadline time.Time) error {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
	for _, part := range append(parts, []byte{'\n'}) {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}
