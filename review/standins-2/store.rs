//! Stand-in of the platform's metadata store.

use crate::http::{Request, serve};
use crate::json::{Json, base64, quote};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change: the item, or `None` if it was removed.
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change {
                key: key.to_owned(),
                revision,
                item: None,
            });
        }
    }

    fn end_leases(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(&lease, _)| lease)
            .collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":{},\"Value\":{},\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new((
            Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            Condvar::new(),
        ));
        let store = Self { address, state };
        let served = store.clone();
        serve(listener, move |req| served.handle(&req));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                if expiring.state.0.lock().unwrap().end_leases() {
                    expiring.state.1.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key, as the operator or a worker would.
    pub fn put(&self, key: &str, value: &str) {
        self.state
            .0
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    fn handle(&self, req: &Request) -> (u16, String) {
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/kv-key") => self.read(&req.query("Key")),
            ("GET", "/kv-range") => self.range(&req.query("Prefix"), &req.query("After")),
            ("GET", "/kv-watch") => self.watch(req),
            ("POST", "/kv-txn") => self.transact(&Json::parse(&req.body)),
            ("POST", "/kv-lease") => self.grant(&Json::parse(&req.body)),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(&path[9..]),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path[14..].parse().unwrap_or(0);
                self.state.0.lock().unwrap().end_lease(lease);
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(&self, key: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let rows = state.items.iter();
        let rows = rows.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let rows: Vec<String> = rows.map(|(key, item)| item_json(key, item)).collect();
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"AsOf\":{}}}",
            rows.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, req: &Request) -> (u16, String) {
        let prefix = req.query("Prefix");
        let after: u64 = req.query("After").parse().unwrap_or(0);
        let wait: u64 = req.query("WaitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let changes =
                changes.filter(|row| row.revision > after && row.key.starts_with(&prefix));
            let events: Vec<String> = changes
                .map(|row| match &row.item {
                    Some(item) => item_json(&row.key, item),
                    None => format!(
                        "{{\"Key\":{},\"Revision\":{},\"Removed\":true}}",
                        quote(&row.key),
                        row.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = format!(
                    "{{\"events\":[{}],\"AsOf\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let holds = body.get("Expected").list().iter().all(|row| {
            let revision = state
                .items
                .get(row.get("Key").text())
                .map_or(0, |item| item.revision);
            row.get("Revision").u64() == Some(revision)
        });
        if !holds {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = body.get("Puts").list();
        let leases = puts.iter().map(|put| put.get("Lease").u64().unwrap_or(0));
        if leases
            .into_iter()
            .any(|lease| lease != 0 && !state.leases.contains_key(&lease))
        {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let lease = put.get("Lease").u64().unwrap_or(0);
            state.put(
                put.get("Key").text(),
                put.get("Value").text().to_owned(),
                lease,
            );
        }
        for key in body.get("Remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, format!("{{\"Revision\":{revision}}}"))
    }

    fn grant(&self, body: &Json) -> (u16, String) {
        let ttl_ms = body.get("TtlMs").u64().unwrap_or(1_000).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.state.0.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        (200, format!("{{\"Lease\":{lease},\"TtlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, number: &str) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let row = number
            .parse()
            .ok()
            .and_then(|lease: u64| state.leases.get_mut(&lease));
        let Some((ttl, until)) = row else {
            return (404, "{}".to_owned());
        };
        *until = Instant::now() + *ttl;
        (200, format!("{{\"TtlMs\":{}}}", ttl.as_millis()))
    }
}
