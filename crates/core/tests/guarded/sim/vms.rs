//! Simulated VMs: start, stop, kill, and the actions of their dispatchers.

use super::*;
impl Sim {
    /// Starts a VM with a new incarnation.
    pub fn boot(&mut self, vm: usize) {
        let me = self.incarnation(vm);
        let row = &mut self.vms[vm];
        row.me = me;
        row.boot += 1;
        row.started = self.now;
        row.frozen_since = None;
        row.suspended_total = 0;
        row.backlog.clear();
        row.is_powerless = false;
        row.wanted.clear();
        row.follows_workers = false;
        let weight = self.weight(vm);
        let row = &mut self.vms[vm];
        let dispatcher = Dispatcher::new(Identity { me, weight }, self.policy);
        row.dispatcher = Some(match &self.shares {
            Some(shares) => dispatcher.with_shares(shares.clone()),
            None => dispatcher,
        });
        row.next_tick_at = self.now;
        let boot = row.boot;
        self.push(self.now, SimEvent::Tick(vm, boot));
        if !self.configuration_unavailable {
            let table = self.queue_table();
            self.push_event(self.now + MS, vm, Event::Queues(table));
            self.list_evacuations(vm);
        }
        self.publish_vms(vm);
        for peer in 0..self.vms.len() {
            let wait = self.rng.random_range(20..300) * MS;
            self.push(self.now + wait, SimEvent::Reconnect(vm, peer));
        }
    }

    /// Returns the weight of a VM.
    pub(super) fn weight(&self, vm: usize) -> u32 {
        let weights = self.shape.weights;
        weights[(vm / self.shape.data_centres) % weights.len()]
    }

    /// Delivers the registry of the VMs to one that has just started, and then to the others.
    fn publish_vms(&mut self, started: usize) {
        let entries = (0..self.vms.len()).map(|vm| VmEntry {
            vm: self.vms[vm].me.vm,
            data_centre: self.vms[vm].me.data_centre,
            weight: self.weight(vm),
            revision: u64::from(self.vms[vm].boot),
        });
        let entries: Vec<VmEntry> = entries.collect();
        for vm in 0..self.vms.len() {
            let delay = if vm == started { MS } else { 5 * MS };
            self.push_event(self.now + delay, vm, Event::VmsListed(entries.clone()));
        }
    }

    /// Kills a VM. If `power` is set, the VM loses power: its connections are not closed.
    pub fn kill(&mut self, vm: usize, power: bool) {
        if self.vms[vm].dispatcher.take().is_none() {
            return;
        }
        let me = self.vms[vm].me;
        self.vms[vm].boot += 1;
        self.vms[vm].is_powerless = power;
        self.drop_links(
            vm,
            me,
            if power {
                LINK_IDLE_TIMEOUT
            } else {
                LINK_LATENCY
            },
        );
        let calls = std::mem::take(&mut self.vms[vm].calls);
        for id in calls.into_values() {
            self.schedule_resend(id);
        }
    }

    pub(super) fn drop_links(&mut self, vm: usize, me: Incarnation, delay: u64) {
        for peer in 0..self.vms.len() {
            if let Some(link) = self.remove_link(vm, peer) {
                let boot = self.vms[peer].boot;
                self.push(self.now + delay, SimEvent::LinkDown(peer, boot, me, link));
            }
        }
    }

