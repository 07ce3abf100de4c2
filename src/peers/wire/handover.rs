//! Wire format of the outcomes that a closing incarnation hands over.

use super::WireError;
use super::ids::IncarnationWire;
use super::job::OutcomeWire;
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::job_id::IdKey;
use cardamomslip_core::model::message::{ArchivedOutcome, Handover};
use serde::{Deserialize, Serialize};

/// `counter`, `customer`, `outcome`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ArchivedOutcomeWire(u64, u64, OutcomeWire);

#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverWire {
    closed: IncarnationWire,
    key: [u8; 16],
    floor: u64,
    next_counter: u64,
    part: u32,
    parts: u32,
    outcomes: Vec<ArchivedOutcomeWire>,
}

impl From<&Handover> for HandoverWire {
    fn from(part: &Handover) -> Self {
        let outcomes = part.outcomes.iter();
        let outcomes = outcomes.map(|archived| {
            ArchivedOutcomeWire(
                archived.counter,
                archived.customer.0,
                OutcomeWire::from(&archived.outcome),
            )
        });
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
            .map(|ArchivedOutcomeWire(counter, customer, outcome)| {
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
