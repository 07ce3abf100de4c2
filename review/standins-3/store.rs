//! A stand-in for the platform's store, by the users' protocol: linearizable, loses nothing.

use crate::http::{Request, Response, serve};
use crate::json::{Json, quote};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Interval at which ended leases are noticed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Texts of all changes by revision and key.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, Lease>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |old| old.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let text = item_text(key, &item);
        self.history.push((revision, key.to_owned(), text));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let text = format!(
                "{{\"Key\":{},\"Revision\":{revision},\"Removed\":true}}",
                quote(key)
            );
            self.history.push((revision, key.to_owned(), text));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.ends_at > now);
        let leases = &self.leases;
        let is_over = |item: &Item| item.lease != 0 && !leases.contains_key(&item.lease);
        let items = self.items.iter();
        let over = items.filter(|(_, item)| is_over(item));
        let over: Vec<String> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            self.remove(&key);
        }
    }

    fn commit(&mut self, body: &Json) -> Response {
        let expected = body.list("Expected").iter();
        let unmet = expected.filter(|row| {
            let item = self.items.get(row.text("Key"));
            item.map_or(0, |item| item.revision) != row.int("Revision")
        });
        if unmet.count() > 0 {
            let keys = body.list("Expected").iter().map(|row| row.text("Key"));
            let items = keys.filter_map(|key| Some(item_text(key, self.items.get(key)?)));
            let items = items.collect::<Vec<_>>().join(",");
            return Response::new(412, format!("{{\"items\":[{items}]}}"));
        }
        let is_unknown = |lease: u64| lease != 0 && !self.leases.contains_key(&lease);
        if body
            .list("Puts")
            .iter()
            .any(|put| is_unknown(put.int("Lease")))
        {
            return Response::new(404, "{}");
        }
        for put in body.list("Puts") {
            let value = from_base64(put.text("Value"));
            self.put(put.text("Key"), value, put.int("Lease"));
        }
        for key in body.list("Remove") {
            if let Json::Text(key) = key {
                self.remove(key);
            }
        }
        Response::new(200, format!("{{\"Revision\":{}}}", self.revision))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":{},\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store. Clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared: Arc<Shared> = Arc::default();
        let serving = Arc::clone(&shared);
        serve(listener, move |request| serving.respond(request));
        let checked = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LEASE_CHECK_INTERVAL);
                checked.lock().end_leases();
                checked.changed.notify_all();
            }
        });
        Ok(Self { shared, address })
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a key without a lease, as the operator, an executor or another writer does.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.lock().put(key, value.as_bytes().to_vec(), 0);
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the state")
    }

    fn respond(&self, request: &Request) -> Response {
        let route = request.route();
        let number = |name| request.query(name).parse().unwrap_or_default();
        match (request.method.as_str(), route) {
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(number("WaitMs")).min(MAX_WATCH_WAIT);
                self.watch(request.query("Prefix"), number("After"), wait)
            }
            ("POST", "/kv-txn") => {
                let Some(body) = Json::parse(&request.body) else {
                    return Response::new(400, "{}");
                };
                let response = self.lock().commit(&body);
                self.changed.notify_all();
                response
            }
            ("POST", "/kv-lease") => self.grant(request),
            ("POST", _) if route.starts_with("/kv-keep/") => self.keep(route),
            _ => Response::new(404, "{}"),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let (prefix, after) = (request.query("Prefix"), request.query("After"));
        let state = self.lock();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
        let (items, as_of) = (items.join(","), state.revision);
        let body = format!("{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{as_of}}}");
        Response::new(200, body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let changes = state.history.iter();
            let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let changes: Vec<&str> = changes.map(|(_, _, text)| text.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (events, as_of) = (changes.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"AsOf\":{as_of}}}");
                return Response::new(200, body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("the state").0;
        }
    }

    fn grant(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body);
        let ttl_ms = body.map_or(0, |body| body.int("TtlMs")).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.lock();
        state.revision += 1;
        let number = state.revision;
        let ends_at = Instant::now() + ttl;
        state.leases.insert(number, Lease { ttl, ends_at });
        Response::new(200, format!("{{\"Lease\":{number},\"TtlMs\":{ttl_ms}}}"))
    }

    fn keep(&self, route: &str) -> Response {
        let number = route.rsplit('/').next().and_then(|text| text.parse().ok());
        let mut state = self.lock();
        let lease = number.and_then(|number: u64| state.leases.get_mut(&number));
        let Some(lease) = lease else {
            return Response::new(404, "{}");
        };
        lease.ends_at = Instant::now() + lease.ttl;
        Response::new(200, format!("{{\"TtlMs\":{}}}", lease.ttl.as_millis()))
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            if place > chunk.len() {
                out.push('=');
            } else {
                let digit = bits >> (18 - 6 * place) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    out
}

fn from_base64(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes().filter(|&byte| byte != b'=') {
        let digit = DIGITS.iter().position(|&digit| digit == byte).unwrap_or(0);
        bits = bits << 6 | u32::try_from(digit).unwrap_or(0);
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count & 255) as u8);
        }
    }
    out
}
