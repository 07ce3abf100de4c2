//! A request together with the channel for its response.

use super::ingress::{NoRoom, Permit};
use hyper::{HeaderMap, Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

const JSON_MEDIA_TYPE: &str = "application/json";

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Value of the `Retry-After` header, rounded up to whole seconds; `None` leaves out the
    /// header.
    pub retry_after: Option<Duration>,
    /// Body of the response.
    pub body: String,
    /// Whether to close the connection after the response.
    pub close: bool,
}

impl Reply {
    /// Creates a response with a JSON body.
    #[must_use]
    pub const fn json(status: u16, body: String) -> Self {
        Self {
            status,
            media_type: JSON_MEDIA_TYPE,
            retry_after: None,
            body,
            close: false,
        }
    }

    /// Creates a response with a plain text body.
    #[must_use]
    pub const fn text(status: u16, body: String) -> Self {
        Self {
            status,
            media_type: "text/plain",
            retry_after: None,
            body,
            close: false,
        }
    }
}

/// A request whose body has been read, and the channel for its response. Sending the response
/// consumes the exchange; if it is dropped instead, the client gets status 500.
#[derive(Debug)]
pub struct Exchange {
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    body: Result<String, Reply>,
    tx: oneshot::Sender<Reply>,
    permit: Arc<Permit>,
}

impl Exchange {
    /// Creates an exchange from the parts of a request. The body is an error if it could not be
    /// read.
    pub(super) fn new(
        head: hyper::http::request::Parts,
        body: Result<String, Reply>,
        tx: oneshot::Sender<Reply>,
        permit: Arc<Permit>,
    ) -> Self {
        Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
            tx,
            permit,
        }
    }

    /// Returns the request method.
    #[must_use]
    pub const fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the path of the request.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the value of the query parameter `name`, without percent-decoding.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the value of a header; `None` if it is absent or has characters other than visible
    /// ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the request body.
    ///
    /// # Errors
    ///
    /// Returns the response to send if the body is too large, is not UTF-8 or could not be read.
    pub fn body(&self) -> Result<&str, &Reply> {
        self.body.as_deref()
    }

    /// Drops the headers and the body, and charges `bytes` to the client instead until the response is
    /// written: the size of what was made of the request.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for them.
    pub fn replace_content(&mut self, bytes: usize) -> Result<(), NoRoom> {
        self.headers = HeaderMap::new();
        self.body = Ok(String::new());
        self.permit.release_request();
        self.permit.charge_now(bytes)
    }

    /// Returns whether the client has disconnected, so that no response can reach it.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.tx.is_closed()
    }

    /// Sends the response. It is not an error if the client has disconnected.
    pub fn respond(self, reply: Reply) {
        if self.tx.send(reply).is_err() {
            tracing::debug!(
                path = self.path,
                "the client disconnected before the response"
            );
        }
    }

    /// Sends `body` as JSON; if it can't be serialized, the client gets status 500.
    pub fn respond_json(self, status: u16, body: &impl serde::Serialize) {
        match serde_json::to_string(body) {
            Ok(body) => self.respond(Reply::json(status, body)),
            Err(e) => tracing::error!(error = %e, "serializing a response as JSON failed"),
        }
    }
}

impl From<Reply> for hyper::Response<String> {
    fn from(reply: Reply) -> Self {
        let mut response = Self::new(reply.body);
        *response.status_mut() =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        let media_type = hyper::header::HeaderValue::from_static(reply.media_type);
        headers.insert(hyper::header::CONTENT_TYPE, media_type);
        if let Some(span) = reply.retry_after {
            headers.insert(hyper::header::RETRY_AFTER, seconds_rounded_up(span).into());
        }
        if reply.close {
            let close = hyper::header::HeaderValue::from_static("close");
            headers.insert(hyper::header::CONNECTION, close);
        }
        response
    }
}

/// Rounds up, so that clients do not retry too early.
fn seconds_rounded_up(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}
