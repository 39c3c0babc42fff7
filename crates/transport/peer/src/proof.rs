//! Proof that an instance holds the shared key.

use hmac::Hmac;
use hmac::Mac;
use http::HeaderMap;
use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The header with the version of the protocol.
pub const VERSION_HEADER: &str = "x-hemlockwind-version";
/// The header with the sender's name.
pub const FROM_HEADER: &str = "x-hemlockwind-from";
/// The header with the sender's nonce.
pub const NONCE_HEADER: &str = "x-hemlockwind-nonce";
/// The header with the sender's proof.
pub const PROOF_HEADER: &str = "x-hemlockwind-proof";

/// The characters of a name that are escaped in a header, besides those that are not ASCII.
const ESCAPED: &AsciiSet = &CONTROLS.add(b'%');

/// `Side` names the side that gives a proof. It is part of the proof, so that one side
/// can't replay the proof of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted it.
    Server,
}

/// `SharedKey` holds the key that all instances of a deployment share.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// Returns the key with these bytes.
    pub fn new(key: impl Into<Vec<u8>>) -> Self {
        Self(key.into())
    }

    /// Returns the proof of `side` for a connection from the client `from`, in hexadecimal.
    pub fn proof(&self, side: Side, from: &str, client_nonce: &str, server_nonce: &str) -> String {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts a key of any length");
        let side = match side {
            Side::Client => "client",
            Side::Server => "server",
        };
        for part in [side, from, client_nonce, server_nonce] {
            // The length prefix makes the boundaries between the parts unambiguous.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        let digest = mac.finalize().into_bytes();
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns whether `proof` is valid. The comparison takes constant time.
    pub fn verify(
        &self,
        proof: &str,
        side: Side,
        from: &str,
        client_nonce: &str,
        server_nonce: &str,
    ) -> bool {
        let expected = self.proof(side, from, client_nonce, server_nonce);
        expected.as_bytes().ct_eq(proof.as_bytes()).into()
    }
}

/// Returns a random nonce of 128 bits, in hexadecimal.
pub fn nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Returns the name of an instance as a header holds it. The name comes from the settings and may have
/// any characters.
pub fn escape_name(name: &str) -> String {
    utf8_percent_encode(name, ESCAPED).to_string()
}

/// Returns the name of an instance that a header holds.
pub fn unescape_name(value: &str) -> String {
    percent_decode_str(value).decode_utf8_lossy().into_owned()
}

/// Returns the value of a header, or an empty string if it is missing or not text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
