package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"heatherreel/internal/backendserver"
)

// announcementChannel sends the announcements that it receives to a channel.
type announcementChannel chan backendserver.Announcement

func (c announcementChannel) Announce(_ context.Context, a backendserver.Announcement) error {
	c <- a
	return nil
}

// Guards against a stand-in that exits on SIGTERM without announcing the drain, or does not exit at all.
func TestBackendDrainsOnSIGTERM(t *testing.T) {
	announcements := make(announcementChannel, 100)
	node := httptest.NewServer(backendserver.NewHandler(announcements))
	defer node.Close()
	t.Setenv(backendEnvPrefix+"SLOTS", "3")
	command := newBackendCommand()
	command.SetOut(&bytes.Buffer{})
	command.SetArgs([]string{"--service", "s", "--announce-to", node.Listener.Addr().String()})
	done := make(chan error, 1)
	go func() { done <- command.ExecuteContext(t.Context()) }()
	if a := <-announcements; a.Draining || a.Slots != 3 || a.Service != "s" {
		t.Errorf("announcement %+v", a)
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for !(<-announcements).Draining {
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the stand-in did not exit")
	}
}

// Guards against a stand-in that starts with missing or invalid settings, and against errors that do not name the flag.
func TestBackendSettings(t *testing.T) {
	for want, arguments := range map[string][]string{
		"--announce-to": {"--service", "s"},
		"--service":     {"--announce-to", "127.0.0.1:1"},
		"--slots":       {"--service", "s", "--announce-to", "127.0.0.1:1", "--slots", "0"},
	} {
		command := newBackendCommand()
		command.SilenceErrors = true
		command.SetArgs(arguments)
		if err := command.ExecuteContext(t.Context()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: error %v, want one that names %s", arguments, err, want)
		}
	}
}
