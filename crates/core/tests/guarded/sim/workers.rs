//! Simulated workers: their registry entries, and requests and replies.

use super::*;

/// Time for which a VM must have been up for its starts to count against the platform's limit.
const CONTACT_TIME: u64 = 3_000 * MS;

impl Sim {
    pub(super) fn worker_id(worker: usize) -> WorkerId {
        WorkerId((worker as u64) << 32)
    }

    /// Returns the address of a worker.
    fn address(worker: usize) -> SocketAddr {
        let port = u16::try_from(worker + 1).expect("few workers");
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }

    pub fn registry_entry(&self, worker: usize) -> WorkerEntry {
        let row = &self.workers[worker];
        WorkerEntry {
            id: Self::worker_id(worker),
            address: Self::address(worker),
            upstream: UpstreamId(1),
            data_centre: DataCentreId((worker % self.shape.data_centres) as u64),
            capacity: row.capacity,
            labels: vec![row.kind.into()],
            draining: row.draining_since.is_some(),
            cold_left: Duration::from_millis(row.cold_left_ms),
            boot: Some(row.boot),
        }
    }

    /// Delivers the registry entry of a worker, or its removal, to all VMs that follow the registry.
    pub fn publish_worker(&mut self, worker: usize) {
        for vm in 0..self.vms.len() {
            if !self.vms[vm].follows_workers {
                continue;
            }
            let event = if self.workers[worker].up {
                Event::Worker(self.registry_entry(worker))
            } else {
                Event::WorkerGone(Self::worker_id(worker))
            };
            self.push_event(self.now + 5 * MS, vm, event);
        }
    }

    /// Delivers an entry that another writer left in the store to all VMs that follow the registry.
    pub fn publish_entry(&mut self, entry: &WorkerEntry) {
        for vm in 0..self.vms.len() {
            if self.vms[vm].follows_workers {
                self.push_event(self.now + 5 * MS, vm, Event::Worker(entry.clone()));
            }
        }
    }

    /// Marks a worker as draining in the registry, which the VMs of its data centre can't read.
    pub fn drain_unread(&mut self, worker: usize) {
        self.workers[worker].draining_since = Some(self.now);
        let entry = self.registry_entry(worker);
        for vm in 0..self.vms.len() {
            let is_rejected = self.vms[vm].me.data_centre == entry.data_centre;
            if self.vms[vm].follows_workers && !is_rejected {
                self.push_event(self.now + 5 * MS, vm, Event::Worker(entry.clone()));
            }
        }
    }

    /// Lets a VM read the registry, in which nothing has changed.
    pub fn read_registry(&mut self, vm: usize) {
        self.push_event(self.now + MS, vm, Event::RegistryRead);
    }

    /// Restarts a worker immediately, under the same id.
    pub fn reboot_worker(&mut self, worker: usize) {
        self.reboot_unlisted(worker);
        self.publish_worker(worker);
    }

