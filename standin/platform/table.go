package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincove/platform"
)

const (
	targetGet       = "DynamoDB_20120810.GetItem"
	targetPut       = "DynamoDB_20120810.PutItem"
	tableMediaType  = "application/x-amz-json-1.0"
	conflictError   = "com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException"
	validationError = "com.amazonaws.dynamodb.v20120810#ValidationException"
)

// attribute is a value in the table protocol's JSON.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B []byte `json:"B,omitempty"`
}

type item map[string]attribute

type tableRequest struct {
	Key                       item
	Item                      item
	ConditionExpression       string
	ExpressionAttributeValues item
}

type tableError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

func (s *Server) serveTable(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", tableMediaType)
	var request tableRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, validationError, err.Error())
		return
	}
	switch r.Header.Get("X-Amz-Target") {
	case targetGet:
		s.serveGetItem(w, r, request)
	case targetPut:
		s.servePutItem(w, r, request)
	default:
		refuse(w, validationError, "the stand-in does not know this operation")
	}
}

func refuse(w http.ResponseWriter, kind, message string) {
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(tableError{Type: kind, Message: message})
}

func (s *Server) serveGetItem(w http.ResponseWriter, r *http.Request, request tableRequest) {
	s.count(func(c *Counts) { c.Reads++ })
	row, err := s.memory.Get(r.Context(), request.Key["key"].S)
	if errors.Is(err, platform.ErrAbsent) {
		_, _ = w.Write([]byte("{}"))
		return
	}
	out := item{
		"key":       {S: row.Key},
		"revision":  {N: strconv.FormatUint(row.Revision, 10)},
		"value":     {B: row.Value},
		"operation": {S: row.Operation},
	}
	_ = json.NewEncoder(w).Encode(struct{ Item item }{out})
}

func (s *Server) servePutItem(w http.ResponseWriter, r *http.Request, request tableRequest) {
	s.count(func(c *Counts) { c.Writes++ })
	expected, err := expectedRevision(request)
	if err != nil {
		refuse(w, validationError, err.Error())
		return
	}
	revision, err := strconv.ParseUint(request.Item["revision"].N, 10, 64)
	if err != nil {
		refuse(w, validationError, err.Error())
		return
	}
	row := platform.Row{
		Key: request.Item["key"].S, Revision: revision,
		Value: request.Item["value"].B, Operation: request.Item["operation"].S,
	}
	err = s.memory.Put(r.Context(), row, expected)
	if s.loses() {
		abort()
	}
	if err != nil {
		refuse(w, conflictError, "The conditional request failed")
		return
	}
	_, _ = w.Write([]byte("{}"))
}

func expectedRevision(request tableRequest) (uint64, error) {
	if strings.HasPrefix(request.ConditionExpression, "attribute_not_exists") {
		return 0, nil
	}
	value, ok := request.ExpressionAttributeValues[":expected"]
	if !ok {
		return 0, errors.New("the stand-in does not know this condition")
	}
	return strconv.ParseUint(value.N, 10, 64)
}
