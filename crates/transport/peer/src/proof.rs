//! Proof that an instance knows the shared key.

use hmac::Hmac;
use hmac::Mac;
use http::HeaderMap;
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

/// `Side` is who proves, so that one side's proof is worthless for the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that opened the connection.
    Client,
    /// The side that accepted it.
    Server,
}

/// `SharedKey` is the key that all instances of a deployment know.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

impl SharedKey {
    /// The key with these bytes.
    pub fn new(key: impl Into<Vec<u8>>) -> Self {
        Self(key.into())
    }

    /// The proof of `side` for a connection, in hexadecimal.
    pub fn proof(&self, side: Side, from: &str, client_nonce: &str, server_nonce: &str) -> String {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes a key of any length");
        let side = match side {
            Side::Client => "client",
            Side::Server => "server",
        };
        for part in [side, from, client_nonce, server_nonce] {
            // The length keeps one part's end apart from the next one's start.
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part.as_bytes());
        }
        let digest = mac.finalize().into_bytes();
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Whether `proof` is the right one, compared in constant time.
    pub fn is_proof(
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

/// A new nonce.
pub fn nonce() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// The value of a header, empty when it is missing or no text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
