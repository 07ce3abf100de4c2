//! Simulated clients and operators, and queries on the state of the simulation.

use super::*;

/// Time past its timeout at which a client closes its connection.
const CLIENT_TIMEOUT_SLACK: Duration = Duration::from_millis(100);

impl Sim {
    /// Submits a job of `tasks` tasks that take `work_ms` each to a VM.
    pub fn submit(&mut self, vm: usize, tasks: u32, work_ms: u64, priority: u32) -> ClientJobId {
        let shape = JobShape {
            tasks,
            work_ms,
            priority,
            ..JobShape::default()
        };
        self.submit_shape(vm, shape)
    }

    /// Submits a job whose tasks need `cpu_milli` thousandths of a core each.
    pub fn submit_sized(
        &mut self,
        vm: usize,
        tasks: u32,
        work_ms: u64,
        cpu_milli: u64,
    ) -> ClientJobId {
        let shape = JobShape {
            tasks,
            work_ms,
            cpu_milli,
            ..JobShape::default()
        };
        self.submit_shape(vm, shape)
    }

    /// Submits a job to a VM.
    pub fn submit_shape(&mut self, vm: usize, shape: JobShape) -> ClientJobId {
        let id = ClientJobId(self.next_job);
        self.next_job += 1;
        let job = Job {
            id,
            settings: QueueSettings {
                queue: QueueId(shape.queue),
                upstream: UpstreamId(1),
                priority: shape.priority,
                max_attempts: 3,
                stretch: 1.6,
                target: Duration::from_millis(60),
            },
            payload: "payload".into(),
            steps: vec![Step {
                count: shape.tasks,
                need: Resources {
                    cpu_milli: shape.cpu_milli,
                    memory_mb: 64,
                    accelerators: 0,
                },
                estimate: Duration::from_millis(shape.work_ms),
                after: Vec::new(),
                label: None,
                preferred_rack: None,
                max_per_worker: None,
            }],
            client_timeout: Duration::from_millis(shape.client_timeout_ms),
        };
        self.history.jobs.insert(
            id,
            JobRecord {
                job: Arc::new(job),
                client_state: ClientState::Waiting,
                submissions: 0,
                refusals: 0,
                answer: None,
                submitted_at: self.now,
                answered_at: None,
                completed_tasks: BTreeSet::new(),
                has_started: false,
                is_deadly: shape.is_deadly,
            },
        );
        self.send(id, vm);
        id
    }

    /// Submits a job again, as a client does whose answer was lost.
    pub fn submit_again(&mut self, id: ClientJobId, vm: usize) {
        self.send(id, vm);
    }

    pub(super) fn send(&mut self, id: ClientJobId, vm: usize) {
        let record = self.history.jobs.get_mut(&id).expect("the job is recorded");
        record.client_state = ClientState::Waiting;
        record.submissions += 1;
        let submission = record.submissions;
        let job = Arc::clone(&record.job);
        let wait = job.client_timeout + CLIENT_TIMEOUT_SLACK;
        let call = CallId(self.next_call);
        self.next_call += 1;
        if !self.is_up(vm) {
            self.schedule_resend(id);
            return;
        }
        self.vms[vm].calls.insert(call, id);
        self.push_event(self.now + LINK_LATENCY, vm, Event::Submit { call, job });
        self.push(
            self.now + u64::try_from(wait.as_micros()).expect("the time fits in 64 bits"),
            SimEvent::ClientTimeout(id, submission),
        );
    }

    /// Schedules the next submission of a job whose answer was lost, unless the client made the
    /// maximum number of submissions.
    pub(super) fn schedule_resend(&mut self, id: ClientJobId) {
        let record = self.history.jobs.get_mut(&id).expect("the job is recorded");
        if record.submissions < MAX_SUBMISSIONS {
            record.client_state = ClientState::AwaitingResend(self.now);
            self.push(self.now + CLIENT_RESEND, SimEvent::Resend(id));
        } else {
            record.client_state = ClientState::Finished(self.now);
        }
    }

    pub(super) fn resend(&mut self, id: ClientJobId) {
        // A client does not submit a job again that it has cancelled.
        if self.history.cancelled_at.contains_key(&id) {
            let record = self.history.jobs.get_mut(&id).expect("the job is recorded");
            record.client_state = ClientState::Finished(self.now);
            return;
        }
        let vm = self
            .resend_vm
            .unwrap_or_else(|| self.rng.random_range(0..self.vms.len()));
        self.send(id, vm);
    }

