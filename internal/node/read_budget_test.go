package node

import (
	"errors"
	"net"
	"testing"

	"heatherreel/internal/problem"
)

// receive writes size bytes to a new connection of the budget and reads them. It returns the connection and the error.
func receive(t *testing.T, budget *readBudget, size int) (*budgetConn, error) {
	t.Helper()
	client, server := net.Pipe()
	conn := &budgetConn{Conn: server, budget: budget}
	t.Cleanup(func() { _ = client.Close(); _ = conn.Close() })
	go func() { _, _ = client.Write(make([]byte, size)) }()
	buffer := make([]byte, 32<<10)
	for received := 0; received < size; {
		n, err := conn.Read(buffer)
		if err != nil {
			return conn, err
		}
		received += n
	}
	return conn, nil
}

// Guards against unfinished messages that together take the memory of the process, against a message of the maximum size or
// an ordinary one that is refused, and against bytes that stay counted after an answer or the end of a connection.
func TestUnansweredBytesAreBounded(t *testing.T) {
	budget := &readBudget{}
	largest, err := receive(t, budget, maxMessageSize)
	if err != nil {
		t.Fatalf("a message of the maximum size: %v", err)
	}
	if _, err := receive(t, budget, 8<<20); !errors.Is(err, problem.Overloaded) {
		t.Errorf("8 MiB beyond the budget: %v", err)
	}
	if _, err := receive(t, budget, freeBytes); err != nil {
		t.Errorf("an ordinary message beside them: %v", err)
	}
	go func() { _, _ = largest.Write([]byte("answer")) }()
	for budget.total.Load() >= maxMessageSize {
		if _, err := receive(t, budget, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := largest.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := receive(t, budget, 2<<20); err != nil {
		t.Errorf("after the answer: %v", err)
	}
}
