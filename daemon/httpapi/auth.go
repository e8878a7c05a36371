package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"cranberrydrum.dev/daemon/node"
	"cranberrydrum.dev/scheduler/structs"
)

const bearerPrefix = "Bearer "

// principal is who a request comes from.
type principal struct {
	role structs.Role
	// customer limits the principal to one customer; empty means any.
	customer string
}

// authorizer admits requests by the tokens of the configuration in force.
type authorizer struct {
	node     *node.Node
	loopback bool
	// bootstrapDigest admits an operator until the first configuration.
	bootstrapDigest string
}

func newAuthorizer(n *node.Node) *authorizer {
	cfg := n.Settings()
	address, err := netip.ParseAddrPort(cfg.HTTPListen)
	return &authorizer{
		node:            n,
		loopback:        err == nil && address.Addr().Unmap().IsLoopback(),
		bootstrapDigest: cfg.BootstrapTokenSHA256,
	}
}

// require returns the principal of a request if it has one of the roles. On a
// loopback address, a role for which the configuration has no token is open.
func (a *authorizer) require(ctx *fasthttp.RequestCtx, roles ...structs.Role) (principal, error) {
	digest := tokenDigest(ctx)
	cfg, _ := a.node.Config()
	if cfg == nil {
		return a.beforeConfig(digest, roles)
	}
	token, known := findToken(cfg, digest)
	if known && slices.Contains(roles, token.Role) {
		return principal{role: token.Role, customer: token.Customer}, nil
	}
	if known {
		return principal{}, structs.NotRun(structs.CodeForbidden, "a token of role "+string(token.Role)+" may not do this")
	}
	if open := openRole(cfg, roles); digest == "" && a.loopback && open != "" {
		return principal{role: open}, nil
	}
	return principal{}, structs.NotRun(structs.CodeUnauthorized, "a bearer token of role "+joinRoles(roles)+" is required")
}

// beforeConfig admits only operators, who have to apply the first rules.
func (a *authorizer) beforeConfig(digest string, roles []structs.Role) (principal, error) {
	if !slices.Contains(roles, structs.RoleOperator) {
		return principal{}, structs.NotRun(structs.CodeNoConfig, "no configuration is in force yet")
	}
	open := a.bootstrapDigest == "" && a.loopback
	if open || (a.bootstrapDigest != "" && equalDigest(digest, a.bootstrapDigest)) {
		return principal{role: structs.RoleOperator}, nil
	}
	return principal{}, structs.NotRun(structs.CodeUnauthorized, "the bootstrap token is required until the first rules are accepted")
}

func tokenDigest(ctx *fasthttp.RequestCtx) string {
	token, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	if !found || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// findToken compares with every token, so that the time does not tell which
// one was close.
func findToken(cfg *structs.Config, digest string) (structs.Token, bool) {
	var found structs.Token
	known := false
	for _, t := range cfg.Tokens {
		if equalDigest(digest, t.SHA256) {
			found, known = t, true
		}
	}
	return found, known
}

func equalDigest(a, b string) bool {
	return a != "" && subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// openRole returns the first role without a token, or nothing.
func openRole(cfg *structs.Config, roles []structs.Role) structs.Role {
	for _, role := range roles {
		if !slices.ContainsFunc(cfg.Tokens, func(t structs.Token) bool { return t.Role == role }) {
			return role
		}
	}
	return ""
}

func joinRoles(roles []structs.Role) string {
	names := make([]string, len(roles))
	for i, r := range roles {
		names[i] = string(r)
	}
	return strings.Join(names, " or ")
}

// customerOf returns the customer that a principal acts for.
func (p principal) customerOf(requested string) (string, error) {
	if p.customer == "" {
		return requested, nil
	}
	if requested != "" && requested != p.customer {
		return "", structs.NotRun(structs.CodeForbidden, "the token belongs to customer "+p.customer)
	}
	return p.customer, nil
}
