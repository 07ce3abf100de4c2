//! Clients.

use super::*;
impl Sim {
    /// A client submits a job of `tasks` tasks of `work_ms` each to a VM.
    pub fn submit(&mut self, vm: usize, tasks: u32, work_ms: u64, priority: u32) -> ClientJobId {
        self.submit_job(vm, tasks, work_ms, priority, TASK_CPU)
    }

    /// A client submits a job whose tasks need `cpu_milli` thousandths of a core.
    pub fn submit_sized(
        &mut self,
        vm: usize,
        tasks: u32,
        work_ms: u64,
        cpu_milli: u64,
    ) -> ClientJobId {
        self.submit_job(vm, tasks, work_ms, 0, cpu_milli)
    }

    pub(super) fn submit_job(
        &mut self,
        vm: usize,
        tasks: u32,
        work_ms: u64,
        priority: u32,
        cpu_milli: u64,
    ) -> ClientJobId {
        let id = ClientJobId(self.next_job);
        self.next_job += 1;
        let job = Job {
            id,
            settings: QueueSettings {
                queue: QueueId(1),
                upstream: UpstreamId(1),
                priority,
                max_attempts: 3,
                stretch: 1.6,
                target: Duration::from_millis(60),
            },
            payload: "what to do".into(),
            steps: vec![Step {
                count: tasks,
                need: Resources {
                    cpu_milli,
                    memory_mb: 64,
                    accelerators: 0,
                },
                estimate: Duration::from_millis(work_ms),
                after: Vec::new(),
                label: None,
                preferred_rack: None,
                max_per_worker: None,
            }],
            client_timeout: Duration::from_millis(2_500),
        };
        self.ledger.jobs.insert(
            id,
            JobRecord {
                job: Arc::new(job),
                stand: Stand::Waiting,
                attempts: 0,
                refusals: 0,
                answer: None,
                sent: self.now,
                over: None,
                done: BTreeSet::new(),
                ever_started: false,
            },
        );
        self.send(id, vm);
        id
    }

    pub(super) fn send(&mut self, id: ClientJobId, vm: usize) {
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        record.stand = Stand::Waiting;
        record.attempts += 1;
        let attempt = record.attempts;
        let job = Arc::clone(&record.job);
        let call = CallId(self.next_call);
        self.next_call += 1;
        if !self.is_up(vm) {
            self.lose_answer(id);
            return;
        }
        self.vms[vm].calls.insert(call, id);
        self.event(self.now + HOP, vm, Event::Submit { call, job });
        self.push(self.now + 2_600 * MS, Ev::Impatient(id, attempt));
    }

    /// The client has no answer: it sends the job again after a while.
    pub(super) fn lose_answer(&mut self, id: ClientJobId) {
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        if record.attempts < MAX_ATTEMPTS {
            record.stand = Stand::Between(self.now);
            self.push(self.now + RESEND, Ev::Resend(id));
        } else {
            record.stand = Stand::Over(self.now);
        }
    }

    pub(super) fn send_again(&mut self, id: ClientJobId) {
        let vm = self.rng.random_range(0..self.vms.len());
        self.send(id, vm);
    }

    pub(super) fn lose_patience(&mut self, id: ClientJobId, attempt: u32) {
        let record = &self.ledger.jobs[&id];
        if record.stand == Stand::Waiting && record.attempts == attempt {
            self.hang_up(id);
            self.lose_answer(id);
        }
    }

    /// The client leaves for good.
    pub fn leave(&mut self, id: ClientJobId) {
        self.hang_up(id);
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        record.stand = Stand::Over(self.now);
    }

    pub(super) fn hang_up(&mut self, id: ClientJobId) {
        for vm in 0..self.vms.len() {
            let call = self.vms[vm].calls.iter().find(|(_, job)| **job == id);
            if let Some((&call, _)) = call {
                self.vms[vm].calls.remove(&call);
                self.event(self.now + HOP, vm, Event::Abandon(call));
            }
        }
    }

    pub(super) fn answer(&mut self, id: ClientJobId, answer: Answer) {
        self.ledger.answered(self.now, id, answer);
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        record.answer = Some(answer);
        record.over = Some(self.now);
        if matches!(answer, Answer::Lost(_)) {
            self.lose_answer(id);
        } else {
            record.stand = Stand::Over(self.now);
        }
    }

    /// The operators put another configuration in force; VMs learn of it one after the other.
    pub fn change_queues(&mut self) {
        self.version += 1;
        for vm in 0..self.vms.len() {
            let table = Arc::new(QueueTable::new(self.version, Vec::new(), 0));
            let wait = self.rng.random_range(1..200) * MS;
            self.event(self.now + wait, vm, Event::Queues(table));
        }
    }

    /// The operators put another configuration in force, and the store reaches only some VMs.
    pub fn change_queues_at(&mut self, vms: &[usize]) {
        self.version += 1;
        for &vm in vms {
            let table = Arc::new(QueueTable::new(self.version, Vec::new(), 0));
            self.event(self.now + MS, vm, Event::Queues(table));
        }
    }

    /// Returns the version of the configuration of each VM.
    pub fn versions(&self) -> Vec<u64> {
        let dispatchers = self.vms.iter().filter_map(|vm| vm.dispatcher.as_ref());
        let version = |row: &Dispatcher| row.queues().map_or(0, |table| table.version);
        dispatchers.map(version).collect()
    }

    /// Returns the time from submission to refusal of a job, in milliseconds, if it was refused.
    pub fn refused_after(&self, id: ClientJobId) -> Option<u64> {
        let record = &self.ledger.jobs[&id];
        let refused = matches!(record.answer, Some(Answer::Refused { .. }));
        refused.then(|| (record.over.unwrap_or(self.now) - record.sent) / MS)
    }

    /// Returns the VM that holds workers of a data centre, if there is exactly one.
    pub fn holder(&self, data_centre: usize) -> usize {
        let vms = (0..self.vms.len()).filter(|vm| vm % self.shape.data_centres == data_centre);
        let held = |vm: &usize| {
            let dispatcher = self.vms[*vm].dispatcher.as_ref();
            dispatcher.is_some_and(|dispatcher| dispatcher.stats().held_workers > 0)
        };
        let holders: Vec<usize> = vms.filter(held).collect();
        assert_eq!(holders.len(), 1, "holders of data centre {data_centre}");
        holders[0]
    }

    /// Returns how often a worker was taken over by the present VMs.
    pub fn acquisitions(&self) -> u64 {
        self.stats().map(|stats| stats.acquisitions).sum()
    }

    /// Returns how often a VM took a worker over.
    pub fn takeovers_of(&self, vm: usize) -> u64 {
        let dispatcher = self.vms[vm].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.stats().acquisitions)
    }

    /// Returns the number of workers that the present VMs hold.
    pub fn held_workers(&self) -> u64 {
        self.stats().map(|stats| stats.held_workers).sum()
    }

    fn stats(&self) -> impl Iterator<Item = Stats> {
        let dispatchers = self.vms.iter().filter_map(|vm| vm.dispatcher.as_ref());
        dispatchers.map(Dispatcher::stats)
    }

    /// Returns the time from submission to answer of a job, in milliseconds, if it completed.
    pub fn completed_in(&self, id: ClientJobId) -> Option<u64> {
        let record = &self.ledger.jobs[&id];
        let completed = record.answer == Some(Answer::Completed);
        completed.then(|| (record.over.unwrap_or(self.now) - record.sent) / MS)
    }
}
