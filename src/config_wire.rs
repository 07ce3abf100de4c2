//! The configuration as JSON: in the store, at the operators' interface, and between peers.

use crate::error::{Error, ErrorKind};
use crate::names::customer_id;
use cardamomslip_core::model::configuration::{ChangeRecord, Configuration, CustomerEntry, Preset};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Expected wait beyond which new work is refused if a preset does not say, in milliseconds.
const DEFAULT_MAX_WAIT_MS: u32 = 10_000;

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerWire {
    /// Name.
    pub name: Arc<str>,
    /// SHA-256 of the bearer token in hexadecimal digits.
    pub token_sha256: String,
    /// Share relative to the other customers.
    #[serde(default = "one")]
    pub weight: u32,
    /// Slots at most while others wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota_slots: Option<u32>,
}

/// A preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetWire {
    /// Name.
    pub name: Arc<str>,
    /// Whether new work is admitted.
    pub admits_work: bool,
    /// Unfinished tasks that one entry VM holds at most.
    pub max_open_tasks: u32,
    /// Expected wait beyond which new work is refused, in milliseconds.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u32,
}

/// A change in the history. Numbers that may exceed 53 bits are hexadecimal text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecordWire {
    /// Version that the change produced.
    pub version: u64,
    /// Identifier of the change.
    pub change_id: String,
    /// Operator.
    pub who: Arc<str>,
    /// Milliseconds since the Unix epoch.
    pub when_ms: u64,
    /// Reason.
    pub why: Arc<str>,
    /// What was done.
    pub what: Arc<str>,
    /// Hash of the version before.
    pub previous_hash: String,
}

/// The configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationWire {
    /// Version.
    pub version: u64,
    /// Name of the preset in force.
    pub preset: Arc<str>,
    /// All presets.
    pub presets: Vec<PresetWire>,
    /// All customers.
    pub customers: Vec<CustomerWire>,
    /// The newest changes.
    pub history: Vec<ChangeRecordWire>,
}

const fn default_max_wait_ms() -> u32 {
    DEFAULT_MAX_WAIT_MS
}

const fn one() -> u32 {
    1
}

fn hex(value: u128) -> String {
    format!("{value:032x}")
}

fn unhex(text: &str) -> Result<u128, Error> {
    u128::from_str_radix(text, 16).map_err(|e| {
        Error::new(
            ErrorKind::Configuration,
            format!("`{text}` is no number: {e}"),
        )
    })
}

impl From<&CustomerEntry> for CustomerWire {
    fn from(entry: &CustomerEntry) -> Self {
        Self {
            name: Arc::clone(&entry.name),
            token_sha256: entry.token_sha256.to_string(),
            weight: entry.weight,
            quota_slots: entry.quota_slots,
        }
    }
}

impl From<CustomerWire> for CustomerEntry {
    fn from(wire: CustomerWire) -> Self {
        Self {
            id: customer_id(&wire.name),
            name: wire.name,
            token_sha256: wire.token_sha256.to_ascii_lowercase().into(),
            weight: wire.weight,
            quota_slots: wire.quota_slots,
        }
    }
}

impl From<&Preset> for PresetWire {
    fn from(preset: &Preset) -> Self {
        Self {
            name: Arc::clone(&preset.name),
            admits_work: preset.admits_work,
            max_open_tasks: preset.max_open_tasks,
            max_wait_ms: preset.max_wait_ms,
        }
    }
}

impl From<PresetWire> for Preset {
    fn from(wire: PresetWire) -> Self {
        Self {
            name: wire.name,
            admits_work: wire.admits_work,
            max_open_tasks: wire.max_open_tasks,
            max_wait_ms: wire.max_wait_ms,
        }
    }
}

impl From<&ChangeRecord> for ChangeRecordWire {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            version: record.version,
            change_id: hex(record.change_id),
            who: Arc::clone(&record.who),
            when_ms: record.when_ms,
            why: Arc::clone(&record.why),
            what: Arc::clone(&record.what),
            previous_hash: hex(record.previous_hash),
        }
    }
}

impl TryFrom<ChangeRecordWire> for ChangeRecord {
    type Error = Error;

    fn try_from(wire: ChangeRecordWire) -> Result<Self, Error> {
        Ok(Self {
            version: wire.version,
            change_id: unhex(&wire.change_id)?,
            who: wire.who,
            when_ms: wire.when_ms,
            why: wire.why,
            what: wire.what,
            previous_hash: unhex(&wire.previous_hash)?,
        })
    }
}

impl From<&Configuration> for ConfigurationWire {
    fn from(config: &Configuration) -> Self {
        Self {
            version: config.version,
            preset: Arc::clone(&config.preset),
            presets: config.presets.iter().map(PresetWire::from).collect(),
            customers: config.customers.iter().map(CustomerWire::from).collect(),
            history: config.history.iter().map(ChangeRecordWire::from).collect(),
        }
    }
}

impl TryFrom<ConfigurationWire> for Configuration {
    type Error = Error;

    fn try_from(wire: ConfigurationWire) -> Result<Self, Error> {
        let history: Result<Vec<_>, _> = wire
            .history
            .into_iter()
            .map(ChangeRecord::try_from)
            .collect();
        let config = Self {
            version: wire.version,
            preset: wire.preset,
            presets: wire.presets.into_iter().map(Preset::from).collect(),
            customers: wire
                .customers
                .into_iter()
                .map(CustomerEntry::from)
                .collect(),
            history: history?,
        };
        let checked = config.validate();
        checked.map_err(|e| Error::new(ErrorKind::Configuration, e.to_string()))?;
        Ok(config)
    }
}
