//! Wire forms of the messages between peers.
//!
//! Records are CBOR arrays in the order of their fields, which keeps control traffic small.

use crate::config_wire::ConfigurationWire;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::{CustomerId, DataCentreId, ExecutorId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::job_id::{IdKey, JobId};
use cardamomslip_core::model::message::{
    ArchivedOutcome, Avoid, AvoidCause, Claim, Demand, Grant, Handover, Heartbeat, Holding,
    Message, Recall, SPEED_CLASSES, SpeedNeeds,
};
use cardamomslip_core::model::outcome::{FailureReason, Outcome, Ran, Refusal, RefusalReason};
use cardamomslip_core::model::request::{JobRequest, JobVerb, Response};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList, VmState};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Deepest nesting of a frame that is read.
const MAX_DEPTH: usize = 32;

/// A frame that is no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a message: {0}")]
pub struct WireError(String);

impl WireError {
    /// Builds an error from its cause.
    pub fn new(cause: &impl ToString) -> Self {
        Self(cause.to_string())
    }
}

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let mut buf = Vec::new();
    let wire = MessageWire::from(message);
    ciborium::into_writer(&wire, &mut buf).expect("writing to memory does not fail");
    buf
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error if the frame is not exactly one valid message.
pub fn decode(mut frame: &[u8]) -> Result<Message, WireError> {
    let wire: MessageWire = ciborium::de::from_reader_with_recursion_limit(&mut frame, MAX_DEPTH)
        .map_err(|e| WireError::new(&e))?;
    if !frame.is_empty() {
        return Err(WireError("bytes after the message".to_owned()));
    }
    Message::try_from(wire)
}

/// Data centre, VM and nonce.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct IncarnationWire(u64, u64, u64);

impl From<Incarnation> for IncarnationWire {
    fn from(value: Incarnation) -> Self {
        Self(value.data_centre.0, value.vm.0, value.nonce)
    }
}

impl From<IncarnationWire> for Incarnation {
    fn from(IncarnationWire(data_centre, vm, nonce): IncarnationWire) -> Self {
        Self {
            data_centre: DataCentreId(data_centre),
            vm: VmId(vm),
            nonce,
        }
    }
}

/// Issuer, counter and tag.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct JobIdWire(IncarnationWire, u64, u64);

impl From<JobId> for JobIdWire {
    fn from(id: JobId) -> Self {
        Self(id.issuer.into(), id.counter, id.tag)
    }
}

impl From<JobIdWire> for JobId {
    fn from(JobIdWire(issuer, counter, tag): JobIdWire) -> Self {
        Self {
            issuer: issuer.into(),
            counter,
            tag,
        }
    }
}

/// Kind, payload, declared run time in microseconds and slots.
#[derive(Debug, Serialize, Deserialize)]
struct TaskWire(Arc<str>, Arc<str>, u64, u16);

/// Tasks, deadline in microseconds and whether tasks may be repeated.
#[derive(Debug, Serialize, Deserialize)]
struct SpecWire(Vec<TaskWire>, Option<u64>, bool);

#[derive(Debug, Serialize, Deserialize)]
enum VerbWire {
    #[serde(rename = "s")]
    Submit(SpecWire),
    #[serde(rename = "f")]
    Fetch,
    #[serde(rename = "c")]
    Cancel,
}

/// Job id, customer, wait in microseconds and verb.
#[derive(Debug, Serialize, Deserialize)]
struct RequestWire(JobIdWire, u64, u64, VerbWire);

#[derive(Debug, Serialize, Deserialize)]
enum OutcomeWire {
    #[serde(rename = "c")]
    Complete(Vec<Arc<str>>),
    #[serde(rename = "f")]
    Failed(u8, bool),
}

#[derive(Debug, Serialize, Deserialize)]
enum ResponseWire {
    #[serde(rename = "i")]
    Ids(Vec<JobIdWire>),
    #[serde(rename = "r")]
    Running(JobIdWire, u32, u32),
    #[serde(rename = "a")]
    Answer(JobIdWire, OutcomeWire),
    #[serde(rename = "x")]
    Refused(u8, u8, Option<u64>),
}

/// Executor and slots.
#[derive(Debug, Serialize, Deserialize)]
struct HoldingWire(u64, u16);

/// Customer, rank, running slots, needed slots by speed class, width, and in microseconds: work,
/// longest task, horizon and time waited.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimWire(u64, u64, u32, [u32; SPEED_CLASSES], u16, u64, u64, u64, u64);

