//! Discrete-event simulation of the real core in virtual time, with simulated executors.

use crate::deployment::{Deployment, top_speed, total_speed};
use crate::workload::{CUSTOMERS, Job, KIND_COUNT};
use cardamomslip::peers::encode;
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::configuration::{
    Change, ChangeRequest, Configuration, CustomerEntry, Preset,
};
use cardamomslip_core::model::ids::{AttemptId, CallId, CustomerId, ExecutorId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::outcome::Outcome;
use cardamomslip_core::model::request::{NotStarted, Request, Response, StartReply, StartRequest};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use cardamomslip_core::model::time::Time;
use cardamomslip_core::model::vm_list::{VmList, VmState};
use cardamomslip_core::{Action, Event, Identity, Node, Policy};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a caller waits for its response.
const CALLER_WAIT: Duration = Duration::from_secs(3_600);
/// Interval at which running and waiting tasks are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Expected wait beyond which new work is refused, in milliseconds.
const MAX_WAIT_MS: u32 = 3_000;
/// Limit on the unfinished tasks of one entry VM.
const MAX_OPEN_TASKS: u32 = 200_000;

/// Behaviour of a simulated executor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Runs tasks at its speed.
    Normal,
    /// Fails every task at once.
    FailAll,
    /// Runs tasks at this fraction of its speed, while the VM list still shows its full speed.
    Slow(f64),
    /// Runs tasks but never replies.
    Silent,
    /// Refuses starts because it is leaving, while the VM list still shows it as live.
    Leaving,
}

/// A fault that is injected into a run.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Changes the behaviour of the executor at this position.
    Executor(usize, Behaviour),
    /// Kills the entry VM at this position.
    KillEntry(usize),
    /// Publishes a VM list that shows the executor at this position as leaving.
    ListLeaving(usize),
}

#[derive(Debug)]
enum SimEvent {
    Submit(usize),
    Deliver {
        entry: usize,
        event: Event,
    },
    StartRequested {
        entry: usize,
        request: StartRequest,
    },
    TaskEnded {
        executor: usize,
        entry: usize,
        attempt: AttemptId,
    },
    Abort {
        executor: usize,
        entry: usize,
        attempt: AttemptId,
    },
    Fault(Fault),
    Sample,
}

#[derive(Debug)]
struct Executor {
    speed: f64,
    slots: u16,
    used: u16,
    behaviour: Behaviour,
    running: FastMap<(usize, AttemptId), RunningTask>,
}

#[derive(Debug)]
struct RunningTask {
    started: Duration,
    slots: u16,
    customer: CustomerId,
}

/// Result of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobResult {
    /// Index in the workload.
    pub job: usize,
    /// Response time divided by the ideal response time.
    pub ratio: f64,
    /// Response time.
    pub response_time: Duration,
    /// Whether it completed.
    pub complete: bool,
    /// Whether it was refused without being run.
    pub refused: bool,
    /// Time of the response.
    pub at: Duration,
}

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Tasks that executors started.
    pub started: u64,
    /// Starts refused by executors.
    pub refused_starts: u64,
    /// Times at which start requests arrived at executors that were leaving.
    pub starts_on_leaving: Vec<Duration>,
    /// Tasks that failed on a faulty executor.
    pub failed_tasks: u64,
    /// Tasks that ended on executors that never reply.
    pub silent_tasks: u64,
    /// Tasks started on executors whose behaviour was not normal.
    pub started_on_faulty: u64,
    /// Messages between entry VMs.
    pub peer_messages: u64,
    /// Total encoded length of the messages between entry VMs, in bytes.
    pub peer_bytes: u64,
    /// Abort requests to executors.
    pub aborts: u64,
    /// Number of times that an issuer returned slots that it had not used.
    pub unused_returns: u64,
    /// Sum of the samples of slots in use, per customer; taken only while all customers have
    /// waiting tasks.
    pub shares: [f64; CUSTOMERS],
    /// Slots in use at each sample.
    pub used_slots: Vec<(Duration, u32)>,
    /// Waiting tasks at each sample.
    pub waiting: Vec<(Duration, u64)>,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// Results of the jobs that got a response, in the order of their responses.
    pub jobs: Vec<JobResult>,
    /// Counts.
    pub counts: Counts,
    /// Virtual time that the run took.
    pub length: Duration,
}

