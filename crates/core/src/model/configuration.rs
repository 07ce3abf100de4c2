//! The one configuration value that all processes follow.

use super::ids::CustomerId;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hash;
use std::sync::Arc;

/// Changes that the value itself remembers, newest last.
pub const HISTORY_LEN: usize = 32;

/// A customer and its share of the pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CustomerEntry {
    /// Identifier, derived from the name.
    pub id: CustomerId,
    /// Name, unique.
    pub name: Arc<str>,
    /// SHA-256 of the bearer token, lower-case hexadecimal.
    pub token_sha256: Arc<str>,
    /// Share of the pool relative to the other customers, at least 1.
    pub weight: u32,
    /// Slots that the customer gets at most while others wait; `None` for no bound.
    pub quota_slots: Option<u32>,
}

/// A named set of limits for ordinary days, peaks or maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Preset {
    /// Name, unique.
    pub name: Arc<str>,
    /// Whether new work is admitted.
    pub admits_work: bool,
    /// Unfinished tasks that one entry VM holds at most.
    pub max_open_tasks: u32,
    /// Expected wait, in milliseconds, beyond which new work is refused.
    pub max_wait_ms: u32,
}

/// Who changed the configuration, when and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeRecord {
    /// Version that the change produced.
    pub version: u64,
    /// Identifier of the change, drawn at random by the process that made it.
    pub change_id: u128,
    /// Operator.
    pub who: Arc<str>,
    /// Milliseconds since the Unix epoch, by the clock of the process that made the change.
    pub when_ms: u64,
    /// Reason that the operator gave.
    pub why: Arc<str>,
    /// What was done, in one phrase.
    pub what: Arc<str>,
    /// [`Configuration::content_hash`] of the version before, 0 for the first.
    pub previous_hash: u128,
}

/// The configuration in force, replaced as a whole.
///
/// Invariants: `preset` names exactly one element of `presets`; customers and presets have unique
/// names; `history` ends with the change that produced this version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Configuration {
    /// Version, 1 for the first, one more with each change.
    pub version: u64,
    /// Name of the preset in force.
    pub preset: Arc<str>,
    /// All presets.
    pub presets: Vec<Preset>,
    /// All customers.
    pub customers: Vec<CustomerEntry>,
    /// The newest changes, at most [`HISTORY_LEN`].
    pub history: Vec<ChangeRecord>,
}

/// What an operator wants to change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Put another preset in force.
    ApplyPreset(Arc<str>),
    /// Replace presets and customers.
    Replace {
        /// Name of the preset in force.
        preset: Arc<str>,
        /// All presets.
        presets: Vec<Preset>,
        /// All customers.
        customers: Vec<CustomerEntry>,
    },
}

/// A [`Change`] with what the audit trail needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Version that the operator saw; 0 creates the first.
    pub base: u64,
    /// Operator.
    pub who: Arc<str>,
    /// Reason.
    pub why: Arc<str>,
    /// Milliseconds since the Unix epoch.
    pub when_ms: u64,
    /// The change.
    pub change: Change,
}

/// What makes a configuration invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The preset in force is not defined.
    #[error("the preset in force, `{0}`, is not defined")]
    NoSuchPreset(Arc<str>),
    /// Two presets share a name.
    #[error("two presets are named `{0}`")]
    DuplicatePreset(Arc<str>),
    /// Two customers share a name.
    #[error("two customers are named `{0}`")]
    DuplicateCustomer(Arc<str>),
    /// Two customers share a token.
    #[error("customer `{0}` has the token of another customer")]
    DuplicateToken(Arc<str>),
    /// A weight is zero.
    #[error("the weight of customer `{0}` must be at least 1")]
    ZeroWeight(Arc<str>),
}

impl Configuration {
    /// Returns the preset in force.
    ///
    /// # Panics
    ///
    /// Panics if the value was built without [`Configuration::validate`].
    #[must_use]
    pub fn preset_in_force(&self) -> &Preset {
        self.presets
            .iter()
            .find(|preset| preset.name == self.preset)
            .expect("a validated configuration defines its preset")
    }

