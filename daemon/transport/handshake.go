package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
)

// ProtocolVersion is raised with each change that older hosts cannot read.
const ProtocolVersion = 2

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
)

// hello opens a connection. The nonce makes the acceptor's proof fresh.
type hello struct {
	Version int    `msgpack:"v"`
	Host    string `msgpack:"h"`
	To      string `msgpack:"t"`
	// StoreID identifies the host's data folder, so that a host that lost its
	// disk cannot come back under its old id.
	StoreID string `msgpack:"s"`
	Nonce   []byte `msgpack:"n"`
}

// challenge answers a hello and proves that the acceptor knows the peer key.
type challenge struct {
	Version int    `msgpack:"v"`
	Host    string `msgpack:"h"`
	StoreID string `msgpack:"s"`
	Nonce   []byte `msgpack:"n"`
	Proof   []byte `msgpack:"p"`
	Refused string `msgpack:"r,omitempty"`
}

// proof shows that the dialer knows the peer key.
type proof struct {
	Proof []byte `msgpack:"p"`
}

// verdict ends the handshake. The dialer sends nothing before it, because a
// message to a host that refuses this one would count as possibly received.
type verdict struct {
	Refused string `msgpack:"r,omitempty"`
}

// dialHandshake authenticates both ends of a connection that this host opened.
func (t *Transport) dialHandshake(conn net.Conn, peer string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	own := hello{Version: ProtocolVersion, Host: t.cfg.Host, To: peer, StoreID: t.cfg.StoreID, Nonce: nonce}
	if err := t.writeValue(conn, KindHello, &own); err != nil {
		return err
	}
	var answer challenge
	if err := t.readValue(conn, KindChallenge, &answer); err != nil {
		return err
	}
	if answer.Refused != "" {
		return &HandshakeError{Peer: peer, Reason: "peer refused: " + answer.Refused}
	}
	if answer.Version != ProtocolVersion {
		return &HandshakeError{Peer: peer, Reason: "protocol version " + strconv.Itoa(answer.Version)}
	}
	if answer.Host != peer {
		return &HandshakeError{Peer: peer, Reason: "answered as host " + answer.Host}
	}
	want := t.sign("accept", answer.Host, answer.StoreID, nonce, answer.Nonce)
	if !hmac.Equal(want, answer.Proof) {
		return &HandshakeError{Peer: peer, Reason: "wrong peer key"}
	}
	if reason := t.cfg.CheckPeer(answer.Host, answer.StoreID); reason != "" {
		return &HandshakeError{Peer: peer, Reason: reason}
	}
	own2 := proof{Proof: t.sign("dial", t.cfg.Host, t.cfg.StoreID, nonce, answer.Nonce)}
	if err := t.writeValue(conn, KindProof, &own2); err != nil {
		return err
	}
	var last verdict
	if err := t.readValue(conn, KindVerdict, &last); err != nil {
		return err
	}
	if last.Refused != "" {
		return &HandshakeError{Peer: peer, Reason: "peer refused: " + last.Refused}
	}
	return nil
}

// acceptHandshake authenticates both ends of a connection that a peer opened.
func (t *Transport) acceptHandshake(conn net.Conn) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	var their hello
	if err := t.readValue(conn, KindHello, &their); err != nil {
		return "", err
	}
	nonce, err := newNonce()
	if err != nil {
		return "", err
	}
	answer := challenge{Version: ProtocolVersion, Host: t.cfg.Host, StoreID: t.cfg.StoreID, Nonce: nonce}
	answer.Refused = t.refusalOf(&their)
	answer.Proof = t.sign("accept", t.cfg.Host, t.cfg.StoreID, their.Nonce, nonce)
	if err := t.writeValue(conn, KindChallenge, &answer); err != nil {
		return "", err
	}
	if answer.Refused != "" {
		return "", &HandshakeError{Peer: their.Host, Reason: answer.Refused}
	}
	var last proof
	if err := t.readValue(conn, KindProof, &last); err != nil {
		return "", err
	}
	reason := t.checkProof(&their, nonce, last.Proof)
	if err := t.writeValue(conn, KindVerdict, &verdict{Refused: reason}); err != nil {
		return "", err
	}
	if reason != "" {
		return "", &HandshakeError{Peer: their.Host, Reason: reason}
	}
	return their.Host, nil
}

// checkProof returns why a dialer must be refused, or nothing. The store id is
// recorded only after the proof, so that a stranger cannot bind a host id to a
// store.
func (t *Transport) checkProof(their *hello, nonce, got []byte) string {
	want := t.sign("dial", their.Host, their.StoreID, their.Nonce, nonce)
	if !hmac.Equal(want, got) {
		return "wrong peer key"
	}
	return t.cfg.CheckPeer(their.Host, their.StoreID)
}

// refusalOf returns why a hello cannot be accepted, or nothing.
func (t *Transport) refusalOf(their *hello) string {
	if their.Version != ProtocolVersion {
		return "protocol version " + strconv.Itoa(their.Version)
	}
	if their.To != t.cfg.Host {
		return "this is host " + t.cfg.Host
	}
	if their.Host == "" || their.Host == t.cfg.Host {
		return "host name " + strconv.Quote(their.Host) + " is not that of a peer"
	}
	if len(their.Nonce) != nonceBytes {
		return "nonce has a wrong length"
	}
	return ""
}

// sign computes the proof of one end. The role keeps a proof from being
// reflected to its sender.
func (t *Transport) sign(role, host, store string, dialNonce, acceptNonce []byte) []byte {
	mac := hmac.New(sha256.New, t.cfg.Key)
	for _, part := range [][]byte{[]byte(role), []byte(host), []byte(store), dialNonce, acceptNonce} {
		mac.Write([]byte(strconv.Itoa(len(part)) + ":"))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, &HandshakeError{Peer: "self", Reason: "no randomness: " + err.Error()}
	}
	return nonce, nil
}

func (t *Transport) writeValue(conn net.Conn, kind Kind, value any) error {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return &FrameError{Reason: "encode", Detail: err.Error()}
	}
	data, err := encodeFrame(&frame{Kind: kind, Body: body})
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

func (t *Transport) readValue(conn net.Conn, kind Kind, value any) error {
	f, _, err := readFrame(conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return &FrameError{Reason: "expected " + kind.String() + ", got " + f.Kind.String()}
	}
	if err := codec.Unmarshal(f.Body, value); err != nil {
		return &FrameError{Reason: "decode " + kind.String(), Detail: err.Error()}
	}
	return nil
}