/// A simulation run.
#[derive(Debug)]
pub struct Sim<'a> {
    deployment: Deployment,
    list: Arc<VmList>,
    work: &'a [Job],
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: FastMap<u64, SimEvent>,
    next_event: u64,
    nodes: Vec<Option<Node>>,
    ids: Vec<Incarnation>,
    ticks: BinaryHeap<Reverse<(Duration, usize)>>,
    next_ticks: Vec<Option<Duration>>,
    executors: Vec<Executor>,
    results: Vec<JobResult>,
    counts: Counts,
    kinds: Vec<Arc<str>>,
}

fn configuration() -> Arc<Configuration> {
    let customers = (0..CUSTOMERS).map(|i| CustomerEntry {
        id: CustomerId(i as u64),
        name: i.to_string().into(),
        token_sha256: i.to_string().into(),
        weight: 1,
        quota_slots: None,
    });
    let preset = Preset {
        name: "ordinary".into(),
        admits_work: true,
        max_open_tasks: MAX_OPEN_TASKS,
        max_wait_ms: MAX_WAIT_MS,
    };
    let change = Change::Replace {
        preset: "ordinary".into(),
        presets: vec![preset],
        customers: customers.collect(),
    };
    let req = ChangeRequest {
        base: 0,
        who: "bench".into(),
        why: "bench".into(),
        when_ms: 0,
        change,
    };
    Arc::new(Configuration::next_version(None, &req, 1).expect("a valid configuration"))
}

impl<'a> Sim<'a> {
    /// Creates a run of `work` under `policy`, in which all entry VMs are connected.
    #[must_use]
    pub fn new(deployment: Deployment, policy: &Policy, work: &'a [Job], seed: u64) -> Self {
        let list = Arc::new(deployment.vm_list());
        let executors = list.executors.iter().map(|vm| Executor {
            speed: f64::from(vm.speed_milli) / 1_000.0,
            slots: vm.slots,
            used: 0,
            behaviour: Behaviour::Normal,
            running: FastMap::default(),
        });
        let ids: Vec<_> = (0..deployment.entries())
            .map(|i| Incarnation {
                data_centre: deployment.data_centre(i),
                vm: list.entries[i].id,
                nonce: 1,
            })
            .collect();
        let nodes = ids.iter().enumerate().map(|(i, &me)| {
            let weight = deployment.weight(i);
            let identity = Identity {
                me,
                weight,
                seed: seed.wrapping_add(i as u64),
            };
            Some(Node::new(identity, policy.clone()))
        });
        let mut sim = Self {
            deployment,
            executors: executors.collect(),
            nodes: nodes.collect(),
            next_ticks: vec![None; ids.len()],
            ids,
            list,
            work,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            next_event: 0,
            ticks: BinaryHeap::new(),
            results: Vec::new(),
            counts: Counts::default(),
            kinds: (0..KIND_COUNT)
                .map(|kind| kind.to_string().into())
                .collect(),
        };
        sim.connect_nodes();
        sim
    }

    fn connect_nodes(&mut self) {
        let config = configuration();
        for entry in 0..self.nodes.len() {
            self.run_node(entry, Some(Event::Configuration(Arc::clone(&config))));
            self.run_node(entry, Some(Event::VmList(Arc::clone(&self.list))));
            for other in 0..self.nodes.len() {
                if other != entry {
                    self.run_node(entry, Some(Event::PeerUp(self.ids[other])));
                }
            }
        }
        // The workload starts when the slot owner has completed its start-up.
        let offset = Duration::from_secs(2);
        for (number, job) in self.work.iter().enumerate() {
            let at = offset + job.at + self.deployment.caller_delay;
            self.push_at(at, SimEvent::Submit(number));
        }
        self.push_at(offset, SimEvent::Sample);
    }

    /// Injects `fault` at the time `at` after the start of the workload.
    pub fn add_fault(&mut self, at: Duration, fault: Fault) {
        self.push_at(Duration::from_secs(2) + at, SimEvent::Fault(fault));
    }

