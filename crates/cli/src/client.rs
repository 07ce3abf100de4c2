//! Calls of a daemon's HTTP interface.

use eyre::{Result, WrapErr};
use serde_json::Value;
use std::time::Duration;
use ureq::Agent;

/// Time within which a call is answered, on top of its own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(90);

/// An answer of a daemon.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

impl Answer {
    /// Tells whether the daemon did what was asked.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }
}

/// Calls of a daemon's HTTP interface.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    token: String,
}

impl Client {
    /// Builds a client of the daemon at `server`, `ip:port`, that shows `token`.
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

    /// Reads a resource.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn get(&self, path: &str) -> Result<Answer> {
        let req = self.agent.get(format!("{}{path}", self.base));
        self.finish(req.header("Authorization", self.bearer()).call())
    }

    /// Deletes a resource.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn delete(&self, path: &str) -> Result<Answer> {
        let req = self.agent.delete(format!("{}{path}", self.base));
        self.finish(req.header("Authorization", self.bearer()).call())
    }

    /// Posts to a resource, under an idempotency key if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn post(&self, path: &str, body: &Value, key: Option<&str>) -> Result<Answer> {
        let req = self.agent.post(format!("{}{path}", self.base));
        let req = req.header("Authorization", self.bearer());
        let req = match key {
            Some(key) => req.header("Idempotency-Key", key),
            None => req,
        };
        self.finish(req.send_json(body))
    }

    /// Puts a resource.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub fn put(&self, path: &str, body: &Value) -> Result<Answer> {
        let req = self.agent.put(format!("{}{path}", self.base));
        self.finish(req.header("Authorization", self.bearer()).send_json(body))
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }

    fn finish(
        &self,
        response: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<Answer> {
        let mut response = response.wrap_err_with(|| format!("no answer from {}", self.base))?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .with_config()
            .limit(u64::MAX)
            .read_to_string()?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Answer { status, body })
    }
}
