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

// ProtocolVersion is incremented with each incompatible change to the wire
// format.
const ProtocolVersion = 2

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
)

// hello is the first message of a connection, sent by the dialer. Its nonce
// ensures that the acceptor's proof cannot be replayed from an earlier
// handshake.
type hello struct {
	Version int    `msgpack:"v"`
	Host    string `msgpack:"h"`
	To      string `msgpack:"t"`
	// StoreID identifies the data directory of the host, so that a host that
	// lost its disk cannot rejoin under its old ID.
	StoreID string `msgpack:"s"`
	Nonce   []byte `msgpack:"n"`
}

// challenge is the acceptor's response to a hello. It proves that the acceptor
// knows the peer key.
type challenge struct {
	Version int    `msgpack:"v"`
	Host    string `msgpack:"h"`
	StoreID string `msgpack:"s"`
	Nonce   []byte `msgpack:"n"`
	Proof   []byte `msgpack:"p"`
	Refused string `msgpack:"r,omitempty"`
}

// proof is the dialer's response to a challenge. It proves that the dialer
// knows the peer key.
type proof struct {
	Proof []byte `msgpack:"p"`
}

// verdict is the acceptor's decision and ends the handshake. The dialer sends no
// other frame before it: if the acceptor refused the dialer, a call already
// written would count as possibly run.
type verdict struct {
	Refused string `msgpack:"r,omitempty"`
}

// dialHandshake performs the dialer's side of the mutual authentication.
func (t *Transport) dialHandshake(conn net.Conn, peer string) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	nonce, err := newNonce()
	if err != nil {
		return err
	}
	ownHello := hello{Version: ProtocolVersion, Host: t.cfg.Host, To: peer, StoreID: t.cfg.StoreID, Nonce: nonce}
	if err := t.writeHandshakeMessage(conn, KindHello, &ownHello); err != nil {
		return err
	}
	var peerChallenge challenge
	if err := t.readHandshakeMessage(conn, KindChallenge, &peerChallenge); err != nil {
		return err
	}
	if peerChallenge.Refused != "" {
		return &HandshakeError{Peer: peer, Reason: "peer refused: " + peerChallenge.Refused}
	}
	if peerChallenge.Version != ProtocolVersion {
		return &HandshakeError{Peer: peer, Reason: "protocol version " + strconv.Itoa(peerChallenge.Version)}
	}
	if peerChallenge.Host != peer {
		return &HandshakeError{Peer: peer, Reason: "peer identified itself as host " + peerChallenge.Host}
	}
	want := t.sign("accept", peerChallenge.Host, peerChallenge.StoreID, nonce, peerChallenge.Nonce)
	if !hmac.Equal(want, peerChallenge.Proof) {
		return &HandshakeError{Peer: peer, Reason: "wrong peer key"}
	}
	if reason := t.cfg.CheckPeer(peerChallenge.Host, peerChallenge.StoreID); reason != "" {
		return &HandshakeError{Peer: peer, Reason: reason}
	}
	ownProof := proof{Proof: t.sign("dial", t.cfg.Host, t.cfg.StoreID, nonce, peerChallenge.Nonce)}
	if err := t.writeHandshakeMessage(conn, KindProof, &ownProof); err != nil {
		return err
	}
	var decision verdict
	if err := t.readHandshakeMessage(conn, KindVerdict, &decision); err != nil {
		return err
	}
	if decision.Refused != "" {
		return &HandshakeError{Peer: peer, Reason: "peer refused: " + decision.Refused}
	}
	return nil
}

// acceptHandshake performs the acceptor's side of the mutual authentication and
// returns the host name of the peer.
func (t *Transport) acceptHandshake(conn net.Conn) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	var peerHello hello
	if err := t.readHandshakeMessage(conn, KindHello, &peerHello); err != nil {
		return "", err
	}
	nonce, err := newNonce()
	if err != nil {
		return "", err
	}
	ownChallenge := challenge{Version: ProtocolVersion, Host: t.cfg.Host, StoreID: t.cfg.StoreID, Nonce: nonce}
	ownChallenge.Refused = t.checkHello(&peerHello)
	ownChallenge.Proof = t.sign("accept", t.cfg.Host, t.cfg.StoreID, peerHello.Nonce, nonce)
	if err := t.writeHandshakeMessage(conn, KindChallenge, &ownChallenge); err != nil {
		return "", err
	}
	if ownChallenge.Refused != "" {
		return "", &HandshakeError{Peer: peerHello.Host, Reason: ownChallenge.Refused}
	}
	var dialerProof proof
	if err := t.readHandshakeMessage(conn, KindProof, &dialerProof); err != nil {
		return "", err
	}
	reason := t.checkProof(&peerHello, nonce, dialerProof.Proof)
	if err := t.writeHandshakeMessage(conn, KindVerdict, &verdict{Refused: reason}); err != nil {
		return "", err
	}
	if reason != "" {
		return "", &HandshakeError{Peer: peerHello.Host, Reason: reason}
	}
	return peerHello.Host, nil
}

// checkProof returns the reason to refuse a dialer, or an empty string.
// CheckPeer, which records the store ID, is called only after the proof is
// verified, so that a peer without the key cannot bind a host ID to a store.
func (t *Transport) checkProof(peerHello *hello, nonce, got []byte) string {
	want := t.sign("dial", peerHello.Host, peerHello.StoreID, peerHello.Nonce, nonce)
	if !hmac.Equal(want, got) {
		return "wrong peer key"
	}
	return t.cfg.CheckPeer(peerHello.Host, peerHello.StoreID)
}

// checkHello returns the reason to refuse a hello, or an empty string.
func (t *Transport) checkHello(peerHello *hello) string {
	if peerHello.Version != ProtocolVersion {
		return "protocol version " + strconv.Itoa(peerHello.Version)
	}
	if peerHello.To != t.cfg.Host {
		return "this is host " + t.cfg.Host
	}
	if peerHello.Host == "" || peerHello.Host == t.cfg.Host {
		return "host name " + strconv.Quote(peerHello.Host) + " is not that of a peer"
	}
	if len(peerHello.Nonce) != nonceBytes {
		return "nonce has a wrong length"
	}
	return ""
}

// sign computes the proof of one side. The role is part of the signed data, so
// that a proof cannot be reflected to its sender. Each part is prefixed with
// its length, so that different parts cannot yield the same signed data.
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
		return nil, &HandshakeError{Peer: "self", Reason: "cannot generate a nonce: " + err.Error()}
	}
	return nonce, nil
}

func (t *Transport) writeHandshakeMessage(conn net.Conn, kind Kind, value any) error {
	body, err := msgpack.Marshal(value)
	if err != nil {
		return &FrameError{Reason: "cannot encode handshake message", Detail: err.Error()}
	}
	data, err := encodeFrame(&frame{Kind: kind, Body: body})
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

func (t *Transport) readHandshakeMessage(conn net.Conn, kind Kind, value any) error {
	f, _, err := readFrame(conn, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if f.Kind != kind {
		return &FrameError{Reason: "expected " + kind.String() + ", got " + f.Kind.String()}
	}
	if err := codec.Unmarshal(f.Body, value); err != nil {
		return &FrameError{Reason: "cannot decode handshake message " + kind.String(), Detail: err.Error()}
	}
	return nil
}
