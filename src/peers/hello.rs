//! Handshake between two peers.

use super::wire::{IncarnationWire, WireError};
use cardamomslip_core::model::incarnation::Incarnation;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode};

/// Protocol version. Peers with different versions reject each other's connections.
pub const PROTOCOL: &str = "cardamomslip.6";
/// Header that carries the protocol version.
pub const PROTOCOL_HEADER: &str = "sec-websocket-protocol";
/// Header that carries the shared secret.
const SECRET_HEADER: &str = "authorization";

/// First frame that each side sends.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hello {
    incarnation: IncarnationWire,
}

impl Hello {
    /// Encodes the hello of the incarnation `me`.
    pub fn encode(me: Incarnation) -> Vec<u8> {
        let hello = Self {
            incarnation: me.into(),
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&hello, &mut buf).expect("writing to a `Vec` does not fail");
        buf
    }

    /// Decodes the hello of the peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is not a hello.
    pub fn decode(frame: &[u8]) -> Result<Incarnation, WireError> {
        let hello: Self = ciborium::from_reader(frame).map_err(|e| WireError::new(&e))?;
        Ok(hello.incarnation.into())
    }
}

/// Returns the value of the header that carries the shared secret.
pub fn secret_value(secret: &str) -> Option<HeaderValue> {
    let digest = format!("Bearer {:x}", Sha256::digest(secret.as_bytes()));
    let mut value = HeaderValue::from_str(&digest).ok()?;
    value.set_sensitive(true);
    Some(value)
}

/// Adds the protocol version and the shared secret to an upgrade request.
pub fn add_headers(req: &mut Request, secret: &str) {
    let headers = req.headers_mut();
    headers.insert(PROTOCOL_HEADER, HeaderValue::from_static(PROTOCOL));
    if let Some(value) = secret_value(secret) {
        headers.insert(SECRET_HEADER, value);
    }
}

/// Checks the protocol version and the shared secret of an upgrade request.
///
/// # Errors
///
/// Returns the error response: 401 for a wrong secret, 426 for a different version.
#[allow(
    clippy::result_large_err,
    reason = "the type is defined by the library"
)]
pub fn check_headers(
    req: &Request,
    mut response: Response,
    secret: &str,
) -> Result<Response, ErrorResponse> {
    if req.headers().get(SECRET_HEADER) != secret_value(secret).as_ref() {
        return Err(error_response(StatusCode::UNAUTHORIZED, "wrong secret"));
    }
    if req
        .headers()
        .get(PROTOCOL_HEADER)
        .is_none_or(|version| version != PROTOCOL)
    {
        return Err(error_response(
            StatusCode::UPGRADE_REQUIRED,
            "other protocol version",
        ));
    }
    let version = HeaderValue::from_static(PROTOCOL);
    response.headers_mut().insert(PROTOCOL_HEADER, version);
    Ok(response)
}

fn error_response(status: StatusCode, text: &str) -> ErrorResponse {
    let mut response = ErrorResponse::new(Some(text.to_owned()));
    *response.status_mut() = status;
    response
}