/// Slots and lowest speed in thousandths.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct RecallWire(u32, u32);

/// Sequence, grant sequence, holdings, claims, recall, and avoided executors with their cause.
#[derive(Debug, Serialize, Deserialize)]
struct DemandWire(
    u64,
    u64,
    Vec<HoldingWire>,
    Vec<ClaimWire>,
    RecallWire,
    Vec<(u64, u8)>,
);

/// Sequence, slots, recall, and in microseconds expected wait and patience.
#[derive(Debug, Serialize, Deserialize)]
struct GrantWire(u64, Vec<HoldingWire>, RecallWire, u64, u64);

/// Counter, customer and outcome.
#[derive(Debug, Serialize, Deserialize)]
struct ArchivedWire(u64, u64, OutcomeWire);

#[derive(Debug, Serialize, Deserialize)]
struct HandoverWire {
    closed: IncarnationWire,
    key: [u8; 16],
    floor: u64,
    next_counter: u64,
    part: u32,
    parts: u32,
    outcomes: Vec<ArchivedWire>,
}

/// VM, data centre, address and whether it is leaving.
#[derive(Debug, Serialize, Deserialize)]
struct EntryVmWire(u64, u64, Arc<str>, bool);

/// Executor, data centre, address, slots, speed in thousandths and whether it is leaving.
#[derive(Debug, Serialize, Deserialize)]
struct ExecutorVmWire(u64, u64, Arc<str>, u16, u32, bool);

#[derive(Debug, Serialize, Deserialize)]
enum MessageWire {
    /// Configuration version, VM list revision, weight, and whether work is taken.
    #[serde(rename = "h")]
    Heartbeat(u64, u64, u32, bool),
    #[serde(rename = "c")]
    Configuration(ConfigurationWire),
    #[serde(rename = "v")]
    VmList(u64, Vec<EntryVmWire>, Vec<ExecutorVmWire>),
    #[serde(rename = "f")]
    Forward(u64, RequestWire),
    #[serde(rename = "r")]
    Forwarded(u64, ResponseWire),
    #[serde(rename = "d")]
    Demand(DemandWire),
    #[serde(rename = "g")]
    Grant(GrantWire),
    #[serde(rename = "q")]
    Drain,
    #[serde(rename = "o")]
    Handover(HandoverWire),
    #[serde(rename = "s")]
    HandoverStored(IncarnationWire),
    #[serde(rename = "x")]
    Closed(IncarnationWire, Vec<IncarnationWire>),
}

/// Lists the values of an enumeration in the order of their codes.
macro_rules! codes {
    ($encode:ident, $decode:ident, $ty:ty, [$($variant:path),* $(,)?]) => {
        fn $encode(value: $ty) -> u8 {
            const ALL: &[$ty] = &[$($variant),*];
            let position = ALL.iter().position(|&other| other == value);
            position.and_then(|position| u8::try_from(position).ok()).unwrap_or(u8::MAX)
        }

        fn $decode(code: u8) -> Result<$ty, WireError> {
            const ALL: &[$ty] = &[$($variant),*];
            let found = ALL.get(usize::from(code)).copied();
            found.ok_or_else(|| WireError(format!("unknown code {code}")))
        }
    };
}

codes!(
    failure_code,
    failure_of,
    FailureReason,
    [
        FailureReason::TaskFailed,
        FailureReason::OutcomeLost,
        FailureReason::DeadlineExceeded,
        FailureReason::Cancelled,
        FailureReason::IssuerLost,
        FailureReason::DeadlineUnreachable,
        FailureReason::Impossible,
        FailureReason::Overloaded,
        FailureReason::Stopping,
        FailureReason::NotServing,
    ]
);

codes!(
    refusal_code,
    refusal_of,
    RefusalReason,
    [
        RefusalReason::NoSuchJob,
        RefusalReason::NotSubmitted,
        RefusalReason::Expired,
        RefusalReason::IssuerUnreachable,
        RefusalReason::Stopping,
        RefusalReason::NotServing,
        RefusalReason::TooManyWaiting,
        RefusalReason::BatchTooLarge,
        RefusalReason::StoreUnavailable,
        RefusalReason::VersionConflict,
        RefusalReason::InvalidChange,
    ]
);

codes!(
    ran_code,
    ran_of,
    Ran,
    [Ran::NotRun, Ran::MayHaveRun, Ran::Unknown]
);

