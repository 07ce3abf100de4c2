//! Wire forms of the messages between entry VMs about guarded workers.
//!
//! Records are CBOR arrays in the order of their fields, as in [`crate::peers`].

use crate::peers::{PeerMessage, WireError};
use cardamomslip_core::guarded::model::answer::{Answer, LossCause, RefusalCause};
use cardamomslip_core::guarded::model::cell::{Cell, CellLoad};
use cardamomslip_core::guarded::model::ids::{ClientJobId, QueueId, UpstreamId, WorkerId};
use cardamomslip_core::guarded::model::job::{Job, QueueSettings, Step};
use cardamomslip_core::guarded::model::message::{Heartbeat, Message};
use cardamomslip_core::guarded::model::queue::{Queue, QueueTable};
use cardamomslip_core::guarded::model::resources::Resources;
use cardamomslip_core::model::ids::DataCentreId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Deepest nesting of a frame that is read.
const MAX_DEPTH: usize = 16;

impl PeerMessage for Message {
    fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let wire = MessageWire::from(self);
        ciborium::into_writer(&wire, &mut buf).expect("writing to memory does not fail");
        buf
    }

    fn decode(mut frame: &[u8]) -> Result<Self, WireError> {
        let wire: MessageWire =
            ciborium::de::from_reader_with_recursion_limit(&mut frame, MAX_DEPTH)
                .map_err(|e| WireError::new(&e))?;
        if !frame.is_empty() {
            return Err(WireError::new(&"bytes after the message"));
        }
        Self::try_from(wire)
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum MessageWire {
    #[serde(rename = "h")]
    Heartbeat(HeartbeatWire),
    #[serde(rename = "p")]
    Place(JobWire, u64),
    #[serde(rename = "f")]
    Finished(u64, AnswerWire),
    #[serde(rename = "w")]
    Withdraw(u64),
    #[serde(rename = "a")]
    WantQueues(u64),
    #[serde(rename = "q")]
    Queues(u64, u64, Vec<QueueWire>),
}

/// Weight, leaving, configuration version, token, cells, workers still held.
#[derive(Debug, Serialize, Deserialize)]
struct HeartbeatWire(u32, bool, u64, u64, Vec<LoadWire>, Vec<u64>);

/// Data centre, number of cells, index.
#[derive(Debug, Serialize, Deserialize)]
struct CellWire(u64, u16, u16);

/// Cell, capacity, free, waiting (thousandths of a core), mean run in microseconds.
#[derive(Debug, Serialize, Deserialize)]
struct LoadWire(CellWire, u64, u64, u64, u64);

/// Id, terms, payload, steps, patience in microseconds.
#[derive(Debug, Serialize, Deserialize)]
struct JobWire(u64, TermsWire, Arc<str>, Vec<StepWire>, u64);

/// Queue, upstream, priority, attempts, stretch, target in microseconds.
#[derive(Debug, Serialize, Deserialize)]
struct TermsWire(u64, u64, u32, u32, f64, u64);

/// Count, processor, memory, accelerators, estimate in microseconds, earlier steps, label, rack,
/// limit per worker.
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

/// Name, host, prefix, terms.
#[derive(Debug, Serialize, Deserialize)]
struct QueueWire(Arc<str>, Arc<str>, Arc<str>, TermsWire);

/// Outcome, cause, time to come back in microseconds.
#[derive(Debug, Serialize, Deserialize)]
struct AnswerWire(u8, u8, u64);

const REFUSALS: [RefusalCause; 4] = [
    RefusalCause::Overloaded,
    RefusalCause::Impossible,
    RefusalCause::NoRunner,
    RefusalCause::Stopping,
];

const LOSSES: [LossCause; 4] = [
    LossCause::DeadlinePassed,
    LossCause::RunnerLost,
    LossCause::Paused,
    LossCause::Stopping,
];

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn position<T: PartialEq>(all: &[T], one: &T) -> u8 {
    let position = all.iter().position(|known| known == one);
    position
        .and_then(|i| u8::try_from(i).ok())
        .unwrap_or(u8::MAX)
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message {
            Message::Heartbeat(beat) => Self::Heartbeat(beat.into()),
            Message::Place { job, age } => Self::Place((&**job).into(), micros(*age)),
            Message::Finished { job, answer } => Self::Finished(job.0, (*answer).into()),
            Message::Withdraw { job } => Self::Withdraw(job.0),
            Message::RequestQueues { version } => Self::WantQueues(*version),
            Message::Queues(table) => Self::Queues(
                table.version,
                table.max_body_bytes,
                table.iter().map(QueueWire::from).collect(),
            ),
        }
    }
}

impl TryFrom<MessageWire> for Message {
    type Error = WireError;

