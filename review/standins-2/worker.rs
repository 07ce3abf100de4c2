//! Stand-in of an executor.
//!
//! A task takes what the `Spec` of its job says: `ms=A,B` gives the run time of the tasks of each step.

use crate::http::{Request, read_request, write_response};
use crate::json::{Json, quote};
use crate::record::{note, now_ms};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Longest lease that is granted (`MaxHoldMs`).
const MAX_LEASE_MS: u64 = 1_000;

/// A run, as the executor knows it.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub worker: String,
    pub task: String,
    pub run: u64,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

struct Running {
    run: u64,
    work: Duration,
    began: Instant,
    record: usize,
}

struct Finished {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    running: BTreeMap<String, Running>,
    finished: Vec<Finished>,
    ends: u64,
    /// Highest run that ended or was stopped, by task.
    closed: BTreeMap<String, u64>,
    token: u64,
    lease_end_ms: u64,
    records: Vec<RunRecord>,
    is_cut: bool,
    /// Whether the next order to start is carried out late.
    is_late: bool,
    /// An order to start that got no answer and was not carried out.
    withheld: Option<Request>,
    idle_closes: u64,
    /// Number of listeners that were closed.
    generation: u64,
    crashes: u64,
}

/// How the server of an executor treats connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Server {
    /// Time after which an idle connection is closed in order; none if `None`.
    pub idle_timeout: Option<Duration>,
}

