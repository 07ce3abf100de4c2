//! Executor stand-in: simulates running tasks in slots and counts every start.
//!
//! | request | meaning |
//! |---|---|
//! | `POST /v1/start` | runs one task; responds when it has ended |
//! | `POST /v1/abort` | ends a running attempt |
//! | `GET /v1/counts` | returns the counted starts and the slot time per customer |
//! | `PUT /v1/faults` | sets the fault switches |
//!
//! A task's payload may contain `run_ms`, its run time at speed 1, `fail`, whose presence makes the
//! task fail, and `echo`, which is returned in the result.

use crate::http::{StandInServer, respond};
use cardamomslip::http::Exchange;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Configuration of an executor stand-in.
#[derive(Clone, Debug)]
pub struct ExecutorConfig {
    /// Name in the VM list.
    pub name: String,
    /// Address to listen on, as `IP:PORT`.
    pub listen: String,
    /// Number of slots.
    pub slots: u16,
    /// Speed relative to the reference machine: a task runs for its `run_ms` divided by this.
    pub speed: f64,
}

/// Fault switches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExecutorFaults {
    /// Every task that is started fails at once.
    pub fail_all: bool,
    /// Tasks run and are counted, but start requests never get a response.
    pub silent: bool,
    /// New starts are refused with the reason `leaving`.
    pub leaving: bool,
}

/// Counts of an executor stand-in since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorCounts {
    /// Started tasks.
    pub starts: u64,
    /// Starts refused with the reason `busy` or `leaving`.
    pub refused: u64,
    /// Starts refused with the reason `leaving`.
    pub refused_leaving: u64,
    /// Number of starts per task, by `job/index`. Tasks of repeatable jobs are not included, as
    /// they may be started again.
    pub starts_by_task: BTreeMap<String, u32>,
    /// Slot time per customer, in microseconds.
    pub slot_us: BTreeMap<String, u64>,
}

#[derive(Debug, Deserialize)]
struct StartBody {
    job: String,
    index: u32,
    attempt: String,
    customer: String,
    slots: u16,
    #[serde(default)]
    repeatable: bool,
    payload: serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct AbortBody {
    attempt: String,
}

struct RunningTask {
    request: Option<Exchange>,
    body: StartBody,
    started: Instant,
    failed: bool,
}

impl std::fmt::Debug for RunningTask {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RunningTask")
            .field("body", &self.body)
            .finish_non_exhaustive()
    }
}

#[derive(Debug, Default)]
struct State {
    running: HashMap<u64, RunningTask>,
    by_attempt: HashMap<String, u64>,
    end_times: BinaryHeap<Reverse<(Instant, u64)>>,
    next_number: u64,
    used_slots: u16,
    faults: ExecutorFaults,
    counts: ExecutorCounts,
    closed: bool,
    /// Requests that get no response. They are kept so that their connections stay open.
    unanswered: Vec<Exchange>,
}

#[derive(Debug)]
struct Shared {
    config: ExecutorConfig,
    state: Mutex<State>,
    changed: Condvar,
}

/// An executor stand-in that runs on threads of this process.
#[derive(Debug)]
pub struct ExecutorStandIn {
    shared: Arc<Shared>,
    http: StandInServer,
    timer_thread: std::thread::JoinHandle<()>,
}

