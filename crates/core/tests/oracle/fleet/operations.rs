//! Operations on the fleet.

use super::{Fleet, MessageFaults, Process, Shape, change_request, customer, policy};
use crate::executor::Behaviour;
use crate::history::CallKind;
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::configuration::Change;
use cardamomslip_core::model::ids::{CallId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::request::{JobOp, JobRequest, Request};
use cardamomslip_core::{Event, Identity, Node};
use rand::RngExt;
use std::time::Duration;

impl Fleet {
    /// Prepares a submission and requests an id for it unless it is `keyed`.
    pub fn issue_ids(&mut self, vm: usize, shape: Shape, keyed: bool) {
        let number = self.history.submissions.len();
        let label = format!("s{number}");
        let submission = shape.submission(&label, customer(number));
        self.history.submissions.push(submission);
        if !keyed {
            let req = Request::IssueIds {
                customer: customer(number),
                count: 1,
            };
            self.call(vm, CallKind::IssueIds(number), req);
        }
    }

    /// Submits a job through any VM; it may have been submitted before.
    pub fn submit(&mut self, vm: usize, number: usize, wait_ms: u64) {
        let wait = Duration::from_millis(wait_ms);
        self.history.submissions[number].submitted = true;
        let row = self.history.submissions[number].clone();
        let req = match row.id {
            Some(id) => {
                let op = JobOp::Submit(row.spec);
                Request::Job(JobRequest {
                    id,
                    customer: row.customer,
                    wait,
                    op,
                })
            }
            None => Request::SubmitKeyed {
                customer: row.customer,
                key: row.label.as_str().into(),
                spec: row.spec,
                wait,
            },
        };
        self.call(vm, CallKind::Job(number), req);
    }

    /// Fetches or cancels a job if it has an id. If `foreign`, another customer requests it.
    pub fn request_job(&mut self, vm: usize, number: usize, op: JobOp, foreign: bool) {
        let row = &self.history.submissions[number];
        let Some(id) = row.id else {
            return;
        };
        let kind = if foreign {
            CallKind::Foreign
        } else {
            CallKind::Job(number)
        };
        let customer = if foreign {
            customer(number + 1)
        } else {
            row.customer
        };
        let wait = Duration::ZERO;
        self.call(
            vm,
            kind,
            Request::Job(JobRequest {
                id,
                customer,
                wait,
                op,
            }),
        );
    }

    /// Activates a preset by a change based on the configuration version that the VM knows.
    pub fn change(&mut self, vm: usize, preset: &str) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let Some(process) = self.vms[vm].process.as_mut() else {
            return;
        };
        let req = change_request(process.version, Change::ApplyPreset(preset.into()));
        let event = Event::Change { call, req };
        if process.frozen_at.is_some() {
            process.inbox.push((event, Some((call, CallKind::Change))));
            return;
        }
        process.calls.insert(call, CallKind::Change);
        self.run_node(vm, Some(event));
    }

    /// Kills the process of a VM.
    pub fn kill(&mut self, vm: usize) {
        if let Some(process) = self.vms[vm].process.take() {
            self.drop_links(process.me);
        }
    }

    /// Starts a process with a new incarnation on a VM that has none.
    pub fn replace(&mut self, vm: usize) {
        if self.vms[vm].process.is_some() {
            return;
        }
        let row = &mut self.vms[vm];
        row.nonce += 1;
        let me = Incarnation {
            data_centre: row.data_centre,
            vm: VmId(vm as u64),
            nonce: row.nonce,
        };
        let seed = self.rng.random();
        let node = Node::new(
            Identity {
                me,
                weight: 1 + vm as u32 % 2,
                seed,
            },
            policy(),
        );
        row.process = Some(Process {
            me,
            node,
            started_at: self.now,
            frozen_at: None,
            inbox: Vec::new(),
            calls: FastMap::default(),
            version: 0,
            vm_list: None,
            is_stopping: false,
        });
    }

    /// Freezes the process of a VM.
    pub fn freeze(&mut self, vm: usize) {
        let now = self.now;
        if let Some(process) = self.vms[vm].process.as_mut() {
            process.frozen_at.get_or_insert(now);
        }
    }

    /// Resumes a frozen process and delivers the events that arrived meanwhile.
    pub fn resume(&mut self, vm: usize) {
        let Some(process) = self.vms[vm].process.as_mut() else {
            return;
        };
        process.frozen_at = None;
        for (event, call) in std::mem::take(&mut process.inbox) {
            let Some(process) = self.vms[vm].process.as_mut() else {
                // The process exited. The VM's operating system refuses the calls that are left.
                return;
            };
            process.calls.extend(call);
            self.run_node(vm, Some(event));
        }
    }

    /// Begins the graceful stop of a VM's process.
    pub fn stop(&mut self, vm: usize) {
        if let Some(process) = self.vms[vm].process.as_mut() {
            process.is_stopping = true;
        }
        self.run_node(vm, Some(Event::Stop));
    }

    /// Partitions the data centres from each other.
    pub fn cut(&mut self) {
        self.cut = true;
    }

    /// Partitions a data centre from the platform.
    pub fn cut_platform(&mut self, data_centre: usize) {
        self.platform_cut[data_centre] = true;
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.cut = false;
        self.platform_cut.fill(false);
    }

    /// Sets the rates of lost and duplicated messages and their maximum delay. Level 0 means no
    /// faults.
    pub fn set_message_faults(&mut self, level: u8) {
        let level = f64::from(level);
        self.message_faults = MessageFaults {
            drop: 0.05 * level,
            duplicate: 0.1 * level,
            delay_ms: (level * 400.0) as u64,
        };
    }

    /// Sets how an executor treats new starts.
    pub fn set_behaviour(&mut self, executor: usize, behaviour: Behaviour) {
        let count = self.executors.len();
        self.executors[executor % count].behaviour = behaviour;
    }

    /// Marks an executor as leaving or live in the VM list.
    pub fn set_leaving(&mut self, executor: usize, leaving: bool) {
        let count = self.executors.len();
        self.executors[executor % count].leaving = leaving;
        self.vm_list_revision += 1;
    }
}