    fn try_from(wire: MessageWire) -> Result<Self, WireError> {
        Ok(match wire {
            MessageWire::Heartbeat(beat) => Self::Heartbeat(beat.try_into()?),
            MessageWire::Place(job, age) => Self::Place {
                job: Arc::new(job.try_into()?),
                age: Duration::from_micros(age),
            },
            MessageWire::Finished(job, answer) => Self::Finished {
                job: ClientJobId(job),
                answer: answer.try_into()?,
            },
            MessageWire::Withdraw(job) => Self::Withdraw {
                job: ClientJobId(job),
            },
            MessageWire::WantQueues(version) => Self::RequestQueues { version },
            MessageWire::Queues(version, max_body_bytes, queues) => {
                let queues = queues.into_iter().map(Queue::try_from);
                let queues = queues.collect::<Result<_, _>>()?;
                Self::Queues(Arc::new(QueueTable::new(version, queues, max_body_bytes)))
            }
        })
    }
}

impl From<&Heartbeat> for HeartbeatWire {
    fn from(beat: &Heartbeat) -> Self {
        Self(
            beat.weight,
            beat.leaving,
            beat.queues_version,
            beat.token,
            beat.cells.iter().map(LoadWire::from).collect(),
            beat.still_held.iter().map(|worker| worker.0).collect(),
        )
    }
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = WireError;

    fn try_from(wire: HeartbeatWire) -> Result<Self, WireError> {
        let HeartbeatWire(weight, leaving, queues_version, token, cells, held) = wire;
        let cells = cells.into_iter().map(CellLoad::try_from);
        Ok(Self {
            weight,
            leaving,
            queues_version,
            token,
            cells: cells.collect::<Result<_, _>>()?,
            still_held: held.into_iter().map(WorkerId).collect(),
        })
    }
}

impl From<Cell> for CellWire {
    fn from(cell: Cell) -> Self {
        Self(cell.data_centre.0, cell.of, cell.index)
    }
}

impl TryFrom<CellWire> for Cell {
    type Error = WireError;

    fn try_from(CellWire(data_centre, of, index): CellWire) -> Result<Self, WireError> {
        if !of.is_power_of_two() || index >= of {
            return Err(WireError::new(
                &"a cell with an index outside of its number",
            ));
        }
        Ok(Self {
            data_centre: DataCentreId(data_centre),
            of,
            index,
        })
    }
}

impl From<&CellLoad> for LoadWire {
    fn from(load: &CellLoad) -> Self {
        Self(
            load.cell.into(),
            load.capacity_milli,
            load.free_milli,
            load.waiting_milli,
            micros(load.mean_run),
        )
    }
}

impl TryFrom<LoadWire> for CellLoad {
    type Error = WireError;

    fn try_from(LoadWire(cell, capacity, free, waiting, run): LoadWire) -> Result<Self, WireError> {
        Ok(Self {
            cell: cell.try_into()?,
            capacity_milli: capacity,
            free_milli: free,
            waiting_milli: waiting,
            mean_run: Duration::from_micros(run),
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
            client_timeout: Duration::from_micros(client_timeout),
        };
        let count = u32::try_from(job.steps.len()).unwrap_or(u32::MAX);
        let ordered = (0..count).zip(&job.steps);
        for (number, step) in ordered {
            if step.after.iter().any(|&earlier| earlier >= number) {
                return Err(WireError::new(&"a step that waits for a later one"));
            }
        }
        Ok(job)
    }
}

impl From<QueueSettings> for TermsWire {
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

impl TryFrom<TermsWire> for QueueSettings {
    type Error = WireError;

    fn try_from(wire: TermsWire) -> Result<Self, WireError> {
        let TermsWire(queue, upstream, priority, max_attempts, stretch, target) = wire;
        if !(0.0..=1e6).contains(&stretch) {
            return Err(WireError::new(&"a stretch out of bounds"));
        }
        Ok(Self {
            queue: QueueId(queue),
            upstream: UpstreamId(upstream),
            priority,
            max_attempts,
            stretch,
            target: Duration::from_micros(target),
        })
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
        let StepWire(count, cpu, memory, accelerators, estimate, after, label, rack, limit) = wire;
        Self {
            count,
            need: Resources {
                cpu_milli: cpu,
                memory_mb: memory,
                accelerators,
            },
            estimate: Duration::from_micros(estimate),
            after,
            label,
            preferred_rack: rack,
            max_per_worker: limit,
        }
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
                Self(2, position(&REFUSALS, &cause), micros(retry_after))
            }
            Answer::Lost(cause) => Self(3, position(&LOSSES, &cause), 0),
        }
    }
}

impl TryFrom<AnswerWire> for Answer {
    type Error = WireError;

    fn try_from(AnswerWire(outcome, cause, micros): AnswerWire) -> Result<Self, WireError> {
        let unknown = || WireError::new(&"an unknown answer");
        let cause = usize::from(cause);
        Ok(match outcome {
            0 => Self::Completed,
            1 => Self::Failed,
            2 => Self::Refused {
                cause: *REFUSALS.get(cause).ok_or_else(unknown)?,
                retry_after: Duration::from_micros(micros),
            },
            3 => Self::Lost(*LOSSES.get(cause).ok_or_else(unknown)?),
            _ => return Err(unknown()),
        })
    }
}
