package problem

import "errors"

// DetailOf returns the detail of the first *Error in the chain of err, or an empty string if there is none.
func DetailOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return ""
}
