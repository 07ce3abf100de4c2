//! Workers and the orders that reach them.

use super::*;
impl Sim {
    pub(super) fn worker_id(worker: usize) -> WorkerId {
        WorkerId((worker as u64) << 32)
    }

    pub(super) fn entry(&self, worker: usize) -> WorkerEntry {
        let row = &self.workers[worker];
        WorkerEntry {
            id: Self::worker_id(worker),
            upstream: UpstreamId(1),
            data_centre: DataCentreId((worker % self.shape.data_centres) as u64),
            capacity: row.capacity,
            labels: vec!["a".into()],
            draining: row.draining_since.is_some(),
        }
    }

    /// The registry tells all VMs of a worker.
    pub(super) fn announce(&mut self, worker: usize) {
        for vm in 0..self.vms.len() {
            let event = if self.workers[worker].up {
                Event::Worker(self.entry(worker))
            } else {
                Event::WorkerGone(Self::worker_id(worker))
            };
            self.event(self.now + 5 * MS, vm, event);
        }
    }

    /// A worker starts anew under its id, at once.
    pub fn reboot_worker(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.ledger.ended(worker, task);
        }
        self.workers[worker].reboot(self.now);
        for pending in std::mem::take(&mut self.polls[worker]) {
            let action = Action::Poll(pending.poll);
            if self.vms[pending.vm].boot == pending.boot {
                self.silent(pending.vm, &action, ORDER_TIMEOUT);
            }
        }
        self.announce(worker);
    }

    /// A worker leaves: it gets no new work and takes none after a while.
    pub fn drain_worker(&mut self, worker: usize) {
        self.workers[worker].draining_since = Some(self.now);
        self.announce(worker);
    }

    /// A worker is gone for good; its entry stays.
    pub fn crash_worker(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.ledger.ended(worker, task);
        }
        self.workers[worker].reboot(self.now);
        self.workers[worker].up = false;
    }

    /// Another worker answers at the address of this one, whose entry the registry still has.
    pub fn replace_worker(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.ledger.ended(worker, task);
        }
        self.workers[worker].reboot(self.now);
        self.replaced.insert(worker);
    }

    /// Lets all workers have seen fencing tokens that are ahead of the time of day.
    pub fn raise_tokens(&mut self, ahead_ms: u64) {
        let step = (self.unix_ms() + ahead_ms) / 100;
        for worker in &mut self.workers {
            worker.raise_token(FencingToken(step << 20));
        }
    }

    pub fn set_conduct(&mut self, worker: usize, conduct: Conduct) {
        self.workers[worker].conduct = conduct;
    }

    pub(super) fn send_order(&mut self, vm: usize, id: WorkerId, action: Action) {
        let worker = (id.0 >> 32) as usize;
        let boot = self.vms[vm].boot;
        let wait = match &action {
            Action::Poll(poll) => u64::try_from(poll.wait.as_micros()).expect("a short wait"),
            _ => 0,
        };
        if !self.workers[worker].up {
            // The connection is refused at once.
            self.misdirected += 1;
            let pause = if matches!(action, Action::Poll(_)) {
                50 * MS
            } else {
                HOP
            };
            self.silent(vm, &action, pause);
            return;
        }
        if self.worker_cut.contains(&(vm, worker)) {
            self.silent(vm, &action, ORDER_TIMEOUT + wait);
            return;
        }
        if self.rng.random_bool(self.late_share) {
            let late = self.rng.random_range(2_000..12_000) * MS;
            self.silent(vm, &action, ORDER_TIMEOUT + wait);
            self.push(self.now + late, Ev::Action(worker, vm, boot, action, false));
            return;
        }
        let answered = !self.rng.random_bool(self.lost_share);
        if !answered {
            self.silent(vm, &action, ORDER_TIMEOUT + wait);
        }
        let hop = HOP + self.rng.random_range(0..400);
        self.push(
            self.now + hop,
            Ev::Action(worker, vm, boot, action, answered),
        );
    }

    pub(super) fn silent(&mut self, vm: usize, action: &Action, after: u64) {
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
            Action::Stop { worker, run, .. } => Event::Stopped {
                worker: *worker,
                run: *run,
                reply: StopReply::Silent,
            },
            _ => return,
        };
        self.event(self.now + after, vm, event);
    }

    pub(super) fn reply(&mut self, vm: usize, boot: u32, event: Event) {
        self.push(self.now + HOP, Ev::Deliver(vm, boot, event));
    }

    pub(super) fn carry_out(
        &mut self,
        worker: usize,
        vm: usize,
        boot: u32,
        action: Action,
        answered: bool,
    ) {
        self.advance_worker(worker);
        if self.replaced.contains(&worker) {
            self.misdirected += 1;
            if let Some(event) = misdirected(&action) {
                self.reply(vm, boot, event);
            }
            return;
        }
        match action {
            Action::Poll(poll) => self.poll(worker, vm, boot, poll, answered),
            Action::Start(start) => {
                let before: BTreeSet<TaskId> = self.workers[worker].tasks().collect();
                let (need, work) = self.shape_of(start.run.task);
                let (token, end) = (start.token, start.lease_end_ms);
                let row = &mut self.workers[worker];
                let reply = row.start(self.now, start.run, token, end, need, work);
                let fresh = matches!(reply, StartReply::Started { .. })
                    && !before.contains(&start.run.task);
                if fresh {
                    self.check_draining(worker, answered);
                    self.ledger.started(self.now, worker, start.run.task);
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
            Action::Stop {
                worker: id,
                run,
                token,
            } => {
                let reply = self.workers[worker].stop(self.now, run, token);
                if answered {
                    let event = Event::Stopped {
                        worker: id,
                        run,
                        reply,
                    };
                    self.reply(vm, boot, event);
                }
            }
            _ => {}
        }
        self.schedule_worker(worker);
    }

    /// A worker that is known to drain gets no new work; orders carried out late don't count.
    pub(super) fn check_draining(&self, worker: usize, answered: bool) {
        let since = self.workers[worker].draining_since;
        let known = since.is_some_and(|since| self.now > since + 2_000 * MS);
        assert!(!(known && answered), "a start on draining worker {worker}");
    }

    pub(super) fn poll(&mut self, worker: usize, vm: usize, boot: u32, poll: Poll, answered: bool) {
        let row = &mut self.workers[worker];
        let listing = row.poll(self.now, poll.token, poll.lease_end_ms, poll.last_seen);
        if !answered {
            return;
        }
        let Some(listing) = listing else {
            let event = Event::Polled {
                worker: poll.worker,
                poll: poll.id,
                reply: PollReply::Fenced,
            };
            self.reply(vm, boot, event);
            return;
        };
        if row.has_ends() || poll.wait.is_zero() {
            let event = Event::Polled {
                worker: poll.worker,
                poll: poll.id,
                reply: PollReply::Listed(listing),
            };
            self.reply(vm, boot, event);
            return;
        }
        let until = self.now + u64::try_from(poll.wait.as_micros()).expect("a short wait");
        let boot_of_worker = row.boot;
        self.polls[worker].push(PendingPoll {
            vm,
            boot,
            poll,
            until,
        });
        self.push(until, Ev::Worker(worker, boot_of_worker));
    }

    pub(super) fn advance_worker(&mut self, worker: usize) {
        let before: Vec<TaskId> = self.workers[worker].tasks().collect();
        self.workers[worker].advance(self.now);
        let after: BTreeSet<TaskId> = self.workers[worker].tasks().collect();
        let listing = self.workers[worker].listing(self.now);
        for task in before.into_iter().filter(|task| !after.contains(task)) {
            self.ledger.ended(worker, task);
            let end = listing.ended.iter().rev().find(|end| end.run.task == task);
            if let Some(end) = end {
                self.ledger.saw_end(task, end.end);
            }
        }
        let now = self.now;
        let is_due = |pending: &mut PendingPoll| pending.until <= now || !listing.ended.is_empty();
        let due: Vec<_> = self.polls[worker].extract_if(.., is_due).collect();
        for pending in due {
            let event = Event::Polled {
                worker: pending.poll.worker,
                poll: pending.poll.id,
                reply: PollReply::Listed(listing.clone()),
            };
            self.reply(pending.vm, pending.boot, event);
        }
        self.schedule_worker(worker);
    }

    pub(super) fn schedule_worker(&mut self, worker: usize) {
        let row = &self.workers[worker];
        if let Some(at) = row.next_change(self.now).filter(|&at| at != u64::MAX) {
            let boot = row.boot;
            self.push(at, Ev::Worker(worker, boot));
        }
    }

    pub(super) fn shape_of(&self, task: TaskId) -> (Resources, u64) {
        let job = &self.ledger.jobs[&task.job].job;
        let step = &job.steps[task.step as usize];
        let work = u64::try_from(step.estimate.as_micros()).expect("a short task");
        (step.need, work)
    }
}

/// The reply of another worker than the one that an order is meant for.
fn misdirected(action: &Action) -> Option<Event> {
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
        Action::Stop { worker, run, .. } => Event::Stopped {
            worker: *worker,
            run: *run,
            reply: StopReply::OtherBoot,
        },
        _ => return None,
    })
}
