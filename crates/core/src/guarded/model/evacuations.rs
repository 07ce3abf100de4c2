//! Evacuations of data centres: what the operators requested, as of a revision of the store.

use crate::model::ids::DataCentreId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of data centres that are evacuated at the same time. Further requests are ignored.
pub const MAX_EVACUATIONS: usize = 64;

/// A request to evacuate a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Name of the data centre.
    pub name: Arc<str>,
    /// Store revision of the request.
    pub revision: u64,
}

/// All evacuations that are in force as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Store revision of the state; a higher one is newer. 0 if no state has been read.
    pub revision: u64,
    data_centres: BTreeMap<DataCentreId, Evacuation>,
}

impl Evacuations {
    /// Creates the state without any evacuation as of a store revision.
    #[must_use]
    pub const fn new(revision: u64) -> Self {
        Self {
            revision,
            data_centres: BTreeMap::new(),
        }
    }

    /// Adds a request, unless there are [`MAX_EVACUATIONS`] already.
    pub fn insert(&mut self, data_centre: DataCentreId, evacuation: Evacuation) {
        let is_known = self.data_centres.contains_key(&data_centre);
        if is_known || self.data_centres.len() < MAX_EVACUATIONS {
            self.data_centres.insert(data_centre, evacuation);
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, data_centre: DataCentreId) {
        self.data_centres.remove(&data_centre);
    }

    /// Returns whether a data centre is evacuated.
    #[must_use]
    pub fn contains(&self, data_centre: DataCentreId) -> bool {
        self.data_centres.contains_key(&data_centre)
    }

    /// Iterates over the requests.
    pub fn iter(&self) -> impl Iterator<Item = (DataCentreId, &Evacuation)> {
        self.data_centres.iter().map(|(&id, row)| (id, row))
    }

    /// Returns the number of evacuated data centres.
    #[must_use]
    pub fn len(&self) -> usize {
        self.data_centres.len()
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.data_centres.is_empty()
    }
}
