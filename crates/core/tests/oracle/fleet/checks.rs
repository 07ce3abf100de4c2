//! What must hold at the end of a case.

use super::{Fleet, LONGEST_JOB_MS, STOP_STEPS, VMS, Vm};
use crate::executor::Mode;
use cardamomslip_core::model::request::JobOp;
use cardamomslip_core::model::store::UsageReport;
use cardamomslip_core::model::time::Time;
use cardamomslip_core::status::Phase;
use rand::RngExt;
use std::time::Duration;

impl Fleet {
    /// Heals everything, lets all work end, and checks that nothing is lost.
    pub fn finish(&mut self) {
        self.heal();
        self.set_chaos(0);
        for executor in 0..self.executors.len() {
            self.set_mode(executor, Mode::Normal);
            self.set_leaving(executor, false);
        }
        for vm in 0..VMS {
            self.resume(vm);
        }
        self.wait_for_stops();
        for vm in 0..VMS {
            self.replace(vm);
        }
        self.advance(LONGEST_JOB_MS);
        self.fetch_all();
        self.advance(5_000);
        self.check_answers();
        self.check_usage();
    }

    /// Lets the processes that stop come to their end.
    fn wait_for_stops(&mut self) {
        let closing = |vm: &Vm| vm.process.as_ref().is_some_and(|process| process.closing);
        for _ in 0..STOP_STEPS {
            self.advance(LONGEST_JOB_MS / u64::from(STOP_STEPS));
            if !self.vms.iter().any(closing) {
                return;
            }
        }
        panic!("a planned stop does not come to its end");
    }

    fn fetch_all(&mut self) {
        for number in 0..self.ledger.submissions.len() {
            let vm = self.rng.random_range(0..VMS);
            self.ask(vm, number, JobOp::Fetch, false);
        }
    }

    fn check_answers(&mut self) {
        let version = self
            .store
            .config
            .as_ref()
            .map_or(0, |config| config.version);
        for vm in &self.vms {
            let process = vm.process.as_ref().expect("all VMs are replaced");
            assert_eq!(
                process.version, version,
                "the configuration is not in force everywhere"
            );
            assert!(
                process.calls.is_empty(),
                "calls without an answer: {:?}",
                process.calls
            );
            let phase = process
                .node
                .status(Time::from_micros(self.now - process.epoch))
                .phase;
            assert_eq!(phase, Phase::Serving);
        }
        for (number, row) in self.ledger.submissions.iter().enumerate() {
            let Some(id) = row.id else {
                continue;
            };
            if row.submitted && self.ledger.is_accepted(id) {
                let last = self.ledger.last_response(number);
                let answered = self.ledger.is_answered(id);
                assert!(
                    answered,
                    "the answer of {} is lost: {last:?}\n{}",
                    row.label,
                    self.describe()
                );
            }
        }
    }

    /// Describes all processes and executors, for messages.
    fn describe(&self) -> String {
        let mut text = String::new();
        for process in self.vms.iter().filter_map(|vm| vm.process.as_ref()) {
            let status = process
                .node
                .status(Time::from_micros(self.now - process.epoch));
            text += &format!("{status:?}\n");
            for row in process.node.executors() {
                text += &format!("    {row:?}\n");
            }
        }
        text
    }

    /// Compares the usage of each process, and what the store holds of the others, with the
    /// executors' counts.
    fn check_usage(&self) {
        let mut alive = Vec::new();
        for process in self.vms.iter().filter_map(|vm| vm.process.as_ref()) {
            alive.push(process.me);
            let report = process
                .node
                .usage(Time::from_micros(self.now - process.epoch));
            self.check_report(&report, Duration::ZERO);
        }
        for (me, row) in &self.store.usage {
            if alive.contains(me) {
                continue;
            }
            let settled = self.store.settled.contains(me);
            assert_eq!(
                row.report.closed, settled,
                "the last report of {me} was replaced"
            );
            // A dead process may have used all slots since its last report.
            let last_end = self.last_end.get(me).copied().unwrap_or(0);
            let since = Duration::from_micros(last_end.saturating_sub(row.at));
            let slots: u32 = self.executors.iter().map(|row| u32::from(row.slots)).sum();
            let missing = if row.report.closed {
                Duration::ZERO
            } else {
                since * slots
            };
            self.check_report(&row.report, missing);
        }
    }

    /// Checks that a report credits no more than the executors counted, and no less but for what
    /// is unsettled and what may be `missing`.
    fn check_report(&self, report: &UsageReport, missing: Duration) {
        let me = report.incarnation;
        let settled: Duration = report.lines.iter().map(|line| line.settled).sum();
        let unsettled: Duration = report.lines.iter().map(|line| line.unsettled).sum();
        let counted: Duration = self
            .executors
            .iter()
            .filter_map(|row| row.counted.get(&me))
            .sum();
        assert!(
            settled <= counted,
            "{me} credits {settled:?} of {counted:?}"
        );
        assert!(
            counted <= settled + unsettled + missing,
            "{me} credits {settled:?}, {unsettled:?} unsettled, {missing:?} missing of {counted:?}"
        );
    }
}