    /// Restarts a worker immediately, under the same id. Its entry stays that of the boot before.
    pub fn reboot_unlisted(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.history.record_crash(task);
            self.history.record_run_end(worker, task);
        }
        self.workers[worker].reboot(self.now);
        for pending in std::mem::take(&mut self.polls[worker]) {
            let action = Action::Poll(pending.poll);
            if self.vms[pending.vm].boot == pending.boot {
                self.reply_unanswered(pending.vm, &action, REQUEST_TIMEOUT);
            }
        }
    }

    /// Changes the capacity of a running worker, which the registry shows.
    pub fn resize_worker(&mut self, worker: usize, percent: u64) {
        let cpu_milli = WORKER_CPU_MILLI * percent / 100;
        self.workers[worker].resize(self.now, cpu_milli);
        self.publish_worker(worker);
    }

    /// Marks a worker as draining in the registry.
    pub fn drain_worker(&mut self, worker: usize) {
        self.workers[worker].draining_since = Some(self.now);
        self.publish_worker(worker);
    }

    /// Returns whether a VM has been up for as long as the platform's limits on starts require.
    fn is_in_touch(&self, vm: usize) -> bool {
        self.now >= self.vms[vm].started + CONTACT_TIME
    }

    /// Returns the time since which a VM has been up and no messages between VMs were lost; `None` while
    /// they are.
    fn in_contact_since(&self, vm: usize) -> Option<u64> {
        let is_cut = !self.cut.is_empty();
        (!is_cut).then_some(self.vms[vm].started.max(self.cut_at))
    }

    /// Crashes a worker, which starts again under the same id after a while. Connections to it are
    /// closed, and its address refuses new ones.
    pub fn crash_and_restart(&mut self, worker: usize) {
        self.crash_for(worker, WORKER_RESTART_DELAY);
    }

    /// Same as [`Sim::crash_and_restart`], with the time until the restart in microseconds.
    pub(super) fn crash_for(&mut self, worker: usize, delay: u64) {
        if !self.workers[worker].up {
            return;
        }
        for task in self.workers[worker].tasks() {
            self.history.record_crash(task);
        }
        self.crash_worker(worker);
        for pending in std::mem::take(&mut self.polls[worker]) {
            let event = Event::Polled {
                worker: pending.poll.worker,
                poll: pending.poll.id,
                reply: PollReply::Ended,
            };
            self.reply(pending.vm, pending.boot, event);
        }
        self.push(self.now + delay, SimEvent::RestartWorker(worker));
    }

    /// Crashes a worker, which starts again under the same id after `ms`. Connections to it go silent, and its
    /// address refuses new ones.
    pub fn crash_silently(&mut self, worker: usize, ms: u64) {
        for task in self.workers[worker].tasks() {
            self.history.record_crash(task);
        }
        self.crash_worker(worker);
        for pending in std::mem::take(&mut self.polls[worker]) {
            let action = Action::Poll(pending.poll);
            if self.vms[pending.vm].boot == pending.boot {
                self.reply_unanswered(pending.vm, &action, REQUEST_TIMEOUT);
            }
        }
        self.push(self.now + ms * MS, SimEvent::RestartWorker(worker));
    }

    pub(super) fn restart_worker(&mut self, worker: usize) {
        if !self.workers[worker].up {
            self.workers[worker].reboot(self.now);
            self.publish_worker(worker);
        }
    }

    /// Returns the number of workers that are down.
    pub fn crashed_workers(&self) -> usize {
        self.workers.iter().filter(|row| !row.up).count()
    }

    /// Stops a worker for good. Its registry entry stays.
    pub fn crash_worker(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.history.record_run_end(worker, task);
        }
        self.workers[worker].reboot(self.now);
        self.workers[worker].up = false;
    }

    /// Removes a crashed worker from the registry.
    pub fn unlist_worker(&mut self, worker: usize) {
        self.publish_worker(worker);
    }

    /// Replaces a worker by another one at the same address. The registry entry of the former
    /// stays.
    pub fn replace_worker(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.history.record_run_end(worker, task);
        }
        self.workers[worker].reboot(self.now);
        self.replaced_workers.insert(worker);
    }

    /// Raises the fencing tokens of all workers to values ahead of the wall clock.
    pub fn raise_tokens(&mut self, ahead_ms: u64) {
        let step = (self.unix_ms() + ahead_ms) / 100;
        for worker in &mut self.workers {
            worker.raise_token(FencingToken(step << 20));
        }
    }

    pub fn set_behaviour(&mut self, worker: usize, behaviour: Behaviour) {
        self.workers[worker].behaviour = behaviour;
        self.history.has_failing_workers |= behaviour == Behaviour::FailAll;
    }

    pub(super) fn send_request(&mut self, vm: usize, id: WorkerId, action: Action) {
        let worker = (id.0 >> 32) as usize;
        let boot = self.vms[vm].boot;
        if address_of(&action) != Some(Self::address(worker)) {
            // Another worker answers there.
            self.misdirected_requests += 1;
            if let Some(event) = other_boot_reply(&action) {
                self.reply(vm, boot, event);
            }
            return;
        }
        let wait = match &action {
            Action::Poll(poll) => {
                u64::try_from(poll.wait.as_micros()).expect("the wait fits in 64 bits")
            }
            _ => 0,
        };
        if !self.workers[worker].up {
            // The connection is refused without a timeout.
            self.misdirected_requests += 1;
            let pause = if matches!(action, Action::Poll(_)) {
                50 * MS
            } else {
                LINK_LATENCY
            };
            self.reply_unanswered(vm, &action, pause);
            return;
        }
        if self.worker_cut.contains(&(vm, worker)) || self.loses_request(vm, worker, &action) {
            self.reply_unanswered(vm, &action, REQUEST_TIMEOUT + wait);
            return;
        }
        if self.starts_to_hold > 0 && matches!(action, Action::Start(_)) {
            self.starts_to_hold -= 1;
            self.reply_unanswered(vm, &action, REQUEST_TIMEOUT);
            self.held_starts.push((worker, vm, boot, action));
            return;
        }
        if self.rng.random_bool(self.delayed_request_ratio) {
            let delay = self.rng.random_range(2_000..12_000) * MS;
            self.reply_unanswered(vm, &action, REQUEST_TIMEOUT + wait);
            self.push(
                self.now + delay,
                SimEvent::Request(worker, vm, boot, action, false),
            );
            return;
        }
        // Drawn only while stops are lost, so that seeds without it give the same course.
        if matches!(action, Action::Stop(_))
            && self.lost_stop_ratio > 0.0
            && self.rng.random_bool(self.lost_stop_ratio)
        {
            self.reply_unanswered(vm, &action, REQUEST_TIMEOUT);
            return;
        }
        let is_lost = self.rng.random_bool(self.lost_reply_ratio);
        let answered = !is_lost && !self.loses_replies(vm, worker);
        if !answered {
            self.reply_unanswered(vm, &action, REQUEST_TIMEOUT + wait);
        }
        let latency = LINK_LATENCY + self.rng.random_range(0..400);
        self.push(
            self.now + latency,
            SimEvent::Request(worker, vm, boot, action, answered),
        );
    }

    /// Returns the worker that the first start held back was meant for.
    pub fn held_start_worker(&self) -> usize {
        self.held_starts[0].0
    }

    /// Lets the worker carry out the first start that was held back.
    pub fn deliver_held_start(&mut self) {
        let (worker, vm, boot, action) = self.held_starts.remove(0);
        assert!(self.workers[worker].up, "worker {worker} is down");
        self.handle_request(worker, vm, boot, action, false);
    }

    pub(super) fn reply_unanswered(&mut self, vm: usize, action: &Action, after: u64) {
        let event = match action {
            Action::Poll(poll) => Event::Polled {
                worker: poll.worker,
                poll: poll.id,
                reply: PollReply::Silent,
            },
            Action::Start(start) => Event::Started {
                worker: start.worker,
                run: start.run,
                reply: StartReply::Silent,
            },
            Action::Stop(stop) => Event::Stopped {
                worker: stop.worker,
                run: stop.run,
                reply: StopReply::Unanswered,
            },
            _ => return,
        };
        self.push_event(self.now + after, vm, event);
    }

    pub(super) fn reply(&mut self, vm: usize, boot: u32, event: Event) {
        self.push(self.now + LINK_LATENCY, SimEvent::Deliver(vm, boot, event));
    }

    pub(super) fn handle_request(
        &mut self,
        worker: usize,
        vm: usize,
        boot: u32,
        action: Action,
        answered: bool,
    ) {
        if !self.workers[worker].up {
            // The worker crashed while the request was on its way.
            if answered {
                self.reply_unanswered(vm, &action, LINK_LATENCY);
            }
            return;
        }
        self.advance_worker(worker);
        if self.replaced_workers.contains(&worker) {
            self.misdirected_requests += 1;
            if let Some(event) = other_boot_reply(&action).filter(|_| answered) {
                self.reply(vm, boot, event);
            }
            return;
        }
        if self.refuses_request(worker, &action) {
            if let Some(event) = refusal(&action).filter(|_| answered) {
                self.reply(vm, boot, event);
            }
            return;
        }
        match action {
            Action::Poll(poll) => self.poll(worker, vm, boot, poll, answered),
            Action::Start(start) => {
                let before: BTreeSet<TaskId> = self.workers[worker].tasks().collect();
                let (need, work) = self.requirements(start.run.task);
                let work = self.actual_work(worker, work);
                let (token, end) = (start.token, start.lease_end_ms);
                let row = &mut self.workers[worker];
                let reply = row.start(self.now, start.run, token, end, need, work);
                let is_new_run = matches!(reply, StartReply::Started { .. })
                    && !before.contains(&start.run.task);
                if is_new_run {
                    self.check_draining(worker, answered);
                    self.check_capacity(worker, answered);
                    let in_touch = self.is_in_touch(vm);
                    if let Some(since) = self.in_contact_since(vm) {
                        self.history
                            .check_cancelled(self.now, start.run.task, since);
                    }
                    self.history
                        .record_start(self.now, worker, start.run.task, in_touch);
                    if self.history.is_deadly(start.run.task) {
                        let boot = self.workers[worker].boot;
                        let at = self.now + CRASH_DELAY;
                        self.push(at, SimEvent::Crash(worker, boot, start.run.task));
                    }
                }
                if answered {
                    let id = Self::worker_id(worker);
                    let run = start.run;
                    let event = Event::Started {
                        worker: id,
                        run,
                        reply,
                    };
                    self.reply(vm, boot, event);
                }
            }
            Action::Stop(stop) => {
                let reply = self.workers[worker].stop(self.now, stop.run, stop.token);
                if answered {
                    let event = Event::Stopped {
                        worker: stop.worker,
                        run: stop.run,
                        reply,
                    };
                    self.reply(vm, boot, event);
                }
            }
            _ => {}
        }
        self.schedule_worker(worker);
    }

    /// Checks that no run starts on a worker that has been draining for more than 2 s. Requests
    /// whose reply was lost or that were delayed don't count.
    pub(super) fn check_draining(&self, worker: usize, answered: bool) {
        let since = self.workers[worker].draining_since;
        let known = since.is_some_and(|since| self.now > since + 2_000 * MS);
        assert!(
            !(known && answered),
            "run started on draining worker {worker}"
        );
    }

    /// Checks that a start did not bring a worker over its capacity. Requests whose reply was lost or
    /// that were delayed don't count.
    fn check_capacity(&self, worker: usize, answered: bool) {
        let is_overloaded = self.workers[worker].is_overloaded(self.now);
        assert!(
            !(is_overloaded && answered),
            "run started on worker {worker} beyond its capacity"
        );
    }

    pub(super) fn poll(&mut self, worker: usize, vm: usize, boot: u32, poll: Poll, answered: bool) {
        let row = &mut self.workers[worker];
        let status = row.poll(self.now, poll.token, poll.lease_end_ms, poll.last_seen);
        if !answered {
            return;
        }
        let Some(status) = status else {
            let event = Event::Polled {
                worker: poll.worker,
                poll: poll.id,
                reply: PollReply::Fenced,
            };
            self.reply(vm, boot, event);
            return;
        };
        if row.has_ended_runs() || poll.wait.is_zero() {
            let event = Event::Polled {
                worker: poll.worker,
                poll: poll.id,
                reply: PollReply::Listed(status),
            };
            self.reply(vm, boot, event);
            return;
        }
        let until =
            self.now + u64::try_from(poll.wait.as_micros()).expect("the wait fits in 64 bits");
        let worker_boot = row.boot;
        self.polls[worker].push(PendingPoll {
            vm,
            boot,
            poll,
            until,
        });
        self.push(until, SimEvent::Worker(worker, worker_boot));
    }

    pub(super) fn advance_worker(&mut self, worker: usize) {
        let before: Vec<TaskId> = self.workers[worker].tasks().collect();
        self.workers[worker].advance(self.now);
        let after: BTreeSet<TaskId> = self.workers[worker].tasks().collect();
        let status = self.workers[worker].status(self.now);
        for task in before.into_iter().filter(|task| !after.contains(task)) {
            self.history.record_run_end(worker, task);
            let end = status.ended.iter().rev().find(|end| end.run.task == task);
            if let Some(end) = end {
                self.history.record_completion(task, end.end);
            }
        }
        let now = self.now;
        let is_due = |pending: &mut PendingPoll| pending.until <= now || !status.ended.is_empty();
        let due: Vec<_> = self.polls[worker].extract_if(.., is_due).collect();
        for pending in due {
            let event = Event::Polled {
                worker: pending.poll.worker,
                poll: pending.poll.id,
                reply: PollReply::Listed(status.clone()),
            };
            self.reply(pending.vm, pending.boot, event);
        }
        self.schedule_worker(worker);
    }

    pub(super) fn schedule_worker(&mut self, worker: usize) {
        let row = &self.workers[worker];
        if let Some(at) = row.next_event_at(self.now).filter(|&at| at != u64::MAX) {
            let boot = row.boot;
            self.push(at, SimEvent::Worker(worker, boot));
        }
    }

    /// Returns the actual run time of a task with this estimate on a worker.
    fn actual_work(&mut self, worker: usize, estimate: u64) -> u64 {
        let slowness = self.workers[worker].slowness;
        let range = self.run_time_error.clone();
        // Drawn only if it matters, so that seeds without it give the same course.
        let error = if range.start() < range.end() {
            self.rng.random_range(range)
        } else {
            *range.start()
        };
        (estimate as f64 * slowness * error) as u64
    }

    pub(super) fn requirements(&self, task: TaskId) -> (Resources, u64) {
        let job = &self.history.jobs[&task.job].job;
        let step = &job.steps[task.step as usize];
        let work = u64::try_from(step.estimate.as_micros()).expect("the estimate fits in 64 bits");
        (step.need, work)
    }
}