    fn push(&mut self, delay: Duration, event: SimEvent) {
        self.push_at(self.now + delay, event);
    }

    fn push_at(&mut self, at: Duration, event: SimEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.insert(number, event);
        self.queue.push(Reverse((at, number)));
    }

    /// Runs until all jobs have ended, but at most for `limit`.
    #[must_use]
    pub fn run(mut self, limit: Duration) -> Outcomes {
        while self.results.len() < self.work.len() && self.now < limit {
            let event_at = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick_at = self.ticks.peek().map(|Reverse((at, _))| *at);
            match (event_at, tick_at) {
                (Some(at), Some(tick)) if tick < at => self.run_tick(),
                (Some(at), _) => {
                    self.now = at;
                    self.run_event();
                }
                (None, Some(_)) => self.run_tick(),
                (None, None) => break,
            }
        }
        Outcomes {
            jobs: self.results,
            counts: self.counts,
            length: self.now,
        }
    }

    fn run_tick(&mut self) {
        let Some(Reverse((at, entry))) = self.ticks.pop() else {
            return;
        };
        if self.next_ticks[entry] != Some(at) {
            return;
        }
        self.next_ticks[entry] = None;
        self.now = self.now.max(at);
        self.run_node(entry, None);
    }

    fn run_event(&mut self) {
        let Some(Reverse((_, number))) = self.queue.pop() else {
            return;
        };
        let Some(sim_event) = self.events.remove(&number) else {
            return;
        };
        match sim_event {
            SimEvent::Submit(job) => self.submit(job),
            SimEvent::Deliver { entry, event } => self.run_node(entry, Some(event)),
            SimEvent::StartRequested { entry, request } => self.handle_start(entry, request),
            SimEvent::TaskEnded {
                executor,
                entry,
                attempt,
            } => {
                self.end_task(executor, entry, attempt, false);
            }
            SimEvent::Abort {
                executor,
                entry,
                attempt,
            } => {
                self.end_task(executor, entry, attempt, true);
            }
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::Sample => self.sample(),
        }
    }

    fn submit(&mut self, number: usize) {
        let job = &self.work[number];
        let entry = self.choose_entry(job.entry);
        let payload: Arc<str> = number.to_string().into();
        let tasks = job.tasks.iter().map(|task| TaskSpec {
            kind: Arc::clone(&self.kinds[task.kind]),
            payload: Arc::clone(&payload),
            declared: task.declared,
            slots: 1,
        });
        let spec = JobSpec {
            tasks: tasks.collect(),
            deadline: job.deadline,
            repeatability: Repeatability::Unrepeatable,
        };
        let customer = CustomerId(job.customer as u64);
        let req = Request::SubmitUnkeyed {
            customer,
            spec,
            wait: CALLER_WAIT,
        };
        let call = CallId(number as u64);
        self.run_node(entry, Some(Event::Call { call, req }));
    }

    /// Selects a live entry VM. `position`, from 0 to 1, selects VMs in proportion to their sizes.
    fn choose_entry(&self, position: f64) -> usize {
        let weight = |entry: usize| f64::from(self.deployment.weight(entry));
        let live: Vec<_> = (0..self.nodes.len())
            .filter(|&i| self.nodes[i].is_some())
            .collect();
        let total: f64 = live.iter().map(|&entry| weight(entry)).sum();
        let mut remaining = position * total;
        for &entry in &live {
            remaining -= weight(entry);
            if remaining < 0.0 {
                return entry;
            }
        }
        live[live.len() - 1]
    }

    fn run_node(&mut self, entry: usize, event: Option<Event>) {
        let Some(node) = self.nodes[entry].as_mut() else {
            return;
        };
        let time = to_time(self.now);
        let mut actions = Vec::new();
        if let Some(event) = event {
            node.handle(time, event, &mut actions);
        }
        node.tick(time, &mut actions);
        let next = node
            .next_tick()
            .map(|at| Duration::from_micros(at.as_micros()));
        if let Some(at) = next
            && self.next_ticks[entry] != Some(at)
        {
            self.next_ticks[entry] = Some(at);
            self.ticks.push(Reverse((at, entry)));
        }
        for action in actions {
            self.perform_action(entry, action);
        }
    }

