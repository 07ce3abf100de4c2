//! The configuration value that all processes share.

use super::ids::CustomerId;
use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hash;
use std::sync::Arc;

/// Limit on the changes in [`Configuration::history`].
pub const HISTORY_LEN: usize = 32;

/// A customer and its share of the executor slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CustomerEntry {
    /// Identifier, derived from the name by hashing.
    pub id: CustomerId,
    /// Unique name.
    pub name: Arc<str>,
    /// SHA-256 of the bearer token, lower-case hexadecimal.
    pub token_sha256: Arc<str>,
    /// Share of the slots relative to the other customers, at least 1.
    pub weight: u32,
    /// Limit on the customer's slots while other customers wait; `None` for no limit.
    pub quota_slots: Option<u32>,
}

/// A named set of admission limits, for example for normal operation, peaks or maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Preset {
    /// Unique name.
    pub name: Arc<str>,
    /// Whether new jobs are admitted.
    pub admits_work: bool,
    /// Limit on the unfinished tasks of one entry VM.
    pub max_open_tasks: u32,
    /// New jobs are refused while the expected wait for a slot, in milliseconds, exceeds this.
    pub max_wait_ms: u32,
}

/// Audit record of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeRecord {
    /// Version that the change produced.
    pub version: u64,
    /// Random identifier of the change, chosen by the process that made it.
    pub change_id: u128,
    /// Name of the operator.
    pub who: Arc<str>,
    /// Time of the change in milliseconds since the Unix epoch, by the clock of the process that
    /// made it.
    pub when_ms: u64,
    /// Reason that the operator gave.
    pub why: Arc<str>,
    /// Short description of the change.
    pub what: Arc<str>,
    /// [`Configuration::content_hash`] of the previous version, 0 for the first version.
    pub previous_hash: u128,
}

/// A version of the configuration. It is always replaced as a whole.
///
/// Invariants: `preset` names exactly one element of `presets`; customers and presets have unique
/// names; `history` ends with the change that produced this version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Configuration {
    /// Version number, starting at 1 and incremented by each change.
    pub version: u64,
    /// Name of the active preset.
    pub preset: Arc<str>,
    /// Available presets.
    pub presets: Vec<Preset>,
    /// Known customers.
    pub customers: Vec<CustomerEntry>,
    /// Latest changes, the newest last, at most [`HISTORY_LEN`].
    pub history: Vec<ChangeRecord>,
}

/// A configuration change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// Activate another preset.
    ApplyPreset(Arc<str>),
    /// Replace presets and customers.
    Replace {
        /// Name of the active preset.
        preset: Arc<str>,
        /// All presets of the new version.
        presets: Vec<Preset>,
        /// All customers of the new version.
        customers: Vec<CustomerEntry>,
    },
}

/// A [`Change`] with the data for the audit trail.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Version that the change is based on; 0 creates the first version.
    pub base: u64,
    /// Name of the operator.
    pub who: Arc<str>,
    /// Reason that the operator gave.
    pub why: Arc<str>,
    /// Time of the request in milliseconds since the Unix epoch.
    pub when_ms: u64,
    /// Requested change.
    pub change: Change,
}

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// The active preset is not defined.
    #[error("the preset in force, `{0}`, is not defined")]
    NoSuchPreset(Arc<str>),
    /// Two presets have the same name.
    #[error("two presets are named `{0}`")]
    DuplicatePreset(Arc<str>),
    /// Two customers have the same name or id.
    #[error("two customers are named `{0}`")]
    DuplicateCustomer(Arc<str>),
    /// Two customers have the same token.
    #[error("customer `{0}` has the token of another customer")]
    DuplicateToken(Arc<str>),
    /// The weight of a customer is zero.
    #[error("the weight of customer `{0}` must be at least 1")]
    ZeroWeight(Arc<str>),
}

impl Configuration {
    /// Returns the active preset.
    ///
    /// # Panics
    ///
    /// Panics if the active preset is not defined, which [`Configuration::validate`] rules out.
    #[must_use]
    pub fn active_preset(&self) -> &Preset {
        self.presets
            .iter()
            .find(|preset| preset.name == self.preset)
            .expect("a validated configuration defines its preset")
    }

    /// Returns the customer with the given id.
    #[must_use]
    pub fn customer(&self, id: CustomerId) -> Option<&CustomerEntry> {
        self.customers.iter().find(|customer| customer.id == id)
    }

    /// Returns a 128-bit hash of the whole value. Each change records that of the previous version,
    /// which makes the audit trail a hash chain.
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

    /// Returns whether the change with `change_id` is in the history.
    #[must_use]
    pub fn contains_change(&self, change_id: u128) -> bool {
        self.history
            .iter()
            .any(|record| record.change_id == change_id)
    }

    /// Checks that the active preset is defined, that names and tokens are unique and that weights
    /// are positive.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
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

    /// Builds the version that results from applying `req` to `current`.
    ///
    /// # Errors
    ///
    /// Returns the first violation if the new version would be invalid.
    pub fn next_version(
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
        let excess = history.len().saturating_sub(HISTORY_LEN);
        history.drain(..excess);
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