/// An executor. Clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Unix time of the start of the present boot.
    born_ms: Arc<AtomicU64>,
    /// Time of the same on the clock of `began`.
    boot_ms: Arc<AtomicU64>,
    began: Instant,
    server: Server,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    pub fn start(id: &str, zone: &str, server: Server) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            born_ms: Arc::new(AtomicU64::new(unix_ms())),
            boot_ms: Arc::default(),
            began: Instant::now(),
            server,
            state: Arc::default(),
        };
        worker.listen(listener);
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(2));
                ticking.tick();
            }
        });
        worker
    }

    /// Returns the entry that the executor registers in the store.
    pub fn entry(&self, service: &str) -> String {
        format!(
            "{{\"Service\":{},\"Addr\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":16000,\"MemMb\":65536,\"Gpu\":0}},\"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":{},\"Seq\":1,\"born\":{}}}",
            quote(service),
            self.address,
            quote(&self.zone),
            self.clock_ms(),
            self.born_ms.load(Ordering::Relaxed)
        )
    }

    pub fn records(&self) -> Vec<RunRecord> {
        self.state.0.lock().unwrap().records.clone()
    }

    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running.len()
    }

    /// Returns the number of connections that the executor has closed.
    pub fn idle_closes(&self) -> u64 {
        self.state.0.lock().unwrap().idle_closes
    }

    /// Cuts the executor off: open connections go silent and new ones are refused.
    pub fn cut(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.is_cut = true;
        state.generation += 1;
        drop(state);
        // Wakes the accepting thread, which then closes the listener.
        drop(TcpStream::connect(self.address));
        note(format!(
            "{} is cut off: new connections are refused",
            self.id
        ));
    }

    /// Ends the cut.
    pub fn heal(&self) {
        let listener = TcpListener::bind(self.address).expect("its address again");
        self.state.0.lock().unwrap().is_cut = false;
        self.state.1.notify_all();
        self.listen(listener);
        note(format!("{} is reachable again", self.id));
    }

    /// Leaves the next order to start unanswered, to be carried out later.
    pub fn withhold_start(&self) {
        self.state.0.lock().unwrap().is_late = true;
    }

    /// Returns the task of the order that was left unanswered.
    pub fn withheld(&self) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let req = state.withheld.as_ref()?;
        Some(Json::parse(&req.body).get("Task").text().to_owned())
    }

    /// Crashes without a word, and starts again under its id after `down`. Its open connections go silent.
    /// Then it carries out the order that was left unanswered.
    pub fn crash(&self, down: Duration) {
        let mut state = self.state.0.lock().unwrap();
        note(format!("{} crashes without a word", self.id));
        state.generation += 1;
        state.crashes += 1;
        let state_now = &mut *state;
        for (_, row) in std::mem::take(&mut state_now.running) {
            let record = &mut state_now.records[row.record];
            record.ended_ms = Some(now_ms());
            record.how = "crashed";
        }
        state.finished.clear();
        state.closed.clear();
        (state.ends, state.token, state.lease_end_ms) = (0, 0, 0);
        state.is_cut = true;
        drop(state);
        drop(TcpStream::connect(self.address));
        std::thread::sleep(down);
        let listener = TcpListener::bind(self.address).expect("its address again");
        let boot_ms = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0);
        self.boot_ms.store(boot_ms, Ordering::Relaxed);
        self.born_ms.store(unix_ms(), Ordering::Relaxed);
        let mut state = self.state.0.lock().unwrap();
        state.is_cut = false;
        let withheld = state.withheld.take();
        drop(state);
        note(format!("{} is up again", self.id));
        self.state.1.notify_all();
        if let Some(req) = withheld {
            let (status, body) = self.handle(&req);
            note(format!(
                "{} carries out an order late: {} answers {status} {body}",
                self.id, req.body
            ));
        }
        self.listen(listener);
    }

    fn listen(&self, listener: TcpListener) {
        let worker = self.clone();
        let generation = self.state.0.lock().unwrap().generation;
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if worker.state.0.lock().unwrap().generation != generation {
                    return;
                }
                let worker = worker.clone();
                std::thread::spawn(move || worker.converse(stream));
            }
        });
    }

    fn converse(&self, stream: TcpStream) {
        let generation = self.state.0.lock().unwrap().crashes;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(self.server.idle_timeout);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut served = 0;
        loop {
            let Some(req) = read_request(&mut reader) else {
                self.wait_uncut();
                if self.server.idle_timeout.is_some() {
                    self.state.0.lock().unwrap().idle_closes += 1;
                    note(format!(
                        "{} ends a connection in order after {served} requests",
                        self.id
                    ));
                }
                return;
            };
            self.wait_uncut();
            if !self.is_current(generation) || self.withholds(&req) {
                // Silent for good.
                std::thread::sleep(Duration::from_secs(10));
                return;
            }
            let (status, body) = self.handle(&req);
            self.wait_uncut();
            if !self.is_current(generation) {
                std::thread::sleep(Duration::from_secs(10));
                return;
            }
            served += 1;
            if write_response(&mut out, status, &body).is_err() {
                return;
            }
        }
    }

    /// Returns whether the executor has not crashed since a connection was opened.
    fn is_current(&self, generation: u64) -> bool {
        self.state.0.lock().unwrap().crashes == generation
    }

    /// Returns whether a request is left unanswered, to be carried out later.
    fn withholds(&self, req: &Request) -> bool {
        let mut state = self.state.0.lock().unwrap();
        if req.path != "/run-start" || !std::mem::take(&mut state.is_late) {
            return false;
        }
        note(format!(
            "{} leaves an order unanswered: {}",
            self.id, req.body
        ));
        state.withheld = Some(req.clone());
        true
    }

    /// Waits while the executor is cut off: bytes of either direction do not arrive until then.
    fn wait_uncut(&self) {
        let mut state = self.state.0.lock().unwrap();
        while state.is_cut {
            state = self.state.1.wait(state).unwrap();
        }
    }

    fn clock_ms(&self) -> u64 {
        let now_ms = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0);
        1_000 + now_ms - self.boot_ms.load(Ordering::Relaxed)
    }

    fn tick(&self) {
        let clock_ms = self.clock_ms();
        let mut state = self.state.0.lock().unwrap();
        let has_lapsed = state.lease_end_ms <= clock_ms;
        let rows = state.running.iter();
        let ended: Vec<(String, &'static str)> = rows
            .filter_map(|(task, row)| {
                if row.began.elapsed() >= row.work {
                    Some((task.clone(), "done"))
                } else {
                    has_lapsed.then(|| (task.clone(), "lapsed"))
                }
            })
            .collect();
        for (task, how) in &ended {
            self.end(&mut state, task, how);
        }
        drop(state);
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(row) = state.running.remove(task) else {
            return;
        };
        state.ends += 1;
        let number = state.ends;
        state.finished.push(Finished {
            number,
            task: task.to_owned(),
            run: row.run,
            how,
        });
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = row.run.max(*closed);
        let record = &mut state.records[row.record];
        record.ended_ms = Some(now_ms());
        record.how = how;
        note(format!("{}: run {} of {task} ends {how}", self.id, row.run));
    }

    fn handle(&self, req: &Request) -> (u16, String) {
        if req.method == "GET" {
            return (200, "{}".to_owned());
        }
        if req.header("x-expected-instance") != self.id {
            return (421, "{}".to_owned());
        }
        let body = Json::parse(&req.body);
        let token = body.get("FencingToken").u64().unwrap_or(0);
        let mut state = self.state.0.lock().unwrap();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        drop(state);
        match req.path.as_str() {
            "/run-start" => self.begin(&body),
            "/run-stop" => self.stop(&body),
            "/hold" => self.hold(&body),
            _ => (400, "{}".to_owned()),
        }
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(
                "{{\"ClockMs\":{},\"Reason\":\"{reason}\"}}",
                self.clock_ms()
            ),
        )
    }

    fn accepted(&self) -> (u16, String) {
        (200, format!("{{\"ClockMs\":{}}}", self.clock_ms()))
    }

    fn extend_lease(&self, state: &mut State, body: &Json) {
        if let Some(end_ms) = body.get("DeadlineMs").u64() {
            let end_ms = end_ms.min(self.clock_ms() + MAX_LEASE_MS);
            state.lease_end_ms = state.lease_end_ms.max(end_ms);
        }
    }

    fn begin(&self, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("Task").text(), body.get("Run").u64().unwrap_or(0));
        let spec = body.get("Spec").text();
        let mut state = self.state.0.lock().unwrap();
        if state.running.get(task).is_some_and(|row| row.run == run) {
            self.extend_lease(&mut state, body);
            return self.accepted();
        }
        if state.closed.get(task).is_some_and(|closed| run <= *closed)
            || state.running.contains_key(task)
        {
            self.extend_lease(&mut state, body);
            return self.refuse("old");
        }
        if body.get("DeadlineMs").u64().unwrap_or(0) <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend_lease(&mut state, body);
        // Each task of these scripts asks for 6.8 of 16 cores.
        if state.running.len() >= 2 {
            return self.refuse("room");
        }
        let record = state.records.len();
        state.records.push(RunRecord {
            worker: self.id.clone(),
            task: task.to_owned(),
            run,
            began_ms: now_ms(),
            ended_ms: None,
            how: "",
        });
        let work = work_of(spec, task);
        state.running.insert(
            task.to_owned(),
            Running {
                run,
                work,
                began: Instant::now(),
                record,
            },
        );
        note(format!("{}: run {run} of {task} begins", self.id));
        self.accepted()
    }

    fn stop(&self, body: &Json) -> (u16, String) {
        let (task, run) = (body.get("Task").text(), body.get("Run").u64().unwrap_or(0));
        let mut state = self.state.0.lock().unwrap();
        if state.running.get(task).is_some_and(|row| row.run <= run) {
            self.end(&mut state, task, "stopped");
        }
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        drop(state);
        self.state.1.notify_all();
        self.accepted()
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let token = body.get("FencingToken").u64().unwrap_or(0);
        let last_seen = body.get("LastSeen").u64().unwrap_or(0);
        let wait = Duration::from_millis(body.get("WaitMs").u64().unwrap_or(0).min(2_000));
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        self.extend_lease(&mut state, body);
        state.finished.retain(|row| row.number > last_seen);
        while state.finished.is_empty() {
            let now = Instant::now();
            if now >= end {
                break;
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
        if token < state.token {
            return self.refuse("fence");
        }
        let running = state.running.iter().map(|(task, row)| {
            let percent = row.began.elapsed().as_millis() * 100 / row.work.as_millis().max(1);
            format!("[{},{},\"\",{},0]", quote(task), row.run, percent.min(99))
        });
        let running: Vec<String> = running.collect();
        let finished = state.finished.iter().take(500).map(|row| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                row.number,
                quote(&row.task),
                row.run,
                row.how
            )
        });
        let finished: Vec<String> = finished.collect();
        let body = format!(
            "{{\"ClockMs\":{},\"born\":{},\"RunningCount\":[{}],\"Finished\":[{}]}}",
            self.clock_ms(),
            self.born_ms.load(Ordering::Relaxed),
            running.join(","),
            finished.join(",")
        );
        (200, body)
    }
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.expect("a time after 1970").as_millis()).unwrap_or(0)
}

/// Returns the run time of a task, from the `Spec` of its job and the step in its name.
fn work_of(spec: &str, task: &str) -> Duration {
    let step: usize = task
        .split('.')
        .nth(2)
        .and_then(|step| step.parse().ok())
        .unwrap_or(0);
    let times = spec.split_once("ms=").map_or("", |(_, times)| times);
    let times = times.split(' ').next().unwrap_or_default().split(',');
    let times: Vec<u64> = times.filter_map(|ms| ms.parse().ok()).collect();
    Duration::from_millis(times.get(step).or(times.last()).copied().unwrap_or(100))
}
