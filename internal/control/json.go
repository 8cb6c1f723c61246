package control

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
)

// ReadJSON reads exactly one value; unknown fields are an error.
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

// errorBody is the JSON of an answer other than 200.
type errorBody struct {
	Error string `json:"error"`
}

// WriteJSON writes an answer. Errors are those of a peer that has disconnected, and are ignored.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error with its HTTP status.
func WriteError(w http.ResponseWriter, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(errorBody{err.Error()})
}
