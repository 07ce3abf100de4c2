//! Platform stand-in: key-value store and VM list.
//!
//! | request | meaning |
//! |---|---|
//! | `GET /kv/KEY` | returns value and version, or 404 |
//! | `GET /kv/KEY?newer_than=V&wait_ms=W` | waits up to `W` ms until the version exceeds `V` |
//! | `GET /kv?prefix=P` | returns all keys that start with `P`, with values and versions |
//! | `PUT /kv/KEY` | writes; `?expect=V`: only at version `V` (0: absent); `?ttl_ms=T`: lifetime |
//! | `POST /leases?ttl_ms=T`, `PUT /leases/ID` | grants and renews a lease |
//! | `GET /vms`, `PUT /vms` | reads and replaces the VM list; the latter is for tests only |
//! | `PUT /faults` | sets the fault switches |
//! | `GET /calls` | returns the number of calls since the start |

use crate::http::{StandInServer, respond};
use cardamomslip::http::Exchange;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Largest accepted value, in bytes.
const MAX_VALUE_LEN: usize = 1024 * 1024;
/// Upper limit of `wait_ms`, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// Fault switches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails with 503 and has no effect.
    pub down: bool,
    /// Delay added to every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but get a 504 response.
    pub lose_replies: u32,
    /// Keep serving the VM list as it was when this was set.
    pub freeze_vm_list: bool,
}

#[derive(Clone, Debug, Serialize)]
struct StoredValue {
    value: serde_json::Value,
    version: u64,
    #[serde(skip)]
    expires: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    values: BTreeMap<String, StoredValue>,
    vm_list: serde_json::Value,
    served_vm_list: serde_json::Value,
    faults: PlatformFaults,
    calls: u64,
    leases: BTreeMap<u64, Instant>,
    next_lease: u64,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A platform stand-in that runs on threads of this process.
#[derive(Debug)]
pub struct PlatformStandIn {
    shared: Arc<Shared>,
    http: StandInServer,
}

impl PlatformStandIn {
    /// Starts the stand-in on `listen`.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen` is not a valid address or can't be bound.
    pub fn start(listen: &str) -> eyre::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared
            .lock()
            .set_vm_list(serde_json::json!({"revision": 0, "entries": [], "executors": []}));
        let handler = Arc::clone(&shared);
        let http = StandInServer::start(listen, move |request| {
            let shared = Arc::clone(&handler);
            tokio::task::spawn_blocking(move || shared.serve(request));
        })?;
        Ok(Self { shared, http })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Replaces the VM list.
    pub fn set_vm_list(&self, list: serde_json::Value) {
        self.shared.lock().set_vm_list(list);
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the number of calls since the start. A watch counts as one call.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }

    /// Returns the value of `key`, if it exists.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<serde_json::Value> {
        self.shared
            .lock()
            .values
            .get(key)
            .map(|row| row.value.clone())
    }

    /// Returns the values of all keys that start with `prefix`.
    #[must_use]
    pub fn values(&self, prefix: &str) -> Vec<serde_json::Value> {
        let state = self.shared.lock();
        let rows = state
            .values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        rows.map(|(_, row)| row.value.clone()).collect()
    }

    /// Stops the stand-in.
    pub fn close(self) {
        self.http.close();
    }

    /// Serves forever.
    pub fn wait(self) {
        self.http.wait();
    }
}

impl State {
    fn set_vm_list(&mut self, list: serde_json::Value) {
        self.vm_list = list;
        if !self.faults.freeze_vm_list {
            self.served_vm_list = self.vm_list.clone();
        }
    }

    fn remove_expired(&mut self) {
        let now = Instant::now();
        self.values
            .retain(|_, row| row.expires.is_none_or(|at| at > now));
        self.leases.retain(|_, at| *at > now);
    }

