//! Wire format of the messages between peers.
//!
//! Most records are CBOR arrays of their fields in a fixed order, without names, which keeps
//! control traffic small.

mod codes;
mod demand;
mod handover;
mod ids;
mod job;
mod vm_list;

use self::demand::{DemandWire, GrantWire};
use self::handover::HandoverWire;
use self::job::{JobRequestWire, ResponseWire};
use self::vm_list::{EntryVmWire, ExecutorVmWire};
use crate::config_wire::ConfigurationWire;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::{Heartbeat, Message};
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

pub use self::ids::IncarnationWire;

/// Maximum nesting depth of a frame.
const MAX_DEPTH: usize = 32;

/// A frame that could not be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid peer message: {0}")]
pub struct WireError(String);

impl WireError {
    /// Creates an error from its cause.
    pub fn new(cause: &impl ToString) -> Self {
        Self(cause.to_string())
    }
}

/// Encodes a message as one frame.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    let mut buf = Vec::new();
    let wire = MessageWire::from(message);
    ciborium::into_writer(&wire, &mut buf).expect("writing to a `Vec` does not fail");
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
        return Err(WireError("trailing bytes after the message".to_owned()));
    }
    Message::try_from(wire)
}

#[derive(Debug, Serialize, Deserialize)]
enum MessageWire {
    /// `config_version`, `vm_list_revision`, `weight`, `serving`.
    #[serde(rename = "h")]
    Heartbeat(u64, u64, u32, bool),
    #[serde(rename = "c")]
    Configuration(ConfigurationWire),
    #[serde(rename = "v")]
    VmList(u64, Vec<EntryVmWire>, Vec<ExecutorVmWire>),
    #[serde(rename = "f")]
    Forward(u64, JobRequestWire),
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

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

const fn from_micros(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

impl From<&Message> for MessageWire {
    fn from(message: &Message) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat(
                heartbeat.config_version,
                heartbeat.vm_list_revision,
                heartbeat.weight,
                heartbeat.serving,
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