    /// Finds a customer.
    #[must_use]
    pub fn customer(&self, id: CustomerId) -> Option<&CustomerEntry> {
        self.customers.iter().find(|customer| customer.id == id)
    }

    /// Returns a 128-bit hash of the whole value, which chains the audit trail.
    #[must_use]
    pub fn content_hash(&self) -> u128 {
        let mut hasher = SipHasher24::new();
        self.hash(&mut hasher);
        hasher.finish128().as_u128()
    }

    /// Returns the change that produced this version.
    #[must_use]
    pub fn last_change(&self) -> Option<&ChangeRecord> {
        self.history.last()
    }

    /// Tells whether the change with `change_id` is part of the remembered history.
    #[must_use]
    pub fn contains_change(&self, change_id: u128) -> bool {
        self.history
            .iter()
            .any(|record| record.change_id == change_id)
    }

    /// Checks the invariants of the value.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant.
    pub fn validate(&self) -> Result<(), ConfigurationError> {
        self.validate_presets()?;
        self.validate_customers()
    }

    fn validate_presets(&self) -> Result<(), ConfigurationError> {
        for (i, preset) in self.presets.iter().enumerate() {
            if self.presets[..i]
                .iter()
                .any(|other| other.name == preset.name)
            {
                return Err(ConfigurationError::DuplicatePreset(Arc::clone(
                    &preset.name,
                )));
            }
        }
        if self.presets.iter().any(|preset| preset.name == self.preset) {
            return Ok(());
        }
        Err(ConfigurationError::NoSuchPreset(Arc::clone(&self.preset)))
    }

    fn validate_customers(&self) -> Result<(), ConfigurationError> {
        for (i, customer) in self.customers.iter().enumerate() {
            let name = Arc::clone(&customer.name);
            let earlier = &self.customers[..i];
            if earlier
                .iter()
                .any(|other| other.name == name || other.id == customer.id)
            {
                return Err(ConfigurationError::DuplicateCustomer(name));
            }
            if earlier
                .iter()
                .any(|other| other.token_sha256 == customer.token_sha256)
            {
                return Err(ConfigurationError::DuplicateToken(name));
            }
            if customer.weight == 0 {
                return Err(ConfigurationError::ZeroWeight(name));
            }
        }
        Ok(())
    }

    /// Builds the version that follows `current` by `req`.
    ///
    /// # Errors
    ///
    /// Returns the first invariant that the new version would violate.
    pub fn successor(
        current: Option<&Self>,
        req: &ChangeRequest,
        change_id: u128,
    ) -> Result<Self, ConfigurationError> {
        let version = current.map_or(0, |config| config.version) + 1;
        let mut history = current.map_or_else(Vec::new, |config| config.history.clone());
        history.push(ChangeRecord {
            version,
            change_id,
            who: Arc::clone(&req.who),
            when_ms: req.when_ms,
            why: Arc::clone(&req.why),
            what: req.change.describe(),
            previous_hash: current.map_or(0, Self::content_hash),
        });
        let surplus = history.len().saturating_sub(HISTORY_LEN);
        history.drain(..surplus);
        let (preset, presets, customers) = req.change.apply(current);
        let next = Self {
            version,
            preset,
            presets,
            customers,
            history,
        };
        next.validate()?;
        Ok(next)
    }
}

impl Change {
    fn describe(&self) -> Arc<str> {
        match self {
            Self::ApplyPreset(name) => format!("apply preset {name}").into(),
            Self::Replace { .. } => "replace configuration".into(),
        }
    }

    fn apply(
        &self,
        current: Option<&Configuration>,
    ) -> (Arc<str>, Vec<Preset>, Vec<CustomerEntry>) {
        match self {
            Self::ApplyPreset(name) => {
                let presets = current.map_or_else(Vec::new, |config| config.presets.clone());
                let customers = current.map_or_else(Vec::new, |config| config.customers.clone());
                (Arc::clone(name), presets, customers)
            }
            Self::Replace {
                preset,
                presets,
                customers,
            } => (Arc::clone(preset), presets.clone(), customers.clone()),
        }
    }
}
