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

// principal is the authenticated origin of a request.
type principal struct {
	role structs.Role
	// customer is the only customer that the principal may act for; empty means
	// any customer.
	customer string
}

// authorizer authorizes requests by the tokens of the current configuration.
type authorizer struct {
	node       *node.Node
	isLoopback bool
	// bootstrapDigest is the SHA-256 digest of the token that authorizes an
	// operator until the first configuration is accepted.
	bootstrapDigest string
}

func newAuthorizer(n *node.Node) *authorizer {
	cfg := n.Settings()
	address, err := netip.ParseAddrPort(cfg.HTTPListen)
	return &authorizer{
		node:            n,
		isLoopback:      err == nil && address.Addr().Unmap().IsLoopback(),
		bootstrapDigest: cfg.BootstrapTokenSHA256,
	}
}

// requireRole returns the principal of a request if its token has one of the
// roles. If the server listens on a loopback address, a request without a token
// is granted the first of the roles for which the configuration has no token.
func (a *authorizer) requireRole(ctx *fasthttp.RequestCtx, roles ...structs.Role) (principal, error) {
	digest := tokenDigest(ctx)
	cfg, _ := a.node.Config()
	if cfg == nil {
		return a.authorizeBootstrap(digest, roles)
	}
	token, known := findToken(cfg, digest)
	if known && slices.Contains(roles, token.Role) {
		return principal{role: token.Role, customer: token.Customer}, nil
	}
	if known {
		return principal{}, structs.RefuseNotRun(structs.CodeForbidden, "a token of role "+string(token.Role)+" may not do this")
	}
	if open := roleWithoutToken(cfg, roles); digest == "" && a.isLoopback && open != "" {
		return principal{role: open}, nil
	}
	return principal{}, structs.RefuseNotRun(structs.CodeUnauthorized, "a bearer token of role "+joinRoles(roles)+" is required")
}

// authorizeBootstrap authorizes a request before the first configuration. Only
// operators are admitted, because they have to apply the first rules.
func (a *authorizer) authorizeBootstrap(digest string, roles []structs.Role) (principal, error) {
	if !slices.Contains(roles, structs.RoleOperator) {
		return principal{}, structs.RefuseNotRun(structs.CodeNoConfig, "no configuration is in force yet")
	}
	open := a.bootstrapDigest == "" && a.isLoopback
	if open || (a.bootstrapDigest != "" && equalDigest(digest, a.bootstrapDigest)) {
		return principal{role: structs.RoleOperator}, nil
	}
	return principal{}, structs.RefuseNotRun(structs.CodeUnauthorized, "the bootstrap token is required until the first rules are accepted")
}

func tokenDigest(ctx *fasthttp.RequestCtx) string {
	token, found := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearerPrefix)
	if !found || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// findToken returns the token with a digest. It always compares with every
// token, so that the response time does not reveal which token was a close match.
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

// roleWithoutToken returns the first role for which the configuration has no
// token, or an empty string.
func roleWithoutToken(cfg *structs.Config, roles []structs.Role) structs.Role {
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

// resolveCustomer returns the customer that a request applies to. It refuses a
// customer other than the one that the principal is restricted to.
func (p principal) resolveCustomer(requested string) (string, error) {
	if p.customer == "" {
		return requested, nil
	}
	if requested != "" && requested != p.customer {
		return "", structs.RefuseNotRun(structs.CodeForbidden, "the token belongs to customer "+p.customer)
	}
	return p.customer, nil
}