/// Returns the address that a request to a worker is sent to.
const fn address_of(action: &Action) -> Option<SocketAddr> {
    match action {
        Action::Poll(poll) => Some(poll.address),
        Action::Start(start) => Some(start.address),
        Action::Stop(stop) => Some(stop.address),
        _ => None,
    }
}

/// Returns the reply of a worker that replaced the one the request is meant for.
fn other_boot_reply(action: &Action) -> Option<Event> {
    Some(match action {
        Action::Poll(poll) => Event::Polled {
            worker: poll.worker,
            poll: poll.id,
            reply: PollReply::OtherBoot,
        },
        Action::Start(start) => Event::Started {
            worker: start.worker,
            run: start.run,
            reply: StartReply::OtherBoot,
        },
        Action::Stop(stop) => Event::Stopped {
            worker: stop.worker,
            run: stop.run,
            reply: StopReply::OtherBoot,
        },
        _ => return None,
    })
}

/// Returns what a VM makes of a refusal without effect; `None` for other actions.
fn refusal(action: &Action) -> Option<Event> {
    Some(match action {
        Action::Poll(poll) => Event::Polled {
            worker: poll.worker,
            poll: poll.id,
            reply: PollReply::Silent,
        },
        Action::Start(start) => Event::Started {
            worker: start.worker,
            run: start.run,
            reply: StartReply::Unwell,
        },
        _ => return None,
    })
}
