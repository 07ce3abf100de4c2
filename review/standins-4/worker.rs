//! Stand-in for an executor, by its published protocol: leases, fencing tokens, run numbers, room.

use crate::http::{self, Reply, Request};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum of a lease.
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes.
const STOP_MS: u64 = 10;
/// Interval of the entries in the store.
const HEARTBEAT_MS: u64 = 1_500;

/// What an executor is like.
#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub zone: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    number: u64,
    ends_ms: u64,
    /// Time at which a stop ends it.
    stops_ms: Option<u64>,
}

struct State {
    began: Instant,
    born: u64,
    token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    seq: u64,
    state: &'static str,
}

#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub kind: Kind,
    pub address: SocketAddr,
    /// Address in the registry, which may be that of a proxy.
    shared: Arc<(Mutex<State>, Condvar)>,
    registered: Arc<AtomicBool>,
    record: Record,
}

impl State {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            began: Instant::now(),
            born: born.as_millis() as u64,
            token: 0,
            lease_end_ms: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            finished: Vec::new(),
            last_end: 0,
            seq: 0,
            state: "ready",
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }

    fn extend(&mut self, deadline_ms: u64) {
        let limit = self.clock_ms() + MAX_HOLD_MS;
        self.lease_end_ms = self.lease_end_ms.max(deadline_ms.min(limit));
    }

    fn end(&mut self, task: &str, how: &'static str) {
        if let Some(run) = self.running.remove(task) {
            self.last_end += 1;
            self.finished.push((self.last_end, task.to_owned(), run.number, how));
            let closed = self.closed.entry(task.to_owned()).or_default();
            *closed = run.number.max(*closed);
        }
    }
}

/// Returns how long a task takes: its job's `Spec` lists the milliseconds of a task of each step.
fn duration_ms(spec: &str, task: &str) -> u64 {
    let step = task.split('.').nth(2).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut times = spec.split_whitespace().filter_map(|text| text.parse().ok());
    times.nth(step).unwrap_or(200)
}

