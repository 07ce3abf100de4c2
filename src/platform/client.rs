//! Calls of the platform's service.

use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which a call is answered, on top of the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest reply that is read, in bytes.
const MAX_REPLY: u64 = 16 * 1024 * 1024;

/// A call of the platform that did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// The condition of a write did not hold.
    #[error("the condition of the write does not hold")]
    Conflict,
    /// The platform can't be reached or did not answer as expected. A write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unavailable(String),
}

/// A value with its version.
#[derive(Debug, Deserialize)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// Its version.
    pub version: u64,
}

/// Calls of the platform's service. Blocks the calling thread.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    agent: ureq::Agent,
    base: String,
}

impl PlatformClient {
    /// Builds a client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(connect_timeout))
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            base: format!("http://{address}"),
        }
    }

    /// Reads the value under `key`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if there is no answer.
    pub fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<Versioned<T>>, PlatformError> {
        self.read(&format!("/kv/{key}"), CALL_TIMEOUT)
    }

    /// Waits until the version of `key` exceeds `known`, and reads the value.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if there is no answer.
    pub fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        known: u64,
        wait: Duration,
    ) -> Result<Option<Versioned<T>>, PlatformError> {
        let path = format!("/kv/{key}?newer_than={known}&wait_ms={}", wait.as_millis());
        self.read(&path, CALL_TIMEOUT + wait)
    }

    /// Reads all values below `prefix`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if there is no answer.
    pub fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<BTreeMap<String, Versioned<T>>, PlatformError> {
        let rows = self.read(&format!("/kv?prefix={prefix}"), CALL_TIMEOUT)?;
        Ok(rows.unwrap_or_default())
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Unavailable`] if there is no answer.
    pub fn vm_list<T: DeserializeOwned>(&self) -> Result<Option<T>, PlatformError> {
        self.read("/vms", CALL_TIMEOUT)
    }

    /// Writes `value` under `key`. With `expect` only if the key has that version (0: is absent).
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the condition does not hold, and
    /// [`PlatformError::Unavailable`] if there is no answer; the write may have taken effect.
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
            .agent
            .put(url)
            .config()
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        let response = req.send_json(value).map_err(unavailable)?;
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
            .agent
            .get(url)
            .config()
            .timeout_global(Some(timeout))
            .build();
        let mut response = req.call().map_err(unavailable)?;
        match response.status().as_u16() {
            200 => {
                let body = response.body_mut().with_config().limit(MAX_REPLY);
                body.read_json().map(Some).map_err(unavailable)
            }
            404 => Ok(None),
            status => Err(PlatformError::Unavailable(format!("status {status}"))),
        }
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "used as a function of Result::map_err"
)]
fn unavailable(e: ureq::Error) -> PlatformError {
    PlatformError::Unavailable(e.to_string())
}
