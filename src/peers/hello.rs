//! The handshake between two peers.

use super::wire::{IncarnationWire, WireError};
use cardamomslip_core::model::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode};

/// Version of the messages. Peers of different versions don't talk.
pub const PROTOCOL: &str = "cardamomslip.1";
/// Header that carries the protocol version.
pub const PROTOCOL_HEADER: &str = "sec-websocket-protocol";
/// Header that carries the shared secret.
const SECRET_HEADER: &str = "authorization";

/// The first frame of each side.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hello {
    incarnation: IncarnationWire,
}

impl Hello {
    /// Builds the frame of `me`.
    pub fn encode(me: Incarnation) -> Vec<u8> {
        let hello = Self {
            incarnation: me.into(),
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&hello, &mut buf).expect("writing to memory does not fail");
        buf
    }

    /// Reads the frame of the other side.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is not a hello.
    pub fn decode(frame: &[u8]) -> Result<Incarnation, WireError> {
        let hello: Self = ciborium::from_reader(frame).map_err(|e| WireError::new(&e))?;
        Ok(hello.incarnation.into())
    }
}

/// Returns the value of the secret's header.
pub fn secret_value(secret: &str) -> Option<HeaderValue> {
    let digest = format!("Bearer {:x}", Sha256::digest(secret.as_bytes()));
    let mut value = HeaderValue::from_str(&digest).ok()?;
    value.set_sensitive(true);
    Some(value)
}

/// Adds version and secret to an opening request.
pub fn sign(req: &mut Request, secret: &str) {
    let headers = req.headers_mut();
    headers.insert(PROTOCOL_HEADER, HeaderValue::from_static(PROTOCOL));
    if let Some(value) = secret_value(secret) {
        headers.insert(SECRET_HEADER, value);
    }
}

/// Checks version and secret of an opening request.
///
/// # Errors
///
/// Returns the refusal: 401 for a wrong secret, 426 for another version.
#[allow(clippy::result_large_err, reason = "the type is the library's")]
pub fn check(
    req: &Request,
    mut response: Response,
    secret: &str,
) -> Result<Response, ErrorResponse> {
    if req.headers().get(SECRET_HEADER) != secret_value(secret).as_ref() {
        return Err(refusal(StatusCode::UNAUTHORIZED, "wrong secret"));
    }
    if req
        .headers()
        .get(PROTOCOL_HEADER)
        .is_none_or(|version| version != PROTOCOL)
    {
        return Err(refusal(
            StatusCode::UPGRADE_REQUIRED,
            "other protocol version",
        ));
    }
    let version = HeaderValue::from_static(PROTOCOL);
    response.headers_mut().insert(PROTOCOL_HEADER, version);
    Ok(response)
}

fn refusal(status: StatusCode, text: &str) -> ErrorResponse {
    let mut refusal = ErrorResponse::new(Some(text.to_owned()));
    *refusal.status_mut() = status;
    refusal
}
