//! Wire format of the messages between entry VMs about guarded workers.
//!
//! Records are CBOR arrays of their fields in a fixed order, as in [`crate::peers`]. Durations are
//! in microseconds.

mod cancel;
mod drain;
mod echo;
mod evacuations;
mod heartbeat;
mod start;
mod suspect;
mod task;

use self::cancel::{CancelMarkWire, CancelReplyWire, CancelRequestWire};
use self::drain::DrainReportWire;
use self::echo::EchoWire;
use self::heartbeat::HeartbeatWire;
use self::start::StartReportWire;
use self::suspect::SuspectReportWire;
use crate::peers::{PeerMessage, WireError};
use cardamomslip_core::guarded::model::answer::{Answer, LossCause, RefusalCause};
use cardamomslip_core::guarded::model::ids::{ClientJobId, QueueId, UpstreamId};
use cardamomslip_core::guarded::model::job::{Job, MAX_TIME, QueueSettings, Step};
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::guarded::model::queue::{Queue, QueueTable};
use cardamomslip_core::guarded::model::resources::Resources;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of reports on suspects of one message that are read.
const MAX_SUSPECT_REPORTS: usize = 1_024;
/// Maximum number of reports on starts in flight of one message that are read.
const MAX_START_REPORTS: usize = 1_024;
/// Maximum number of rows about cancellations of one message that are read.
const MAX_CANCEL_ROWS: usize = 1_024;
/// Maximum number of draining workers of one message that are read.
const MAX_DRAIN_REPORTS: usize = 1_024;
/// Maximum nesting depth of a frame.
const MAX_DEPTH: usize = 16;