    fn version(&self, key: &str) -> u64 {
        self.values.get(key).map_or(0, |row| row.version)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, request: Exchange) {
        let path = request.path().to_owned();
        if path == "/faults" {
            self.set_faults(request);
            return;
        }
        let faults = {
            let mut state = self.lock();
            state.calls += 1;
            state.remove_expired();
            state.faults
        };
        std::thread::sleep(Duration::from_millis(faults.delay_ms));
        if faults.down {
            respond(request, 503, r#"{"error":"unavailable"}"#);
            return;
        }
        match (request.method().as_str(), path.as_str()) {
            ("GET", "/vms") => self.get_vms(request),
            ("PUT", "/vms") => self.put_vms(request),
            ("GET", "/calls") => {
                let calls = self.lock().calls;
                respond(request, 200, &format!(r#"{{"calls":{calls}}}"#));
            }
            ("GET", "/kv") => self.list(request),
            ("GET", key) if key.starts_with("/kv/") => self.get(request),
            ("PUT", key) if key.starts_with("/kv/") => self.put(request),
            ("POST", "/leases") => self.grant_lease(request),
            ("PUT", key) if key.starts_with("/leases/") => self.renew_lease(request),
            _ => respond(request, 404, r#"{"error":"no such resource"}"#),
        }
    }

    fn set_faults(&self, request: Exchange) {
        let body = request.body().unwrap_or_default();
        match serde_json::from_str(body) {
            Ok(faults) => {
                self.lock().faults = faults;
                respond(request, 200, "{}");
            }
            Err(e) => respond(
                request,
                400,
                &serde_json::json!({"error": e.to_string()}).to_string(),
            ),
        }
    }

    fn get_vms(&self, request: Exchange) {
        let list = self.lock().served_vm_list.to_string();
        respond(request, 200, &list);
    }

    fn put_vms(&self, request: Exchange) {
        let body = request.body().unwrap_or_default();
        match serde_json::from_str(body) {
            Ok(list) => {
                self.lock().set_vm_list(list);
                respond(request, 200, "{}");
            }
            Err(e) => respond(
                request,
                400,
                &serde_json::json!({"error": e.to_string()}).to_string(),
            ),
        }
    }

    fn list(&self, request: Exchange) {
        let prefix = request.query("prefix").unwrap_or_default();
        let rows: BTreeMap<String, StoredValue> = {
            let state = self.lock();
            let rows = state
                .values
                .iter()
                .filter(|(key, _)| key.starts_with(prefix));
            rows.map(|(key, row)| (key.clone(), row.clone())).collect()
        };
        respond(
            request,
            200,
            &serde_json::to_string(&rows).expect("values serialize to JSON"),
        );
    }

    fn get(&self, request: Exchange) {
        let key = request.path().trim_start_matches("/kv/").to_owned();
        if let Some(known_version) = request
            .query("newer_than")
            .and_then(|text| text.parse().ok())
        {
            let wait = request
                .query("wait_ms")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            self.wait_for_change(
                &key,
                known_version,
                Duration::from_millis(wait.min(MAX_WATCH_MS)),
            );
        }
        if self.lock().faults.down {
            respond(request, 503, r#"{"error":"unavailable"}"#);
            return;
        }
        let row = self.lock().values.get(&key).cloned();
        match row {
            Some(row) => respond(
                request,
                200,
                &serde_json::to_string(&row).expect("a value serializes to JSON"),
            ),
            None => respond(request, 404, r#"{"error":"no such key"}"#),
        }
    }

    fn wait_for_change(&self, key: &str, known_version: u64, wait: Duration) {
        let state = self.lock();
        let unchanged =
            |state: &mut State| state.version(key) <= known_version && !state.faults.down;
        drop(self.changed.wait_timeout_while(state, wait, unchanged));
    }

    fn put(&self, request: Exchange) {
        let Ok(body) = request.body() else {
            respond(request, 400, r#"{"error":"unreadable body"}"#);
            return;
        };
        let value = match serde_json::from_str(body) {
            Ok(value) if body.len() <= MAX_VALUE_LEN => value,
            Ok(_) => return respond(request, 413, r#"{"error":"value too large"}"#),
            Err(_) => return respond(request, 400, r#"{"error":"not JSON"}"#),
        };
        let key = request.path().trim_start_matches("/kv/").to_owned();
        let key = key.as_str();
        let expect: Option<u64> = request.query("expect").and_then(|text| text.parse().ok());
        let ttl: Option<u64> = request.query("ttl_ms").and_then(|text| text.parse().ok());
        let mut state = self.lock();
        let version = state.version(key);
        if expect.is_some_and(|expected| expected != version) {
            drop(state);
            respond(request, 409, &format!(r#"{{"version":{version}}}"#));
            return;
        }
        let expires = ttl.map(|ttl| Instant::now() + Duration::from_millis(ttl));
        let version = version + 1;
        state.values.insert(
            key.to_owned(),
            StoredValue {
                value,
                version,
                expires,
            },
        );
        let lose = state.faults.lose_replies > 0;
        state.faults.lose_replies = state.faults.lose_replies.saturating_sub(1);
        drop(state);
        self.changed.notify_all();
        if lose {
            respond(request, 504, r#"{"error":"timeout"}"#);
        } else {
            respond(request, 200, &format!(r#"{{"version":{version}}}"#));
        }
    }

    fn grant_lease(&self, request: Exchange) {
        let ttl = request
            .query("ttl_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        state
            .leases
            .insert(id, Instant::now() + Duration::from_millis(ttl));
        drop(state);
        respond(request, 200, &format!(r#"{{"lease":{id}}}"#));
    }

    fn renew_lease(&self, request: Exchange) {
        let id = request
            .path()
            .trim_start_matches("/leases/")
            .parse()
            .unwrap_or(0);
        let ttl = request
            .query("ttl_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let renewed = {
            let mut state = self.lock();
            let row = state.leases.get_mut(&id);
            row.map(|at| *at = Instant::now() + Duration::from_millis(ttl))
                .is_some()
        };
        if renewed {
            respond(request, 200, "{}");
        } else {
            respond(request, 410, r#"{"error":"lease expired"}"#);
        }
    }
}