    fn perform_action(&mut self, entry: usize, action: Action) {
        match action {
            Action::Respond { call, response } => self.record_response(call, &response),
            Action::Send { to, message } => {
                self.counts.peer_messages += 1;
                self.counts.peer_bytes += encode(&message).len() as u64;
                let from = self.ids[entry];
                let delay = self.deployment.delay(from.data_centre, to.data_centre);
                if let Some(entry) = self.ids.iter().position(|&id| id == to) {
                    let event = Event::Message { from, message };
                    self.push(delay, SimEvent::Deliver { entry, event });
                }
            }
            Action::Start(request) => {
                let delay = self.executor_delay(entry, request.executor);
                self.push(delay, SimEvent::StartRequested { entry, request });
            }
            Action::Abort { attempt, executor } => {
                self.counts.aborts += 1;
                let delay = self.executor_delay(entry, executor);
                let executor = executor.0 as usize;
                self.push(
                    delay,
                    SimEvent::Abort {
                        executor,
                        entry,
                        attempt,
                    },
                );
            }
            Action::Store { .. }
            | Action::AdoptConfiguration(_)
            | Action::AdoptVmList(_)
            | Action::RespondChange { .. }
            | Action::RespondDrain { .. }
            | Action::Closed => {}
        }
    }

    fn executor_delay(&self, entry: usize, executor: ExecutorId) -> Duration {
        let executor_dc = self.list.executors[executor.0 as usize].data_centre;
        self.deployment
            .delay(self.ids[entry].data_centre, executor_dc)
    }

    fn handle_start(&mut self, entry: usize, request: StartRequest) {
        let number = request.executor.0 as usize;
        let executor = &mut self.executors[number];
        let refusal = if executor.behaviour == Behaviour::Leaving {
            self.counts.starts_on_leaving.push(self.now);
            Some(NotStarted::Leaving)
        } else if executor.used + request.task.slots > executor.slots {
            Some(NotStarted::Busy)
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.counts.refused_starts += 1;
            self.reply(entry, &request, StartReply::NotStarted(reason));
            return;
        }
        self.counts.started += 1;
        self.counts.started_on_faulty += u64::from(executor.behaviour != Behaviour::Normal);
        executor.used += request.task.slots;
        let running = RunningTask {
            started: self.now,
            slots: request.task.slots,
            customer: request.customer,
        };
        executor.running.insert((entry, request.attempt), running);
        let run = self.true_run(&request);
        let executor = &self.executors[number];
        let run = match executor.behaviour {
            Behaviour::FailAll => Duration::ZERO,
            Behaviour::Slow(factor) => run.div_f64(executor.speed * factor),
            Behaviour::Normal | Behaviour::Silent | Behaviour::Leaving => {
                run.div_f64(executor.speed)
            }
        };
        let attempt = request.attempt;
        self.push(
            run,
            SimEvent::TaskEnded {
                executor: number,
                entry,
                attempt,
            },
        );
    }

    /// Returns the true run time of a task at speed 1. The payload of a task is its job's number.
    fn true_run(&self, request: &StartRequest) -> Duration {
        let job: usize = request
            .task
            .payload
            .parse()
            .expect("the payload is a job's number");
        self.work[job].tasks[request.index as usize].run
    }

    fn reply(&mut self, entry: usize, request: &StartRequest, reply: StartReply) {
        let delay = self.executor_delay(entry, request.executor);
        let event = Event::AttemptEnded {
            attempt: request.attempt,
            reply,
        };
        self.push(delay, SimEvent::Deliver { entry, event });
    }

