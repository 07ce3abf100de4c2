//! Faults between VMs and workers that last for a while, and workers that come back.

use super::*;

/// Kind of a request to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Request {
    Poll,
    Start,
    Stop,
}

impl Request {
    fn of(action: &Action) -> Option<Self> {
        match action {
            Action::Poll(_) => Some(Self::Poll),
            Action::Start(_) => Some(Self::Start),
            Action::Stop(_) => Some(Self::Stop),
            _ => None,
        }
    }
}

/// A fault that lasts for a while. Without a VM it affects all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The worker refuses requests of this kind and does nothing for them.
    Refusal { worker: usize, request: Request },
    /// Requests of this kind never reach the worker, as over connections that went silent.
    Loss {
        vm: Option<usize>,
        worker: usize,
        request: Request,
    },
    /// Requests reach the worker, and its replies are lost.
    LostReplies { vm: Option<usize>, worker: usize },
}

impl Fault {
    /// Returns the same fault at another worker.
    pub const fn at(self, worker: usize) -> Self {
        match self {
            Self::Refusal { request, .. } => Self::Refusal { worker, request },
            Self::Loss { vm, request, .. } => Self::Loss {
                vm,
                worker,
                request,
            },
            Self::LostReplies { vm, .. } => Self::LostReplies { vm, worker },
        }
    }
}

/// How a crashed worker starts again, under the same id.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    pub after_ms: u64,
    /// Value at which its clock starts.
    pub clock_start_ms: u64,
    /// Its capacity relative to that of before the test.
    pub capacity_percent: u64,
}

impl Sim {
    /// Begins a fault that ends after a while.
    pub fn begin_fault(&mut self, fault: Fault, ms: u64) {
        if let Fault::Refusal {
            worker,
            request: Request::Stop,
        } = fault
        {
            self.workers[worker].refuses_stops = true;
        }
        self.faults.insert(fault);
        self.push(self.now + ms * MS, SimEvent::EndFault(fault));
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        if let Fault::Refusal {
            worker,
            request: Request::Stop,
        } = fault
        {
            self.workers[worker].refuses_stops = false;
        }
        self.faults.remove(&fault);
    }

    /// Ends all faults that last for a while, and all series of stalls.
    pub fn end_faults(&mut self) {
        self.end_series();
        for fault in std::mem::take(&mut self.faults) {
            self.end_fault(fault);
        }
    }

    /// Returns whether a request of a VM never reaches the worker.
    pub(super) fn loses_request(&self, vm: usize, worker: usize, action: &Action) -> bool {
        let Some(request) = Request::of(action) else {
            return false;
        };
        [None, Some(vm)].into_iter().any(|vm| {
            self.faults.contains(&Fault::Loss {
                vm,
                worker,
                request,
            })
        })
    }

    /// Returns whether the replies of a worker to a VM are lost.
    pub(super) fn loses_replies(&self, vm: usize, worker: usize) -> bool {
        let mut vms = [None, Some(vm)].into_iter();
        vms.any(|vm| self.faults.contains(&Fault::LostReplies { vm, worker }))
    }

    /// Returns whether a worker refuses a request other than a stop.
    pub(super) fn refuses_request(&self, worker: usize, action: &Action) -> bool {
        let request = Request::of(action).filter(|&request| request != Request::Stop);
        request.is_some_and(|request| self.faults.contains(&Fault::Refusal { worker, request }))
    }

    /// Crashes a worker, which starts again under the same id as specified.
    pub fn crash_and_restart_as(&mut self, worker: usize, restart: Restart) {
        if !self.workers[worker].up {
            return;
        }
        self.crash_for(worker, restart.after_ms * MS);
        let cpu_milli = WORKER_CPU_MILLI * restart.capacity_percent / 100;
        self.workers[worker].resize(self.now, cpu_milli);
        self.workers[worker].clock_start_ms = restart.clock_start_ms;
    }

    /// Ends a worker while another one answers at its address. After a while the worker is back
    /// there, under its id.
    pub fn replace_worker_for(&mut self, worker: usize, ms: u64) {
        if !self.workers[worker].up || self.replaced_workers.contains(&worker) {
            return;
        }
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.history.record_crash(task);
        }
        self.replace_worker(worker);
        for pending in std::mem::take(&mut self.polls[worker]) {
            if self.vms[pending.vm].boot == pending.boot {
                self.reply_unanswered(pending.vm, &Action::Poll(pending.poll), LINK_LATENCY);
            }
        }
        self.push(self.now + ms * MS, SimEvent::ReturnWorker(worker));
    }

    pub(super) fn return_worker(&mut self, worker: usize) {
        if self.replaced_workers.remove(&worker) {
            self.workers[worker].reboot(self.now);
            self.publish_worker(worker);
        }
    }
}