codes!(
    avoid_code,
    avoid_of,
    AvoidCause,
    [AvoidCause::Busy, AvoidCause::Failing, AvoidCause::Probation,]
);

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

const fn span(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

impl From<&JobSpec> for SpecWire {
    fn from(spec: &JobSpec) -> Self {
        let tasks = spec.tasks.iter().map(|task| {
            let kind = Arc::clone(&task.kind);
            TaskWire(
                kind,
                Arc::clone(&task.payload),
                micros(task.declared),
                task.slots,
            )
        });
        let repeatable = spec.repeatability == Repeatability::Repeatable;
        Self(tasks.collect(), spec.deadline.map(micros), repeatable)
    }
}

impl From<SpecWire> for JobSpec {
    fn from(SpecWire(tasks, deadline, repeatable): SpecWire) -> Self {
        let tasks = tasks
            .into_iter()
            .map(|TaskWire(kind, payload, declared, slots)| TaskSpec {
                kind,
                payload,
                declared: span(declared),
                slots,
            });
        let repeatability = if repeatable {
            Repeatability::Repeatable
        } else {
            Repeatability::Unrepeatable
        };
        Self {
            tasks: tasks.collect(),
            deadline: deadline.map(span),
            repeatability,
        }
    }
}

impl From<&JobRequest> for RequestWire {
    fn from(req: &JobRequest) -> Self {
        let verb = match &req.verb {
            JobVerb::Submit(spec) => VerbWire::Submit(spec.into()),
            JobVerb::Fetch => VerbWire::Fetch,
            JobVerb::Cancel => VerbWire::Cancel,
        };
        Self(req.id.into(), req.customer.0, micros(req.wait), verb)
    }
}

impl From<RequestWire> for JobRequest {
    fn from(RequestWire(id, customer, wait, verb): RequestWire) -> Self {
        let verb = match verb {
            VerbWire::Submit(spec) => JobVerb::Submit(spec.into()),
            VerbWire::Fetch => JobVerb::Fetch,
            VerbWire::Cancel => JobVerb::Cancel,
        };
        Self {
            id: id.into(),
            customer: CustomerId(customer),
            wait: span(wait),
            verb,
        }
    }
}

impl From<&Outcome> for OutcomeWire {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Complete(results) => Self::Complete(results.to_vec()),
            Outcome::Failed { reason, ran } => {
                Self::Failed(failure_code(*reason), *ran == Ran::NotRun)
            }
        }
    }
}

impl TryFrom<OutcomeWire> for Outcome {
    type Error = WireError;

    fn try_from(wire: OutcomeWire) -> Result<Self, WireError> {
        Ok(match wire {
            OutcomeWire::Complete(results) => Self::Complete(results.into()),
            OutcomeWire::Failed(reason, not_run) => {
                let ran = if not_run {
                    Ran::NotRun
                } else {
                    Ran::MayHaveRun
                };
                Self::failed(failure_of(reason)?, ran)
            }
        })
    }
}

impl From<&Response> for ResponseWire {
    fn from(response: &Response) -> Self {
        match response {
            Response::Ids(ids) => Self::Ids(ids.iter().map(|&id| id.into()).collect()),
            Response::Running { id, done, total } => Self::Running((*id).into(), *done, *total),
            Response::Answer { id, outcome } => Self::Answer((*id).into(), outcome.into()),
            Response::Refused(refusal) => Self::Refused(
                refusal_code(refusal.reason),
                ran_code(refusal.ran),
                refusal.retry_after.map(micros),
            ),
        }
    }
}

impl TryFrom<ResponseWire> for Response {
    type Error = WireError;

    fn try_from(wire: ResponseWire) -> Result<Self, WireError> {
        Ok(match wire {
            ResponseWire::Ids(ids) => Self::Ids(ids.into_iter().map(JobId::from).collect()),
            ResponseWire::Running(id, done, total) => Self::Running {
                id: id.into(),
                done,
                total,
            },
            ResponseWire::Answer(id, outcome) => Self::Answer {
                id: id.into(),
                outcome: outcome.try_into()?,
            },
            ResponseWire::Refused(reason, ran, retry_after) => Self::Refused(Refusal {
                reason: refusal_of(reason)?,
                ran: ran_of(ran)?,
                retry_after: retry_after.map(span),
            }),
        })
    }
}

