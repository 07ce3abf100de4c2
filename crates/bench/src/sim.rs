//! The real core in virtual time, with small fake executors.

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

/// Time for which a caller waits for its answer.
const WAIT: Duration = Duration::from_secs(3_600);
/// Interval at which shares of customers are sampled.
const SAMPLE: Duration = Duration::from_millis(50);
/// Expected wait beyond which new work is refused, in milliseconds.
const MAX_WAIT_MS: u32 = 3_000;
/// Unfinished tasks that one entry VM holds at most.
const MAX_OPEN_TASKS: u32 = 200_000;

/// How a fake executor behaves from a time on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Runs tasks at its speed.
    Normal,
    /// Fails every task at once.
    FailAll,
    /// Runs tasks at a fraction of its speed, which nobody is told.
    Slow(f64),
    /// Starts tasks and never answers.
    Silent,
    /// Refuses as leaving, while the VM list lags.
    Leaving,
}

/// A fault of a run.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// An executor changes its behaviour.
    Executor(usize, Behaviour),
    /// An entry VM dies.
    KillEntry(usize),
    /// The VM list shows an executor as leaving.
    ListLeaving(usize),
}

#[derive(Debug)]
enum Item {
    Submit(usize),
    Deliver {
        entry: usize,
        event: Event,
    },
    StartArrives {
        entry: usize,
        order: StartRequest,
    },
    TaskEnds {
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

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobResult {
    /// Position in the workload.
    pub job: usize,
    /// Response time over the ideal.
    pub ratio: f64,
    /// Response time.
    pub response: Duration,
    /// Whether it ended complete.
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
    /// Starts sent to executors that were leaving, by time.
    pub starts_on_leaving: Vec<Duration>,
    /// Tasks that ended as failed on a faulty executor.
    pub failed_tasks: u64,
    /// Tasks started on executors that never answer.
    pub silent_tasks: u64,
    /// Tasks started on executors while they were not normal.
    pub started_on_faulty: u64,
    /// Messages between entry VMs.
    pub peer_messages: u64,
    /// Bytes of the messages between entry VMs.
    pub peer_bytes: u64,
    /// Aborts.
    pub aborts: u64,
    /// Times that an issuer gave back slots which it had not used.
    pub unused_returns: u64,
    /// Samples of running slots per customer while all customers wait.
    pub shares: [f64; CUSTOMERS],
    /// Slots in use at each sample.
    pub used_slots: Vec<(Duration, u32)>,
    /// Tasks waiting at each sample.
    pub waiting: Vec<(Duration, u64)>,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// Jobs that ended.
    pub jobs: Vec<JobResult>,
    /// Counts.
    pub counts: Counts,
    /// Time that the run took, in virtual time.
    pub length: Duration,
}

/// A run in virtual time.
#[derive(Debug)]
pub struct Sim<'a> {
    deployment: Deployment,
    list: Arc<VmList>,
    work: &'a [Job],
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    items: FastMap<u64, Item>,
    next_item: u64,
    nodes: Vec<Option<Node>>,
    ids: Vec<Incarnation>,
    ticks: BinaryHeap<Reverse<(Duration, usize)>>,
    scheduled: Vec<Option<Duration>>,
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
    /// Prepares a run of `work` under `policy`.
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
            scheduled: vec![None; ids.len()],
            ids,
            list,
            work,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            items: FastMap::default(),
            next_item: 0,
            ticks: BinaryHeap::new(),
            results: Vec::new(),
            counts: Counts::default(),
            kinds: (0..KIND_COUNT)
                .map(|kind| kind.to_string().into())
                .collect(),
        };
        sim.connect();
        sim
    }

    fn connect(&mut self) {
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
        // The work begins when the slot owner is settled.
        let offset = Duration::from_secs(2);
        for (number, job) in self.work.iter().enumerate() {
            let at = offset + job.at + self.deployment.to_callers;
            self.push_at(at, Item::Submit(number));
        }
        self.push_at(offset, Item::Sample);
    }

    /// Adds a fault at a time after the begin of the work.
    pub fn add_fault(&mut self, at: Duration, fault: Fault) {
        self.push_at(Duration::from_secs(2) + at, Item::Fault(fault));
    }

    fn push(&mut self, delay: Duration, item: Item) {
        self.push_at(self.now + delay, item);
    }

    fn push_at(&mut self, at: Duration, item: Item) {
        let number = self.next_item;
        self.next_item += 1;
        self.items.insert(number, item);
        self.queue.push(Reverse((at, number)));
    }

    /// Runs until all work ended, or for `limit`.
    #[must_use]
    pub fn run(mut self, limit: Duration) -> Outcomes {
        while self.results.len() < self.work.len() && self.now < limit {
            let item_at = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick_at = self.ticks.peek().map(|Reverse((at, _))| *at);
            match (item_at, tick_at) {
                (Some(at), Some(tick)) if tick < at => self.run_tick(),
                (Some(at), _) => {
                    self.now = at;
                    self.run_item();
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
        if self.scheduled[entry] != Some(at) {
            return;
        }
        self.scheduled[entry] = None;
        self.now = self.now.max(at);
        self.run_node(entry, None);
    }

    fn run_item(&mut self) {
        let Some(Reverse((_, number))) = self.queue.pop() else {
            return;
        };
        let Some(item) = self.items.remove(&number) else {
            return;
        };
        match item {
            Item::Submit(job) => self.submit(job),
            Item::Deliver { entry, event } => self.run_node(entry, Some(event)),
            Item::StartArrives { entry, order } => self.start_arrives(entry, order),
            Item::TaskEnds {
                executor,
                entry,
                attempt,
            } => {
                self.task_ends(executor, entry, attempt, false);
            }
            Item::Abort {
                executor,
                entry,
                attempt,
            } => {
                self.task_ends(executor, entry, attempt, true);
            }
            Item::Fault(fault) => self.apply(fault),
            Item::Sample => self.sample(),
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
            wait: WAIT,
        };
        let call = CallId(number as u64);
        self.run_node(entry, Some(Event::Call { call, req }));
    }

    /// Chooses a living entry VM by size.
    fn choose_entry(&self, position: f64) -> usize {
        let weight = |entry: usize| f64::from(self.deployment.weight(entry));
        let living: Vec<_> = (0..self.nodes.len())
            .filter(|&i| self.nodes[i].is_some())
            .collect();
        let total: f64 = living.iter().map(|&entry| weight(entry)).sum();
        let mut left = position * total;
        for &entry in &living {
            left -= weight(entry);
            if left < 0.0 {
                return entry;
            }
        }
        living[living.len() - 1]
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
            && self.scheduled[entry] != Some(at)
        {
            self.scheduled[entry] = Some(at);
            self.ticks.push(Reverse((at, entry)));
        }
        for action in actions {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: Action) {
        match action {
            Action::Respond { call, response } => self.responded(call, &response),
            Action::Send { to, message } => {
                self.counts.peer_messages += 1;
                self.counts.peer_bytes += encode(&message).len() as u64;
                let from = self.ids[entry];
                let delay = self.deployment.delay(from.data_centre, to.data_centre);
                if let Some(entry) = self.ids.iter().position(|&id| id == to) {
                    let event = Event::Message { from, message };
                    self.push(delay, Item::Deliver { entry, event });
                }
            }
            Action::Start(order) => {
                let delay = self.executor_delay(entry, order.executor);
                self.push(delay, Item::StartArrives { entry, order });
            }
            Action::Abort { attempt, executor } => {
                self.counts.aborts += 1;
                let delay = self.executor_delay(entry, executor);
                let executor = executor.0 as usize;
                self.push(
                    delay,
                    Item::Abort {
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
        let there = self.list.executors[executor.0 as usize].data_centre;
        self.deployment.delay(self.ids[entry].data_centre, there)
    }

    fn start_arrives(&mut self, entry: usize, order: StartRequest) {
        let number = order.executor.0 as usize;
        let executor = &mut self.executors[number];
        let refusal = if executor.behaviour == Behaviour::Leaving {
            self.counts.starts_on_leaving.push(self.now);
            Some(NotStarted::Leaving)
        } else if executor.used + order.task.slots > executor.slots {
            Some(NotStarted::Busy)
        } else {
            None
        };
        if let Some(reason) = refusal {
            self.counts.refused_starts += 1;
            self.reply(entry, &order, StartReply::NotStarted(reason));
            return;
        }
        self.counts.started += 1;
        self.counts.started_on_faulty += u64::from(executor.behaviour != Behaviour::Normal);
        executor.used += order.task.slots;
        let running = RunningTask {
            started: self.now,
            slots: order.task.slots,
            customer: order.customer,
        };
        executor.running.insert((entry, order.attempt), running);
        let run = self.true_run(&order);
        let executor = &self.executors[number];
        let run = match executor.behaviour {
            Behaviour::FailAll => Duration::ZERO,
            Behaviour::Slow(factor) => run.div_f64(executor.speed * factor),
            Behaviour::Normal | Behaviour::Silent | Behaviour::Leaving => {
                run.div_f64(executor.speed)
            }
        };
        let attempt = order.attempt;
        self.push(
            run,
            Item::TaskEnds {
                executor: number,
                entry,
                attempt,
            },
        );
    }

    /// Returns the true run time of a task at speed 1. The payload is the number of the job.
    fn true_run(&self, order: &StartRequest) -> Duration {
        let job: usize = order
            .task
            .payload
            .parse()
            .expect("the payload is a job's number");
        self.work[job].tasks[order.index as usize].run
    }

    fn reply(&mut self, entry: usize, order: &StartRequest, reply: StartReply) {
        let delay = self.executor_delay(entry, order.executor);
        let event = Event::AttemptEnded {
            attempt: order.attempt,
            reply,
        };
        self.push(delay, Item::Deliver { entry, event });
    }

    fn task_ends(&mut self, number: usize, entry: usize, attempt: AttemptId, aborted: bool) {
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
        self.push(delay, Item::Deliver { entry, event });
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Executor(number, behaviour) => self.executors[number].behaviour = behaviour,
            Fault::KillEntry(entry) => {
                self.nodes[entry] = None;
                let gone = self.ids[entry];
                for other in 0..self.nodes.len() {
                    self.run_node(other, Some(Event::PeerDown(gone)));
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
        for row in self
            .executors
            .iter()
            .flat_map(|executor| executor.running.values())
        {
            running[row.customer.0 as usize] += f64::from(row.slots);
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
        let used: u32 = self.executors.iter().map(|row| u32::from(row.used)).sum();
        self.counts.used_slots.push((self.now, used));
        self.counts.waiting.push((self.now, waiting.iter().sum()));
        let status = self
            .nodes
            .iter()
            .flatten()
            .map(|node| node.status(to_time(self.now)));
        self.counts.unused_returns = status.map(|row| row.counters.unused_returns).sum();
        self.push(SAMPLE, Item::Sample);
    }

    fn responded(&mut self, call: CallId, response: &Response) {
        let number = call.0 as usize;
        let job = &self.work[number];
        let at = self.now + self.deployment.to_callers;
        let submitted = Duration::from_secs(2) + job.at;
        let result = at - submitted;
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
        let ratio = result.as_secs_f64() / self.ideal(job).as_secs_f64();
        self.results.push(JobResult {
            job: number,
            ratio,
            response: result,
            complete,
            refused,
            at,
        });
    }

    /// Returns the best response that any schedule could give the job alone on an empty pool.
    fn ideal(&self, job: &Job) -> Duration {
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
