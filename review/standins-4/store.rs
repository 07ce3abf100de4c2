//! Stand-in for the platform's metadata store, by its published protocol.

use crate::http::{self, Reply, Request};
use crate::json::{Json, base64, quoted};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes in the order of their revisions; the text of each event.
    log: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"Key":{},"Value":"{}","Revision":{},"Created":{},"Lease":{}}}"#,
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.log.push((self.revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let text = format!(r#"{{"Key":{},"Revision":{revision},"Removed":true}}"#, quoted(key));
            self.log.push((revision, key.to_owned(), text));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&lease).is_some()
    }
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        shared.0.lock().expect("no panic").revision = 100;
        let server = Self { shared: Arc::clone(&shared), address: SocketAddr::from((ip, 0)) };
        let handler = server.clone();
        let address = http::serve(server.address, move |req| Some(handler.handle(&req)));
        let store = Self { address, ..server };
        let expirer = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expirer.change(|state| {
                    let now = Instant::now();
                    let ended = state.leases.iter().filter(|(_, (_, end))| *end < now);
                    let ended: Vec<u64> = ended.map(|(&lease, _)| lease).collect();
                    for lease in ended {
                        state.end_lease(lease);
                    }
                });
            }
        });
        store
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.shared.0.lock().expect("no panic");
        let result = change(&mut state);
        self.shared.1.notify_all();
        result
    }

    /// Writes a key as the operator or a server does.
    pub fn write(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, base64(value.as_bytes()), 0));
    }

    pub fn delete(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    fn handle(&self, req: &Request) -> Reply {
        let query = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/kv-key") => self.change(|state| {
                let key = query("Key");
                state.items.get(&key).map_or(Reply::new(404, "{}"), |item| {
                    Reply::new(200, item_json(&key, item))
                })
            }),
            ("GET", "/kv-range") => self.change(|state| {
                let (prefix, after) = (query("Prefix"), query("After"));
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let has_more = items.len() > 500;
                let page = items.into_iter().take(500).collect::<Vec<_>>().join(",");
                let revision = state.revision;
                Reply::new(200, format!(r#"{{"items":[{page}],"HasMore":{has_more},"AsOf":{revision}}}"#))
            }),
            ("GET", "/kv-watch") => self.watch(&query("Prefix"), &query("After"), &query("WaitMs")),
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => self.change(|state| {
                state.last_lease += 1;
                let ttl_ms = body.get("TtlMs").whole().unwrap_or(1000).clamp(1000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(state.last_lease, (ttl, Instant::now() + ttl));
                Reply::new(200, format!(r#"{{"Lease":{},"TtlMs":{ttl_ms}}}"#, state.last_lease))
            }),
            ("POST", path) if path.starts_with("/kv-keep/") => self.change(|state| {
                let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
                state.leases.get_mut(&id).map_or(Reply::new(404, "{}"), |(ttl, end)| {
                    *end = Instant::now() + *ttl;
                    Reply::new(200, format!(r#"{{"TtlMs":{}}}"#, ttl.as_millis()))
                })
            }),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.change(|state| {
                let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                Reply::new(if state.end_lease(id) { 200 } else { 404 }, "{}")
            }),
            _ => Reply::new(400, "{}"),
        }
    }

    fn watch(&self, prefix: &str, after: &str, wait_ms: &str) -> Reply {
        let after: u64 = after.parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let mut state = self.shared.0.lock().expect("no panic");
        loop {
            let log = state.log.iter();
            let events = log.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<&str> = events.map(|(_, _, text)| text.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return Reply::new(200, format!(r#"{{"events":[{events}],"AsOf":{revision}}}"#));
            }
            state = self.shared.1.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn transact(&self, body: &Json) -> Reply {
        self.change(|state| {
            let puts = body.get("Puts").list();
            let keys = puts.iter().map(|put| put.get("Key").text());
            let mut keys = keys.chain(body.get("Remove").list().iter().map(Json::text));
            if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
                return Reply::new(403, "{}");
            }
            let expected = body.get("Expected").list();
            let holds = |row: &Json| {
                let known = state.items.get(row.get("Key").text()).map_or(0, |item| item.revision);
                row.get("Revision").whole() == Some(known)
            };
            if !expected.iter().all(holds) {
                return Reply::new(412, r#"{"items":[]}"#);
            }
            let lease_of = |put: &Json| put.get("Lease").whole().unwrap_or(0);
            let is_live = |lease: u64| lease == 0 || state.leases.contains_key(&lease);
            if !puts.iter().all(|put| is_live(lease_of(put))) {
                return Reply::new(404, "{}");
            }
            for put in puts {
                state.put(put.get("Key").text(), put.get("Value").text().to_owned(), lease_of(put));
            }
            for key in body.get("Remove").list() {
                state.remove(key.text());
            }
            Reply::new(200, format!(r#"{{"Revision":{}}}"#, state.revision))
        })
    }
}
