//! Checks at the end of a case.

use super::{Fleet, MAX_JOB_DURATION_MS, STOP_CHECKS, VMS, Vm};
use crate::executor::Behaviour;
use cardamomslip_core::model::request::JobOp;
use cardamomslip_core::model::store::UsageReport;
use cardamomslip_core::model::time::Time;
use cardamomslip_core::status::Phase;
use rand::RngExt;
use std::time::Duration;

impl Fleet {
    /// Ends all faults, lets all jobs end, and checks that no answer or usage is lost.
    pub fn finish(&mut self) {
        self.heal();
        self.set_message_faults(0);
        for executor in 0..self.executors.len() {
            self.set_behaviour(executor, Behaviour::Normal);
            self.set_leaving(executor, false);
        }
        for vm in 0..VMS {
            self.resume(vm);
        }
        self.wait_for_stops();
        for vm in 0..VMS {
            self.replace(vm);
        }
        self.advance(MAX_JOB_DURATION_MS);
        self.fetch_all();
        self.advance(5_000);
        self.check_answers();
        self.check_usage();
    }

    /// Waits until all stopping processes have exited.
    fn wait_for_stops(&mut self) {
        let is_stopping = |vm: &Vm| {
            vm.process
                .as_ref()
                .is_some_and(|process| process.is_stopping)
        };
        for _ in 0..STOP_CHECKS {
            self.advance(MAX_JOB_DURATION_MS / u64::from(STOP_CHECKS));
            if !self.vms.iter().any(is_stopping) {
                return;
            }
        }
        panic!("a graceful stop did not finish");
    }

    fn fetch_all(&mut self) {
        for number in 0..self.history.submissions.len() {
            let vm = self.rng.random_range(0..VMS);
            self.request_job(vm, number, JobOp::Fetch, false);
        }
    }

    fn check_answers(&mut self) {
        let version = self
            .store
            .config
            .as_ref()
            .map_or(0, |config| config.version);
        for vm in &self.vms {
            let process = vm.process.as_ref().expect("all VMs have a process");
            assert_eq!(
                process.version, version,
                "configuration version of a VM differs from the store"
            );
            assert!(
                process.calls.is_empty(),
                "unanswered calls: {:?}",
                process.calls
            );
            let phase = process
                .node
                .status(Time::from_micros(self.now - process.started_at))
                .phase;
            assert_eq!(phase, Phase::Serving);
        }
        for (number, row) in self.history.submissions.iter().enumerate() {
            let Some(id) = row.id else {
                continue;
            };
            if row.submitted && self.history.is_accepted(id) {
                let last = self.history.last_response(number);
                let answered = self.history.is_answered(id);
                assert!(
                    answered,
                    "no final answer for {}: {last:?}\n{}",
                    row.label,
                    self.describe()
                );
            }
        }
    }

    /// Formats the state of all processes and executors for failure messages.
    fn describe(&self) -> String {
        let mut text = String::new();
        for process in self.vms.iter().filter_map(|vm| vm.process.as_ref()) {
            let status = process
                .node
                .status(Time::from_micros(self.now - process.started_at));
            text += &format!("{status:?}\n");
            for row in process.node.executors() {
                text += &format!("    {row:?}\n");
            }
        }
        text
    }

    /// Compares the usage of each running process, and the stored reports of all others, with the
    /// slot time that the executors recorded.
    fn check_usage(&self) {
        let mut alive = Vec::new();
        for process in self.vms.iter().filter_map(|vm| vm.process.as_ref()) {
            alive.push(process.me);
            let report = process
                .node
                .usage(Time::from_micros(self.now - process.started_at));
            self.check_report(&report, Duration::ZERO);
        }
        for (me, row) in &self.store.usage {
            if alive.contains(me) {
                continue;
            }
            let is_closed = self.store.closed_incarnations.contains(me);
            assert_eq!(
                row.report.closed, is_closed,
                "the final usage report of {me} was overwritten"
            );
            // A process that crashed may have used all slots from its last report to the end of its
            // last task.
            let last_end = self.last_end.get(me).copied().unwrap_or(0);
            let since = Duration::from_micros(last_end.saturating_sub(row.requested_at));
            let slots: u32 = self.executors.iter().map(|row| u32::from(row.slots)).sum();
            let missing = if row.report.closed {
                Duration::ZERO
            } else {
                since * slots
            };
            self.check_report(&row.report, missing);
        }
    }

    /// Checks that the settled time of a report is at most the slot time that the executors
    /// recorded, and that this is at most the settled and unsettled time plus `missing`.
    fn check_report(&self, report: &UsageReport, missing: Duration) {
        let me = report.incarnation;
        let settled: Duration = report.lines.iter().map(|line| line.settled).sum();
        let unsettled: Duration = report.lines.iter().map(|line| line.unsettled).sum();
        let used: Duration = self
            .executors
            .iter()
            .filter_map(|row| row.used_slot_time.get(&me))
            .sum();
        assert!(
            settled <= used,
            "{me} reports {settled:?} settled of {used:?}"
        );
        assert!(
            used <= settled + unsettled + missing,
            "{me} reports {settled:?} settled, {unsettled:?} unsettled, {missing:?} missing of {used:?}"
        );
    }
}