    pub(super) fn handle_client_timeout(&mut self, id: ClientJobId, submission: u32) {
        let record = &self.history.jobs[&id];
        if record.client_state == ClientState::Waiting && record.submissions == submission {
            self.close_calls(id);
            self.schedule_resend(id);
        }
    }

    /// Cancels a job at a VM.
    pub fn cancel(&mut self, id: ClientJobId, vm: usize) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.cancel_calls.insert(call, id);
        self.history.cancel_requests.insert(id);
        self.push_event(self.now + LINK_LATENCY, vm, Event::Cancel { call, job: id });
        call
    }

    pub(super) fn handle_cancel_ack(&mut self, call: CallId, outcome: CancelOutcome) {
        self.cancel_acks.insert(call, (outcome, self.now));
        let id = self.cancel_calls[&call];
        self.history.record_cancel_ack(self.now, id, outcome);
    }

    /// Submits a copy of the submission of a job whose cancellation was acknowledged `within_ms` ago at
    /// most. Does nothing if there is none. As for any submission of the same job, the one before was
    /// answered or given up `CLIENT_RESEND` before: the promise that no task has two runs requires that.
    pub fn submit_copy(&mut self, vm: usize, within_ms: u64) {
        let (since, until) = (
            self.now.saturating_sub(within_ms * MS),
            self.now.saturating_sub(CLIENT_RESEND),
        );
        let has_ended = |id: &ClientJobId| match self.history.jobs[id].client_state {
            ClientState::Finished(at) => at <= until,
            ClientState::Waiting | ClientState::AwaitingResend(_) => false,
        };
        let mut cancelled = self.history.cancelled_at.iter();
        let id = cancelled.find_map(|(id, at)| {
            let is_due = (since..=until).contains(at) && has_ended(id);
            is_due.then_some(*id)
        });
        if let Some(id) = id {
            self.submit_again(id, vm);
        }
    }

    /// Returns the id of the job that was submitted last but `back`.
    pub fn recent_job(&self, back: usize) -> Option<ClientJobId> {
        self.history.jobs.keys().nth_back(back).copied()
    }

    pub(super) fn count_cancels(&mut self, message: &Message) {
        let rows = match message {
            Message::Cancel(rows) => rows.len(),
            Message::CancelReplies(rows) => rows.len(),
            Message::CancelMarks(rows) => rows.len(),
            _ => return,
        };
        self.cancel_messages += 1;
        self.cancel_rows += rows as u64;
    }

    /// Lets the client disconnect without submitting the job again.
    pub fn abandon(&mut self, id: ClientJobId) {
        self.close_calls(id);
        let record = self.history.jobs.get_mut(&id).expect("the job is recorded");
        record.client_state = ClientState::Finished(self.now);
    }

    pub(super) fn close_calls(&mut self, id: ClientJobId) {
        for vm in 0..self.vms.len() {
            let call = self.vms[vm].calls.iter().find(|(_, job)| **job == id);
            if let Some((&call, _)) = call {
                self.vms[vm].calls.remove(&call);
                if !self.clients_leave_silently {
                    self.push_event(self.now + LINK_LATENCY, vm, Event::ClientGone(call));
                }
            }
        }
    }

    pub(super) fn handle_answer(&mut self, id: ClientJobId, answer: Answer) {
        self.history.record_answer(self.now, id, answer);
        let record = self.history.jobs.get_mut(&id).expect("the job is recorded");
        record.answer = Some(answer);
        record.answered_at = Some(self.now);
        // The platform sends a job again after a lost answer, but not after an error.
        let is_resent = |cause: LossCause| cause.name() != "start_in_flight";
        if matches!(answer, Answer::Lost(cause) if is_resent(cause)) {
            self.schedule_resend(id);
        } else {
            record.client_state = ClientState::Finished(self.now);
        }
    }

    /// Returns the configuration, with a queue that names the upstream of the workers.
    pub(super) fn queue_table(&self) -> Arc<QueueTable> {
        let queue = Queue {
            name: "queue".into(),
            host: "queue.example".into(),
            prefix: "/".into(),
            settings: QueueSettings {
                queue: QueueId(1),
                upstream: UpstreamId(1),
                priority: 0,
                max_attempts: 3,
                stretch: 1.6,
                target: Duration::from_millis(60),
            },
        };
        Arc::new(QueueTable::new(self.version, vec![queue], 0))
    }

    /// Activates a new configuration. The store delivers it to each VM after a random delay.
    pub fn change_queues(&mut self) {
        self.version += 1;
        for vm in 0..self.vms.len() {
            let table = self.queue_table();
            let wait = self.rng.random_range(1..200) * MS;
            self.push_event(self.now + wait, vm, Event::Queues(table));
        }
    }

    /// Activates a new configuration that the store delivers to the given VMs only.
    pub fn change_queues_at(&mut self, vms: &[usize]) {
        self.version += 1;
        for &vm in vms {
            let table = self.queue_table();
            self.push_event(self.now + MS, vm, Event::Queues(table));
        }
    }

    /// Returns the active configuration version of each running VM.
    pub fn config_versions(&self) -> Vec<u64> {
        let dispatchers = self.vms.iter().filter_map(|vm| vm.dispatcher.as_ref());
        let version = |row: &Dispatcher| row.queues().map_or(0, |table| table.version);
        dispatchers.map(version).collect()
    }

    /// Returns the time from the first submission to the refusal of a job in milliseconds, or
    /// `None` if it was not refused.
    pub fn refused_after(&self, id: ClientJobId) -> Option<u64> {
        let record = &self.history.jobs[&id];
        let refused = matches!(record.answer, Some(Answer::Refused { .. }));
        refused.then(|| (record.answered_at.unwrap_or(self.now) - record.submitted_at) / MS)
    }

    /// Returns the VM that holds the workers of a data centre. Panics unless there is exactly one.
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

    /// Returns the number of worker acquisitions by the running VMs since they started.
    pub fn acquisitions(&self) -> u64 {
        self.stats().map(|stats| stats.acquisitions).sum()
    }

    /// Returns the number of worker acquisitions by a VM since it started.
    pub fn acquisitions_of(&self, vm: usize) -> u64 {
        let dispatcher = self.vms[vm].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.stats().acquisitions)
    }

    /// Returns the number of workers that the running VMs hold.
    pub fn held_workers(&self) -> u64 {
        self.stats().map(|stats| stats.held_workers).sum()
    }

    /// Returns the shape of the deployment.
    pub const fn shape(&self) -> Shape {
        self.shape
    }

    /// Returns the running VM of a data centre with this number, largest first.
    pub fn ranked_vm(&self, data_centre: usize, rank: usize) -> Option<usize> {
        let vms = (0..self.vms.len()).filter(|vm| vm % self.shape.data_centres == data_centre);
        let mut running: Vec<usize> = vms.filter(|&vm| self.is_up(vm)).collect();
        running.sort_by_key(|&vm| std::cmp::Reverse(self.weight(vm)));
        running.get(rank).copied()
    }

    /// Returns the VMs that hold workers.
    pub fn holders(&self) -> Vec<usize> {
        let vms = 0..self.vms.len();
        vms.filter(|&vm| self.stats_of(vm).held_workers > 0)
            .collect()
    }

    /// Takes the observed waits of a running VM.
    pub fn take_observations(&mut self, vm: usize) -> Vec<WaitObservation> {
        let dispatcher = self.vms[vm].dispatcher.as_mut();
        dispatcher.map_or_else(Vec::new, Dispatcher::take_wait_observations)
    }

    /// Returns the statistics of a VM; zeros if it is down.
    pub fn stats_of(&self, vm: usize) -> Stats {
        let dispatcher = self.vms[vm].dispatcher.as_ref();
        dispatcher.map_or_else(Stats::default, Dispatcher::stats)
    }

    fn stats(&self) -> impl Iterator<Item = Stats> {
        let dispatchers = self.vms.iter().filter_map(|vm| vm.dispatcher.as_ref());
        dispatchers.map(Dispatcher::stats)
    }

    /// Returns the time from the first submission to the answer of a job in milliseconds, or `None`
    /// if it did not complete.
    pub fn completed_in(&self, id: ClientJobId) -> Option<u64> {
        let record = &self.history.jobs[&id];
        let completed = record.answer == Some(Answer::Completed);
        completed.then(|| (record.answered_at.unwrap_or(self.now) - record.submitted_at) / MS)
    }
}