    fn end_task(&mut self, number: usize, entry: usize, attempt: AttemptId, aborted: bool) {
        let executor = &mut self.executors[number];
        let Some(running) = executor.running.remove(&(entry, attempt)) else {
            return;
        };
        executor.used -= running.slots;
        let slot_time = (self.now - running.started) * u32::from(running.slots);
        let reply = match executor.behaviour {
            Behaviour::Silent => {
                self.counts.silent_tasks += 1;
                return;
            }
            Behaviour::FailAll if !aborted => {
                self.counts.failed_tasks += 1;
                StartReply::Failed {
                    slot_time,
                    aborted: false,
                }
            }
            _ if aborted => StartReply::Failed {
                slot_time,
                aborted: true,
            },
            _ => StartReply::Done {
                result: "".into(),
                slot_time,
            },
        };
        let delay = self.executor_delay(entry, ExecutorId(number as u64));
        let event = Event::AttemptEnded { attempt, reply };
        self.push(delay, SimEvent::Deliver { entry, event });
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Executor(number, behaviour) => self.executors[number].behaviour = behaviour,
            Fault::KillEntry(entry) => {
                self.nodes[entry] = None;
                let killed = self.ids[entry];
                for other in 0..self.nodes.len() {
                    self.run_node(other, Some(Event::PeerDown(killed)));
                }
            }
            Fault::ListLeaving(number) => {
                let mut list = (*self.list).clone();
                list.revision += 1;
                list.executors[number].state = VmState::Leaving;
                self.list = Arc::new(list);
                for entry in 0..self.nodes.len() {
                    self.run_node(entry, Some(Event::VmList(Arc::clone(&self.list))));
                }
            }
        }
    }

    fn sample(&mut self) {
        let mut running = [0.0; CUSTOMERS];
        for task in self
            .executors
            .iter()
            .flat_map(|executor| executor.running.values())
        {
            running[task.customer.0 as usize] += f64::from(task.slots);
        }
        let mut waiting = [0_u64; CUSTOMERS];
        for node in self.nodes.iter().flatten() {
            for (customer, tasks) in node.waiting_by_customer() {
                waiting[customer.0 as usize] += tasks;
            }
        }
        if waiting.iter().all(|&tasks| tasks > 0) {
            for (sum, slots) in self.counts.shares.iter_mut().zip(running) {
                *sum += slots;
            }
        }
        let used: u32 = self
            .executors
            .iter()
            .map(|executor| u32::from(executor.used))
            .sum();
        self.counts.used_slots.push((self.now, used));
        self.counts.waiting.push((self.now, waiting.iter().sum()));
        let statuses = self
            .nodes
            .iter()
            .flatten()
            .map(|node| node.status(to_time(self.now)));
        self.counts.unused_returns = statuses.map(|status| status.counters.unused_returns).sum();
        self.push(SAMPLE_INTERVAL, SimEvent::Sample);
    }

    fn record_response(&mut self, call: CallId, response: &Response) {
        let number = call.0 as usize;
        let job = &self.work[number];
        let at = self.now + self.deployment.caller_delay;
        let submitted = Duration::from_secs(2) + job.at;
        let response_time = at - submitted;
        let (complete, refused) = match response {
            Response::Answer {
                outcome: Outcome::Complete(_),
                ..
            } => (true, false),
            Response::Answer {
                outcome: Outcome::Failed { ran, .. },
                ..
            } => (
                false,
                *ran == cardamomslip_core::model::outcome::Ran::NotRun,
            ),
            _ => (false, true),
        };
        let ratio = response_time.as_secs_f64() / self.ideal_response_time(job).as_secs_f64();
        self.results.push(JobResult {
            job: number,
            ratio,
            response_time,
            complete,
            refused,
            at,
        });
    }

    /// Returns a lower bound of the job's response time with the whole pool idle: the run time of
    /// its longest task on the fastest executor, or all its work spread over all slots.
    fn ideal_response_time(&self, job: &Job) -> Duration {
        let longest = job
            .tasks
            .iter()
            .map(|task| task.run)
            .max()
            .unwrap_or_default();
        let work: Duration = job.tasks.iter().map(|task| task.run).sum();
        let by_longest = longest.div_f64(top_speed(&self.list));
        let by_work = work.div_f64(total_speed(&self.list));
        by_longest.max(by_work) + self.deployment.round_trip()
    }
}

fn to_time(at: Duration) -> Time {
    Time::from_micros(u64::try_from(at.as_micros()).unwrap_or(u64::MAX))
}
