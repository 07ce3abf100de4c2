//! HTTP client of the platform's service.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Timeout of a call; a watch adds its own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Error of a call to the platform.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The key does not have the version that the write expects.
    #[error("the condition of the write does not hold")]
    Conflict,
    /// The platform is unreachable, did not respond in time, or sent an unexpected response. A
    /// write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
}

/// A value of the store with its version.
#[derive(Debug, Deserialize)]
pub struct Versioned<T> {
    /// Decoded value.
    pub value: T,
    /// Version of the key, which grows with each write.
    pub version: u64,
}

/// Client of the platform's service. Its methods block the calling thread. Clones share the
/// connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    /// Replaced after a call that timed out: open connections may go silent without a reset, so the
    /// idle ones of the agent are not to be trusted then.
    agent: Arc<RwLock<ureq::Agent>>,
    connect_timeout: Duration,
    base: String,
}

impl PlatformClient {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        Self {
            agent: Arc::new(RwLock::new(new_agent(connect_timeout))),
            connect_timeout,
            base: format!("http://{address}"),
        }
    }

    fn agent(&self) -> ureq::Agent {
        let agent = self.agent.read().unwrap_or_else(PoisonError::into_inner);
        agent.clone()
    }

    /// Converts the error of a call. After a timeout, later calls use new connections.
    fn handle_error(&self, e: &ureq::Error) -> PlatformError {
        if matches!(e, ureq::Error::Timeout(_)) {
            let mut agent = self.agent.write().unwrap_or_else(PoisonError::into_inner);
            *agent = new_agent(self.connect_timeout);
        }
        PlatformError::Unavailable(e.to_string())
    }

    /// Reads the value under `key`; `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if the call fails.
    pub fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Versioned<T>>, PlatformError> {
        self.read(&format!("/kv/{key}"), CALL_TIMEOUT)
    }

    /// Waits, for at most `wait`, until the version of `key` exceeds `known_version`, and reads the
    /// value; `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if the call fails.
    pub fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        known_version: u64,
        wait: Duration,
    ) -> Result<Option<Versioned<T>>, PlatformError> {
        let path = format!(
            "/kv/{key}?newer_than={known_version}&wait_ms={}",
            wait.as_millis()
        );
        self.read(&path, CALL_TIMEOUT + wait)
    }

    /// Reads all values under keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if the call fails.
    pub fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<BTreeMap<String, Versioned<T>>, PlatformError> {
        let rows = self.read(&format!("/kv?prefix={prefix}"), CALL_TIMEOUT)?;
        Ok(rows.unwrap_or_default())
    }

    /// Reads the VM list; `None` if the platform has none.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if the call fails.
    pub fn vm_list<T: DeserializeOwned>(&self) -> Result<Option<T>, PlatformError> {
        self.read("/vms", CALL_TIMEOUT)
    }

    /// Writes `value` under `key`. With `expect`, writes only if the key has that version, or is
    /// absent if `expect` is 0. With `ttl`, the key expires after that time.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the key does not have the version `expect`, and
    /// [`PlatformError::Unavailable`] if the call fails; the write may have taken effect then.
    pub fn put(
        &self,
        key: &str,
        value: &impl serde::Serialize,
        expect: Option<u64>,
        ttl: Option<Duration>,
    ) -> Result<(), PlatformError> {
        let expect = expect.map(|version| format!("expect={version}"));
        let ttl = ttl.map(|ttl| format!("ttl_ms={}", ttl.as_millis()));
        let query: Vec<_> = expect.into_iter().chain(ttl).collect();
        let url = format!("{}/kv/{key}?{}", self.base, query.join("&"));
        let req = self
            .agent()
            .put(url)
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        let response = req.send_json(value).map_err(|e| self.handle_error(&e))?;
        match response.status().as_u16() {
            200 => Ok(()),
            409 => Err(PlatformError::Conflict),
            status => Err(PlatformError::Unavailable(format!("status {status}"))),
        }
    }

    fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<T>, PlatformError> {
        let url = format!("{}{path}", self.base);
        let req = self
            .agent()
            .get(url)
            .config()
            .timeout_global(Some(timeout))
            .build();
        let mut response = req.call().map_err(|e| self.handle_error(&e))?;
        match response.status().as_u16() {
            200 => {
                let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
                body.read_json()
                    .map(Some)
                    .map_err(|e| self.handle_error(&e))
            }
            404 => Ok(None),
            status => Err(PlatformError::Unavailable(format!("status {status}"))),
        }
    }
}

fn new_agent(connect_timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_connect(Some(connect_timeout))
        .proxy(None)
        .build();
    config.into()
}