impl From<&Holding> for HoldingWire {
    fn from(holding: &Holding) -> Self {
        Self(holding.executor.0, holding.slots)
    }
}

impl From<HoldingWire> for Holding {
    fn from(HoldingWire(executor, slots): HoldingWire) -> Self {
        Self {
            executor: ExecutorId(executor),
            slots,
        }
    }
}

impl From<Recall> for RecallWire {
    fn from(recall: Recall) -> Self {
        Self(recall.slots, recall.min_speed_milli)
    }
}

impl From<RecallWire> for Recall {
    fn from(RecallWire(slots, min_speed_milli): RecallWire) -> Self {
        Self {
            slots,
            min_speed_milli,
        }
    }
}

impl From<&Claim> for ClaimWire {
    fn from(claim: &Claim) -> Self {
        Self(
            claim.customer.0,
            claim.rank,
            claim.running,
            claim.needs.0,
            claim.width,
            micros(claim.work),
            micros(claim.longest),
            micros(claim.horizon),
            micros(claim.waited),
        )
    }
}

impl From<ClaimWire> for Claim {
    fn from(wire: ClaimWire) -> Self {
        let ClaimWire(customer, rank, running, needs, width, work, longest, horizon, waited) = wire;
        Self {
            customer: CustomerId(customer),
            rank,
            running,
            needs: SpeedNeeds(needs),
            width,
            work: span(work),
            longest: span(longest),
            horizon: span(horizon),
            waited: span(waited),
        }
    }
}

impl From<&Demand> for DemandWire {
    fn from(demand: &Demand) -> Self {
        let avoid = demand
            .avoid
            .iter()
            .map(|row| (row.executor.0, avoid_code(row.cause)));
        Self(
            demand.seq,
            demand.grant_seq,
            demand.holdings.iter().map(HoldingWire::from).collect(),
            demand.claims.iter().map(ClaimWire::from).collect(),
            demand.recall.into(),
            avoid.collect(),
        )
    }
}

impl TryFrom<DemandWire> for Demand {
    type Error = WireError;

    fn try_from(wire: DemandWire) -> Result<Self, WireError> {
        let DemandWire(seq, grant_seq, holdings, claims, recall, avoid) = wire;
        let avoid: Result<Vec<_>, _> = avoid
            .into_iter()
            .map(|(executor, cause)| {
                Ok(Avoid {
                    executor: ExecutorId(executor),
                    cause: avoid_of(cause)?,
                })
            })
            .collect();
        Ok(Self {
            seq,
            grant_seq,
            holdings: holdings.into_iter().map(Holding::from).collect(),
            claims: claims.into_iter().map(Claim::from).collect(),
            recall: recall.into(),
            avoid: avoid?,
        })
    }
}

impl From<&Grant> for GrantWire {
    fn from(grant: &Grant) -> Self {
        let slots = grant.slots.iter().map(HoldingWire::from).collect();
        Self(
            grant.seq,
            slots,
            grant.recall.into(),
            micros(grant.expected_wait),
            micros(grant.patience),
        )
    }
}

impl From<GrantWire> for Grant {
    fn from(GrantWire(seq, slots, recall, wait, patience): GrantWire) -> Self {
        let slots = slots.into_iter().map(Holding::from).collect();
        Self {
            seq,
            slots,
            recall: recall.into(),
            expected_wait: span(wait),
            patience: span(patience),
        }
    }
}

impl From<&Handover> for HandoverWire {
    fn from(part: &Handover) -> Self {
        let outcomes = part.outcomes.iter();
        let outcomes = outcomes
            .map(|row| ArchivedWire(row.counter, row.customer.0, OutcomeWire::from(&row.outcome)));
        Self {
            closed: part.closed.into(),
            key: part.key.0,
            floor: part.floor,
            next_counter: part.next_counter,
            part: part.part,
            parts: part.parts,
            outcomes: outcomes.collect(),
        }
    }
}

impl TryFrom<HandoverWire> for Handover {
    type Error = WireError;

    fn try_from(wire: HandoverWire) -> Result<Self, WireError> {
        let outcomes: Result<Vec<_>, WireError> = wire
            .outcomes
            .into_iter()
            .map(|ArchivedWire(counter, customer, outcome)| {
                let customer = CustomerId(customer);
                Ok(ArchivedOutcome {
                    counter,
                    customer,
                    outcome: outcome.try_into()?,
                })
            })
            .collect();
        Ok(Self {
            closed: wire.closed.into(),
            key: IdKey(wire.key),
            floor: wire.floor,
            next_counter: wire.next_counter,
            part: wire.part,
            parts: wire.parts,
            outcomes: outcomes?,
        })
    }
}

