package commands

import (
	"slices"
	"strconv"
	"time"

	"cranberrydrum.dev/cmd/cranberrydrum/cli"
	"cranberrydrum.dev/daemon/api"
	"cranberrydrum.dev/scheduler/structs"
	"github.com/spf13/cobra"
)

// sendOutput is the JSON output of RequestSend.
type sendOutput struct {
	Status int    `json:"status"`
	Body   []byte `json:"body_base64"`
}

// RequestSend returns the command that sends one request to a service and prints
// the response.
func RequestSend(env *cli.Env) *cobra.Command {
	var r api.ServiceRequest
	var class, body string
	cmd := &cobra.Command{
		Use:   "send SERVICE",
		Short: "Send one request to a service and print the body of the response",
		Args:  cli.Args("SERVICE"),
		RunE: func(_ *cobra.Command, args []string) error {
			r.Service = args[0]
			r.Class = structs.Class(class)
			if err := checkRequest(&r); err != nil {
				return err
			}
			return sendRequest(env, r, body)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&class, "class", "", "urgent, normal or bulk")
	flags.DurationVar(&r.Deadline, "deadline", 0, "deadline, such as 800ms (default: the deadline of the rules, limited by --timeout)")
	flags.StringVar(&r.Key, "key", "", "idempotency key")
	flags.BoolVar(&r.NonIdempotent, "non-idempotent", false, "the request must run at most once; needs --key")
	flags.StringVar(&body, "body", "", "file with the body, - for standard input (default: an empty body)")
	return cmd
}

func checkRequest(r *api.ServiceRequest) error {
	classes := []structs.Class{"", structs.ClassUrgent, structs.ClassNormal, structs.ClassBulk}
	switch {
	case !slices.Contains(classes, r.Class):
		return &cli.UsageError{Reason: "--class must be urgent, normal or bulk"}
	case r.Deadline < 0 || (r.Deadline > 0 && r.Deadline < time.Millisecond):
		return &cli.UsageError{Reason: "--deadline must be at least 1ms"}
	case r.NonIdempotent && r.Key == "":
		return &cli.UsageError{Reason: "--non-idempotent needs --key"}
	}
	return nil
}

func sendRequest(env *cli.Env, r api.ServiceRequest, file string) error {
	if file != "" {
		body, err := env.ReadFile(file)
		if err != nil {
			return err
		}
		r.Body = body
	}
	client, err := env.Client()
	if err != nil {
		return err
	}
	response, err := client.Send(r)
	if err != nil {
		return err
	}
	if err := env.PrintText(sendOutput{Status: response.Status, Body: response.Body}, string(response.Body)); err != nil {
		return err
	}
	const lastSuccess = 299
	if response.Status > lastSuccess {
		return &cli.ExecutorError{Status: strconv.Itoa(response.Status)}
	}
	return nil
}
