//! Operations on the store for the core, and the watch of what the platform publishes.

use super::client::{PlatformClient, PlatformError, Versioned};
use super::wire::{UsageWire, VmListWire};
use crate::config_wire::{ChangeRecordWire, ConfigurationWire};
use crate::input::InputSender;
use cardamomslip_core::Event;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::store::{StoreOp, StoreReply};
use cardamomslip_core::model::vm_list::VmList;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Key of the configuration.
const CONFIG_KEY: &str = "cardamomslip/config";
/// Prefix of the audit records.
const AUDIT_PREFIX: &str = "cardamomslip/audit/";
/// Prefix of the usage reports.
const USAGE_PREFIX: &str = "cardamomslip/usage/";
/// Prefix of the bound idempotency keys.
const KEYS_PREFIX: &str = "cardamomslip/keys/";
/// Longest wait of the watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed watch; also the slow poll that backs the watch up.
const WATCH_RETRY: Duration = Duration::from_millis(500);
/// Time for which a bound key is kept.
const KEY_TTL: Duration = Duration::from_secs(24 * 3600);

/// The value under a bound key.
#[derive(Debug, Serialize, Deserialize)]
struct KeyBinding {
    job: String,
}

/// Operations on the store. Blocks the calling thread.
#[derive(Clone, Debug)]
pub struct PlatformLink {
    client: PlatformClient,
}

impl PlatformLink {
    /// Wraps a client.
    #[must_use]
    pub const fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Performs an operation of the core.
    #[must_use]
    pub fn perform(&self, req: &StoreOp, config: Option<&Configuration>) -> StoreReply {
        match req {
            StoreOp::ReadConfiguration => self.read_configuration(),
            StoreOp::CompareAndSwapConfiguration { base, config } => {
                let wire = ConfigurationWire::from(config.as_ref());
                reply_of(self.client.put(CONFIG_KEY, &wire, Some(*base), None))
            }
            StoreOp::BindKey { customer, key, id } => {
                let value = KeyBinding {
                    job: id.to_string(),
                };
                let key = key_path(*customer, key);
                reply_of(self.client.put(&key, &value, Some(0), Some(KEY_TTL)))
            }
            StoreOp::ReadKey { customer, key } => self.read_key(&key_path(*customer, key)),
            StoreOp::WriteUsage(report) => {
                let wire = UsageWire::new(report, config);
                reply_of(self.write_usage(&wire))
            }
        }
    }

    /// Writes a report if nobody wrote since this began, so that an earlier write of which the
    /// effect comes late can't replace a newer report.
    fn write_usage(&self, wire: &UsageWire) -> Result<(), PlatformError> {
        let key = format!("{USAGE_PREFIX}{}", wire.incarnation);
        let current = self.client.get::<UsageWire>(&key)?;
        let version = current.map_or(0, |row| row.version);
        self.client.put(&key, wire, Some(version), None)
    }

    fn read_configuration(&self) -> StoreReply {
        match self.client.get::<ConfigurationWire>(CONFIG_KEY) {
            Ok(None) => StoreReply::Configuration(None),
            Ok(Some(row)) => match Configuration::try_from(row.value) {
                Ok(config) => StoreReply::Configuration(Some(Arc::new(config))),
                Err(e) => {
                    tracing::error!(error = %e, "the store holds an invalid configuration");
                    StoreReply::Lost
                }
            },
            Err(_) => StoreReply::Lost,
        }
    }

    fn read_key(&self, key: &str) -> StoreReply {
        match self.client.get::<KeyBinding>(key) {
            Ok(None) => StoreReply::Key(None),
            Ok(Some(row)) => match row.value.job.parse::<JobId>() {
                Ok(id) => StoreReply::Key(Some(id)),
                Err(e) => {
                    tracing::error!(error = %e, "the store holds an invalid key binding");
                    StoreReply::Lost
                }
            },
            Err(_) => StoreReply::Lost,
        }
    }

    /// Writes a record for each change that `config` remembers. Repeating it does no harm.
    pub fn write_audit(&self, config: &Configuration) {
        for record in config.history.iter().rev() {
            let wire = ChangeRecordWire::from(record);
            let key = format!("{AUDIT_PREFIX}{:012}-{}", wire.version, wire.change_id);
            match self.client.put(&key, &wire, Some(0), None) {
                Ok(()) => {}
                // Older records were written with the one that is there already.
                Err(PlatformError::Conflict) => return,
                Err(e) => {
                    tracing::warn!(error = %e, version = wire.version, "audit record not written");
                    return;
                }
            }
        }
    }

    /// Reads the audit trail in order of versions.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn audit(&self) -> Result<Vec<ChangeRecordWire>, PlatformError> {
        let rows = self.client.list::<ChangeRecordWire>(AUDIT_PREFIX)?;
        Ok(rows.into_values().map(|row| row.value).collect())
    }

    /// Reads the usage reports of all incarnations.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub fn usage(&self) -> Result<Vec<UsageWire>, PlatformError> {
        let rows = self.client.list::<UsageWire>(USAGE_PREFIX)?;
        Ok(rows.into_values().map(|row| row.value).collect())
    }

    /// Watches the configuration until `stop` is set.
    #[must_use]
    pub fn spawn_config_watch(&self, tx: InputSender, stop: Arc<AtomicBool>) -> JoinHandle<()> {
        let client = self.client.clone();
        std::thread::spawn(move || {
            let mut known = 0;
            while !stop.load(Ordering::Relaxed) {
                match client.watch::<ConfigurationWire>(CONFIG_KEY, known, WATCH_WAIT) {
                    Ok(Some(row)) => known = offer_config(&tx, row),
                    Ok(None) | Err(_) => std::thread::sleep(WATCH_RETRY),
                }
            }
        })
    }

    /// Polls the VM list until `stop` is set.
    #[must_use]
    pub fn spawn_vm_list_poll(
        &self,
        tx: InputSender,
        stop: Arc<AtomicBool>,
        interval: Duration,
    ) -> JoinHandle<()> {
        let client = self.client.clone();
        std::thread::spawn(move || {
            let mut known = None;
            while !stop.load(Ordering::Relaxed) {
                if let Ok(Some(wire)) = client.vm_list::<VmListWire>() {
                    offer_vm_list(&tx, wire, &mut known);
                }
                std::thread::sleep(interval);
            }
        })
    }
}

fn offer_config(tx: &InputSender, row: Versioned<ConfigurationWire>) -> u64 {
    match Configuration::try_from(row.value) {
        Ok(config) => tx.event(Event::Configuration(Arc::new(config))),
        Err(e) => tracing::error!(error = %e, "the store holds an invalid configuration"),
    }
    row.version
}

fn offer_vm_list(tx: &InputSender, wire: VmListWire, known: &mut Option<u64>) {
    match VmList::try_from(wire) {
        Ok(list) if *known != Some(list.revision) => {
            *known = Some(list.revision);
            tx.event(Event::VmList(Arc::new(list)));
        }
        Ok(_) => {}
        Err(e) => tracing::error!(error = %e, "the platform sent an invalid VM list"),
    }
}

fn reply_of(result: Result<(), PlatformError>) -> StoreReply {
    match result {
        Ok(()) => StoreReply::Written,
        Err(PlatformError::Conflict) => StoreReply::Conflict,
        Err(PlatformError::Unavailable(_)) => StoreReply::Lost,
    }
}

/// Hashes the key, so that any text makes a valid path of bounded length.
fn key_path(customer: CustomerId, key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    format!("{KEYS_PREFIX}{:016x}/{digest:x}", customer.0)
}