    /// Stops a VM gracefully.
    pub fn stop(&mut self, vm: usize) {
        if self.is_up(vm) {
            self.push_event(self.now, vm, Event::Stop);
        }
    }

    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].dispatcher.is_some()
    }

    /// Returns the time of day.
    pub(super) const fn unix_ms(&self) -> u64 {
        1_790_000_000_000 + self.now / MS
    }

    pub(super) fn vm_time(&self, vm: usize) -> Time {
        let row = &self.vms[vm];
        Time::from_micros(self.now - row.started - row.suspended_total)
    }

    /// Passes events to the dispatcher on a VM, followed by a tick.
    pub(super) fn run_vm(&mut self, vm: usize, events: Vec<Event>) {
        if self.vms[vm].frozen_since.is_some() {
            return;
        }
        let (now, unix_ms) = (self.vm_time(vm), self.unix_ms());
        for event in &events {
            self.record_arrival(vm, event);
        }
        let mut actions = Vec::new();
        let Some(dispatcher) = &mut self.vms[vm].dispatcher else {
            return;
        };
        for event in events {
            dispatcher.handle(now, unix_ms, event, &mut actions);
        }
        dispatcher.tick(now, unix_ms, &mut actions);
        let next = dispatcher
            .next_tick()
            .expect("a running dispatcher has a timer");
        let wait = u64::try_from(next.since(now).as_micros()).expect("the time fits in 64 bits");
        let at = self.now + wait.max(100);
        self.vms[vm].next_tick_at = at;
        let boot = self.vms[vm].boot;
        self.push(at, SimEvent::Tick(vm, boot));
        for action in actions {
            self.perform_action(vm, action);
        }
    }

    fn record_arrival(&mut self, vm: usize, event: &Event) {
        match event {
            Event::Submit { call, .. } => {
                self.vms[vm].received_calls.insert(*call);
            }
            Event::PeerUp(peer) => self.record_known_link(vm, *peer),
            Event::PeerDown(peer) => {
                self.known_links.remove(&(vm, *peer));
            }
            _ => {}
        }
    }

    pub(super) fn perform_action(&mut self, vm: usize, action: Action) {
        match action {
            Action::Answer { call, answer } => {
                // The client may have closed the call already.
                if let Some(id) = self.vms[vm].calls.remove(&call) {
                    self.handle_answer(id, answer);
                }
            }
            Action::Acknowledge { call, outcome } => {
                self.handle_cancel_ack(call, outcome);
            }
            Action::Connect(vms) => self.set_wanted(vm, vms),
            Action::Disconnect(peer) => self.disconnect(vm, peer),
            Action::FollowWorkers(follow) => {
                self.vms[vm].follows_workers = follow;
                if follow {
                    let entries = (0..self.workers.len()).filter(|&w| self.workers[w].up);
                    let entries: Vec<_> = entries.map(|w| self.registry_entry(w)).collect();
                    self.push_event(self.now + 2 * MS, vm, Event::WorkersListed(entries));
                }
            }
            Action::Send { to, message } => {
                self.count_heartbeat(vm, to, &message);
                self.count_cancels(&message);
                self.queues_sent += u64::from(matches!(message, Message::Queues(_)));
                let Some(peer) = (0..self.vms.len()).find(|&p| self.vms[p].me == to) else {
                    return;
                };
                // The message is lost if the connection that the sender knows of was replaced.
                let is_current = self.known_links.get(&(vm, to)) == self.links.get(&(vm, peer));
                if is_current
                    && self.links.contains_key(&(vm, peer))
                    && !self.cut.contains(&(vm, peer))
                {
                    let from = self.vms[vm].me;
                    self.push_event(
                        self.now + LINK_LATENCY,
                        peer,
                        Event::Message { from, message },
                    );
                }
            }
            Action::Poll(poll) => self.send_request(vm, poll.worker, Action::Poll(poll)),
            Action::Start(start) => {
                self.orders[vm] += 1;
                self.send_request(vm, start.worker, Action::Start(start));
            }
            Action::Stop(stop) => {
                self.orders[vm] += 1;
                self.send_request(vm, stop.worker, Action::Stop(stop));
            }
            Action::AdoptQueues(table) => {
                let boot = self.vms[vm].boot;
                self.history.record_configuration(vm, boot, table.version);
            }
            Action::Evacuations(_) => {}
            Action::Closed => {
                let me = self.vms[vm].me;
                self.vms[vm].dispatcher = None;
                self.vms[vm].boot += 1;
                let calls = std::mem::take(&mut self.vms[vm].calls);
                for (call, id) in calls {
                    let received = self.vms[vm].received_calls.contains(&call);
                    assert!(!received, "VM {vm} stopped without an answer for {id}");
                    self.schedule_resend(id);
                }
                self.drop_links(vm, me, LINK_LATENCY);
            }
        }
    }

    fn count_heartbeat(&mut self, vm: usize, to: Incarnation, message: &Message) {
        let Message::Heartbeat(heartbeat) = message else {
            return;
        };
        let counts = [
            1,
            heartbeat.cells.len(),
            heartbeat.remote_holders.len(),
            heartbeat.still_held.len(),
            heartbeat.queue_uses.len(),
        ];
        let parts = counts.iter().zip(HEARTBEAT_PART_BYTES);
        let bytes: u64 = parts.map(|(&count, size)| count as u64 * size).sum();
        self.heartbeats[vm].sent += 1;
        self.heartbeats[vm].sent_bytes += bytes;
        self.heartbeats[vm].queue_uses += heartbeat.queue_uses.len() as u64;
        if let Some(peer) = (0..self.vms.len()).find(|&peer| self.vms[peer].me == to) {
            self.heartbeats[peer].received += 1;
            self.heartbeats[peer].received_bytes += bytes;
        }
    }
}
