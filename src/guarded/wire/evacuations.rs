//! Wire format of evacuations.

use cardamomslip_core::guarded::model::evacuations::{Evacuation, Evacuations, MAX_EVACUATIONS};
use cardamomslip_core::model::ids::DataCentreId;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// `revision`, `data_centres`.
#[derive(Debug, Serialize, Deserialize)]
pub struct EvacuationsWire(u64, Vec<EvacuationWire>);

/// `data_centre`, `name`, `revision`.
#[derive(Debug, Serialize, Deserialize)]
struct EvacuationWire(u64, Arc<str>, u64);

impl From<&Evacuations> for EvacuationsWire {
    fn from(state: &Evacuations) -> Self {
        let rows = state
            .iter()
            .map(|(id, row)| EvacuationWire(id.0, Arc::clone(&row.name), row.revision));
        Self(state.revision, rows.collect())
    }
}

impl From<EvacuationsWire> for Evacuations {
    fn from(EvacuationsWire(revision, rows): EvacuationsWire) -> Self {
        let mut state = Self::new(revision);
        for EvacuationWire(id, name, revision) in rows.into_iter().take(MAX_EVACUATIONS) {
            state.insert(DataCentreId(id), Evacuation { name, revision });
        }
        state
    }
}