impl PeerMessage for Message {
    fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let wire = MessageWire::from(self);
        ciborium::into_writer(&wire, &mut buf).expect("writing to a `Vec` does not fail");
        buf
    }

    fn decode(mut frame: &[u8]) -> Result<Self, WireError> {
        let wire: MessageWire =
            ciborium::de::from_reader_with_recursion_limit(&mut frame, MAX_DEPTH)
                .map_err(|e| WireError::new(&e))?;
        if !frame.is_empty() {
            return Err(WireError::new(&"trailing bytes after the message"));
        }
        Self::try_from(wire)
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum MessageWire {
    #[serde(rename = "h")]
    Heartbeat(HeartbeatWire),
    #[serde(rename = "p")]
    Place(JobWire, u64, u64, EchoWire),
    #[serde(rename = "f")]
    Finished(u64, AnswerWire),
    #[serde(rename = "w")]
    Withdraw(u64),
    #[serde(rename = "x")]
    Cancel(Vec<CancelRequestWire>),
    #[serde(rename = "y")]
    CancelReplies(Vec<CancelReplyWire>),
    #[serde(rename = "m")]
    CancelMarks(Vec<CancelMarkWire>),
    #[serde(rename = "a")]
    RequestQueues(u64),
    #[serde(rename = "q")]
    Queues(u64, u64, Vec<QueueWire>),
    #[serde(rename = "c")]
    Suspects(Vec<SuspectReportWire>),
    #[serde(rename = "s")]
    Starts(Vec<StartReportWire>),
    #[serde(rename = "d")]
    Drains(Vec<DrainReportWire>),
}

/// `id`, `settings`, `payload`, `steps`, `client_timeout`.
#[derive(Debug, Serialize, Deserialize)]
struct JobWire(u64, QueueSettingsWire, Arc<str>, Vec<StepWire>, u64);

/// `queue`, `upstream`, `priority`, `max_attempts`, `stretch`, `target`.
#[derive(Debug, Serialize, Deserialize)]
struct QueueSettingsWire(u64, u64, u32, u32, f64, u64);

/// `count`, `cpu_milli`, `memory_mb`, `accelerators`, `estimate`, `after`, `label`,
/// `preferred_rack`, `max_per_worker`.
#[derive(Debug, Serialize, Deserialize)]
struct StepWire(
    u32,
    u64,
    u64,
    u64,
    u64,
    Vec<u32>,
    Option<Arc<str>>,
    Option<Arc<str>>,
    Option<u32>,
);

/// `name`, `host`, `prefix`, `settings`.
#[derive(Debug, Serialize, Deserialize)]
struct QueueWire(Arc<str>, Arc<str>, Arc<str>, QueueSettingsWire);

/// Outcome code, cause code, `retry_after`. The cause and `retry_after` are 0 where the outcome has
/// none.
#[derive(Debug, Serialize, Deserialize)]
struct AnswerWire(u8, u8, u64);

/// Refusal causes by wire code.
const REFUSAL_CAUSES: [RefusalCause; 7] = [
    RefusalCause::Overloaded,
    RefusalCause::Impossible,
    RefusalCause::NoRunner,
    RefusalCause::Stopping,
    RefusalCause::Contained,
    RefusalCause::Evacuated,
    RefusalCause::CancelledBefore,
];

/// Loss causes by wire code.
const LOSS_CAUSES: [LossCause; 7] = [
    LossCause::DeadlinePassed,
    LossCause::RunnerLost,
    LossCause::Paused,
    LossCause::Stopping,
    LossCause::Suspected,
    LossCause::StartInFlight,
    LossCause::Evacuated,
];

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn code_of<T: PartialEq>(all: &[T], value: &T) -> u8 {
    let position = all.iter().position(|other| other == value);
    position
        .and_then(|i| u8::try_from(i).ok())
        .unwrap_or(u8::MAX)
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat((&**heartbeat).into()),
            Message::Place {
                job,
                age,
                unread,
                echo,
            } => Self::Place(
                (&**job).into(),
                micros(*age),
                micros(*unread),
                (*echo).into(),
            ),
            Message::Finished { job, answer } => Self::Finished(job.0, (*answer).into()),
            Message::Withdraw { job } => Self::Withdraw(job.0),
            Message::Cancel(rows) => Self::Cancel(rows.iter().map(Into::into).collect()),
            Message::CancelReplies(rows) => {
                Self::CancelReplies(rows.iter().map(Into::into).collect())
            }
            Message::CancelMarks(rows) => Self::CancelMarks(rows.iter().map(Into::into).collect()),
            Message::RequestQueues { version } => Self::RequestQueues(*version),
            Message::Queues(table) => Self::Queues(
                table.version,
                table.max_body_bytes,
                table.iter().map(QueueWire::from).collect(),
            ),
            Message::Suspects(reports) => Self::Suspects(reports.iter().map(Into::into).collect()),
            Message::Starts(reports) => Self::Starts(reports.iter().map(Into::into).collect()),
            Message::Drains(reports) => Self::Drains(reports.iter().map(Into::into).collect()),
        }
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire {
            MessageWire::Heartbeat(heartbeat) => Self::Heartbeat(Box::new(heartbeat.try_into()?)),
            MessageWire::Place(job, age, unread, echo) => Self::Place {
                job: Arc::new(job.try_into()?),
                age: Duration::from_micros(age),
                unread: Duration::from_micros(unread),
                echo: echo.into(),
            },
            MessageWire::Finished(job, answer) => Self::Finished {
                job: ClientJobId(job),
                answer: answer.try_into()?,
            },
            MessageWire::Withdraw(job) => Self::Withdraw {
                job: ClientJobId(job),
            },
            MessageWire::Cancel(rows) => {
                let rows = rows.into_iter().take(MAX_CANCEL_ROWS);
                Self::Cancel(rows.map(TryInto::try_into).collect::<Result<_, _>>()?)
            }
            MessageWire::CancelReplies(rows) => {
                let rows = rows.into_iter().take(MAX_CANCEL_ROWS);
                Self::CancelReplies(rows.map(TryInto::try_into).collect::<Result<_, _>>()?)
            }
            MessageWire::CancelMarks(rows) => {
                let rows = rows.into_iter().take(MAX_CANCEL_ROWS);
                Self::CancelMarks(rows.map(TryInto::try_into).collect::<Result<_, _>>()?)
            }
            MessageWire::RequestQueues(version) => Self::RequestQueues { version },
            MessageWire::Queues(version, max_body_bytes, queues) => {
                let queues = queues.into_iter().map(Queue::try_from);
                let queues = queues.collect::<Result<_, _>>()?;
                Self::Queues(Arc::new(QueueTable::new(version, queues, max_body_bytes)))
            }
            MessageWire::Suspects(reports) => {
                let reports = reports.into_iter().take(MAX_SUSPECT_REPORTS);
                let reports = reports.map(TryInto::try_into);
                Self::Suspects(reports.collect::<Result<_, _>>()?)
            }
            MessageWire::Starts(reports) => {
                let reports = reports.into_iter().take(MAX_START_REPORTS);
                let reports = reports.map(TryInto::try_into);
                Self::Starts(reports.collect::<Result<_, _>>()?)
            }
            MessageWire::Drains(reports) => {
                let reports = reports.into_iter().take(MAX_DRAIN_REPORTS);
                Self::Drains(reports.map(Into::into).collect())
            }
        })
    }
}

