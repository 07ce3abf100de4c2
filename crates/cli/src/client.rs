//! Blocking client of a daemon's HTTP API.

use eyre::{Result, WrapErr};
use serde_json::Value;
use std::time::Duration;
use ureq::Agent;

/// Timeout of a whole call, including the time for which the daemon holds the request (`wait_ms`,
/// at most 60 s by default).
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// Response of a daemon.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON; a body that is not JSON is kept as a string.
    pub body: Value,
}

impl Response {
    /// Returns whether the status code is in the range 200 to 299.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}

/// Client of a daemon's HTTP API.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    token: String,
}

impl Client {
    /// Creates a client of the daemon at `server` (`ip:port`) that authenticates with the bearer
    /// token `token`.
    #[must_use]
    pub fn new(server: &str, token: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .proxy(None)
            .build();
        let base = format!("http://{server}");
        Self {
            agent: config.into(),
            base,
            token: token.to_owned(),
        }
    }

    /// Sends `GET path`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response is received.
    pub fn get(&self, path: &str) -> Result<Response> {
        let req = self.agent.get(format!("{}{path}", self.base));
        self.read_response(req.header("Authorization", self.authorization()).call())
    }

    /// Sends `DELETE path`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response is received.
    pub fn delete(&self, path: &str) -> Result<Response> {
        let req = self.agent.delete(format!("{}{path}", self.base));
        self.read_response(req.header("Authorization", self.authorization()).call())
    }

    /// Sends `POST path` with a JSON body, and with the idempotency key `key` if it is given.
    ///
    /// # Errors
    ///
    /// Returns an error if no response is received.
    pub fn post(&self, path: &str, body: &Value, key: Option<&str>) -> Result<Response> {
        let req = self.agent.post(format!("{}{path}", self.base));
        let req = req.header("Authorization", self.authorization());
        let req = match key {
            Some(key) => req.header("Idempotency-Key", key),
            None => req,
        };
        self.read_response(req.send_json(body))
    }

    /// Sends `PUT path` with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if no response is received.
    pub fn put(&self, path: &str, body: &Value) -> Result<Response> {
        let req = self.agent.put(format!("{}{path}", self.base));
        self.read_response(
            req.header("Authorization", self.authorization())
                .send_json(body),
        )
    }

    fn authorization(&self) -> String {
        format!("Bearer {}", self.token)
    }

    fn read_response(
        &self,
        response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Response> {
        let mut response = response.wrap_err_with(|| format!("no response from {}", self.base))?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(u64::MAX)
            .read_to_string()?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Response { status, body })
    }
}
