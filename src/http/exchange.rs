//! One request and the open end of its response.

use hyper::{HeaderMap, Method, StatusCode};
use std::time::Duration;
use tokio::sync::oneshot;

/// Media type of JSON.
const JSON: &str = "application/json";

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Value of the `Retry-After` header, rounded up to seconds.
    pub retry_after: Option<Duration>,
    /// The body.
    pub body: String,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

impl Reply {
    /// Builds a JSON response.
    #[must_use]
    pub const fn json(status: u16, body: String) -> Self {
        Self {
            status,
            media_type: JSON,
            retry_after: None,
            body,
            close: false,
        }
    }

    /// Builds a plain text response.
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

/// A request whose body was read, and the open end of its response. Answering consumes it; one
/// that is dropped is answered with status 500.
#[derive(Debug)]
pub struct Exchange {
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    body: Result<String, Reply>,
    tx: oneshot::Sender<Reply>,
}

impl Exchange {
    /// Builds an exchange of the parts of a request. The body is an error if it could not be
    /// taken in.
    pub(super) fn new(
        head: hyper::http::request::Parts,
        body: Result<String, Reply>,
        tx: oneshot::Sender<Reply>,
    ) -> Self {
        Self {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
            tx,
        }
    }

    /// Returns the method.
    #[must_use]
    pub const fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the path.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the value of `name` in the query.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the value of a header, if it is plain text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body.
    ///
    /// # Errors
    ///
    /// Returns the response to a body that is too large or not UTF-8.
    pub fn body(&self) -> Result<&str, &Reply> {
        self.body.as_deref()
    }

    /// Tells whether the caller's connection ended, so that nobody can be answered.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.tx.is_closed()
    }

    /// Answers. A caller that went away is no fault.
    pub fn close_with(self, reply: Reply) {
        if self.tx.send(reply).is_err() {
            tracing::debug!(path = self.path, "the caller went away before its answer");
        }
    }

    /// Answers with a JSON body.
    pub fn close_json(self, status: u16, body: &impl serde::Serialize) {
        match serde_json::to_string(body) {
            Ok(body) => self.close_with(Reply::json(status, body)),
            Err(e) => tracing::error!(error = %e, "an answer can't be written as JSON"),
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
            headers.insert(hyper::header::RETRY_AFTER, whole_seconds(span).into());
        }
        if reply.close {
            let close = hyper::header::HeaderValue::from_static("close");
            headers.insert(hyper::header::CONNECTION, close);
        }
        response
    }
}

/// Rounds up, since a caller must not come back too early.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}