impl From<&Job> for JobWire {
    fn from(job: &Job) -> Self {
        Self(
            job.id.0,
            job.settings.into(),
            Arc::clone(&job.payload),
            job.steps.iter().map(StepWire::from).collect(),
            micros(job.client_timeout),
        )
    }
}

impl TryFrom<JobWire> for Job {
    type Error = WireError;

    fn try_from(
        JobWire(id, settings, payload, steps, client_timeout): JobWire,
    ) -> Result<Self, WireError> {
        let job = Self {
            id: ClientJobId(id),
            settings: settings.try_into()?,
            payload,
            steps: steps.into_iter().map(Step::from).collect(),
            client_timeout: Duration::from_micros(client_timeout).min(MAX_TIME),
        };
        let step_count = u32::try_from(job.steps.len()).unwrap_or(u32::MAX);
        let numbered = (0..step_count).zip(&job.steps);
        for (number, step) in numbered {
            if step.after.iter().any(|&earlier| earlier >= number) {
                return Err(WireError::new(
                    &"a step depends on itself or on a later step",
                ));
            }
        }
        Ok(job)
    }
}

impl From<QueueSettings> for QueueSettingsWire {
    fn from(settings: QueueSettings) -> Self {
        Self(
            settings.queue.0,
            settings.upstream.0,
            settings.priority,
            settings.max_attempts,
            settings.stretch,
            micros(settings.target),
        )
    }
}

impl TryFrom<QueueSettingsWire> for QueueSettings {
    type Error = WireError;

    fn try_from(wire: QueueSettingsWire) -> Result<Self, WireError> {
        let QueueSettingsWire(queue, upstream, priority, max_attempts, stretch, target) = wire;
        if !(0.0..=1e6).contains(&stretch) {
            return Err(WireError::new(&"stretch out of range"));
        }
        let settings = Self {
            queue: QueueId(queue),
            upstream: UpstreamId(upstream),
            priority,
            max_attempts,
            stretch,
            target: Duration::from_micros(target),
        };
        Ok(settings.bounded())
    }
}

impl From<&Step> for StepWire {
    fn from(step: &Step) -> Self {
        Self(
            step.count,
            step.need.cpu_milli,
            step.need.memory_mb,
            step.need.accelerators,
            micros(step.estimate),
            step.after.clone(),
            step.label.clone(),
            step.preferred_rack.clone(),
            step.max_per_worker,
        )
    }
}

impl From<StepWire> for Step {
    fn from(wire: StepWire) -> Self {
        let StepWire(
            count,
            cpu_milli,
            memory_mb,
            accelerators,
            estimate,
            after,
            label,
            preferred_rack,
            max_per_worker,
        ) = wire;
        let step = Self {
            count,
            need: Resources {
                cpu_milli,
                memory_mb,
                accelerators,
            },
            estimate: Duration::from_micros(estimate),
            after,
            label,
            preferred_rack,
            max_per_worker,
        };
        step.bounded()
    }
}

impl From<&Queue> for QueueWire {
    fn from(queue: &Queue) -> Self {
        Self(
            Arc::clone(&queue.name),
            Arc::clone(&queue.host),
            Arc::clone(&queue.prefix),
            queue.settings.into(),
        )
    }
}

impl TryFrom<QueueWire> for Queue {
    type Error = WireError;

    fn try_from(QueueWire(name, host, prefix, settings): QueueWire) -> Result<Self, WireError> {
        Ok(Self {
            name,
            host,
            prefix,
            settings: settings.try_into()?,
        })
    }
}

impl From<Answer> for AnswerWire {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Completed => Self(0, 0, 0),
            Answer::Failed => Self(1, 0, 0),
            Answer::Refused { cause, retry_after } => {
                Self(2, code_of(&REFUSAL_CAUSES, &cause), micros(retry_after))
            }
            Answer::Lost(cause) => Self(3, code_of(&LOSS_CAUSES, &cause), 0),
            Answer::Cancelled => Self(4, 0, 0),
        }
    }
}

impl TryFrom<AnswerWire> for Answer {
    type Error = WireError;

    fn try_from(AnswerWire(outcome, cause, micros): AnswerWire) -> Result<Self, WireError> {
        let unknown = || WireError::new(&"unknown outcome or cause code");
        let cause = usize::from(cause);
        Ok(match outcome {
            0 => Self::Completed,
            1 => Self::Failed,
            2 => Self::Refused {
                cause: *REFUSAL_CAUSES.get(cause).ok_or_else(unknown)?,
                retry_after: Duration::from_micros(micros),
            },
            3 => Self::Lost(*LOSS_CAUSES.get(cause).ok_or_else(unknown)?),
            4 => Self::Cancelled,
            _ => return Err(unknown()),
        })
    }
}
