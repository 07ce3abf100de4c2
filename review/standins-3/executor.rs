//! A stand-in for an executor that guards its capacity, by the users' protocol: fencing tokens, leases
//! on its own steady clock, run numbers, and ends that stay listed until they are taken note of.

use crate::http::{Request, Response, serve};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which an executor writes its entry in the store, `HeartbeatMs` of the settings.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest lease that an executor grants, `MaxHoldMs` of the settings.
const MAX_HOLD_MS: u64 = 1_000;
/// Longest wait of a call for an end.
const MAX_WAIT: Duration = Duration::from_millis(2_000);
/// Interval at which ended tasks and leases are noticed.
const TICK: Duration = Duration::from_millis(2);

/// What is fixed about an executor.
#[derive(Clone, Debug)]
pub struct Shape {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    /// Its kind and its rack.
    pub labels: [&'static str; 2],
    /// Capacity, in thousandths of a core.
    pub cpu: u64,
}

/// A run that was started.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub executor: &'static str,
    pub began: Instant,
    /// `None` while it runs.
    pub ended: Option<Instant>,
    pub how: &'static str,
}

#[derive(Debug)]
struct Active {
    number: u64,
    cpu: u64,
    ends_at: Instant,
    how: &'static str,
    /// Position in the list of all runs.
    position: usize,
}

#[derive(Debug)]
struct State {
    booted: Instant,
    token: u64,
    lease_end_ms: u64,
    active: BTreeMap<String, Active>,
    /// Numbers, tasks, runs and kinds of the ends that are listed.
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that ended or was stopped here.
    closed: BTreeMap<String, u64>,
    runs: Vec<Run>,
    beats: u64,
    state: &'static str,
}

#[derive(Debug)]
struct Shared {
    shape: Shape,
    born: u128,
    state: Mutex<State>,
    ended: Condvar,
    record: Record,
}