const fn state(leaving: bool) -> VmState {
    if leaving {
        VmState::Leaving
    } else {
        VmState::Live
    }
}

impl From<&EntryVm> for EntryVmWire {
    fn from(vm: &EntryVm) -> Self {
        let leaving = vm.state == VmState::Leaving;
        Self(
            vm.id.0,
            vm.data_centre.0,
            Arc::clone(&vm.peer_address),
            leaving,
        )
    }
}

impl From<EntryVmWire> for EntryVm {
    fn from(EntryVmWire(id, data_centre, peer_address, leaving): EntryVmWire) -> Self {
        let data_centre = DataCentreId(data_centre);
        Self {
            id: VmId(id),
            data_centre,
            peer_address,
            state: state(leaving),
        }
    }
}

impl From<&ExecutorVm> for ExecutorVmWire {
    fn from(vm: &ExecutorVm) -> Self {
        let leaving = vm.state == VmState::Leaving;
        let address = Arc::clone(&vm.address);
        Self(
            vm.id.0,
            vm.data_centre.0,
            address,
            vm.slots,
            vm.speed_milli,
            leaving,
        )
    }
}

impl From<ExecutorVmWire> for ExecutorVm {
    fn from(wire: ExecutorVmWire) -> Self {
        let ExecutorVmWire(id, data_centre, address, slots, speed_milli, leaving) = wire;
        let data_centre = DataCentreId(data_centre);
        Self {
            id: ExecutorId(id),
            data_centre,
            address,
            slots,
            speed_milli,
            state: state(leaving),
        }
    }
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message {
            Message::Heartbeat(beat) => Self::Heartbeat(
                beat.config_version,
                beat.vm_list_revision,
                beat.weight,
                beat.serving,
            ),
            Message::Configuration(config) => Self::Configuration((&**config).into()),
            Message::VmList(list) => Self::VmList(
                list.revision,
                list.entries.iter().map(EntryVmWire::from).collect(),
                list.executors.iter().map(ExecutorVmWire::from).collect(),
            ),
            Message::Forward { number, req } => Self::Forward(*number, req.into()),
            Message::Forwarded { number, response } => Self::Forwarded(*number, response.into()),
            Message::Demand(demand) => Self::Demand(demand.into()),
            Message::Grant(grant) => Self::Grant(grant.into()),
            Message::Drain => Self::Drain,
            Message::Handover(part) => Self::Handover(part.into()),
            Message::HandoverStored { closed } => Self::HandoverStored((*closed).into()),
            Message::Closed { closed, holders } => {
                let holders = holders.iter().map(|&holder| holder.into()).collect();
                Self::Closed((*closed).into(), holders)
            }
        }
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire {
            MessageWire::Heartbeat(config_version, vm_list_revision, weight, serving) => {
                Self::Heartbeat(Heartbeat {
                    config_version,
                    vm_list_revision,
                    weight,
                    serving,
                })
            }
            MessageWire::Configuration(wire) => {
                let config = Configuration::try_from(wire).map_err(|e| WireError::new(&e))?;
                Self::Configuration(Arc::new(config))
            }
            MessageWire::VmList(revision, entries, executors) => {
                let entries = entries.into_iter().map(EntryVm::from).collect();
                let executors = executors.into_iter().map(ExecutorVm::from).collect();
                Self::VmList(Arc::new(VmList {
                    revision,
                    entries,
                    executors,
                }))
            }
            MessageWire::Forward(number, req) => Self::Forward {
                number,
                req: req.into(),
            },
            MessageWire::Forwarded(number, response) => Self::Forwarded {
                number,
                response: response.try_into()?,
            },
            MessageWire::Demand(demand) => Self::Demand(demand.try_into()?),
            MessageWire::Grant(grant) => Self::Grant(grant.into()),
            MessageWire::Drain => Self::Drain,
            MessageWire::Handover(part) => Self::Handover(part.try_into()?),
            MessageWire::HandoverStored(closed) => Self::HandoverStored {
                closed: closed.into(),
            },
            MessageWire::Closed(closed, holders) => {
                let holders = holders.into_iter().map(Incarnation::from).collect();
                Self::Closed {
                    closed: closed.into(),
                    holders,
                }
            }
        })
    }
}