impl ExecutorStandIn {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if `config.listen` is invalid or can't be bound.
    pub fn start(config: ExecutorConfig) -> eyre::Result<Self> {
        let listen = config.listen.clone();
        let state = Mutex::new(State::default());
        let shared = Arc::new(Shared {
            config,
            state,
            changed: Condvar::new(),
        });
        let handler = Arc::clone(&shared);
        let http = StandInServer::start(&listen, move |request| handler.serve(request))?;
        let timer = Arc::clone(&shared);
        let timer_thread = std::thread::spawn(move || timer.run_timer());
        Ok(Self {
            shared,
            http,
            timer_thread,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns this executor's entry in the VM list.
    #[must_use]
    pub fn vm_list_entry(&self, data_centre: &str, state: &str) -> serde_json::Value {
        let config = &self.shared.config;
        serde_json::json!({
            "name": config.name,
            "data_centre": data_centre,
            "address": self.address().to_string(),
            "slots": config.slots,
            "speed": config.speed,
            "state": state,
        })
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, faults: ExecutorFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> ExecutorCounts {
        self.shared.lock().counts.clone()
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.lock().running.len()
    }

    /// Stops the stand-in.
    pub fn close(self) {
        self.shared.lock().closed = true;
        self.shared.changed.notify_all();
        self.http.close();
        drop(self.timer_thread.join());
    }

    /// Serves forever.
    pub fn wait(self) {
        self.http.wait();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, request: Exchange) {
        let body = request.body().unwrap_or_default().to_owned();
        match (request.method().as_str(), request.path()) {
            ("POST", "/v1/start") => match serde_json::from_str(&body) {
                Ok(start) => self.start(request, start),
                Err(_) => respond(
                    request,
                    400,
                    r#"{"status":"not_started","reason":"invalid"}"#,
                ),
            },
            ("POST", "/v1/abort") => self.abort(request, &body),
            ("GET", "/v1/counts") => {
                let counts =
                    serde_json::to_string(&self.lock().counts).expect("counts serialize to JSON");
                respond(request, 200, &counts);
            }
            ("PUT", "/v1/faults") => match serde_json::from_str(&body) {
                Ok(faults) => {
                    self.lock().faults = faults;
                    respond(request, 200, "{}");
                }
                Err(_) => respond(request, 400, "{}"),
            },
            _ => respond(request, 404, "{}"),
        }
    }

    fn start(&self, request: Exchange, body: StartBody) {
        let mut state = self.lock();
        let reason = if state.faults.leaving {
            Some("leaving")
        } else if state.used_slots + body.slots > self.config.slots {
            Some("busy")
        } else {
            None
        };
        if let Some(reason) = reason {
            state.counts.refused += 1;
            state.counts.refused_leaving += u64::from(reason == "leaving");
            drop(state);
            let body = format!(r#"{{"status":"not_started","reason":"{reason}"}}"#);
            respond(request, 409, &body);
            return;
        }
        let run_ms = body
            .payload
            .get("run_ms")
            .and_then(serde_json::Value::as_f64)
            .unwrap_or(0.0);
        let failed = state.faults.fail_all || body.payload.get("fail").is_some();
        let run_s = if state.faults.fail_all {
            0.0
        } else {
            run_ms / 1_000.0 / self.config.speed
        };
        let started = Instant::now();
        let ends_at = started + Duration::from_secs_f64(run_s.max(0.0));
        let number = state.next_number;
        state.next_number += 1;
        state.used_slots += body.slots;
        state.counts.starts += 1;
        if !body.repeatable {
            let task = format!("{}/{}", body.job, body.index);
            *state.counts.starts_by_task.entry(task).or_insert(0) += 1;
        }
        let request = if state.faults.silent {
            state.unanswered.push(request);
            None
        } else {
            Some(request)
        };
        state.by_attempt.insert(body.attempt.clone(), number);
        state.running.insert(
            number,
            RunningTask {
                request,
                body,
                started,
                failed,
            },
        );
        state.end_times.push(Reverse((ends_at, number)));
        drop(state);
        self.changed.notify_all();
    }

    fn abort(&self, request: Exchange, body: &str) {
        let attempt = serde_json::from_str::<AbortBody>(body).map(|body| body.attempt);
        let mut state = self.lock();
        let number = attempt
            .ok()
            .and_then(|attempt| state.by_attempt.get(&attempt).copied());
        let ended = number.and_then(|number| state.end_task(number));
        drop(state);
        respond(request, 200, "{}");
        if let Some((running, slot_us)) = ended {
            self.respond_with(running, slot_us, "aborted");
        }
    }

    fn run_timer(&self) {
        loop {
            let mut state = self.lock();
            if state.closed {
                return;
            }
            let now = Instant::now();
            let next = state
                .end_times
                .peek()
                .map(|Reverse((at, number))| (*at, *number));
            match next {
                Some((at, number)) if at <= now => {
                    state.end_times.pop();
                    let ended = state.end_task(number);
                    drop(state);
                    if let Some((running, slot_us)) = ended {
                        let status = if running.failed { "failed" } else { "done" };
                        self.respond_with(running, slot_us, status);
                    }
                }
                Some((at, _)) => drop(self.changed.wait_timeout(state, at - now)),
                None => drop(self.changed.wait(state)),
            }
        }
    }

    fn respond_with(&self, running: RunningTask, slot_us: u64, status: &str) {
        let Some(request) = running.request else {
            return;
        };
        let echo = running
            .body
            .payload
            .get("echo")
            .cloned()
            .unwrap_or_default();
        let body = serde_json::json!({
            "status": status,
            "job": running.body.job,
            "index": running.body.index,
            "attempt": running.body.attempt,
            "slot_us": slot_us,
            "leaving": self.lock().faults.leaving,
            "result": {"echo": echo},
        });
        respond(request, 200, &body.to_string());
    }
}

impl State {
    fn end_task(&mut self, number: u64) -> Option<(RunningTask, u64)> {
        let running = self.running.remove(&number)?;
        self.by_attempt.remove(&running.body.attempt);
        self.used_slots -= running.body.slots;
        let elapsed = running.started.elapsed().as_micros();
        let slot_us = u64::try_from(elapsed).unwrap_or(u64::MAX) * u64::from(running.body.slots);
        *self
            .counts
            .slot_us
            .entry(running.body.customer.clone())
            .or_insert(0) += slot_us;
        Some((running, slot_us))
    }
}