/// A running executor. Clones share it.
#[derive(Clone, Debug)]
pub struct Executor {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Executor {
    /// Starts an executor on a free port, which registers itself in the store from now on.
    pub fn start(shape: Shape, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            shape,
            born: since_epoch.expect("a time of day").as_millis(),
            state: Mutex::new(State {
                booted: Instant::now(),
                token: 0,
                lease_end_ms: 0,
                active: BTreeMap::new(),
                ends: Vec::new(),
                last_end: 0,
                closed: BTreeMap::new(),
                runs: Vec::new(),
                beats: 0,
                state: "ready",
            }),
            ended: Condvar::new(),
            record: record.clone(),
        });
        let serving = Arc::clone(&shared);
        serve(listener, move |request| serving.respond(request));
        let ticking = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.advance(&mut ticking.lock());
            }
        });
        let executor = Self { shared, address };
        let (beating, store) = (executor.clone(), store.clone());
        beating.beat(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT_INTERVAL);
                beating.beat(&store);
            }
        });
        Ok(executor)
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn id(&self) -> &'static str {
        self.shared.shape.id
    }

    /// Returns the key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id())
    }

    pub fn has_label(&self, label: &str) -> bool {
        self.shared.shape.labels.contains(&label)
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.lock().runs.clone()
    }

    /// Writes its entry, as each executor does from time to time.
    fn beat(&self, store: &Store) {
        let mut state = self.shared.lock();
        state.beats += 1;
        let entry = self.entry(&state);
        drop(state);
        store.put(&self.key(), &entry);
    }

    /// Waits until it has written its entry.
    pub fn wait_beat(&self) {
        let beats = self.shared.lock().beats;
        while self.shared.lock().beats == beats {
            std::thread::sleep(TICK);
        }
        std::thread::sleep(TICK);
    }

    fn entry(&self, state: &State) -> String {
        let Shape {
            service,
            zone,
            labels: [kind, rack],
            cpu,
            ..
        } = self.shared.shape;
        format!(
            "{{\"Service\":{},\"Addr\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":8,\
             \"State\":\"{}\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":{cpu},\"MemMb\":65536,\
             \"Gpu\":0}},\"Labels\":[{},{}],\"ClockMs\":{},\"Seq\":{},\"born\":{}}}",
            quote(service),
            self.address,
            quote(zone),
            state.state,
            quote(kind),
            quote(rack),
            state.clock_ms(),
            state.beats,
            self.shared.born
        )
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.booted.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn lease_end(&self) -> Instant {
        self.booted + Duration::from_millis(self.lease_end_ms)
    }

    fn used_cpu(&self) -> u64 {
        self.active.values().map(|run| run.cpu).sum()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the state")
    }

    /// Ends the runs that are over, by themselves or with the lease.
    fn advance(&self, state: &mut State) {
        let (now, lapse) = (Instant::now(), state.lease_end());
        let active = state.active.iter();
        let over = active.filter(|(_, run)| run.ends_at.min(lapse) <= now);
        let over: Vec<String> = over.map(|(task, _)| task.clone()).collect();
        if over.is_empty() {
            return;
        }
        for task in over {
            let Some(run) = state.active.remove(&task) else {
                continue;
            };
            let how = if run.ends_at <= lapse {
                run.how
            } else {
                "lapsed"
            };
            let at = run.ends_at.min(lapse);
            state.runs[run.position].ended = Some(at);
            state.runs[run.position].how = how;
            state.last_end += 1;
            let number = state.last_end;
            state.closed.insert(task.clone(), run.number);
            let (id, run) = (self.shape.id, run.number);
            self.record
                .line(&format!("{id}: run {run} of {task} ended {how}"));
            state.ends.push((number, task, run, how));
        }
        self.ended.notify_all();
    }

    fn respond(&self, request: &Request) -> Response {
        if request.method == "GET" {
            return Response::new(200, "{}");
        }
        let meant = request.header("X-Expected-Instance");
        if !meant.is_empty() && meant != self.shape.id {
            return Response::new(421, "{}");
        }
        let Some(body) = Json::parse(&request.body) else {
            return Response::new(400, "{}");
        };
        let mut state = self.lock();
        self.advance(&mut state);
        let token = body.int("FencingToken");
        if token < state.token {
            return refuse(&state, "fence");
        }
        state.token = token;
        match request.route() {
            "/run-start" => self.start(&mut state, &body),
            "/run-stop" => self.stop(&mut state, &body),
            "/hold" => self.hold(state, &body),
            _ => Response::new(404, "{}"),
        }
    }

    fn start(&self, state: &mut State, body: &Json) -> Response {
        extend_lease(state, body);
        if state.lease_end() <= Instant::now() {
            return refuse(state, "late");
        }
        let (task, number) = (body.text("Task").to_owned(), body.int("Run"));
        if state
            .active
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return accept(state);
        }
        let is_old = state.closed.get(&task).is_some_and(|&old| number <= old);
        if is_old || state.active.contains_key(&task) {
            return refuse(state, "old");
        }
        let work = Work::parse(body.text("Spec"));
        if state.used_cpu() + work.cpu > self.shape.cpu {
            return refuse(state, "room");
        }
        let began = Instant::now();
        let position = state.runs.len();
        state.runs.push(Run {
            task: task.clone(),
            number,
            executor: self.shape.id,
            began,
            ended: None,
            how: "running",
        });
        let id = self.shape.id;
        self.record
            .line(&format!("{id}: run {number} of {task} began"));
        let run = Active {
            number,
            cpu: work.cpu,
            ends_at: began + work.time,
            how: "done",
            position,
        };
        state.active.insert(task, run);
        accept(state)
    }

    fn stop(&self, state: &mut State, body: &Json) -> Response {
        let (task, number) = (body.text("Task"), body.int("Run"));
        if let Some(run) = state.active.get_mut(task)
            && run.number <= number
        {
            run.ends_at = Instant::now();
            run.how = "stopped";
        }
        let closed = state.closed.entry(task.to_owned()).or_default();
        *closed = number.max(*closed);
        self.advance(state);
        accept(state)
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Response {
        extend_lease(&mut state, body);
        let seen = body.int("LastSeen");
        state.ends.retain(|(number, ..)| *number > seen);
        let wait = Duration::from_millis(body.int("WaitMs")).min(MAX_WAIT);
        let until = Instant::now() + wait;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                return self.list(&state);
            }
            state = self.ended.wait_timeout(state, left).expect("the state").0;
        }
    }

    fn list(&self, state: &State) -> Response {
        let running = state.active.iter();
        let running =
            running.map(|(task, run)| format!("[{},{},\"\",40]", quote(task), run.number));
        let running = running.collect::<Vec<_>>().join(",");
        let ends = state.ends.iter().take(500);
        let ends = ends.map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quote(task))
        });
        let ends = ends.collect::<Vec<_>>().join(",");
        Response::new(
            200,
            format!(
                "{{\"ClockMs\":{},\"RunningCount\":[{running}],\"Finished\":[{ends}],\"born\":{}}}",
                state.clock_ms(),
                self.born
            ),
        )
    }
}

/// What the tasks of a job do, which the clients of the cases write into its text.
struct Work {
    time: Duration,
    cpu: u64,
}

impl Work {
    /// Reads a text like `900 ms on 6800`.
    fn parse(text: &str) -> Self {
        let mut numbers = text.split(' ').filter_map(|word| word.parse().ok());
        Self {
            time: Duration::from_millis(numbers.next().unwrap_or(0)),
            cpu: numbers.next().unwrap_or(0),
        }
    }
}

fn extend_lease(state: &mut State, body: &Json) {
    let asked = body.int("DeadlineMs");
    let longest = state.clock_ms() + MAX_HOLD_MS;
    state.lease_end_ms = state.lease_end_ms.max(asked.min(longest));
}

fn refuse(state: &State, reason: &str) -> Response {
    let clock = state.clock_ms();
    Response::new(
        409,
        format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"),
    )
}

fn accept(state: &State) -> Response {
    Response::new(200, format!("{{\"ClockMs\":{}}}", state.clock_ms()))
}