impl Worker {
    pub fn start(name: &str, ip: Ipv4Addr, kind: Kind, store: &Store, record: &Record) -> Self {
        let worker = Self {
            name: name.to_owned(),
            kind,
            address: SocketAddr::from((ip, 0)),
            shared: Arc::new((Mutex::new(State::new()), Condvar::new())),
            registered: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
        };
        let handler = worker.clone();
        let address = http::serve(worker.address, move |req| Some(handler.handle(&req)));
        let worker = Self { address, ..worker };
        let clock = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(2));
                clock.end_due_runs();
            }
        });
        let (writer, store) = (worker.clone(), store.clone());
        std::thread::spawn(move || {
            while writer.registered.load(Ordering::Relaxed) {
                writer.register(&store);
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        worker
    }

    fn register(&self, store: &Store) {
        let mut state = self.shared.0.lock().expect("no panic");
        state.seq += 1;
        let Kind { service, zone, cpu, mem_mb } = &self.kind;
        let entry = format!(
            r#"{{"Service":"{service}","Addr":"{}","Zone":"{zone}","Version":"v1","Slots":8,"State":"{}","ColdLeftMs":0,"Capacity":{{"Cpu":{cpu},"MemMb":{mem_mb},"Gpu":0}},"Labels":["a","r-{zone}"],"ClockMs":{},"Seq":{},"born":{}}}"#,
            self.address,
            state.state,
            state.clock_ms(),
            state.seq,
            state.born,
        );
        drop(state);
        store.write(&format!("servers/{}", self.name), &entry);
    }

    fn end_due_runs(&self) {
        let mut state = self.shared.0.lock().expect("no panic");
        let now = state.clock_ms();
        let has_lapsed = now >= state.lease_end_ms;
        let due = state.running.iter().filter_map(|(task, run)| {
            let is_stopped = run.stops_ms.is_some_and(|at| now >= at);
            let how = if is_stopped {
                "stopped"
            } else if now >= run.ends_ms {
                "done"
            } else if has_lapsed {
                "lapsed"
            } else {
                return None;
            };
            Some((task.clone(), run.number, how))
        });
        let due: Vec<(String, u64, &'static str)> = due.collect();
        for (task, number, how) in due {
            state.end(&task, how);
            self.record.event(&self.name, &task, number, how);
            self.shared.1.notify_all();
        }
    }

    fn handle(&self, req: &Request) -> Reply {
        let expected = req.headers.get("x-expected-instance");
        if expected.is_some_and(|name| *name != self.name) {
            return Reply::new(421, "{}");
        }
        let Some(body) = Json::parse(&req.body) else {
            return Reply::new(400, "{}");
        };
        let mut state = self.shared.0.lock().expect("no panic");
        let refuse = |state: &State, reason: &str| {
            Reply::new(409, format!(r#"{{"ClockMs":{},"Reason":"{reason}"}}"#, state.clock_ms()))
        };
        let token = body.get("FencingToken").whole().unwrap_or(0);
        if token < state.token {
            return refuse(&state, "fence");
        }
        state.token = token;
        let deadline_ms = body.get("DeadlineMs").whole();
        let task = body.get("Task").text().to_owned();
        let number = body.get("Run").whole().unwrap_or(0);
        match req.path.as_str() {
            "/run-start" => {
                let is_there = state.running.get(&task).is_some_and(|run| run.number == number);
                if is_there {
                    return Reply::new(200, format!(r#"{{"ClockMs":{}}}"#, state.clock_ms()));
                }
                let now = state.clock_ms();
                if deadline_ms.is_none_or(|at| at <= now) && state.lease_end_ms <= now {
                    return refuse(&state, "late");
                }
                state.extend(deadline_ms.unwrap_or(0));
                if state.closed.get(&task).is_some_and(|&closed| number <= closed)
                    || state.running.contains_key(&task)
                {
                    return refuse(&state, "old");
                }
                let ends_ms = now + duration_ms(body.get("Spec").text(), &task);
                state.running.insert(task.clone(), Run { number, ends_ms, stops_ms: None });
                self.record.event(&self.name, &task, number, "started");
                Reply::new(200, format!(r#"{{"ClockMs":{now}}}"#))
            }
            "/run-stop" => {
                let at = state.clock_ms() + STOP_MS;
                match state.running.get_mut(&task).filter(|run| run.number <= number) {
                    Some(run) => run.stops_ms = run.stops_ms.or(Some(at)),
                    None => {
                        let closed = state.closed.entry(task).or_default();
                        *closed = number.max(*closed);
                    }
                }
                Reply::new(200, format!(r#"{{"ClockMs":{}}}"#, state.clock_ms()))
            }
            "/hold" => {
                let last_seen = body.get("LastSeen").whole().unwrap_or(0);
                state.finished.retain(|(end, ..)| *end > last_seen);
                state.extend(deadline_ms.unwrap_or(0));
                let wait_ms = body.get("WaitMs").whole().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if !state.finished.is_empty() || left.is_zero() {
                        return Reply::new(200, Self::lists(&state));
                    }
                    state = self.shared.1.wait_timeout(state, left).expect("no panic").0;
                }
            }
            _ => Reply::new(400, "{}"),
        }
    }

    fn lists(state: &State) -> String {
        let running = state.running.iter().map(|(task, run)| {
            format!(r#"[{},{},"",100,0]"#, quoted(task), run.number)
        });
        let running: Vec<String> = running.collect();
        let finished = state.finished.iter().take(500);
        let finished = finished.map(|(end, task, number, how)| {
            format!(r#"[{end},{},{number},"{how}",""]"#, quoted(task))
        });
        let finished: Vec<String> = finished.collect();
        format!(
            r#"{{"ClockMs":{},"born":{},"RunningCount":[{}],"Finished":[{}]}}"#,
            state.clock_ms(),
            state.born,
            running.join(","),
            finished.join(",")
        )
    }
}
