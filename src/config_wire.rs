//! JSON form of the configuration, used in the store, in the operators' API and between peers.

use crate::error::{Error, ErrorKind};
use crate::names::customer_id;
use cardamomslip_core::model::configuration::{ChangeRecord, Configuration, CustomerEntry, Preset};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Default of [`PresetWire::max_wait_ms`].
const DEFAULT_MAX_WAIT_MS: u32 = 10_000;

/// A customer and its share of the executor slots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerWire {
    /// Unique name.
    pub name: Arc<str>,
    /// SHA-256 of the bearer token, hexadecimal in either case.
    pub token_sha256: String,
    /// Share of the slots relative to the other customers, at least 1; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit on the customer's slots while other customers wait; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota_slots: Option<u32>,
}

/// A named set of admission limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetWire {
    /// Unique name.
    pub name: Arc<str>,
    /// Whether new jobs are admitted.
    pub admits_work: bool,
    /// Limit on the unfinished tasks of one entry VM.
    pub max_open_tasks: u32,
    /// New jobs are refused while the expected wait for a slot, in milliseconds, exceeds this;
    /// 10000 by default.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: u32,
}

/// Audit record of a configuration change. Numbers that may exceed 53 bits are hexadecimal strings,
/// because many JSON parsers read numbers as doubles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecordWire {
    /// Version that the change produced.
    pub version: u64,
    /// Random identifier of the change, 32 hexadecimal digits.
    pub change_id: String,
    /// Name of the operator.
    pub who: Arc<str>,
    /// Time of the change in milliseconds since the Unix epoch, by the clock of the process that
    /// made it.
    pub when_ms: u64,
    /// Reason that the operator gave.
    pub why: Arc<str>,
    /// Short description of the change.
    pub what: Arc<str>,
    /// Hash of the previous version, 32 hexadecimal digits; 0 for the first version.
    pub previous_hash: String,
}

/// A version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationWire {
    /// Version number, starting at 1 and incremented by each change.
    pub version: u64,
    /// Name of the active preset, one of `presets`.
    pub preset: Arc<str>,
    /// Available presets.
    pub presets: Vec<PresetWire>,
    /// Known customers.
    pub customers: Vec<CustomerWire>,
    /// Latest changes, the newest last.
    pub history: Vec<ChangeRecordWire>,
}

const fn default_max_wait_ms() -> u32 {
    DEFAULT_MAX_WAIT_MS
}

const fn default_weight() -> u32 {
    1
}

fn to_hex(value: u128) -> String {
    format!("{value:032x}")
}

fn parse_hex(text: &str) -> Result<u128, Error> {
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
            change_id: to_hex(record.change_id),
            who: Arc::clone(&record.who),
            when_ms: record.when_ms,
            why: Arc::clone(&record.why),
            what: Arc::clone(&record.what),
            previous_hash: to_hex(record.previous_hash),
        }
    }
}

impl TryFrom<ChangeRecordWire> for ChangeRecord {
    type Error = Error;

    fn try_from(wire: ChangeRecordWire) -> Result<Self, Error> {
        Ok(Self {
            version: wire.version,
            change_id: parse_hex(&wire.change_id)?,
            who: wire.who,
            when_ms: wire.when_ms,
            why: wire.why,
            what: wire.what,
            previous_hash: parse_hex(&wire.previous_hash)?,
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
